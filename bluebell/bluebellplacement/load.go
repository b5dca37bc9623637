package bluebellplacement

import (
	"math"
	"slices"
	"time"

	"bluebellhaven.org/bluebell/bluebellfleet"
)

// Load is the load of a target's engines, as far as this entry knows it.
type Load struct {
	// Engines is the number of engines that serve and are not suspect.
	Engines int
	// Rate is the number of prompt tokens that they read in a second together.
	Rate float64
	// Unread is the number of prompt tokens that they have been sent and are not known to have read.
	Unread int
}

// Load returns the load of a target.
func (p *Placer) Load(now time.Duration, target string) Load {
	p.mu.RLock()
	defer p.mu.RUnlock()
	t := p.targets[target]
	if t == nil {
		return Load{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var l Load
	unreachable := p.unreachableDomains(now)
	for i := range t.members {
		m := &t.members[i]
		if said := p.statementOf(m.endpoint); !m.open || m.endpoint.State == bluebellfleet.Draining || said != nil && said.leaving || m.state.suspect(now) ||
			p.suspectedByEntries(now, m) || slices.Contains(unreachable, m.endpoint.FailureDomain) {
			continue
		}
		l.Engines++
		l.Rate += t.engineRate(&m.state.speed)
		l.Unread += max(m.state.prefillTokens+m.others.PrefillTokens, 0)
	}
	return l
}

// PrefillTokens returns the number of prompt tokens that an engine is expected to read for the call at
// its home.
func (r Request) PrefillTokens() int {
	if r.FetchTime > 0 {
		return r.OwnTokens
	}
	return r.OwnTokens + int(math.Round(homeMissingShare*float64(r.SharedTokens)))
}

// PrefillTime returns the time in which an engine is expected to read the call's prompt at its home.
func (p *Placer) PrefillTime(r Request) time.Duration {
	p.mu.RLock()
	defer p.mu.RUnlock()
	t := p.targets[r.Target]
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.speed.prefillTime(r.PrefillTokens())
}
