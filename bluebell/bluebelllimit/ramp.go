package bluebelllimit

import "time"

// completionsPerSlot is the number of completed requests that raise the limit of
// a cold endpoint by one slot.
const completionsPerSlot = 2

// SlotLimits are this owner's part of an endpoint's slots.
type SlotLimits struct {
	Warm, Cold int
	// Incarnation changes when the endpoint is cold anew.
	Incarnation string
	// ColdUntil is the end of the warm-up time; an endpoint that was warm before
	// this process saw it has one in the past.
	ColdUntil time.Duration
	// Closed endpoints get no new work.
	Closed bool
}

// ramp raises the limit of a cold endpoint by evidence.
type ramp struct {
	limits    SlotLimits
	warm      bool
	completed int
}

func (r *ramp) set(now time.Duration, l SlotLimits) {
	if l.Incarnation != r.limits.Incarnation {
		r.warm = now >= l.ColdUntil
		r.completed = 0
	}
	r.limits = l
}

// done counts a request that ended. A failure on a cold endpoint starts the ramp
// again.
func (r *ramp) done(now time.Duration, ok bool) {
	switch {
	case r.warm:
	case ok:
		r.completed++
	default:
		r.completed = 0
	}
	r.settle(now)
}

// restart begins the ramp anew.
func (r *ramp) restart() { r.warm, r.completed = false, 0 }

func (r *ramp) slots(now time.Duration) int {
	if r.limits.Closed {
		return 0
	}
	r.settle(now)
	if r.warm {
		return r.limits.Warm
	}
	return min(r.limits.Cold+r.completed/completionsPerSlot, r.limits.Warm)
}

// settle ends the cold start once the time is over and the ramp is complete.
func (r *ramp) settle(now time.Duration) {
	complete := r.limits.Cold+r.completed/completionsPerSlot >= r.limits.Warm
	if now >= r.limits.ColdUntil && complete {
		r.warm = true
	}
}
