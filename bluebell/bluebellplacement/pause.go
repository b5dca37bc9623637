package bluebellplacement

import "time"

// An endpoint that turns a call away may state for how long it wants no calls from this entry. After
// that time the entry returns gradually: with one call, and with one more for each answer that begins.

const (
	// longestPause bounds a pause, and maxBoundedPauses how often that is done for one incarnation.
	// An endpoint may name a very long time by mistake, but not three times.
	longestPause     = 10 * time.Minute
	maxBoundedPauses = 2
	// returnSpread is the time over which entries return to an endpoint, and returnInterval the
	// mean time between two of them if there are many.
	returnSpread   = 500 * time.Millisecond
	returnInterval = 5 * time.Millisecond
	// maxReturnWindow is the number of calls in flight at which the return to an endpoint is
	// complete, if it has that many slots.
	maxReturnWindow = 32
	// returnTimeout is how long the calls of the return may be unanswered before one more is sent.
	returnTimeout = time.Second
)

// pause is a time without calls and the gradual return after it.
type pause struct {
	// until is the end of the time without calls, 0 if there is no pause and no return.
	until time.Duration
	// window is the number of calls that may be in flight during the return, inFlight the number of
	// those that are.
	window, inFlight int
	// sentAt is when the last call of the return was picked.
	sentAt time.Duration
	// bounded counts the pauses that were shortened to longestPause.
	bounded int
}

// RecordPause records that a choice's endpoint has turned a call away and wants no calls from this
// entry for a time. It returns the time for which it gets none, 0 if that was known before.
func (p *Placer) RecordPause(c Choice, now, wanted time.Duration) time.Duration {
	if wanted <= 0 || c.target == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	s := p.makeStatement(&c.Endpoint, now)
	s.currentAt = now
	wanted = s.pause.bound(now, wanted)
	until := now + wanted + p.returnOffset(c.Endpoint.ID, wanted)
	if until <= s.pause.until {
		return 0
	}
	s.pause.until, s.pause.window = until, 1
	return until - now
}

// bound returns the time without calls that is kept if an endpoint names one. The refusals of calls that
// were in flight together count once.
func (p *pause) bound(now, wanted time.Duration) time.Duration {
	switch {
	case wanted <= longestPause || now >= p.until && p.bounded >= maxBoundedPauses:
		return wanted
	case now >= p.until:
		p.bounded++
	}
	return longestPause
}

// returnOffset returns how long after the end of a pause this entry returns to an endpoint. Entries
// return at different times.
func (p *Placer) returnOffset(endpoint string, wanted time.Duration) time.Duration {
	spread := max(returnSpread, time.Duration(len(p.fleet.Entries))*returnInterval)
	return time.Duration(unitFraction(rendezvous(endpoint, p.cfg.Self)) * float64(min(spread, wanted)))
}

// allowedFrom returns from when on the endpoint may get the next call, which is in the past if it may
// get one now.
func (p *pause) allowedFrom(now time.Duration) time.Duration {
	if now < p.until {
		return p.until
	}
	if p.until > 0 && p.inFlight >= p.window && now-p.sentAt < returnTimeout {
		// The next answer allows it.
		return now + 1
	}
	return 0
}

// sent records that a call was picked during the return.
func (p *pause) sent(now time.Duration) { p.inFlight, p.sentAt = p.inFlight+1, now }

// answered records that the answer to a call of the return has begun. The return is complete with a
// window of as many calls as the endpoint has slots.
func (p *pause) answered(now time.Duration, slots int) {
	if now < p.until || p.until == 0 {
		return
	}
	p.window++
	if p.window > min(slots, maxReturnWindow) {
		p.until = 0
	}
}

// ended records the end of a call of the return.
func (p *pause) ended() { p.inFlight-- }
