package bluebellplacement

import "time"

// RateLimit is what an endpoint last said about the number of calls that it takes.
type RateLimit struct {
	// Named is set if the endpoint names a limit.
	Named bool
	// PerSecond is the number of calls a second from all entries together.
	PerSecond float64
	// At is when the answer arrived, 0 if there was none.
	At time.Duration
}

// RecordRateLimit records what an answer of a choice's endpoint says about its limit. It reports
// whether that differs from what the endpoint said before.
func (p *Placer) RecordRateLimit(c Choice, l RateLimit) (changed bool) {
	c.withState(func(_ *targetState, s *endpointState) {
		changed = l.Named != s.limit.Named || l.PerSecond != s.limit.PerSecond
		s.limit = l
	})
	return changed
}
