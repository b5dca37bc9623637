package bluebelltier

import (
	"slices"
	"time"
)

// The load pattern: some stores turn slow, as their links do, while the engines are well.
// Calls that fetch large blocks from them wait for seconds, and nothing says so but that
// they have not begun. By what all entries have in flight, a store that is slower than the
// others shows within a fraction of a second.

const (
	// largeBlock is the size from which on a fetch is noticed, in tokens: 18 MB, 3 ms on a
	// fast link and 10 ms or more on a slow one.
	largeBlock = 1000
	// slowCount fetches in flight are needed to judge a store.
	slowCount = 4
	// slowFactor is how many times as long as at the median store they have been in flight:
	// links of two kinds, near and far, differ by less.
	slowFactor = 3.0
	// slowLeast is half of the shortest objective of a model on the users' sheets.
	slowLeast = 400 * time.Millisecond
)

// Load is what entries have named for a fetch from one store and has not arrived.
type Load struct {
	Tokens int
	// Calls with a large block among them, and the time that these have waited, added up.
	Calls  int
	Waited time.Duration
}

// Add adds up the loads of two entries.
func (l Load) Add(other Load) Load {
	return Load{Tokens: l.Tokens + other.Tokens, Calls: l.Calls + other.Calls, Waited: l.Waited + other.Waited}
}

func (l Load) meanWait() time.Duration { return l.Waited / time.Duration(max(l.Calls, 1)) }

// flight is the load of one entry as the times at which it began.
type flight struct {
	tokens, calls int
	begun         time.Duration // added up
}

func (f flight) with(tokens int, now time.Duration) flight {
	f.tokens += tokens
	if tokens >= largeBlock {
		f.calls++
		f.begun += now
	}
	return f
}

func (f flight) without(other flight) flight {
	return flight{tokens: f.tokens - other.tokens, calls: f.calls - other.calls, begun: f.begun - other.begun}
}

func (f flight) load(now time.Duration) Load {
	return Load{Tokens: f.tokens, Calls: f.calls, Waited: time.Duration(f.calls)*now - f.begun}
}

// slowStores returns the stores whose fetches take much longer than those of others.
func slowStores(loads map[string]Load) map[string]bool {
	var waits []time.Duration
	for _, l := range loads {
		if l.Calls > 0 {
			waits = append(waits, l.meanWait())
		}
	}
	if len(waits) == 0 {
		return nil
	}
	slices.Sort(waits)
	bound := max(time.Duration(slowFactor*float64(waits[len(waits)/2])), slowLeast)
	slow := map[string]bool{}
	for address, l := range loads {
		if l.Calls >= slowCount && l.meanWait() > bound {
			slow[address] = true
		}
	}
	return slow
}
