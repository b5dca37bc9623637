package bluebelltier

import (
	"slices"
	"time"
)

// A store can become slow when its link does, while the engines (endpoints that run models)
// are healthy. Calls that fetch large blocks from it then wait for seconds, and the only sign
// is that they have not begun when they should have. The fetches that all entries have in flight
// reveal a store that is slower than the others within a fraction of a second. The time since
// a fetch began says less: most of it is that of the engine, and a busy engine would make
// stores look slow.

const (
	// largeBlockTokens is the size of the smallest block whose fetch time matters. Such a block
	// has 18 MB, which takes 3 ms on a fast link and 10 ms or more on a slow one.
	largeBlockTokens = 1000
	// minSlowFetches is the number of large blocks that must be in flight from a store before
	// it can count as slow.
	minSlowFetches = 4
	// slowFactor is the ratio of a store's mean overdue time to that of a fast store above
	// which the store counts as slow. If the fetches from all stores are overdue, the engines
	// are slow.
	slowFactor = 3.0
	// fastStoreRank is the share of the stores that are faster than the one that others are
	// compared to. More than half of the stores can become slow at once, so that the median
	// store is itself slow.
	fastStoreRank = 0.25
	// slowShare is the share of the shortest objective (time by which an answer is wanted)
	// that is the least mean overdue time at which a store can count as slow.
	slowShare = 0.25
	// defaultObjective is the objective while no route declares one.
	defaultObjective = time.Second
	// slowHoldTime is how long a store is avoided after it last counted as slow. Once it is
	// avoided, its fetches in flight no longer tell whether it is slow.
	slowHoldTime = 2 * time.Second
	// maxSlowFetches is the number of large fetches in flight, over all entries, up to which
	// a store that is avoided is still used: its link is slow but works, and computing all of
	// its blocks again would make the engines the bottleneck.
	maxSlowFetches = 2
)

// Load is the sum of the fetches from one store that are in flight.
type Load struct {
	// Tokens is the size of all blocks in flight.
	Tokens int
	// LargeFetches is the number of large blocks in flight, and Overdue the sum of the times
	// since their calls should have begun to be answered.
	LargeFetches int
	Overdue      time.Duration
}

// Add returns the sum of the loads of two entries.
func (l Load) Add(other Load) Load {
	return Load{Tokens: l.Tokens + other.Tokens, LargeFetches: l.LargeFetches + other.LargeFetches, Overdue: l.Overdue + other.Overdue}
}

// meanOverdue returns the mean time that the large fetches are overdue.
func (l Load) meanOverdue() time.Duration { return l.Overdue / time.Duration(max(l.LargeFetches, 1)) }

// fetch is a fetch of one block that is in flight.
type fetch struct {
	store  string
	tokens int
	// dueAt is when the call is expected to begin to be answered.
	dueAt time.Duration
}

// addTo adds the fetch to the load of its store.
func (f *fetch) addTo(l Load, now time.Duration) Load {
	l.Tokens += f.tokens
	if f.tokens >= largeBlockTokens {
		l.LargeFetches++
		l.Overdue += max(now-f.dueAt, 0)
	}
	return l
}

// slowStores returns the addresses of the stores whose fetches are overdue much longer than
// those from a fast store, and for a considerable part of the objective.
func slowStores(loads map[string]Load, objective time.Duration) map[string]bool {
	var overdue []time.Duration
	for _, l := range loads {
		if l.LargeFetches > 0 {
			overdue = append(overdue, l.meanOverdue())
		}
	}
	if len(overdue) == 0 {
		return nil
	}
	slices.Sort(overdue)
	if objective <= 0 {
		objective = defaultObjective
	}
	fast := overdue[int(fastStoreRank*float64(len(overdue)))]
	limit := max(time.Duration(slowFactor*float64(fast)), time.Duration(slowShare*float64(objective)))
	slow := map[string]bool{}
	for address, l := range loads {
		if l.LargeFetches >= minSlowFetches && l.meanOverdue() > limit {
			slow[address] = true
		}
	}
	return slow
}
