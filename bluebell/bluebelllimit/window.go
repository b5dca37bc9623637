package bluebelllimit

import "time"

// windowBuckets is the number of buckets that a window is divided into.
const windowBuckets = 10

// WindowBudget limits the retries of calls in any sliding window of time to a ratio of
// the calls in that window plus a constant slack. Several entries (processes that take
// calls) together keep the limit of the whole deployment without exchanging messages:
// each applies the ratio to its own calls and uses an equal part of the slack. It is
// not safe for concurrent use.
type WindowBudget struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of retries allowed per call.
	Ratio float64
	// Slack is the number of retries allowed in addition, for all entries together.
	Slack float64
	// Reserve is the fraction of the limit that stays unused, because the windows of
	// the entries do not start at the same time.
	Reserve float64

	// calls and retries are ring buffers indexed by bucket number. The extra bucket
	// is the one that the window covers only in part.
	calls, retries [windowBuckets + 1]int
	// bucket is the number of the newest bucket, counted from time 0.
	bucket int64
}

// RecordCall counts the first attempt of a call.
func (b *WindowBudget) RecordCall(now time.Duration) {
	b.calls[b.advance(now)]++
}

// AllowRetry reports whether a call may be retried now, and counts the retry if so.
// Entries is the number of entries that share the slack.
func (b *WindowBudget) AllowRetry(now time.Duration, entries int) bool {
	if !b.HasRetry(now, entries) {
		return false
	}
	b.retries[b.advance(now)]++
	return true
}

// HasRetry reports whether AllowRetry would allow a retry, and counts none.
func (b *WindowBudget) HasRetry(now time.Duration, entries int) bool {
	current := b.advance(now)
	calls, retries := 0, 0
	for i := range b.calls {
		calls += b.calls[i]
		retries += b.retries[i]
	}
	// The oldest bucket is only partly inside the window. Its retries count and its
	// calls do not, so that the limit holds for every position of the window.
	calls -= b.calls[(current+1)%len(b.calls)]
	limit := b.Ratio*float64(calls) + b.Slack/float64(max(entries, 1))
	return float64(retries+1) <= limit*(1-b.Reserve)
}

// advance clears the buckets that have expired since the last call and returns the
// index of the current one.
func (b *WindowBudget) advance(now time.Duration) int {
	bucket := int64(now / (b.Window / windowBuckets))
	n := int64(len(b.calls))
	for number := max(b.bucket+1, bucket-n+1); number <= bucket; number++ {
		b.calls[number%n], b.retries[number%n] = 0, 0
	}
	b.bucket = max(b.bucket, bucket)
	return int(b.bucket % n)
}
