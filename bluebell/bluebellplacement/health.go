package bluebellplacement

import (
	"time"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebelllink"
)

// An entry detects a failed endpoint or failure domain once for all its calls. It also
// reports failures of endpoints to the other entries, through the core processes, so that
// they need not detect them themselves.

const (
	// failureReportedFor is how long a failure is reported to other entries. A restarted
	// endpoint is back within about this time.
	failureReportedFor = 2 * time.Second
	// answerReportedFor is how long an answer is reported to other entries.
	answerReportedFor = time.Second
	// suspectEntries is the number of other entries with a failure and no answer since
	// that makes an endpoint suspect. A single entry may have lost its own connection to
	// the endpoint.
	suspectEntries = 2
	// unansweredFor is how long all entries must be without an answer before their
	// failures count. A report of an answer takes two polls.
	unansweredFor = 600 * time.Millisecond
	// probeInterval is the time between two probes of a suspect endpoint by all entries
	// together. Each probe costs its call about half of its objective.
	probeInterval = 400 * time.Millisecond
	// unreachableEndpoints is the number of endpoints of a failure domain that have to
	// fail, with no answer from the domain since, for the domain to count as unreachable.
	unreachableEndpoints = 3
	// domainProbeInterval is the time between two probes of an unreachable failure domain.
	domainProbeInterval = 500 * time.Millisecond
)

// use returns the use of the endpoint that is reported to other entries.
func (s *endpointState) use(now time.Duration, speed *speedEstimate) EndpointUse {
	u := EndpointUse{
		Calls: s.running, Tokens: s.tokens, PrefillTokens: s.prefillTokens, UnreadByPriority: s.unreadByPriority, Limit: s.limit.reported(now), Brittle: s.brittle.reported(now),
		Report: s.load.reported(now),
	}
	if s.failedAt > s.answeredAt && now-s.failedAt < failureReportedFor {
		u.Failing = 1
	}
	if s.answeredAt > 0 && now-s.answeredAt < answerReportedFor {
		u.AnsweredAt = s.answeredAt
	}
	if u.Calls > 0 || u.AnsweredAt > 0 {
		// Others keep what they have learned, so that reports need not contain all engines.
		u.Speed = s.speed.reported(speed, now)
	}
	return u
}

// suspectedByEntries reports whether an endpoint is suspect by data from other entries or
// the registrations: its registrations have stopped or other entries have met failures,
// and no entry has had a recent answer.
func (p *Placer) suspectedByEntries(now time.Duration, m *member) bool {
	e, s, others := m.endpoint, m.state, &m.others
	answeredAt := max(s.answeredAt, others.AnsweredAt)
	stale := m.silentSince != 0 && p.fleet.RegistrationsLive && p.cfg.StaleAfter > 0 && now-m.silentSince > p.cfg.StaleAfter &&
		(answeredAt == 0 || now-answeredAt > p.cfg.StaleAfter)
	failing := others.Failing >= suspectEntries && (answeredAt == 0 || now-answeredAt > unansweredFor)
	suspected := stale || failing
	if suspected == (s.suspectedSince > 0) {
		return suspected
	}
	change := HealthChange{
		Endpoint: e.ID, FailureDomain: e.FailureDomain, Suspected: suspected, Failing: others.Failing, RegistrationAge: p.registrationAge(now, m),
	}
	if answeredAt > 0 {
		change.LastAnswerAge = now - answeredAt
	}
	p.healthChanged(change)
	s.suspectedSince = 0
	if suspected {
		s.suspectedSince = max(now, 1)
		s.probeAfter = now + time.Duration(unitFraction(rendezvous(e.ID, p.cfg.Self))*float64(p.ownProbeInterval()))
	}
	return suspected
}

// links returns the state of the links to a target.
func (p *Placer) links(target string) bluebelllink.State {
	if p.cfg.Links == nil {
		return bluebelllink.Linked
	}
	return p.cfg.Links(target)
}

// OpenEndpoints returns the endpoints of each target that are open to calls, in the order of Fleet.
func (p *Placer) OpenEndpoints() map[string][]bluebelllink.Endpoint {
	p.mu.RLock()
	defer p.mu.RUnlock()
	open := make(map[string][]bluebelllink.Endpoint, len(p.targets))
	for name, t := range p.targets {
		for i := range t.members {
			if m := &t.members[i]; m.open {
				open[name] = append(open[name], bluebelllink.Endpoint{
					ID: m.endpoint.ID, Address: m.endpoint.Address, FailureDomain: m.endpoint.FailureDomain, StartUnixMillis: m.endpoint.StartUnixMillis,
				})
			}
		}
	}
	return open
}

