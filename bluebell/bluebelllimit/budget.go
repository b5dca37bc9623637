package bluebelllimit

import "time"

const (
	// retryFloor is the number of retries that are allowed at low traffic.
	retryFloor = 3.0
	// maxRetryTokens limits the retries that first attempts can accumulate.
	maxRetryTokens = 50.0
	// floorRefillTime is the time in which an empty budget refills to retryFloor.
	floorRefillTime = 10 * time.Second
)

// RetryBudget is a token bucket that limits retries to a percentage of the first
// attempts, so that retries cannot multiply the load during a failure. It is not
// safe for concurrent use.
type RetryBudget struct {
	// Percent is the percentage of first attempts that may be retried.
	Percent float64

	// tokens is the number of retries that are allowed now.
	tokens      float64
	last        time.Duration
	initialized bool
}

// RecordAttempt counts a first attempt, which adds Percent/100 of a token.
func (b *RetryBudget) RecordAttempt(now time.Duration) {
	b.refill(now)
	b.tokens = min(b.tokens+b.Percent/100, maxRetryTokens)
}

// AllowRetry reports whether the budget allows a retry, and uses up one token if so.
func (b *RetryBudget) AllowRetry(now time.Duration) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens for the time since the last call, up to retryFloor.
func (b *RetryBudget) refill(now time.Duration) {
	if !b.initialized {
		b.initialized, b.last, b.tokens = true, now, retryFloor
		return
	}
	refilled := retryFloor * float64(now-b.last) / float64(floorRefillTime)
	b.last = now
	if b.tokens < retryFloor {
		b.tokens = min(b.tokens+refilled, retryFloor)
	}
}
