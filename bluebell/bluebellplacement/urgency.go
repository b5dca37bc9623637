package bluebellplacement

import "time"

// Targets whose calls are ranked by urgency serve small urgent calls beside large ones that can wait.
// At the crest of a wave an urgent call that was predicted to begin after 130 ms began after 600 ms: it
// waited inside an engine, behind the prompts of large calls or until one of them left the memory. An
// entry learns only after a poll what the others have sent, in which time an engine gets up to two
// large calls. Calls of lower ranks therefore leave room for more urgent ones.

const (
	// PriorityCount is the number of priorities, 0 being the most urgent.
	PriorityCount = 10
	// leastUrgentFill is the share of an engine's memory that running calls may fill for a call of the
	// lowest rank to be accepted at its home or an alternate home, where the most urgent ones may fill
	// homeFillShare. The rest of 118,000 tokens holds a large call of 12,000 that other entries have
	// just sent, and several urgent ones. A smaller share delays large calls without a benefit for
	// urgent ones (docs/design/admission.md).
	leastUrgentFill = 0.85
	// mostUrgentAwayFill is the same share for the most urgent calls away from their homes, where the
	// lowest rank may fill awayFillShare. They are small, and reading their blocks again takes little.
	mostUrgentAwayFill = 0.75
	// maxBacklogShare is the share of the shortest objective of the more urgent ranks in which an
	// engine must be able to read a less urgent prompt and those before it. A smaller share moves large
	// prompts away from their homes, where they are read again; without a limit, up to a tenth of the
	// urgent calls were late in a constant overload.
	maxBacklogShare = 1.0
)

// TokensByPriority is a number of tokens for each priority.
type TokensByPriority [PriorityCount]int

// Add returns the sums of both.
func (t TokensByPriority) Add(other TokensByPriority) TokensByPriority {
	for i, n := range other {
		t[i] += n
	}
	return t
}

// Sub returns the tokens without a part of them.
func (t TokensByPriority) Sub(part TokensByPriority) TokensByPriority {
	for i, n := range part {
		t[i] = max(t[i]-n, 0)
	}
	return t
}

// boundedPriority returns the priority within the range of TokensByPriority.
func boundedPriority(priority int) int { return min(max(priority, 0), PriorityCount-1) }

// Rank is a rank of calls by urgency.
type Rank struct {
	Priority int
	// Objective is the shortest time within which the answer to a call of the rank should begin, 0 if
	// there is none.
	Objective time.Duration
}

// Ranks returns Fleet.Ranks of a target, nil if its calls are not ranked by urgency.
func (p *Placer) Ranks(target string) []Rank {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.fleet.Ranks[target]
}

// ranked reports whether the target's calls are ranked by urgency.
func (t *targetState) ranked() bool { return len(t.ranks) > 1 }

// leniency returns the place of a priority among those of the target: 0 for the most urgent, 1 for the
// least urgent.
func (t *targetState) leniency(priority int) float64 {
	moreUrgent := 0
	for _, other := range t.ranks {
		if other.Priority < priority {
			moreUrgent++
		}
	}
	return min(float64(moreUrgent)/float64(len(t.ranks)-1), 1)
}

// rankFillShare returns the share of an engine's memory that running calls may fill for a call to be
// accepted.
func (t *targetState) rankFillShare(c *candidate, priority int) float64 {
	most, least := mostUrgentAwayFill, awayFillShare
	if c.home || c.alternate {
		most, least = homeFillShare, leastUrgentFill
	}
	return most + (least-most)*t.leniency(priority)
}

// delaysUrgent reports whether more urgent calls that arrive at the engine after this one would begin
// late. An engine starts waiting calls in order of priority, but reads the prompts of those that it has
// started in the order in which it has, so that all unread tokens are ahead of a later call. An engine
// without unread tokens takes any call, since a large one would have no place otherwise.
func (c *candidate) delaysUrgent(t *targetState, r Request) bool {
	// A call without a limit may have run, so refusing it has no benefit.
	if !c.readsOthers || r.FirstEventBy <= 0 {
		return false
	}
	shortest := time.Duration(0)
	for _, rank := range t.ranks {
		if rank.Priority < r.Priority && rank.Objective > 0 && (shortest == 0 || rank.Objective < shortest) {
			shortest = rank.Objective
		}
	}
	backlog := float64(c.unread+c.prefillTokens) / t.engineRate(&c.state.speed) * float64(time.Second)
	return shortest > 0 && backlog > maxBacklogShare*float64(shortest)
}
