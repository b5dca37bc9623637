package bluebellplace

import (
	"time"

	"bluebellhaven.org/bluebell/bluebellfleet"
)

// What this entry has in flight bounds its next choices and is told to other entries.

// isFull tells whether a call would take memory that cached blocks should have. An
// idle engine takes any call.
func (p *Placer) isFull(e bluebellfleet.Endpoint, b *belief, r Request) bool {
	room := p.fleet.Rooms[e.Target]
	used := b.tokens + p.fleet.Others[e.ID].Tokens
	return room > 0 && used > 0 && float64(used+r.Tokens()) > fillShare*float64(room)
}

// Uses returns what this entry has in flight, by endpoint.
func (p *Placer) Uses() map[string]Use {
	p.mu.RLock()
	defer p.mu.RUnlock()
	uses := map[string]Use{}
	for _, g := range p.groups {
		g.mu.Lock()
		for id, b := range g.beliefs {
			if b.running > 0 {
				uses[id] = Use{Calls: b.running, Tokens: b.tokens, Unread: b.reading}
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
	p.with(&c, func(_ *group, b *belief) {
		if *c.read {
			return
		}
		*c.read = true
		b.reading -= c.missing
		b.noteWait(now, now-c.sentAt)
	})
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
