package bluebellfeed

import "time"

const (
	// shortObjective is the objective below which loads are exchanged more often: with the
	// default intervals, an entry learns of a call at another entry up to half a second later,
	// when an answer within such an objective is late already.
	shortObjective = 500 * time.Millisecond
	// fastEntryWait, fastLoadsWait and fastTableInterval replace entryWait, loadsWait and
	// tableInterval for such objectives. A report then reaches all entries in less time than an
	// engine takes to read a prompt of a few thousand tokens.
	fastEntryWait     = 20 * time.Millisecond
	fastLoadsWait     = 15 * time.Millisecond
	fastTableInterval = 8 * time.Millisecond
	// fastEntries is the number of entries up to which the fast intervals are used as they
	// are. With more, they grow in proportion, so that the polls of all entries together stay
	// below 5,000 a second: with six core processes, each needs a twentieth of its processor for
	// them.
	fastEntries = 100
)

// LoadIntervals tells how often loads are exchanged.
type LoadIntervals struct {
	// EntryWait is how long an entry's poll of its primary source is held, LoadsWait the same
	// for a core process that polls another one.
	EntryWait, LoadsWait time.Duration
	// Table is how often a source encodes its sums at most.
	Table time.Duration
}

// IntervalsFor returns the intervals for the shortest declared objective of calls to models, 0 if
// there is none, and the number of entries.
func IntervalsFor(objective time.Duration, entries int) LoadIntervals {
	slow := LoadIntervals{EntryWait: entryWait, LoadsWait: loadsWait, Table: tableInterval}
	if objective <= 0 || objective >= shortObjective {
		return slow
	}
	grown := func(d time.Duration) time.Duration { return d * time.Duration(max(entries, fastEntries)) / fastEntries }
	return LoadIntervals{
		EntryWait: min(grown(fastEntryWait), slow.EntryWait),
		LoadsWait: min(grown(fastLoadsWait), slow.LoadsWait),
		Table:     min(grown(fastTableInterval), slow.Table),
	}
}

// intervalsFor is IntervalsFor with the result of objective, or without an objective if that is nil.
func intervalsFor(objective func() time.Duration, entries int) LoadIntervals {
	if objective == nil {
		return IntervalsFor(0, entries)
	}
	return IntervalsFor(objective(), entries)
}
