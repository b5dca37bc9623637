package bluebellpressure

import (
	"fmt"
	"time"
)

const (
	// minReturn is the shortest time after which a caller returns, maxReturnShare the largest share of
	// the time that it has left: callers give up rather than wait longer.
	minReturn      = 100 * time.Millisecond
	maxReturnShare = 1.0 / 3
	// returnSpread is the least range of times over which callers return that are refused together, so
	// that they do not return together.
	returnSpread = 400 * time.Millisecond
)

// State is the state of a target.
type State struct {
	// Engines is the number of usable engines, and Rate the number of prompt tokens that they read in a
	// second together.
	Engines int
	Rate    float64
	// Unread is the number of prompt tokens that engines have been sent and have not read.
	Unread int
	// Demand is that of all entries, including this one, without the call to decide on.
	Demand Demand
}

// Call is a call that has found no engine.
type Call struct {
	Now, ObjectiveEnd, Deadline time.Duration
	Priority                    int
	// Tokens is the number of prompt tokens that an engine has to read for the call.
	Tokens int
}

// Refusal is why a call is refused at once.
type Refusal struct {
	// Ahead is the time until what goes first is read, and Left the time in which the call's prompt
	// would have to be begun for an answer by the deadline, or within the objective.
	Ahead, Left time.Duration
	// Deadline is set if the answer cannot begin before the deadline.
	Deadline bool
}

func (r Refusal) String() string {
	bound := "objective"
	if r.Deadline {
		bound = "deadline"
	}
	return fmt.Sprintf("refused at once: %v to read before it, %v left of its %s",
		r.Ahead.Round(time.Millisecond), r.Left.Round(time.Millisecond), bound)
}

// Ahead returns the time in which the engines read what is ahead of a call of a priority: what they have
// been sent, and what waits and is as urgent or more. For a late call it is all that waits.
func (s State) Ahead(priority int, late bool) time.Duration {
	tokens := s.Unread
	for p, n := range s.Demand.Tokens {
		if late || p <= priority {
			tokens += n
		}
	}
	return s.readTime(tokens)
}

func (s State) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.Rate * float64(time.Second))
}

// Refuse reports whether a call that found no engine is refused at once, and why. random is in [0, 1).
//
// A call is refused if what goes first leaves no time before its deadline. One that could be in time is
// refused with a chance that grows with the pressure: of the calls that arrive, as many remain as can be
// read within their objective. A call that was late when it arrived may still be answered with what is
// left over.
func (s State) Refuse(c Call, random float64) (Refusal, bool) {
	if s.Engines <= 0 || s.Rate <= 0 {
		return Refusal{}, false
	}
	late := c.Now >= c.ObjectiveEnd
	ahead := s.Ahead(c.Priority, late)
	read := s.readTime(c.Tokens * s.Engines)
	if left := c.Deadline - c.Now - read; ahead > left {
		return Refusal{Ahead: ahead, Left: left, Deadline: true}, true
	}
	left := c.ObjectiveEnd - c.Now - read
	if late || left <= 0 || ahead <= left {
		return Refusal{}, false
	}
	return Refusal{Ahead: ahead, Left: left}, random >= float64(left)/float64(ahead)
}

// ReturnAfter returns the time after which a refused caller returns: when what is ahead of it has been
// read, in a step for which few others have been told to return. random is in [0, 1).
func (s State) ReturnAfter(c Call, random float64) time.Duration {
	latest := time.Duration(maxReturnShare * float64(c.Deadline-c.Now))
	first := minReturn
	if s.Rate > 0 {
		first = max(first, s.Ahead(c.Priority, true))
	}
	first = max(min(first, latest-returnSpread), min(minReturn, latest))
	if latest <= first {
		return max(latest, 0)
	}
	// Each step is chosen with a chance that shrinks with the number of callers due in it.
	from, to := int(first/ReturnStep), min(int(latest/ReturnStep), ReturnSteps-1)
	sum := 0.0
	for step := from; step <= to; step++ {
		sum += 1 / float64(1+s.Demand.Returning[step])
	}
	draw := random * sum
	for step := from; step <= to; step++ {
		weight := 1 / float64(1+s.Demand.Returning[step])
		if draw < weight || step == to {
			at := time.Duration((float64(step) + draw/weight) * float64(ReturnStep))
			return min(max(at, first), latest)
		}
		draw -= weight
	}
	return latest
}
