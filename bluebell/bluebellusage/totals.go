package bluebellusage

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// maxIncarnations bounds the incarnations of one entry that are kept: more than restarts within KeptWindows.
	maxIncarnations = 64
	// maxCustomers bounds the customers of one window of an entry: many times those that deployments declare.
	maxCustomers = 4096
)

// reporter identifies the source of totals.
type reporter struct {
	entry       string
	incarnation uint64
}

// reported is what a reporter has reported.
type reported struct {
	// final is the latest value of FinalThrough.
	final   int64
	windows map[int64]map[string]uint64
}

// Totals holds the totals that entries have reported to a core process, for the last KeptWindows windows. It is
// safe for concurrent use.
type Totals struct {
	window time.Duration

	mu      sync.Mutex
	reports map[reporter]*reported
	// expiredAt is the window in which old windows were last deleted.
	expiredAt int64
}

// NewTotals returns Totals for windows of the given length.
func NewTotals(window time.Duration) *Totals {
	return &Totals{window: window, reports: map[reporter]*reported{}}
}

// Record records a report of an entry. now is the time of day. Windows that are too old, or further in the future
// than clocks differ, are ignored.
func (t *Totals) Record(now time.Time, entry string, r *pb.UsageReport) {
	if r == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	current := At(now, t.window)
	t.expire(current)
	key := reporter{entry, r.Incarnation}
	if t.reports[key] == nil && t.incarnations(entry) >= maxIncarnations {
		return
	}
	record(t.reports, key, r, func(window int64) bool {
		return window > current-KeptWindows && window <= current+1
	})
	// A window that has not begun cannot be final.
	t.reports[key].final = min(r.FinalThrough, current)
}

// incarnations returns the number of incarnations of an entry. t.mu must be held.
func (t *Totals) incarnations(entry string) int {
	n := 0
	for key := range t.reports {
		if key.entry == entry {
			n++
		}
	}
	return n
}

// expire deletes old windows, and reporters of which no window is left, once in each window. t.mu must be held.
func (t *Totals) expire(current int64) {
	if t.expiredAt == current {
		return
	}
	t.expiredAt = current
	for key, r := range t.reports {
		for window := range r.windows {
			if window <= current-KeptWindows {
				delete(r.windows, window)
			}
		}
		if len(r.windows) == 0 && r.final <= current-KeptWindows {
			delete(t.reports, key)
		}
	}
}

// record records the accepted windows of a report: of each total the highest value.
func record(reports map[reporter]*reported, key reporter, r *pb.UsageReport, accept func(window int64) bool) {
	have := reports[key]
	if have == nil {
		have = &reported{windows: map[int64]map[string]uint64{}}
		reports[key] = have
	}
	for _, m := range r.Windows {
		if !accept(m.Window) {
			continue
		}
		counts := have.windows[m.Window]
		if counts == nil {
			counts = map[string]uint64{}
			have.windows[m.Window] = counts
		}
		for i, customer := range m.Customers {
			if _, known := counts[customer]; i < len(m.Counts) && (known || len(counts) < maxCustomers) {
				counts[customer] = max(counts[customer], m.Counts[i])
			}
		}
	}
}

// Collect returns what entries have reported of some windows.
func (t *Totals) Collect(windows []int64) []*pb.EntryUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*pb.EntryUsage, 0, len(t.reports))
	for _, key := range slices.SortedFunc(maps.Keys(t.reports), compareReporters) {
		r := t.reports[key]
		m := &pb.UsageReport{Incarnation: key.incarnation, FinalThrough: r.final}
		for _, window := range windows {
			counts, known := r.windows[window]
			if !known {
				continue
			}
			w := &pb.UsageWindow{Window: window}
			for _, customer := range slices.Sorted(maps.Keys(counts)) {
				w.Customers, w.Counts = append(w.Customers, customer), append(w.Counts, counts[customer])
			}
			m.Windows = append(m.Windows, w)
		}
		list = append(list, &pb.EntryUsage{Entry: key.entry, Report: m})
	}
	return list
}

func compareReporters(a, b reporter) int {
	return cmp.Or(cmp.Compare(a.entry, b.entry), cmp.Compare(a.incarnation, b.incarnation))
}
