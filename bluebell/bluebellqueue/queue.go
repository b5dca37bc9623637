// Package bluebellqueue decides in which order calls that wait for an endpoint get one,
// and how long they may wait.
//
// It serves loads in which more prompts arrive than fit into the engines' memory. If all
// of them were sent on, running calls would fill the memory and leave none for cached
// blocks. Every prompt would have to be recomputed, and the engines would stay busy with
// late calls long after the burst. Calls therefore wait at the entry, the process that
// accepts them, while the engines hold as many calls as they should. Calls that can still
// meet their objective are tried first, by priority and then by arrival. Calls that will
// not get an endpoint are refused early. When all entries return from a loss of power, the
// callers of some seconds are refused together: those who cannot be answered in time any more
// are told to return at different times.
//
// # Usage
//
//	bluebellqueue.Admit(waiters, now, func(i int) bluebellqueue.TryResult { ... })
//	until := bluebellqueue.WaitUntil(waiter)
//	after := bluebellqueue.RetryAfter(timeLeft, inTime, random)
package bluebellqueue

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxWaitShare is the share of its objective that a call waits at most. Beyond it, the
	// remaining time is too short to meet the objective.
	maxWaitShare = 0.5
	// lateWaitShare is the share of the time to its deadline that a call waits if it may
	// have run or its objective has passed, for example during a failed attempt.
	lateWaitShare = 0.25
	// congestionThreshold is the number of calls waiting at one entry that counts as
	// congestion: more calls arrive than the engines can process. Single calls wait for
	// their homes at any load.
	congestionThreshold = 2
	// congestedShare is the share of its objective within which a call's answer must be
	// expected to begin during congestion.
	congestedShare = 0.35
	// homesOnlyShare is the share of its wait during which a prompt waits for its homes
	// only, the endpoints that should have its blocks cached. On another endpoint its
	// blocks are fetched or recomputed, and evict others.
	homesOnlyShare = 0.5
	// workDelayFactor multiplies the work of a call to get the time by which smaller ones that arrive
	// later may go before it, maxWorkDelayShare is the largest share of its objective that this may be.
	workDelayFactor   = 2
	maxWorkDelayShare = 0.25
	// ProtectedShare is the share of calls, chosen at random, that keep their turn whatever their work. No
	// call has a better turn than a protected one, so large calls are served at least that share as often
	// as small ones.
	ProtectedShare = 0.6
)

// Waiter is a call that waits for an endpoint.
type Waiter struct {
	// Priority ranks calls; 0 is the most urgent.
	Priority int
	// Arrived is when the call arrived, ObjectiveEnd when its objective passes, and
	// Deadline when its caller stops waiting.
	Arrived, ObjectiveEnd, Deadline time.Duration
	// Objective is the time in which the answer to a call should begin.
	Objective time.Duration
	// MayHaveRun is set for calls that may have run at an endpoint that was given up. The
	// caller cannot be told to retry them, so refusing them has no benefit while there is
	// time.
	MayHaveRun bool
	// Work is the time in which an engine reads the call's prompt. Protected is set for the ProtectedShare
	// of calls that keep their turn whatever their work. Both affect ranked calls only.
	Work      time.Duration
	Protected bool
	// Urgency is the place of the call among those of a target whose calls are ranked by urgency.
	Urgency Urgency
	// Tokens is the memory that the call takes on an engine; 0 for plain services.
	Tokens int
}

// Urgency tells which of a target's calls give way to others when there is too little capacity.
type Urgency int

// The values of Urgency.
const (
	// Unranked calls are those of targets whose calls are not ranked by urgency.
	Unranked Urgency = iota
	// Urgent calls are above the lowest rank of their target.
	Urgent
	// Lenient calls are of the lowest rank. They give way to urgent ones.
	Lenient
)

// TryResult is the result of trying to find an endpoint for a waiter.
type TryResult int

// The results of trying a waiter.
const (
	// Placed means that the waiter got an endpoint.
	Placed TryResult = iota
	// Full means that no endpoint has memory for as many tokens.
	Full
	// NotPlaced means that there is no endpoint for a reason that does not affect other
	// waiters.
	NotPlaced
)

// Admit tries the waiters in the order of Order. A waiter that gets no memory does not
// block smaller ones behind it, but waiters that are as large or larger are skipped: each
// try looks at all endpoints, and trying a long queue completely used up an entry's
// processor.
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

// late reports whether a call can no longer meet its objective.
func (w *Waiter) late(now time.Duration) bool { return now >= w.ObjectiveEnd }

// Order returns the indexes of the waiters in the order in which to try them.
func Order(waiters []Waiter, now time.Duration) []int {
	order := make([]int, len(waiters))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return compare(&waiters[i], &waiters[j], now) })
	return order
}

// Before reports whether a call is tried before another one.
func Before(a, b Waiter, now time.Duration) bool { return compare(&a, &b, now) < 0 }

// tooLate reports whether a call can no longer meet its objective, given the work that it needs.
func (w *Waiter) tooLate(now time.Duration) bool {
	if w.Urgency != Unranked {
		now += w.Work
	}
	return w.late(now)
}

// turn returns the time by which calls of a priority are ordered: their arrival, and for ranked ones a
// delay by the work that they need, since more calls are served if small ones go first. Without the
// protected calls, the largest tenth of a kind was served a thirtieth as often as the kind at three times
// the load that could be served.
func (w *Waiter) turn() time.Duration {
	if w.Urgency == Unranked || w.Protected {
		return w.Arrived
	}
	return w.Arrived + min(workDelayFactor*w.Work, time.Duration(maxWorkDelayShare*float64(w.Objective)))
}

// compare orders calls that can meet their objective before late ones, then by priority
// and turn.
func compare(a, b *Waiter, now time.Duration) int {
	if lateA, lateB := a.tooLate(now), b.tooLate(now); lateA != lateB {
		if lateA {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.turn(), b.turn()))
}

// WaitUntil returns the time until which a call that has just arrived may wait.
func WaitUntil(w Waiter) time.Duration {
	inTime := w.Arrived + time.Duration(maxWaitShare*float64(w.ObjectiveEnd-w.Arrived))
	late := w.Arrived + time.Duration(lateWaitShare*float64(w.Deadline-w.Arrived))
	if w.MayHaveRun || w.late(w.Arrived) {
		return late
	}
	return min(inTime, w.Deadline)
}

// FirstEventBy returns the time by which the answer to a waiter should begin; engines that
// would begin it later are treated as full. It is 0, which means no limit, for a waiter
// without an objective and for one that may have run.
//
// A late waiter gets its objective once more, counted from now: when late calls were sent
// wherever there was memory, they made others late. During congestion the limit is much
// shorter, because answers then begin later than expected; it makes large calls give way
// to the many small ones. Urgent calls, to which others give way, keep their objective: they
// were refused for large ones when they had to begin within a third of it.
func FirstEventBy(w Waiter, now time.Duration, waiting int) time.Duration {
	switch {
	case w.MayHaveRun, w.Objective <= 0:
		return 0
	case w.late(now):
		return now + w.Objective
	case waiting >= congestionThreshold && w.Urgency != Urgent:
		return min(w.ObjectiveEnd, now+time.Duration(congestedShare*float64(w.Objective)))
	}
	return w.ObjectiveEnd
}

// HomesOnlyUntil returns the time until which a prompt that has just arrived waits for its
// homes only.
func HomesOnlyUntil(w Waiter) time.Duration {
	return w.Arrived + time.Duration(homesOnlyShare*float64(WaitUntil(w)-w.Arrived))
}
