package bluebellrelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebellpressure"
	"bluebellhaven.org/bluebell/bluebellqueue"
)

const (
	// pollInterval is how often the queue looks for endpoints even if no call has ended.
	// Updates on the load of other entries arrive at most that often.
	pollInterval = 20 * time.Millisecond
	// minAdmitInterval is the shortest time between two searches that ended calls trigger.
	// Without it, calls that end together would each cause a search for all waiting calls.
	minAdmitInterval = 2 * time.Millisecond
)

// waitingCall is a call in a waitQueue.
type waitingCall struct {
	waiter  bluebellqueue.Waiter
	request bluebellplacement.Request
	choice  bluebellplacement.Choice
	result  bluebellplacement.PickResult
	// homesOnlyUntil is the time until which the call waits only for its prompt's homes, the
	// endpoints that should have the prompt cached.
	homesOnlyUntil time.Duration
	// unfitUntil is the time until which the call waits while no endpoint could take it,
	// even an idle one.
	unfitUntil time.Duration
	// until is the end of the wait.
	until time.Duration
	// selected is closed once hasResult is true, or withdrawn is set because the call will get no
	// endpoint in time.
	selected  chan struct{}
	withdrawn bool
	// refusal is set if the call was refused on arrival.
	refusal *bluebellpressure.Refusal
}

// waitQueue holds the calls that wait for an endpoint of one target.
type waitQueue struct {
	trySelect func(r bluebellplacement.Request) (bluebellplacement.Choice, bluebellplacement.PickResult)
	now       func() time.Duration

	mu    sync.Mutex
	calls []*waitingCall
	// admittedAt is when admit last ran with calls waiting.
	admittedAt time.Duration
	// polling is set while poll runs.
	polling bool
	// limit is set if the call that was tried last found only endpoints that take no call for the
	// limits that they name.
	limit *bluebellqueue.Limit
	// pressure returns the state of the target, given the demand at this entry, and random a number in
	// [0, 1).
	pressure func(own bluebellpressure.Demand) bluebellpressure.State
	random   func() float64
	// returns are the callers that were told to return.
	returns bluebellpressure.Returns
}

// wait returns an endpoint for a call, or why none is available by the end of its wait.
func (q *waitQueue) wait(ctx context.Context, call *waitingCall, until time.Duration) (bluebellplacement.Choice, bluebellplacement.PickResult) {
	call.until = until
	if q.selectOrEnqueue(call) {
		return call.choice, call.result
	}
	for _, at := range []time.Duration{min(call.unfitUntil, until), until} {
		select {
		case <-call.selected:
			return q.dequeue(call)
		case <-time.After(at - q.now()):
		case <-ctx.Done():
			return q.dequeue(call)
		}
		if q.hasNoFit(call) {
			break
		}
	}
	return q.dequeue(call)
}

// hasNoFit reports whether no endpoint could take the call, even an idle one.
func (q *waitQueue) hasNoFit(call *waitingCall) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return call.result == bluebellplacement.AllUnfit || call.result == bluebellplacement.NoEndpoint
}

// selectOrEnqueue selects an endpoint for the call, unless other calls wait for more than the turns
// of limited endpoints. If that is not possible, it adds the call to the queue, unless it is known that
// it gets no endpoint in time. It reports whether the call has its result.
func (q *waitQueue) selectOrEnqueue(call *waitingCall) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	call.selected = make(chan struct{})
	// Other calls may wait for limits because they have tried the other endpoints.
	if len(q.calls) == 0 || q.limit != nil || call.ranked() && q.goesFirst(call) {
		ahead := len(q.calls)
		if call.ranked() && q.goesFirst(call) {
			ahead = 0
		}
		if q.try(call) || q.isHopeless(call, ahead) {
			return true
		}
	}
	if q.refusesAtOnce(call) || call.hasResult() {
		return true
	}
	q.calls = append(q.calls, call)
	if !q.polling {
		q.polling = true
		go q.poll()
	}
	return false
}

// poll looks for endpoints at intervals until no call waits.
func (q *waitQueue) poll() {
	for {
		time.Sleep(pollInterval)
		q.mu.Lock()
		q.admit()
		q.polling = len(q.calls) > 0
		polling := q.polling
		q.mu.Unlock()
		if !polling {
			return
		}
	}
}

