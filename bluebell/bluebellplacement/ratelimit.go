package bluebellplacement

import (
	"math"
	"slices"
	"time"
)

// An endpoint in need names a limit of calls a second in its answers, for all entries together.
// Entries report what they last heard to each other, so the latest answer to any of them counts. As
// with cold endpoints, a number of entries chosen by rendezvous hashing share the limit.

const (
	// minLimitedRate is the number of calls a second that an endpoint gets at least, over all
	// entries: without answers, nobody would learn that its limit has ended.
	minLimitedRate = 0.5
	// spareCalls is the number of calls by which the senders of a limited endpoint may exceed its
	// limit in a few seconds at any limit, since each may send one at once.
	spareCalls = 3
	// limitPrecision is the number of parts of a call a second to which limits are rounded, as in
	// reports to other entries.
	limitPrecision = 1000
	// limitReportedFor is how long the end of a limit is reported to other entries.
	limitReportedFor = 10 * time.Second
)

// RateLimit is what an endpoint last said about the number of calls that it takes.
type RateLimit struct {
	// Named is set if the endpoint names a limit.
	Named bool
	// PerSecond is the number of calls a second from all entries together.
	PerSecond float64
	// At is when the answer arrived, 0 if there was none.
	At time.Duration
}

// Later returns the later of two observations.
func (l RateLimit) Later(other RateLimit) RateLimit {
	if other.At > l.At {
		return other
	}
	return l
}

// same reports whether two observations say the same.
func (l RateLimit) same(other RateLimit) bool {
	return l.Named == other.Named && l.PerSecond == other.PerSecond
}

// RecordRateLimit records what an answer of a choice's endpoint says about its limit. It reports
// whether that differs from what the endpoint said before to any entry.
func (p *Placer) RecordRateLimit(c Choice, l RateLimit) (changed bool) {
	if !l.Named {
		l.PerSecond = 0
	}
	l.PerSecond = math.Round(l.PerSecond*limitPrecision) / limitPrecision
	c.withState(func(_ *targetState, s *endpointState) {
		changed = !l.same(s.limit)
		s.limitEnded = s.limitEnded || s.limit.Named && !l.Named
		s.setLimit(l, true)
	})
	return changed
}

// learnRateLimit takes over what the endpoint has said to another entry since. A new incarnation
// has named no limit yet.
func (s *endpointState) learnRateLimit(now time.Duration, startUnixMillis int64, others RateLimit) {
	if s.startUnixMillis != startUnixMillis {
		if s.startUnixMillis != 0 {
			s.setLimit(RateLimit{At: now}, false)
		}
		s.startUnixMillis = startUnixMillis
	}
	if others.At > s.limit.At {
		s.setLimit(others, false)
	}
}

// setLimit sets the limit and whether this entry has observed it itself.
func (s *endpointState) setLimit(l RateLimit, observed bool) {
	if l.Named && !s.limit.Named {
		s.limitedSince = l.At
	}
	if !observed || l.Named {
		s.limitEnded = false
	}
	s.limit, s.limitObserved = l, observed
}

// reportedLimit returns what this entry has observed itself: a limit in force, or its recent end.
func (s *endpointState) reportedLimit(now time.Duration) RateLimit {
	if !s.limitObserved || !s.limit.Named && (!s.limitEnded || now-s.limit.At > limitReportedFor) {
		return RateLimit{}
	}
	return s.limit
}

// limitSenders returns the number of entries that send to an endpoint with this limit.
func (p *Placer) limitSenders(l RateLimit) int {
	if l.PerSecond >= float64(len(p.fleet.Entries)) {
		return max(len(p.fleet.Entries), 1)
	}
	return max(min(int(2*l.PerSecond)+spareCalls, len(p.fleet.Entries)), 1)
}

// limitedFrom returns from when on this entry may send the next call to an endpoint, which is in the
// past without a limit, and the time between two calls. It reports false if other entries share the
// limit. The entries take turns from when the limit was named, so that they don't send together.
func (p *Placer) limitedFrom(m *member) (from, interval time.Duration, sends bool) {
	s := m.state
	if !s.limit.Named {
		return 0, 0, true
	}
	senders := p.limitSenders(s.limit)
	rank := p.senderRank(m)
	if rank < 0 || rank >= senders {
		return 0, 0, false
	}
	turn := time.Duration(float64(time.Second) / max(s.limit.PerSecond, minLimitedRate))
	interval = time.Duration(senders) * turn
	if s.pickedAt < s.limitedSince {
		return s.limitedSince + time.Duration(rank+1)*turn, interval, true
	}
	return s.pickedAt + interval, interval, true
}

// senderRank returns the position of this entry in rendezvous order for an endpoint, or -1 while it
// is not in the list of entries.
func (p *Placer) senderRank(m *member) int {
	s := m.state
	if s.senderRankVersion != p.entriesVersion {
		s.senderRankVersion, s.senderRank = p.entriesVersion, p.findSenderRank(m.endpoint.ID)
	}
	return s.senderRank
}

func (p *Placer) findSenderRank(endpoint string) int {
	if !slices.Contains(p.fleet.Entries, p.cfg.Self) {
		return -1
	}
	own := rendezvous(endpoint, p.cfg.Self)
	ahead := 0
	for _, entry := range p.fleet.Entries {
		if rendezvous(endpoint, entry) > own {
			ahead++
		}
	}
	return ahead
}
