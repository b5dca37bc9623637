package bluebelltier

import (
	"slices"
	"time"
)

// A store can become slow when its link does, while the engines (endpoints that run models)
// are healthy. Calls that fetch large blocks from it then wait for seconds, and the only sign
// is that they have not begun. The fetches that all entries have in flight reveal a store that
// is slower than the others within a fraction of a second.

const (
	// largeBlockTokens is the size of the smallest block whose fetch time matters. Such a block
	// has 18 MB, which takes 3 ms on a fast link and 10 ms or more on a slow one.
	largeBlockTokens = 1000
	// minSlowFetches is the number of large blocks that must be in flight from a store before
	// it can count as slow.
	minSlowFetches = 4
	// slowWaitFactor is the ratio of a store's mean wait to that of the median store above which
	// the store counts as slow. The links within and between failure domains differ by less.
	slowWaitFactor = 3.0
	// minSlowWait is the least mean wait at which a store can count as slow. It is half of the
	// shortest objective (time by which an answer is wanted) of a model in the specifications
	// of both users of this software.
	minSlowWait = 400 * time.Millisecond
)

// Load is the sum of the fetches from one store that are in flight.
type Load struct {
	// Tokens is the size of all blocks in flight.
	Tokens int
	// LargeFetches is the number of large blocks in flight, and Waited is the sum of the times
	// since their fetches were planned.
	LargeFetches int
	Waited       time.Duration
}

// Add returns the sum of the loads of two entries.
func (l Load) Add(other Load) Load {
	return Load{Tokens: l.Tokens + other.Tokens, LargeFetches: l.LargeFetches + other.LargeFetches, Waited: l.Waited + other.Waited}
}

// meanWait returns the mean time that the large fetches have been in flight.
func (l Load) meanWait() time.Duration { return l.Waited / time.Duration(max(l.LargeFetches, 1)) }

// fetchSums is the Load of one entry, with the sum of start times in place of waiting times so
// that it does not change as time passes.
type fetchSums struct {
	tokens, largeFetches int
	startSum             time.Duration
}

// add returns the sums with the fetch of one block added.
func (f fetchSums) add(tokens int, now time.Duration) fetchSums {
	f.tokens += tokens
	if tokens >= largeBlockTokens {
		f.largeFetches++
		f.startSum += now
	}
	return f
}

// subtract returns the sums without the fetches in other.
func (f fetchSums) subtract(other fetchSums) fetchSums {
	return fetchSums{tokens: f.tokens - other.tokens, largeFetches: f.largeFetches - other.largeFetches, startSum: f.startSum - other.startSum}
}

// load returns the Load at the given time.
func (f fetchSums) load(now time.Duration) Load {
	return Load{Tokens: f.tokens, LargeFetches: f.largeFetches, Waited: time.Duration(f.largeFetches)*now - f.startSum}
}

// slowStores returns the addresses of the stores whose fetches have been in flight much longer
// than those from the median store.
func slowStores(loads map[string]Load) map[string]bool {
	var waits []time.Duration
	for _, l := range loads {
		if l.LargeFetches > 0 {
			waits = append(waits, l.meanWait())
		}
	}
	if len(waits) == 0 {
		return nil
	}
	slices.Sort(waits)
	limit := max(time.Duration(slowWaitFactor*float64(waits[len(waits)/2])), minSlowWait)
	slow := map[string]bool{}
	for address, l := range loads {
		if l.LargeFetches >= minSlowFetches && l.meanWait() > limit {
			slow[address] = true
		}
	}
	return slow
}
