package bluebellstub

import (
	"slices"
	"strconv"
	"time"

	"bluebellhaven.org/platform/bluebellplatform"
)

// brittleness is the state of an endpoint that crashes when it turns too many calls away.
type brittleness struct {
	// perSecond is the highest number of calls that may be turned away in a second.
	perSecond int
	// from is when the endpoint ceases to let calls wait.
	from time.Time
	// refusals holds when calls were turned away since from.
	refusals []time.Time
	fell     bool
}

// SetBrittle makes the endpoint say in all answers that it crashes if it turns away more than a number
// of calls in a second. After a time it runs at most Slots calls and turns away the others, and once
// that are too many it closes its listener and all connections.
func (e *Endpoint) SetBrittle(perSecond int, after time.Duration) {
	e.Say(bluebellplatform.BrittleHeader(strconv.Itoa(perSecond)))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.brittle = &brittleness{perSecond: perSecond, from: time.Now().Add(after)}
}

// Refusals returns when a brittle endpoint turned calls away, and whether it crashed.
func (e *Endpoint) Refusals() (refusals []time.Time, fell bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.brittle == nil {
		return nil, false
	}
	return slices.Clone(e.brittle.refusals), e.brittle.fell
}

// turnsAway reports whether a call is turned away for want of room, and records it if so.
func (b *brittleness) turnsAway(activeCalls int) bool {
	if b == nil || activeCalls < Slots || time.Now().Before(b.from) {
		return false
	}
	b.refusals = append(b.refusals, time.Now())
	return true
}

// fallsOver reports whether the endpoint has turned too many calls away, and ends it if so.
func (e *Endpoint) fallsOver() bool {
	e.mu.Lock()
	b := e.brittle
	if b == nil {
		e.mu.Unlock()
		return false
	}
	recent := 0
	for _, at := range b.refusals {
		if time.Since(at) < time.Second {
			recent++
		}
	}
	b.fell = b.fell || recent > b.perSecond
	fell := b.fell
	e.mu.Unlock()
	if fell {
		_ = e.server.Close()
	}
	return fell
}
