package bluebellscale

import (
	"slices"
	"time"
)

const (
	// raiseUse is the share of the ordered endpoints that the forecast may use before more are ordered, and
	// planUse the share that it uses afterwards. lowerUse is the share that the highest demand may use of a
	// smaller number. The gap between them keeps a demand that varies by a tenth from changing the number.
	raiseUse = 0.9
	planUse  = 0.85
	lowerUse = 0.8
	// idleUse is the share of the serving endpoints below which more of them would not help.
	idleUse = 0.5
	// smoothingTime is the time over which demand is averaged: 20 engines give a share of busy ones that varies
	// by a tenth from one moment to the next.
	smoothingTime = 2 * time.Second
	// sustainTime is how long a demand must hold to be answered by new endpoints. It is longer than a burst of
	// 3 s, which ends before any of them serves.
	sustainTime = 4 * time.Second
	// maxRise bounds what the trend adds to a forecast, as a share. A demand that rises faster than that until a
	// new endpoint serves looks like a burst in the few seconds in which it is observed.
	maxRise = 0.25
	// pressureTime is how long calls must wait or be refused.
	pressureTime = 2 * time.Second
	// lowerTime is the shortest time over which a demand must be low, and between two steps down.
	lowerTime = 10 * time.Second
	// maxWindow bounds the observations that are kept for a target whose endpoints start slowly.
	maxWindow = time.Minute
	// sampleGap is the time without input after which earlier input says nothing about the trend.
	sampleGap = 3 * time.Second
	// startGrace is added to the time that endpoints need to start before missing ones count as lost.
	startGrace = 2 * time.Second
	// After a raise within regretTime of a step down, the raised number stays for barTime. Without it, bursts every
	// 40 s moved the number at each of them, and the endpoints served when the burst was over.
	regretTime = time.Minute
	barTime    = 2 * time.Minute
	// lossShare is the share of endpoints, freshly lost, that explains a shortage.
	lossShare = 0.1
)

// Bounds are the declared bounds of a target in each failure domain.
type Bounds struct {
	Min, Max int
	// StartDuration is the time from the order of an endpoint until it serves.
	StartDuration time.Duration
}

// Domain is the state of a target in one failure domain.
type Domain struct {
	Name string
	// Ordered is the agreed number, 0 if none has been agreed.
	Ordered int
	// Registered is the number of endpoints that are neither draining nor gone, and Usable the number of those
	// that are known to serve now.
	Registered, Usable int
	// Out means that operators have taken the failure domain out of service.
	Out bool
}

// Input is what is observed of a target.
type Input struct {
	Bounds  Bounds
	Domains []Domain
	// Load is the mean since the last input.
	Load Load
	// Complete means that the load includes what all entries have reported, so that a low one is no artefact of
	// a lost connection.
	Complete bool
}

// Reason says why a number changes.
type Reason int

// The reasons.
const (
	// Unchanged means that no number changes.
	Unchanged Reason = iota
	// Bound means that a number was outside its declared bounds.
	Bound
	// Forecast means that the expected demand needs more endpoints.
	Forecast
	// Shortage means that calls wait or are refused.
	Shortage
	// Surplus means that a smaller number bears the demand.
	Surplus
)

func (r Reason) String() string {
	return [...]string{"Unchanged", "Bound", "Forecast", "Shortage", "Surplus"}[r]
}

// Change is a new number of endpoints for a failure domain.
type Change struct {
	FailureDomain string
	From, To      int
}

// Figures are what a decision was based on, in endpoints.
type Figures struct {
	// Demand is the current demand, Peak the highest and Forecast the one expected when an endpoint that is
	// ordered now serves.
	Demand, Peak, Forecast float64
	// Capacity is the ordered number without endpoints that have been lost for long, Usable what serves now and
	// Lost what is missing.
	Capacity, Usable, Lost int
	// Pressed means that calls have waited or been refused for pressureTime.
	Pressed bool
}

// Decision is the result of Decide.
type Decision struct {
	Reason  Reason
	Changes []Change
	Figures Figures
}

// sample is the input of one moment.
type sample struct {
	at                time.Duration
	demand            float64
	pressed, complete bool
}

// Planner decides the numbers of one target.
type Planner struct {
	samples []sample
	domains map[string]*domainState
	// ordered is the sum of the numbers at the last input, 0 before the first.
	ordered   int
	raisedAt  time.Duration
	loweredAt time.Duration
	// hasRaised and hasLowered are set once the times above are.
	hasRaised, hasLowered bool
	// lossAt is when many endpoints were last missing that may return soon. hadLoss is set once they were.
	lossAt  time.Duration
	hadLoss bool
	// bar is a sum that is not undercut until barUntil.
	bar      int
	barUntil time.Duration
}

// New returns a planner without observations.
func New() *Planner { return &Planner{domains: map[string]*domainState{}} }

// Decide returns the changes that follow from an input at the time now, and from earlier ones.
func (p *Planner) Decide(now time.Duration, in Input) Decision {
	if n := len(p.samples); n > 0 && now-p.samples[n-1].at > sampleGap {
		p.samples = nil
	}
	p.samples = append(p.samples, sample{at: now, demand: in.Load.Demand(), pressed: in.Load.Pressed(), complete: in.Complete})
	p.samples = slices.DeleteFunc(p.samples, func(s sample) bool { return now-s.at > 2*window(in.Bounds)+sustainTime })
	all := p.observe(now, in)
	f := p.figures(now, in, all)
	for _, rule := range []func(time.Duration, Input, fleet, Figures) (Reason, []int){p.toMinimum, p.raise, p.lower} {
		if reason, next := rule(now, in, all, f); reason != Unchanged {
			return Decision{Reason: reason, Changes: all.changes(next), Figures: f}
		}
	}
	return Decision{Figures: f}
}

// window is the time that the highest demand and the medians are taken over.
func window(b Bounds) time.Duration { return min(max(lowerTime, b.StartDuration*3/2), maxWindow) }
