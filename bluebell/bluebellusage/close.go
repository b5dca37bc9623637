package bluebellusage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// closeShare is the share of the due time after which a window is closed although entries have not reported it as
// final: 4 s of 10. A change of the leader and the report fit in the rest.
const closeShare = 0.4

// Merged holds the totals of several core processes.
type Merged struct {
	reports map[reporter]*reported
}

// Merge merges what core processes have collected.
func Merge(replies ...[]*pb.EntryUsage) Merged {
	m := Merged{reports: map[reporter]*reported{}}
	for _, entries := range replies {
		for _, e := range entries {
			if e.GetReport() == nil {
				continue
			}
			key := reporter{e.Entry, e.Report.Incarnation}
			record(m.reports, key, e.Report, func(int64) bool { return true })
			m.reports[key].final = max(m.reports[key].final, e.Report.FinalThrough)
		}
	}
	return m
}

// First returns the oldest window with a count. It reports false if there is none.
func (m Merged) First() (window int64, ok bool) {
	for _, r := range m.reports {
		for w, counts := range r.windows {
			if len(counts) > 0 && (!ok || w < window) {
				window, ok = w, true
			}
		}
	}
	return window, ok
}

// Usage returns the sums of a window over all entries, by customer in ascending order.
func (m Merged) Usage(window int64) *pb.DecideUsage {
	sums := map[string]uint64{}
	for _, r := range m.reports {
		for customer, count := range r.windows[window] {
			sums[customer] += count
		}
	}
	d := &pb.DecideUsage{Window: window}
	for _, customer := range slices.Sorted(maps.Keys(sums)) {
		d.Customers, d.Counts = append(d.Customers, customer), append(d.Counts, sums[customer])
	}
	return d
}

// Missing returns those of the entries that have not reported a window as final.
func (m Merged) Missing(window int64, entries []string) []string {
	final := map[string]bool{}
	for key, r := range m.reports {
		if r.final >= window {
			final[key.entry] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(entries), func(entry string) bool { return final[entry] })
}

// Late returns how many of the runs of a decided window are not in the decision.
func (m Merged) Late(decided *pb.DecideUsage) uint64 {
	have := make(map[string]uint64, len(decided.Customers))
	for i, customer := range decided.Customers {
		have[customer] = decided.Counts[i]
	}
	late := uint64(0)
	usage := m.Usage(decided.Window)
	for i, customer := range usage.Customers {
		late += usage.Counts[i] - min(have[customer], usage.Counts[i])
	}
	return late
}

// LastFinal returns the latest window that any entry has reported as final. It reports false if none has.
func (m Merged) LastFinal() (window int64, ok bool) {
	for _, r := range m.reports {
		if r.final > 0 && (!ok || r.final > window) {
			window, ok = r.final, true
		}
	}
	return window, ok
}

// CloseAfter returns how long after its end a window is closed although entries have not reported it as final. due
// is the time after its end within which its report is due, 0 for DefaultDue.
func CloseAfter(due time.Duration) time.Duration {
	return time.Duration(closeShare * float64(cmp.Or(due, DefaultDue)))
}

// CloseInput is what the closing of a window depends on.
type CloseInput struct {
	Window int64
	// Length is the length of a window, and Due the time after its end within which its report is due, DefaultDue if
	// it is 0.
	Length, Due time.Duration
	// Totals are those of all core processes that have answered.
	Totals Merged
	// Entries are the entries that follow a core process.
	Entries []string
	// EntriesUnknown is set if Entries may lack some: the core processes have just started.
	EntriesUnknown bool
	// Now is the time of day.
	Now time.Time
}

// Close returns the usage to decide for a window, and the entries that have not reported it as final. ok is false
// while the window stays open: it has not ended, or entries are missing or unknown and closeShare of the due time has not
// passed.
func Close(in CloseInput) (usage *pb.DecideUsage, missing []string, ok bool) {
	age := in.Now.Sub(EndOf(in.Window, in.Length))
	missing = in.Totals.Missing(in.Window, in.Entries)
	closeAfter := CloseAfter(in.Due)
	if age < 0 || age < closeAfter && (len(missing) > 0 || in.EntriesUnknown) {
		return nil, missing, false
	}
	return in.Totals.Usage(in.Window), missing, true
}
