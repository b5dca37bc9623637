package bluebellplacement

import (
	"time"

	"bluebellhaven.org/bluebell/bluebelllink"
)

// The calls that this entry has in flight limit its next choices and are reported to other
// entries.

// isFull reports whether a call would take memory that is reserved for cached blocks. An
// idle engine is never full.
func (p *Placer) isFull(t *targetState, c *candidate, r Request) bool {
	capacity := p.fleet.TokenCapacity[c.endpoint.Target]
	used := c.state.tokens + c.others.Tokens
	share := awayFillShare
	if c.home || c.alternate {
		share = homeFillShare
	}
	if t.ranked() {
		share = t.rankFillShare(c, r.Priority)
	}
	return capacity > 0 && used > 0 && float64(used+r.Tokens()) > share*float64(capacity)
}

// Uses returns the calls in flight and recent results of this entry, by endpoint ID.
func (p *Placer) Uses(now time.Duration) map[string]EndpointUse {
	p.mu.RLock()
	defer p.mu.RUnlock()
	uses := map[string]EndpointUse{}
	for name, t := range p.targets {
		linked := p.links(name) == bluebelllink.Linked
		t.mu.Lock()
		for id, s := range t.states {
			u := s.use(now, &t.speed)
			if !linked {
				// The failures say nothing about the endpoint.
				u.Failing = 0
			}
			if u != (EndpointUse{}) {
				uses[id] = u
			}
		}
		t.mu.Unlock()
	}
	return uses
}

// Sent records that a call is being sent to its endpoint.
func (p *Placer) Sent(c *Choice, now time.Duration) {
	c.sentAt = now
	c.withState(func(t *targetState, s *endpointState) {
		s.running++
		s.load.sent(now)
		s.addUnread(*c, 1)
		s.tokens += c.tokens
		if c.sharedBlock == "" {
			return
		}
		if len(t.lastUses) >= maxLastUses {
			for key, use := range t.lastUses {
				if now-use.at > recentUseWindow || len(t.lastUses) >= maxLastUses {
					delete(t.lastUses, key)
				}
			}
		}
		t.lastUses[c.sharedBlock] = promptUse{endpoint: c.Endpoint.ID, at: now}
	})
}

// FirstEvent records that the answer to a call has begun.
func (p *Placer) FirstEvent(c Choice, now time.Duration) {
	c.withState(func(t *targetState, s *endpointState) {
		if *c.prefilled {
			return
		}
		*c.prefilled = true
		t.slowdown.record(now, c.Expected, now-c.sentAt)
		t.speed.record(c.ownTokens, now-c.sentAt)
		s.speed.record(&t.speed, engineSample{at: now, took: now - c.sentAt, own: c.ownTokens, most: c.mostTokens})
		s.addUnread(c, -1)
		s.recordFirstEvent(now, now-c.sentAt)
		s.load.answered()
		if c.returning != nil {
			c.returning.answered(now, c.Endpoint.Slots)
		}
		s.widen(c.sentAt)
	})
	p.recordReachability(now, c.Endpoint, Answered)
}

// Done records the outcome of a call.
func (p *Placer) Done(c Choice, now time.Duration, o Outcome) {
	c.withState(func(t *targetState, s *endpointState) {
		s.running--
		s.load.ended(c.sentAt)
		if c.returning != nil {
			c.returning.ended()
		}
		s.tokens -= c.tokens
		if !*c.prefilled {
			*c.prefilled = true
			s.addUnread(c, -1)
		}
		s.recordOutcome(now, o)
		s.recordRoom(now, c.sentAt, o)
		if o == Answered {
			t.recordRunTime(now - c.sentAt)
		}
	})
	p.recordReachability(now, c.Endpoint, o)
}

// addUnread adds the unread tokens of a call to those of the endpoint, or removes them if sign is -1.
func (s *endpointState) addUnread(c Choice, sign int) {
	s.prefillTokens += sign * c.prefillTokens
	if c.ranked {
		s.unreadByPriority[c.priority] += sign * c.prefillTokens
	}
}

// recordRunTime updates runTime with a call that was answered.
func (t *targetState) recordRunTime(d time.Duration) {
	if t.runTime == 0 {
		t.runTime = d
	}
	t.runTime += time.Duration(responseTimeWeight * float64(d-t.runTime))
}

// withState calls f with the state of a choice's target and endpoint while holding the
// target's lock.
func (c *Choice) withState(f func(t *targetState, s *endpointState)) {
	if c.target == nil {
		return
	}
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	f(c.target, c.state)
}
