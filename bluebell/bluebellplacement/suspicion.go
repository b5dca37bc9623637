package bluebellplacement

import (
	"time"

	"bluebellhaven.org/bluebell/bluebellfleet"
)

// What one entry finds out about an endpoint or a failure domain is found out once: for
// the other calls of that entry, and through the core processes for the other entries.

const (
	// failingFor is how long a failure is told to other entries: an endpoint that was
	// started again is back within about as long.
	failingFor = 2 * time.Second
	// answeredFor is how long an answer is told to them.
	answeredFor = time.Second
	// doubtCount entries with a failure and no answer since make an endpoint doubtful. One
	// alone may have lost its own way there.
	doubtCount = 2
	// quietFor is how long nobody may have had an answer: news of one takes two polls.
	quietFor = 600 * time.Millisecond
	// trialEvery is how often a doubtful endpoint is tried by all entries together; each
	// trial costs its call about half of its objective.
	trialEvery = 400 * time.Millisecond
	// reachCount endpoints of a failure domain that fail with no answer from there since
	// mean that the domain is out of reach.
	reachCount = 3
	// reachPause is the time between two trials of it.
	reachPause = 500 * time.Millisecond
)

// use returns what is told to other entries.
func (b *belief) use(now time.Duration) Use {
	u := Use{Calls: b.running, Tokens: b.tokens, Unread: b.reading}
	if b.failedAt > b.answeredAt && now-b.failedAt < failingFor {
		u.Failing = 1
	}
	if b.answeredAt > 0 && now-b.answeredAt < answeredFor {
		u.AnsweredAt = b.answeredAt
	}
	return u
}

// doubtful tells whether an endpoint is suspect by what others know of it: its
// registrations have stopped or other entries have met failures, and nobody had an answer.
func (p *Placer) doubtful(now time.Duration, e bluebellfleet.Endpoint, b *belief) bool {
	others := p.fleet.Others[e.ID]
	answeredAt := max(b.answeredAt, others.AnsweredAt)
	silent := p.fleet.Current && p.cfg.SilentAfter > 0 && now-e.ReceivedAt > p.cfg.SilentAfter &&
		(answeredAt == 0 || now-answeredAt > p.cfg.SilentAfter)
	failing := others.Failing >= doubtCount && (answeredAt == 0 || now-answeredAt > quietFor)
	change := Belief{Endpoint: e.ID, FailureDomain: e.FailureDomain, Failing: others.Failing, HeardAgo: now - e.ReceivedAt}
	if answeredAt > 0 {
		change.AnsweredAgo = now - answeredAt
	}
	if !silent && !failing {
		if b.doubtedSince > 0 {
			b.doubtedSince = 0
			p.believed(change)
		}
		return false
	}
	if b.doubtedSince == 0 {
		change.Doubtful = true
		p.believed(change)
		b.doubtedSince = now
		b.triedAfter = now + time.Duration(part(rendezvous(e.ID, p.cfg.Self))*float64(p.trialPause()))
	}
	return true
}

func (p *Placer) believed(b Belief) {
	if p.cfg.Believed != nil {
		p.cfg.Believed(b)
	}
}

// AnsweredSince tells whether any entry is known to have had an answer from a choice's
// endpoint after a time.
func (p *Placer) AnsweredSince(c Choice, at time.Duration) bool {
	p.mu.RLock()
	answeredAt := p.fleet.Others[c.Endpoint.ID].AnsweredAt
	p.mu.RUnlock()
	p.with(&c, func(_ *group, b *belief) { answeredAt = max(answeredAt, b.answeredAt) })
	return answeredAt > at
}

// trialPause is the time between two trials of a doubtful endpoint by one entry.
func (p *Placer) trialPause() time.Duration {
	return time.Duration(max(len(p.fleet.Entries), 1)) * trialEvery
}

// part maps a hash to [0, 1).
func part(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// mayTry lets one call at a time through to a suspect endpoint, and to a failure domain
// that is out of reach. Where all are suspect, each is tried on its own account.
func (p *Placer) mayTry(now time.Duration, c *candidate, all bool) bool {
	switch {
	case all:
		return c.belief.mayTry(now)
	case !c.suspect:
		return p.mayReach(now, c.endpoint.FailureDomain)
	case !c.doubtful:
		return c.belief.mayTry(now) && p.mayReach(now, c.endpoint.FailureDomain)
	}
	if now < c.belief.triedAfter || !p.mayReach(now, c.endpoint.FailureDomain) {
		return false
	}
	c.belief.triedAfter = now + p.trialPause()
	return true
}

// reach is what this entry knows of the way to a failure domain.
type reach struct {
	// failed endpoints since the last answer from there.
	failed   map[string]bool
	triedAt  time.Duration
	failedAt time.Duration
}

func (r *reach) out() bool { return len(r.failed) >= reachCount }

// noteReach takes in how a call ended.
func (p *Placer) noteReach(now time.Duration, e bluebellfleet.Endpoint, o Outcome) {
	p.reachMu.Lock()
	defer p.reachMu.Unlock()
	r := p.domains[e.FailureDomain]
	if r == nil {
		r = &reach{failed: map[string]bool{}}
		p.domains[e.FailureDomain] = r
	}
	before := r.out()
	switch o {
	case Silent, BrokenOff:
		r.failed[e.ID], r.failedAt = true, now
	case Abandoned, Spoiled:
	default:
		clear(r.failed)
	}
	if r.out() != before {
		p.believed(Belief{FailureDomain: e.FailureDomain, Doubtful: r.out(), Failing: len(r.failed)})
	}
}

// outOfReach tells whether a failure domain is left alone, but for a trial now and then.
func (p *Placer) outOfReach(now time.Duration, domain string) bool {
	p.reachMu.Lock()
	defer p.reachMu.Unlock()
	r := p.domains[domain]
	return r != nil && r.out() && (now-r.failedAt < reachPause || now-r.triedAt < reachPause)
}

// mayReach counts a call to a failure domain that is out of reach as its trial, and tells
// whether it may be one.
func (p *Placer) mayReach(now time.Duration, domain string) bool {
	p.reachMu.Lock()
	defer p.reachMu.Unlock()
	r := p.domains[domain]
	if r == nil || !r.out() {
		return true
	}
	if now-r.failedAt < reachPause || now-r.triedAt < reachPause {
		return false
	}
	r.triedAt = now
	return true
}
