package bluebellplacement

import (
	"time"
)

// What this entry has in flight bounds its next choices and is told to other entries.

// isFull tells whether a call would take memory that cached blocks should have. An
// idle engine takes any call.
func (p *Placer) isFull(c *candidate, r Request) bool {
	room := p.fleet.TokenCapacity[c.endpoint.Target]
	used := c.belief.tokens + p.fleet.UseByOthers[c.endpoint.ID].Tokens
	share := fillShare
	if c.home || c.second {
		share = homeFillShare
	}
	return room > 0 && used > 0 && float64(used+r.Tokens()) > share*float64(room)
}

// Uses returns what this entry has in flight and has lately met, by endpoint.
func (p *Placer) Uses(now time.Duration) map[string]EndpointUse {
	p.mu.RLock()
	defer p.mu.RUnlock()
	uses := map[string]EndpointUse{}
	for _, g := range p.groups {
		g.mu.Lock()
		for id, b := range g.beliefs {
			if u := b.use(now); u != (EndpointUse{}) {
				uses[id] = u
			}
		}
		g.mu.Unlock()
	}
	return uses
}

// Sent notes that a call goes to its endpoint.
func (p *Placer) Sent(c *Choice, now time.Duration) {
	c.sentAt = now
	p.with(c, func(g *group, b *belief) {
		b.running++
		b.reading += c.missing
		b.tokens += c.tokens
		if c.shared == "" {
			return
		}
		if len(g.seen) >= maxSeen {
			for key, s := range g.seen {
				if now-s.at > seenFor || len(g.seen) >= maxSeen {
					delete(g.seen, key)
				}
			}
		}
		g.seen[c.shared] = sighting{endpoint: c.Endpoint.ID, at: now}
	})
}

// FirstEvent notes that the answer has begun.
func (p *Placer) FirstEvent(c Choice, now time.Duration) {
	p.with(&c, func(g *group, b *belief) {
		if *c.read {
			return
		}
		*c.read = true
		g.noteSlowdown(c.Expected, now-c.sentAt)
		b.reading -= c.missing
		b.noteWait(now, now-c.sentAt)
	})
	p.noteReach(now, c.Endpoint, Answered)
}

// Done notes how a call ended.
func (p *Placer) Done(c Choice, now time.Duration, o Outcome) {
	p.with(&c, func(_ *group, b *belief) {
		b.running--
		b.tokens -= c.tokens
		if !*c.read {
			*c.read = true
			b.reading -= c.missing
		}
		b.note(now, o)
	})
	p.noteReach(now, c.Endpoint, o)
}

func (p *Placer) with(c *Choice, f func(g *group, b *belief)) {
	p.mu.RLock()
	g := p.groups[c.Endpoint.Target]
	p.mu.RUnlock()
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g, g.belief(c.Endpoint.ID))
}
