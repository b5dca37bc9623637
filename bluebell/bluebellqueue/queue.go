// Package bluebellqueue decides in which order calls that wait for an endpoint get
// one, and for how long they wait.
//
// The load that it answers: more prompts arrive than fit into the engines' memory.
// If all of them are sent on, running calls fill the memory, nothing is left for
// cached blocks, every prompt is read again, and the engines stay busy with calls
// that are all late, long after the burst is over. So calls wait at the entry while
// the engines are as full as is good for them. Calls that can still be in time go
// first, the more urgent first, then those that came first; what will not get an
// endpoint is told so early.
//
// # Usage
//
//	bluebellqueue.Admit(waiters, now, func(i int) bluebellqueue.Verdict { ... })
//	until := bluebellqueue.HoldUntil(waiter, returned)
package bluebellqueue

import (
	"cmp"
	"slices"
	"time"
)

const (
	// holdShare of its objective is how long a call waits at the most: beyond it the
	// rest does not suffice to be in time.
	holdShare = 0.5
	// lateShare of the time that is left is how long a call waits whose objective is
	// over already, such as one that has come back.
	lateShare = 0.25
	// crowd is the number of calls that wait at one entry from which on more arrive than
	// engines read; single ones wait for their homes at any load.
	crowd = 2
	// crowdShare of its objective is how soon an answer must be expected to begin then.
	crowdShare = 0.35
	// nearShare of its wait is how long a prompt waits for its homes alone. A prompt that
	// goes elsewhere has its blocks moved or read again there, and pushes out others.
	nearShare = 0.5
)

// Waiter is a call that waits.
type Waiter struct {
	// Priority ranks calls, 0 first.
	Priority int
	// Arrived is when the call came, ObjectiveEnd when its objective is over, and
	// Deadline when its caller leaves.
	Arrived, ObjectiveEnd, Deadline time.Duration
	// Objective is the time from a call to the beginning of its answer that is aimed at.
	Objective time.Duration
	// MayHaveRun calls may have run at an endpoint that was left: they cannot be told to come
	// back, so to give them up helps nobody while there is time.
	MayHaveRun bool
	// Tokens that the call takes of an engine's memory; 0 for plain services.
	Tokens int
}

// TryResult is what came of trying a waiter.
type TryResult int

// The verdicts on a waiter.
const (
	// Placed waiters have an endpoint.
	Placed TryResult = iota
	// Full means that no endpoint has room for so many tokens.
	Full
	// NotPlaced says nothing of others.
	NotPlaced
)

// Admit tries those that wait, in order. One that finds no room does not hold up smaller
// ones behind it, and larger ones are not tried after it: each try looks at all endpoints,
// and a crowd that was tried in whole used up an entry's processor.
func Admit(waiters []Waiter, now time.Duration, try func(i int) TryResult) {
	tooLarge := 0
	for _, i := range Order(waiters, now) {
		tokens := waiters[i].Tokens
		if tooLarge > 0 && tokens >= tooLarge {
			continue
		}
		if try(i) == Full {
			tooLarge = tokens
		}
	}
}

// late tells whether a call can no longer be in time.
func (w Waiter) late(now time.Duration) bool { return now >= w.ObjectiveEnd }

// Order returns the indexes of the waiters in the order in which they are tried.
func Order(waiters []Waiter, now time.Duration) []int {
	order := make([]int, len(waiters))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return compare(waiters[i], waiters[j], now) })
	return order
}

func compare(a, b Waiter, now time.Duration) int {
	if lateA, lateB := a.late(now), b.late(now); lateA != lateB {
		if lateA {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Arrived, b.Arrived))
}

// WaitUntil returns how long a call that has just come may wait.
func WaitUntil(w Waiter) time.Duration {
	inTime := w.Arrived + time.Duration(holdShare*float64(w.ObjectiveEnd-w.Arrived))
	late := w.Arrived + time.Duration(lateShare*float64(w.Deadline-w.Arrived))
	if w.MayHaveRun || w.late(w.Arrived) {
		return late
	}
	return min(inTime, w.Deadline)
}

// FirstEventBy returns when the answer of a waiter should begin, for which engines that would
// begin later count as full; 0 for one that may have run, which goes wherever there is room, or
// has no objective.
// One that is late already has its objective once more: where late calls went wherever there
// was room, they made others late. In a crowd only engines that begin much sooner will do:
// what is expected there turns out late, and the large ones make way for the many.
func FirstEventBy(w Waiter, now time.Duration, waiting int) time.Duration {
	switch {
	case w.MayHaveRun, w.Objective <= 0:
		return 0
	case w.late(now):
		return now + w.Objective
	case waiting >= crowd:
		return min(w.ObjectiveEnd, now+time.Duration(crowdShare*float64(w.Objective)))
	}
	return w.ObjectiveEnd
}

// HomesOnlyUntil returns how long a prompt that has just come waits for its homes alone.
func HomesOnlyUntil(w Waiter) time.Duration {
	return w.Arrived + time.Duration(nearShare*float64(WaitUntil(w)-w.Arrived))
}
