package bluebelllimit

import "time"

// completionsPerSlot is the number of completed requests that raise the limit of a
// cold endpoint by one slot.
const completionsPerSlot = 2

// SlotLimits is the part of an endpoint's slots that this process may use.
type SlotLimits struct {
	// Warm and Cold are the numbers of concurrent requests for a warm endpoint and
	// for a cold one.
	Warm, Cold int
	// Incarnation identifies one run of the endpoint. An endpoint with a new
	// incarnation may be cold again.
	Incarnation string
	// ColdUntil is the end of the warm-up time. It lies in the past for an endpoint
	// that was warm before this process saw it.
	ColdUntil time.Duration
	// Closed means that no request may start on the endpoint.
	Closed bool
}

// ramp computes the slot limit of an endpoint and raises it from Cold to Warm as the
// endpoint completes requests.
type ramp struct {
	limits SlotLimits
	warm   bool
	// completed counts the requests completed since the endpoint became cold or last
	// failed.
	completed int
}

// setLimits stores new limits. For a new incarnation the endpoint is cold unless its
// warm-up time is over.
func (r *ramp) setLimits(now time.Duration, l SlotLimits) {
	if l.Incarnation != r.limits.Incarnation {
		r.warm = now >= l.ColdUntil
		r.completed = 0
	}
	r.limits = l
}

// recordResult counts a finished request. A failure on a cold endpoint resets the
// limit to the cold slots.
func (r *ramp) recordResult(now time.Duration, ok bool) {
	switch {
	case r.warm:
	case ok:
		r.completed++
	default:
		r.completed = 0
	}
	r.updateWarm(now)
}

// restart marks the endpoint as cold and resets the limit to the cold slots.
func (r *ramp) restart() { r.warm, r.completed = false, 0 }

// slots returns the number of requests that may run concurrently now.
func (r *ramp) slots(now time.Duration) int {
	if r.limits.Closed {
		return 0
	}
	r.updateWarm(now)
	if r.warm {
		return r.limits.Warm
	}
	return min(r.limits.Cold+r.completed/completionsPerSlot, r.limits.Warm)
}

// updateWarm marks the endpoint as warm once the warm-up time is over and completed
// requests have raised the limit to the warm slots.
func (r *ramp) updateWarm(now time.Duration) {
	rampComplete := r.limits.Cold+r.completed/completionsPerSlot >= r.limits.Warm
	if now >= r.limits.ColdUntil && rampComplete {
		r.warm = true
	}
}
