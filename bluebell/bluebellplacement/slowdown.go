package bluebellplacement

import "time"

// Answers take longer than expected by a delay that all calls have, and by a factor while engines,
// stores or links are slow. Both change within seconds.

const (
	// slowdownWeight is the weight of the latest answer in the moving averages of the
	// slowdown: an entry receives about ten answers per second.
	slowdownWeight = 0.05
	// maxSlowdown bounds the effect of a single answer, such as one of an endpoint that
	// was frozen, and the factor.
	maxSlowdown = 10.0
	// slowdownHalfLife is the half-life of a slowdown without answers. An entry that counts
	// all engines as late sends no calls that could show that they no longer are.
	slowdownHalfLife = time.Second
	// minSpread is the least variance of the expected times, relative to the square of their
	// mean, from which delay and factor can be told apart.
	minSpread = 0.01
)

// slowdown relates the actual to the expected times to the first event: a delay that all calls
// have, such as that of the network, and a factor. Both are from the regression line through
// the recent calls, with exponentially decreasing weights. Without the delay, the many small
// prompts, whose time is mostly delay, would make large prompts look several times slower than
// they are.
type slowdown struct {
	calls int
	// Moving averages of the expected and actual times in seconds, of the square of the
	// expected ones, and of the product.
	expected, took, square, product float64
	recordedAt                      time.Duration
}

// record updates the moving averages with the times of a call.
func (s *slowdown) record(now, expected, took time.Duration) {
	if expected <= 0 {
		return
	}
	e := expected.Seconds()
	t := min(took.Seconds(), maxSlowdown*max(e, s.expected))
	s.calls++
	// After a pause a call weighs more: an entry that sends few calls would otherwise keep a
	// slowdown that has ended.
	weight := max(slowdownWeight, 1/float64(s.calls), 1-decay(now-s.recordedAt, slowdownHalfLife))
	s.recordedAt = now
	s.expected += weight * (e - s.expected)
	s.took += weight * (t - s.took)
	s.square += weight * (e*e - s.square)
	s.product += weight * (e*t - s.product)
}

// predict returns the time to the first event for an expected time, at least that.
func (s *slowdown) predict(now, expected time.Duration) time.Duration {
	if s.expected == 0 {
		return expected
	}
	factor, delay := s.took/s.expected, 0.0
	if variance := s.square - s.expected*s.expected; variance > minSpread*s.expected*s.expected {
		factor = min(max((s.product-s.expected*s.took)/variance, 0), maxSlowdown)
		delay = max(s.took-factor*s.expected, 0)
	}
	still := decay(now-s.recordedAt, slowdownHalfLife)
	took := delay*still + (1+(factor-1)*still)*expected.Seconds()
	return max(expected, time.Duration(took*float64(time.Second)))
}
