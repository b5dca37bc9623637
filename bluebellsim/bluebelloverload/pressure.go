package bluebelloverload

import (
	"time"

	"bluebellhaven.org/bluebell/bluebellpressure"
	"bluebellhaven.org/bluebell/bluebellqueue"
)

// Entries refuse calls by the pressure at the target if these are ranked by urgency.

// demand returns the calls that wait at the entry or were told to return.
func (e *entry) demand() bluebellpressure.Demand {
	d := bluebellpressure.Demand{Returning: e.returns.Steps(e.sim.eventQueue.Now())}
	for _, q := range e.queue {
		d.Waiting[q.waiter.Priority]++
		d.Tokens[q.waiter.Priority] += q.request.PrefillTokens()
	}
	return d
}

// pressure returns the state of the target as the entry knows it.
func (e *entry) pressure() bluebellpressure.State {
	now := e.sim.eventQueue.Now()
	load := e.placer.Load(now, target)
	return bluebellpressure.State{
		Engines: load.Engines, Rate: load.Rate, Unread: load.Unread, Demand: e.othersDemand.After(now - e.othersDemandAt).Add(e.demand()),
	}
}

// pressureCall describes a waiting call.
func (e *entry) pressureCall(q *queuedCall) bluebellpressure.Call {
	return bluebellpressure.Call{
		Now: e.sim.eventQueue.Now(), ObjectiveEnd: q.waiter.ObjectiveEnd, Deadline: q.waiter.Deadline, Priority: q.waiter.Priority, Tokens: q.request.PrefillTokens(),
	}
}

// refusesAtOnce reports whether a call that found no engine is refused instead of waiting.
func (e *entry) refusesAtOnce(q *queuedCall) bool {
	if q.waiter.Urgency == bluebellqueue.Unranked || q.waiter.MayHaveRun {
		return false
	}
	_, refused := e.pressure().Refuse(e.pressureCall(q), e.sim.rand.Float64())
	return refused
}

// returnAfter returns the time after which a refused caller returns.
func (e *entry) returnAfter(q *queuedCall) time.Duration {
	if q.waiter.Urgency == bluebellqueue.Unranked {
		return minRetryAfter + time.Duration(e.sim.rand.Float64()*float64(retryAfterSpread))
	}
	after := e.pressure().ReturnAfter(e.pressureCall(q), e.sim.rand.Float64())
	e.returns.Add(e.sim.eventQueue.Now(), e.sim.eventQueue.Now()+after)
	return after
}
