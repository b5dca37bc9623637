package bluebellplacement

import (
	"time"
)

// assumedColdFor is how long an endpoint counts as cold after a failed connection if it
// has not registered since: twice the time of a heartbeat and its propagation to this
// entry.
const assumedColdFor = 3 * time.Second

// warmNoticeTime is how long after the end of its cold time an endpoint still counts as cold if no registration
// says otherwise: a heartbeat and its propagation. It may have become cold again.
const warmNoticeTime = 1500 * time.Millisecond

// isCold reports whether an endpoint is cold: it was started recently, or may have been,
// and can handle only a few calls per second.
func (p *Placer) isCold(now time.Duration, m *member) bool {
	e, s := m.endpoint, m.state
	coldUntil := e.ColdUntil
	if coldUntil > 0 {
		coldUntil += warmNoticeTime
	}
	if now >= coldUntil && s.disconnectedAt == 0 || p.fleet.ColdRates[e.Target] <= 0 {
		return false
	}
	return now < coldUntil || s.disconnectedAt > 0 && e.ReceivedAt <= s.disconnectedAt && now-s.disconnectedAt < assumedColdFor
}

// coldRate returns the number of calls per second that this entry may send to a cold
// endpoint if it is among the senders. It is 0 for targets without a limit.
func (p *Placer) coldRate(target string) float64 {
	rate := p.fleet.ColdRates[target]
	if rate <= 0 {
		return 0
	}
	return rate / float64(p.coldSenders(rate))
}

// coldSenders returns the number of entries that send to one cold endpoint. They share the
// rate equally, but each may send one call at once, so up to coldSenders calls more than
// the rate are sent in any second. The number is therefore bounded by what ColdFactor and
// ColdSlack allow beyond the rate.
func (p *Placer) coldSenders(rate float64) int {
	spare := rate*(p.cfg.ColdFactor-1) + p.cfg.ColdSlack
	return max(min(int(spare), len(p.fleet.Entries)), 1)
}

// maySendCold reports whether this entry is among the entries that send to a cold endpoint.
func (p *Placer) maySendCold(m *member) bool {
	rank := p.senderRank(m)
	return rank >= 0 && rank < p.coldSenders(p.fleet.ColdRates[m.endpoint.Target])
}

// hasColdAllowance reports whether a cold endpoint may get another call at the given rate.
func (s *endpointState) hasColdAllowance(now time.Duration, rate float64) bool {
	return s.coldSentAt == 0 || float64(now-s.coldSentAt)/float64(time.Second)*rate >= 1
}
