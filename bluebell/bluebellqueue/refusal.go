package bluebellqueue

import "time"

// Limit is the share of this entry in the limits of a target's endpoints that take no further call
// for now, because they name a limit of calls a second or want none for a time.
type Limit struct {
	// From is when the entry may send the next call, and Interval the mean time between further
	// ones. Interval is 0 if it may send none.
	From, Interval time.Duration
}

// Allows reports whether a call with a number of calls ahead of it is sent by a time. A call for
// which that is not so is refused at once.
func (l Limit) Allows(ahead int, by time.Duration) bool {
	return l.Interval > 0 && l.From+time.Duration(ahead)*l.Interval <= by
}

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

// RetryAfter returns the time after which a refused caller may retry. random is in [0, 1).
//
// A caller that can still get its answer within the objective, of which inTime is left, is told
// to return soon. One that cannot is told to return at any time that it accepts: when callers
// return together after an overload, those who are refused a second time give up.
func RetryAfter(timeLeft, inTime time.Duration, random float64) time.Duration {
	latest := time.Duration(maxRetryAfterShare * float64(timeLeft))
	spread := retryAfterSpread
	if inTime < minRetryAfter+retryAfterSpread {
		spread = max(latest-minRetryAfter, spread)
	}
	return min(minRetryAfter+time.Duration(random*float64(spread)), latest)
}

// RetryAt returns when a caller may retry whose call was refused because no endpoint takes one until a
// time. random is in [0, 1). Callers that are refused until the same time return at different ones.
func RetryAt(allowedAt time.Duration, random float64) time.Duration {
	return allowedAt + time.Duration(random*float64(retryAfterSpread))
}