// ForgetFailures forgets all failures of the endpoints of a target, which were failures of this
// entry's links.
func (p *Placer) ForgetFailures(target string) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	t := p.targets[target]
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p.domainMu.Lock()
	defer p.domainMu.Unlock()
	for id, s := range t.states {
		s.forgetFailures()
		for _, d := range p.domains {
			delete(d.failed, id)
		}
	}
}

// healthChanged calls Config.HealthChanged if it is set.
func (p *Placer) healthChanged(change HealthChange) {
	if p.cfg.HealthChanged != nil {
		p.cfg.HealthChanged(change)
	}
}

// AnsweredSince reports whether any entry is known to have received an answer from a
// choice's endpoint after the given time.
func (p *Placer) AnsweredSince(c Choice, at time.Duration) bool {
	p.mu.RLock()
	answeredAt := p.fleet.UseByOthers[c.Endpoint.ID].AnsweredAt
	p.mu.RUnlock()
	c.withState(func(_ *targetState, s *endpointState) { answeredAt = max(answeredAt, s.answeredAt) })
	return answeredAt > at
}

// ownProbeInterval returns the time between two probes of a suspect endpoint by this
// entry.
func (p *Placer) ownProbeInterval() time.Duration {
	return time.Duration(max(len(p.fleet.Entries), 1)) * probeInterval
}

// unitFraction maps a hash to [0, 1).
func unitFraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// allowCandidate reports whether a candidate may get the call, and reserves the probe if
// the candidate or its failure domain needs one. A suspect endpoint and an unreachable
// failure domain get one probe at a time. If all candidates are suspect, each is probed
// independently of its domain and of other entries.
func (p *Placer) allowCandidate(now time.Duration, c *candidate, allSuspect bool) bool {
	switch {
	case allSuspect:
		return c.state.allowProbe(now)
	case !c.suspect:
		return p.allowDomain(now, c.endpoint.FailureDomain)
	case !c.suspectedByEntries:
		return c.state.mayProbe(now) && p.allowDomain(now, c.endpoint.FailureDomain) && c.state.allowProbe(now)
	}
	if now < c.state.probeAfter || !p.allowDomain(now, c.endpoint.FailureDomain) {
		return false
	}
	c.state.probeAfter = now + p.ownProbeInterval()
	return true
}

// domainState is the reachability of a failure domain from this entry.
type domainState struct {
	// failed holds the IDs of the endpoints that failed since the last answer from the
	// domain.
	failed map[string]bool
	// The times of the last probe and of the last failure.
	probedAt time.Duration
	failedAt time.Duration
}

// unreachable reports whether the domain counts as unreachable.
func (d *domainState) unreachable() bool { return len(d.failed) >= unreachableEndpoints }

// recordReachability updates the state of an endpoint's failure domain with the outcome of
// a call.
func (p *Placer) recordReachability(now time.Duration, e bluebellfleet.Endpoint, o Outcome) {
	p.domainMu.Lock()
	defer p.domainMu.Unlock()
	d := p.domains[e.FailureDomain]
	if d == nil {
		d = &domainState{failed: map[string]bool{}}
		p.domains[e.FailureDomain] = d
	}
	before := d.unreachable()
	switch o {
	case TimedOut, ConnectionFailed:
		d.failed[e.ID], d.failedAt = true, now
	case Abandoned, InvalidAnswer, Malformed:
	default:
		clear(d.failed)
	}
	if d.unreachable() != before {
		p.healthChanged(HealthChange{FailureDomain: e.FailureDomain, Suspected: d.unreachable(), Failing: len(d.failed)})
	}
}

// unreachableDomains returns the failure domains that are unreachable and not due for a
// probe.
func (p *Placer) unreachableDomains(now time.Duration) []string {
	p.domainMu.Lock()
	defer p.domainMu.Unlock()
	var domains []string
	for domain, d := range p.domains {
		if d.unreachable() && (now-d.failedAt < domainProbeInterval || now-d.probedAt < domainProbeInterval) {
			domains = append(domains, domain)
		}
	}
	return domains
}

// allowDomain reports whether a call may be sent to a failure domain. If the domain is
// unreachable, the call is its probe, and is allowed once per domainProbeInterval.
func (p *Placer) allowDomain(now time.Duration, domain string) bool {
	p.domainMu.Lock()
	defer p.domainMu.Unlock()
	d := p.domains[domain]
	if d == nil || !d.unreachable() {
		return true
	}
	if now-d.failedAt < domainProbeInterval || now-d.probedAt < domainProbeInterval {
		return false
	}
	d.probedAt = now
	return true
}
