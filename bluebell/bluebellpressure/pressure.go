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
	// fullShare is the part of the time that a call waits which other waiting calls may use before it may
	// be refused. Between it and the whole time, the share of the calls that is admitted falls to 0.
	fullShare = 0.5
	// returnMargin is the part of the time left that is used up when the caller learns of it, and
	// returnResolution that of the header that tells it: a time that is rounded up beyond the largest
	// share would make the caller give up.
	returnMargin     = 20 * time.Millisecond
	returnResolution = 10 * time.Millisecond
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
	// Until is when the call gives up waiting, 0 if it waits until its objective has passed.
	Until    time.Duration
	Priority int
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
	if late || left <= 0 {
		return Refusal{}, false
	}
	share := 1.0
	if ahead > left {
		share = float64(left) / float64(ahead)
	}
	if c.Until > c.Now {
		// What waits has to be sent to engines before the call gives up. Calls that wait are known at once,
		// so the share may fall steeply.
		waiting := float64(ahead-s.readTime(s.Unread)) / float64(c.Until-c.Now)
		share = min(share, (1-waiting)/(1-fullShare))
	}
	return Refusal{Ahead: ahead, Left: left}, share < 1 && random >= share
}

// ReturnAfter returns the time after which a refused caller returns: when what is ahead of it, and the
// calls of those who return earlier, have been read, in a step for which few others have been told to
// return. random is in [0, 1).
func (s State) ReturnAfter(c Call, random float64) time.Duration {
	latest := max(time.Duration(maxReturnShare*float64(c.Deadline-c.Now-returnMargin)).Truncate(returnResolution), 0)
	first := max(min(max(s.roomAfter(c), minReturn), latest-returnSpread), min(minReturn, latest))
	from, to := int(first/ReturnStep), int(latest/ReturnStep)
	if from >= ReturnSteps {
		return first + time.Duration(random*float64(latest-first))
	}
	// Each step is chosen with a chance that grows with the part of it that is within the bounds, and
	// shrinks with the number of callers due in it.
	weight := func(step int) float64 {
		begin, end := max(time.Duration(step)*ReturnStep, first), min(time.Duration(step+1)*ReturnStep, latest)
		return float64(end-begin) / float64(ReturnStep) / float64(1+s.returning(step))
	}
	sum := 0.0
	for step := from; step <= to; step++ {
		sum += weight(step)
	}
	draw := random * sum
	for step := from; step <= to; step++ {
		w := weight(step)
		if draw < w {
			begin, end := max(time.Duration(step)*ReturnStep, first), min(time.Duration(step+1)*ReturnStep, latest)
			return begin + time.Duration(draw/w*float64(end-begin))
		}
		draw -= w
	}
	return latest
}

// returning returns the number of callers that return in a step, 0 for those that are not known.
func (s State) returning(step int) int {
	if step < ReturnSteps {
		return s.Demand.Returning[step]
	}
	return 0
}

// roomAfter returns the time after which the engines have read what is ahead of a call that returns then:
// what is ahead of it now, and the prompts of the callers that have returned until then. These count as
// large as those that wait, since their size is not known.
func (s State) roomAfter(c Call) time.Duration {
	if s.Rate <= 0 {
		return 0
	}
	waiting, tokens := 0, 0
	for p, n := range s.Demand.Waiting {
		waiting, tokens = waiting+n, tokens+s.Demand.Tokens[p]
	}
	mean := c.Tokens
	if waiting > 0 {
		mean = tokens / waiting
	}
	// The call comes back within its objective.
	ahead, returned := s.Ahead(c.Priority, false), 0
	for step, n := range s.Demand.Returning {
		if at := time.Duration(step) * ReturnStep; at >= ahead+s.readTime(returned*mean) {
			return at
		}
		returned += n
	}
	return ahead + s.readTime(returned*mean)
}
