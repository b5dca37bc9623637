package bluebellusage

import (
	"maps"
	"slices"
	"sync"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// KeptWindows is the number of windows that entries and core processes keep: 2 minutes of windows of 5 s, which
	// covers the due time and a change of the leader many times.
	KeptWindows = 24
	// assumedAfter is how long after it was sent a call without an answer is assumed to run. Refusals come within
	// milliseconds, and the leader closes a window of which the report is due after 10 s 4 s after its end.
	assumedAfter = 2 * time.Second
)

// CounterConfig holds the settings of a Counter.
type CounterConfig struct {
	// Window is the length of a window.
	Window time.Duration
	// Incarnation differs between the starts of an entry.
	Incarnation uint64
}

// Cursor is how far a source has received the reports of a Counter. The zero value stands for a source that has
// received none.
type Cursor struct {
	version uint64
	final   int64
}

// Counter counts the runs of one entry by window and customer. It is safe for concurrent use.
type Counter struct {
	cfg CounterConfig

	mu sync.Mutex
	// version increases with each count.
	version uint64
	windows map[int64]*countedWindow
	// final is the latest window whose totals no longer change.
	final   int64
	pending map[*Run]struct{}
}

// countedWindow holds the totals of a window and the version of the latest change.
type countedWindow struct {
	counts  map[string]uint64
	version uint64
}

// Run is a call that was sent and of which it is not known yet whether the endpoint runs it. It counts in the
// window in which it was sent.
type Run struct {
	sentAt   time.Time
	window   int64
	customer string
}

// NewCounter returns a Counter without counts.
func NewCounter(cfg CounterConfig) *Counter {
	return &Counter{cfg: cfg, windows: map[int64]*countedWindow{}, pending: map[*Run]struct{}{}}
}

// Count counts a run that an endpoint began at the time of day at.
func (c *Counter) Count(at time.Time, customer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(c.openWindow(at), customer)
}

// Sent records that a call is sent at the time of day at. The caller passes the Run to End.
func (c *Counter) Sent(at time.Time, customer string) *Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Run{sentAt: at, window: c.openWindow(at), customer: customer}
	c.pending[r] = struct{}{}
	return r
}

// End records whether the endpoint ran a call. It does nothing if the call has been assumed to run already.
func (c *Counter) End(r *Run, ran bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, pending := c.pending[r]; !pending {
		return
	}
	delete(c.pending, r)
	if ran {
		c.add(r.window, r.customer)
	}
}

// openWindow returns the window in which a run at a time counts. A window that was reported as final is not
// changed: the clock was adjusted, or the report was made a moment before, and the run counts in the next one.
// If the clock has gone back further, the windows are open again. c.mu must be held.
func (c *Counter) openWindow(at time.Time) int64 {
	window := At(at, c.cfg.Window)
	if c.final != 0 && window < c.final {
		c.final = window - 1
	}
	if c.final == 0 {
		return window
	}
	return max(window, c.final+1)
}

// add counts a run. c.mu must be held.
func (c *Counter) add(window int64, customer string) {
	c.version++
	w := c.windows[window]
	if w == nil {
		w = &countedWindow{counts: map[string]uint64{}}
		c.windows[window] = w
	}
	w.counts[customer]++
	w.version = c.version
}

// Report returns the totals that changed after a report, and the cursor of this one. It returns nil if nothing has
// changed and no window has ended. now is the time of day.
func (c *Counter) Report(now time.Time, since Cursor) (*pb.UsageReport, Cursor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	r := &pb.UsageReport{Incarnation: c.cfg.Incarnation, FinalThrough: c.final}
	for _, number := range slices.Sorted(maps.Keys(c.windows)) {
		w := c.windows[number]
		if w.version <= since.version {
			continue
		}
		m := &pb.UsageWindow{Window: number}
		for _, customer := range slices.Sorted(maps.Keys(w.counts)) {
			m.Customers, m.Counts = append(m.Customers, customer), append(m.Counts, w.counts[customer])
		}
		r.Windows = append(r.Windows, m)
	}
	if len(r.Windows) == 0 && since.final == c.final {
		return nil, since
	}
	return r, Cursor{version: c.version, final: c.final}
}

// advance counts calls that have been without an answer for long, determines which windows are final, and deletes
// old ones. c.mu must be held.
func (c *Counter) advance(now time.Time) {
	current := At(now, c.cfg.Window)
	final := current - 1
	for r := range c.pending {
		// A call that seems to have been sent in the future was sent before the clock went back.
		if age := now.Sub(r.sentAt); age >= assumedAfter || age < -assumedAfter {
			delete(c.pending, r)
			c.add(r.window, r.customer)
			continue
		}
		final = min(final, r.window-1)
	}
	// A smaller step back of the clock changes nothing; see openWindow.
	if final > c.final || final+1 < c.final {
		c.final = final
	}
	for number := range c.windows {
		if number <= current-KeptWindows || number > current+KeptWindows {
			delete(c.windows, number)
		}
	}
}

// UntilEnd returns the time until the current window ends.
func (c *Counter) UntilEnd(now time.Time) time.Duration {
	return EndOf(At(now, c.cfg.Window), c.cfg.Window).Sub(now)
}