// dequeue removes a call from the queue and returns its result.
func (q *waitQueue) dequeue(call *waitingCall) (bluebellplacement.Choice, bluebellplacement.PickResult) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.calls = slices.DeleteFunc(q.calls, func(other *waitingCall) bool { return other == call })
	return call.choice, call.result
}

// callEnded looks for endpoints for waiting calls after a call at an endpoint of the target
// has ended.
func (q *waitQueue) callEnded() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.now()-q.admittedAt >= minAdmitInterval {
		q.admit()
	}
}

// try reports whether the call has its result: an endpoint, or that the links are lost. q.mu must be
// held.
func (q *waitQueue) try(call *waitingCall) bool {
	now := q.now()
	call.request.HomesOnly, call.request.FirstEventBy = now < call.homesOnlyUntil, bluebellqueue.FirstEventBy(call.waiter, now, len(q.calls))
	call.choice, call.result = q.trySelect(call.request)
	q.limit = nil
	if call.result == bluebellplacement.AllLimited {
		q.limit = &bluebellqueue.Limit{From: call.choice.AllowedAt, Interval: call.choice.AllowedInterval}
	}
	return call.hasResult()
}

// hasResult reports whether the call need not wait any longer.
func (call *waitingCall) hasResult() bool {
	return call.result == bluebellplacement.Picked || call.result == bluebellplacement.LinksLost
}

// isHopeless reports whether a call that was just tried gets no endpoint in time, with a number of
// calls ahead of it that wait for limits. q.mu must be held.
func (q *waitQueue) isHopeless(call *waitingCall, ahead int) bool {
	switch call.result {
	case bluebellplacement.AllLimited:
		// Refusing a call that may have run has no benefit while an endpoint may take it.
		return !q.limit.Allows(ahead, call.until) && (!call.waiter.MayHaveRun || q.limit.Interval == 0)
	case bluebellplacement.AllLeaving, bluebellplacement.AllShared:
		return !call.waiter.MayHaveRun
	}
	return false
}

// limitedResult is the result of a call that has tried no endpoint and that found only endpoints that
// take no call for what they have stated. It is the same for the calls behind it. Trying all of a long
// queue would use up the entry's processor.
type limitedResult struct {
	call  *waitingCall
	limit *bluebellqueue.Limit
}

// appliesTo reports whether a call gets the same result.
func (r *limitedResult) appliesTo(call *waitingCall) bool {
	return r.call != nil && len(call.request.Tried) == 0 && call.request.Model == r.call.request.Model
}

// admit selects endpoints for the waiting calls, in the order that bluebellqueue sets, and withdraws
// those that get none in time. q.mu must be held.
func (q *waitQueue) admit() {
	if len(q.calls) == 0 {
		return
	}
	q.admittedAt = q.now()
	waiters := make([]bluebellqueue.Waiter, len(q.calls))
	for i, call := range q.calls {
		waiters[i] = call.waiter
		// Admit skips only calls that are too large for the available memory.
		call.result = bluebellplacement.AllFull
	}
	limited := 0
	var exhausted limitedResult
	bluebellqueue.Admit(waiters, q.admittedAt, func(i int) bluebellqueue.TryResult {
		call := q.calls[i]
		switch {
		case exhausted.appliesTo(call):
			call.choice, call.result, q.limit = exhausted.call.choice, exhausted.call.result, exhausted.limit
		case q.try(call):
			close(call.selected)
			return bluebellqueue.Placed
		case call.result == bluebellplacement.AllLimited && len(call.request.Tried) == 0:
			exhausted = limitedResult{call, q.limit}
		}
		switch {
		case q.isHopeless(call, limited):
			call.withdrawn = true
			close(call.selected)
		case call.result == bluebellplacement.AllLimited:
			limited++
		case call.result.Saturated() && !call.request.HomesOnly:
			return bluebellqueue.Full
		}
		return bluebellqueue.NotPlaced
	})
	q.calls = slices.DeleteFunc(q.calls, func(call *waitingCall) bool { return call.hasResult() || call.withdrawn })
}
