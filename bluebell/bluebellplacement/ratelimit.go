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

// sharedLimit is a limit that an endpoint names, as all entries know it.
type sharedLimit struct {
	// latest is the latest that any entry has heard from the endpoint. observed is set if this entry
	// has heard it itself, and ended if it ended a limit that this entry knew.
	latest          RateLimit
	observed, ended bool
	// since is when the limit in force was first named, and namedAt when it was last. An answer that
	// names none does not end the limit within linger after that.
	since, namedAt, linger time.Duration
}

// record records what this entry has heard. It reports whether that differs from what the endpoint said
// before to any entry.
func (s *sharedLimit) record(l RateLimit) (changed bool) {
	if !l.Named {
		l.PerSecond = 0
	}
	l.PerSecond = math.Round(l.PerSecond*limitPrecision) / limitPrecision
	if s.lingers(l) {
		return false
	}
	changed = !l.same(s.latest)
	s.ended = s.ended || s.latest.Named && !l.Named
	s.set(l, true)
	return changed
}

// learn takes over what the endpoint has said to another entry since.
func (s *sharedLimit) learn(others RateLimit) {
	if others.At > s.latest.At && !s.lingers(others) {
		s.set(others, false)
	}
}

// lingers reports whether an answer without a limit comes too soon to end the limit in force.
func (s *sharedLimit) lingers(l RateLimit) bool {
	return !l.Named && s.latest.Named && l.At-s.namedAt < s.linger
}

// set sets the limit and whether this entry has observed it itself.
func (s *sharedLimit) set(l RateLimit, observed bool) {
	if l.Named && !s.latest.Named {
		s.since = l.At
	}
	if l.Named {
		s.namedAt = l.At
	}
	if !observed || l.Named {
		s.ended = false
	}
	s.latest, s.observed = l, observed
}

// reported returns what this entry has observed itself: a limit in force, or its recent end.
func (s *sharedLimit) reported(now time.Duration) RateLimit {
	if !s.observed || !s.latest.Named && (!s.ended || now-s.latest.At > limitReportedFor) {
		return RateLimit{}
	}
	return s.latest
}

// RecordRateLimit records what an answer of a choice's endpoint says about its limit. It reports
// whether that differs from what the endpoint said before to any entry.
func (p *Placer) RecordRateLimit(c Choice, l RateLimit) (changed bool) {
	c.withState(func(_ *targetState, s *endpointState) { changed = s.limit.record(l) })
	return changed
}

// learnLimits takes over what the endpoint has said to other entries since. A new incarnation has
// named no limits yet.
func (s *endpointState) learnLimits(now time.Duration, startUnixMillis int64, others EndpointUse) {
	if s.startUnixMillis != startUnixMillis {
		if s.startUnixMillis != 0 {
			s.limit = sharedLimit{latest: RateLimit{At: now}}
			s.load = reportedLoad{since: now}
			s.speed = engineSpeed{}
			s.brittle, s.window, s.givenUp = sharedLimit{latest: RateLimit{At: now}, linger: brittleLinger}, 0, nil
		}
		s.startUnixMillis = startUnixMillis
	}
	s.limit.learn(others.Limit)
	s.brittle.learn(others.Brittle)
	s.othersCalls = others.Calls
	s.load.learn(others.Report, s.running+others.Calls)
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
	limit := s.limit.latest
	if !limit.Named {
		return 0, 0, true
	}
	senders := p.limitSenders(limit)
	rank := p.senderRank(m)
	if rank < 0 || rank >= senders {
		return 0, 0, false
	}
	turn := time.Duration(float64(time.Second) / max(limit.PerSecond, minLimitedRate))
	interval = time.Duration(senders) * turn
	if s.pickedAt < s.limit.since {
		return s.limit.since + time.Duration(rank+1)*turn, interval, true
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
