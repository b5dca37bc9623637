package bluebellusage

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// statementRetention is how long what a source stated of the time counts.
	statementRetention = 5 * time.Second
	// maxStatementDelay is the longest time between a request and its reply whose statement is used. A process
	// that was suspended reads replies late, and their time is then wrong by up to the suspension.
	maxStatementDelay = 1200 * time.Millisecond
)

// Clock is the time of day as the median of a process's own clock and of what other processes state, followed on a
// monotonic clock. A clock that jumps changes it only if it is the median. It is safe for concurrent use.
type Clock struct {
	mu         sync.Mutex
	statements map[string]statement
	// offset is the latest time of day at the time 0 of the monotonic clock, in Unix nanoseconds.
	offset int64
	known  bool
	// ownAhead is how far the process's own clock was ahead at that time.
	ownAhead time.Duration
}

// statement is what a source has stated, as an offset, and when.
type statement struct {
	offset int64
	at     time.Duration
}

// NewClock returns a Clock without statements.
func NewClock() *Clock { return &Clock{statements: map[string]statement{}} }

// Observe records the time of day that a source stated in a reply, in Unix nanoseconds. Sources that state none, as
// 0, are ignored. The times of the request and of the reply are those of the monotonic clock.
func (c *Clock) Observe(source string, unixNanos int64, requestedAt, repliedAt time.Duration) {
	if unixNanos == 0 || repliedAt-requestedAt > maxStatementDelay {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statements[source] = statement{offset: unixNanos - int64(repliedAt), at: repliedAt}
}

// Now returns the time of day. now is the time of the monotonic clock, and own that of the process's own clock of
// the time of day.
func (c *Clock) Now(now time.Duration, own time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	ownOffset := own.UnixNano() - int64(now)
	offsets := []int64{ownOffset}
	for source, s := range c.statements {
		if now-s.at > statementRetention {
			delete(c.statements, source)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	slices.SortFunc(offsets, cmp.Compare[int64])
	c.offset = c.median(offsets)
	c.known = true
	c.ownAhead = time.Duration(ownOffset - c.offset)
	return time.Unix(0, c.offset+int64(now))
}

// OwnAhead returns how far the process's own clock was ahead of the latest result of Now; it is negative if the clock
// was behind.
func (c *Clock) OwnAhead() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownAhead
}

// median returns the median of sorted offsets. Of the two in the middle of an even number it returns the one nearer
// to the previous time of day, so that a jump of one of two clocks is not followed. c.mu must be held.
func (c *Clock) median(offsets []int64) int64 {
	low, high := offsets[(len(offsets)-1)/2], offsets[len(offsets)/2]
	if !c.known || c.offset-low <= high-c.offset {
		return low
	}
	return high
}
