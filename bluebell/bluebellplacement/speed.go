package bluebellplacement

import (
	"slices"
	"time"
)

// The speed of engines differs between deployments by more than the objectives leave room for,
// and no declaration tells it. It is estimated from calls that engines without unread tokens
// answered: such a call reads at least the tokens that no other prompt shares, so these divided
// by the time to the first event are a lower bound. A high quantile of the bounds is close to
// the speed, since some of the calls find all their shared blocks cached. Calls that queue are
// left out, so that an overload does not make engines look slow.

const (
	// assumedPrefillRate is the number of prompt tokens that an engine processes per second
	// until the first estimate.
	assumedPrefillRate = 43_000.0
	// minSpeedTokens is the smallest number of own tokens of a call that counts: the rest of
	// the time to the first event is small beside that of reading these.
	minSpeedTokens = 1000
	// maxSpeedSamples bounds the calls that are kept. speedRank is the rank from the top of
	// the one whose bound is the estimate.
	maxSpeedSamples = 32
	speedRank       = 3
	// minSpeedSamples is the number of calls from which the estimate may be below
	// assumedPrefillRate.
	minSpeedSamples = 8
	// maxSpeedLoss is the share of the estimate by which one call can reduce it: seconds in
	// which all answers are late, for example for slow stores, do not make engines slow.
	maxSpeedLoss = 0.02
	// referenceWeight is the weight of the rate in the reference with each call.
	referenceWeight = 0.05
)

// speedEstimate estimates the number of prompt tokens that the engines of a target process
// per second.
type speedEstimate struct {
	bounds []float64 // the latest ones, in a ring
	next   int
	rate   float64
	// reference is the smoothed rate, to which the speeds of single engines relate: a change of the rate
	// by one call must not change all of them.
	reference float64
	// shortest is the shortest time to the first event of any call, shortestTokens the number
	// of its own tokens. What is not needed to read these is for the network and for one step
	// of the engine.
	shortest       time.Duration
	shortestTokens int
	// engines are the deviations of single engines from their estimates.
	engines engineDeviations
}

// tokensPerSecond returns the estimate.
func (s *speedEstimate) tokensPerSecond() float64 {
	if s.rate == 0 {
		return assumedPrefillRate
	}
	return s.rate
}

// record adds a call with a number of own tokens that an engine without unread tokens
// answered.
func (s *speedEstimate) record(ownTokens int, took time.Duration) {
	if took <= 0 {
		return
	}
	if s.shortest == 0 || took < s.shortest {
		s.shortest, s.shortestTokens = took, ownTokens
	}
	if ownTokens < minSpeedTokens {
		return
	}
	bound := float64(ownTokens) / max(took-s.overhead(), took/2).Seconds()
	if len(s.bounds) < maxSpeedSamples {
		s.bounds = append(s.bounds, bound)
	} else {
		s.bounds[s.next] = bound
		s.next = (s.next + 1) % maxSpeedSamples
	}
	sorted := slices.Sorted(slices.Values(s.bounds))
	defer s.updateReference()
	if len(s.bounds) < minSpeedSamples {
		s.rate = max(sorted[len(sorted)-1], assumedPrefillRate)
		return
	}
	s.rate = max(sorted[len(sorted)-speedRank], (1-maxSpeedLoss)*s.rate)
}

// updateReference lets the reference follow the rate.
func (s *speedEstimate) updateReference() {
	if len(s.bounds) < maxSpeedSamples {
		s.reference = s.rate
	}
	s.reference += referenceWeight * (s.rate - s.reference)
}

// referenceRate returns the reference.
func (s *speedEstimate) referenceRate() float64 {
	if s.reference == 0 {
		return assumedPrefillRate
	}
	return s.reference
}

// overhead returns the time to the first event that is not needed to read tokens.
func (s *speedEstimate) overhead() time.Duration {
	return max(s.shortest-s.prefillTime(s.shortestTokens), 0)
}

// prefillTime returns the time in which an engine processes prompt tokens.
func (s *speedEstimate) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.tokensPerSecond() * float64(time.Second))
}
