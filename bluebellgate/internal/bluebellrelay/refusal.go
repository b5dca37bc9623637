package bluebellrelay

import "time"

const (
	// minRetryAfter is the shortest retry time given to a refused caller, unless its
	// deadline is near. Endpoints whose connections failed are tried again after
	// about this time.
	minRetryAfter = 400 * time.Millisecond
	// retryAfterSpread is the range of the random part of the retry time. It keeps
	// callers that were refused together from retrying together.
	retryAfterSpread = 400 * time.Millisecond
	// maxRetryAfterShare limits the retry time to a share of the caller's remaining time.
	// Callers give up rather than wait longer.
	maxRetryAfterShare = 1.0 / 3
)

// retryAfter returns the time after which a refused caller may retry. random is in [0, 1).
func retryAfter(timeLeft time.Duration, random float64) time.Duration {
	after := minRetryAfter + time.Duration(random*float64(retryAfterSpread))
	return min(after, time.Duration(maxRetryAfterShare*float64(timeLeft)))
}
