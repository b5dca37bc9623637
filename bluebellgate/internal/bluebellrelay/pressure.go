package bluebellrelay

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebellpressure"
	"bluebellhaven.org/bluebell/bluebellqueue"
)

// ranked reports whether the calls of the target are ranked by urgency.
func (call *waitingCall) ranked() bool { return call.waiter.Urgency != bluebellqueue.Unranked }

// Demands returns the calls that wait or were told to return, of each target whose calls are ranked by
// urgency.
func (r *Relay) Demands() map[string]bluebellpressure.Demand {
	r.mu.Lock()
	queues := maps.Clone(r.waitQueues)
	r.mu.Unlock()
	demands := map[string]bluebellpressure.Demand{}
	for target, q := range queues {
		if len(r.cfg.Placer.Ranks(target)) > 1 {
			demands[target] = q.demand()
		}
	}
	return demands
}

// demand returns the demand at this entry.
func (q *waitQueue) demand() bluebellpressure.Demand {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.demandLocked()
}

// demandLocked returns the demand at this entry. q.mu must be held.
func (q *waitQueue) demandLocked() bluebellpressure.Demand {
	d := bluebellpressure.Demand{Returning: q.returns.Steps(q.now())}
	for _, call := range q.calls {
		p := min(max(call.waiter.Priority, 0), bluebellplacement.PriorityCount-1)
		d.Waiting[p]++
		d.Tokens[p] += call.request.PrefillTokens()
	}
	return d
}

// pressure returns the state of a target, given the demand at this entry.
func (r *Relay) pressure(target string, own bluebellpressure.Demand) bluebellpressure.State {
	load := r.cfg.Placer.Load(r.cfg.Now(), target)
	if r.cfg.OtherDemand != nil {
		own = own.Add(r.cfg.OtherDemand(target))
	}
	return bluebellpressure.State{Engines: load.Engines, Rate: load.Rate, Unread: load.Unread, Demand: own}
}

// refusesAtOnce reports whether a call that found no endpoint is refused instead of waiting. q.mu must
// be held.
func (q *waitQueue) refusesAtOnce(call *waitingCall) bool {
	if q.pressure == nil || !call.ranked() || call.waiter.MayHaveRun || call.result != bluebellplacement.Untried && !call.result.Saturated() {
		return false
	}
	refusal, refused := q.pressure(q.demandLocked()).Refuse(bluebellpressure.Call{
		Now: q.now(), ObjectiveEnd: call.waiter.ObjectiveEnd, Deadline: call.waiter.Deadline, Until: call.until, Priority: call.waiter.Priority,
		Tokens: call.request.PrefillTokens(),
	}, q.random())
	// The pressure is that of all engines together: one may have room although calls wait.
	if !refused || call.result == bluebellplacement.Untried && q.try(call) {
		return false
	}
	call.refusal = &refusal
	call.result = bluebellplacement.AllLate
	return true
}

// goesFirst reports whether no waiting call goes before a new one. q.mu must be held.
func (q *waitQueue) goesFirst(call *waitingCall) bool {
	now := q.now()
	return !slices.ContainsFunc(q.calls, func(other *waitingCall) bool { return !bluebellqueue.Before(call.waiter, other.waiter, now) })
}

// returnAfter returns when the caller of a refused call may return, and counts it as returning then.
// It reports false for a target whose calls are not ranked, and for a call that was refused for another
// reason than too little room.
func (c *activeCall) returnAfter() (time.Duration, bool) {
	cfg := &c.relay.cfg
	target, priority := c.request.Target.Name, c.request.priority()
	if !c.saturated || len(cfg.Placer.Ranks(target)) < 2 {
		return 0, false
	}
	kind := "waited"
	if c.refusal != nil {
		kind = "at_once"
	}
	cfg.CountEvent(fmt.Sprintf("refused_%s_priority_%d", kind, priority), target)
	now := cfg.Now()
	q := c.relay.waitQueue(target)
	after := c.relay.pressure(target, q.demand()).ReturnAfter(bluebellpressure.Call{
		Now: now, ObjectiveEnd: c.start + c.request.Route.Objective, Deadline: now + time.Until(c.request.Deadline), Priority: priority,
	}, cfg.Random())
	q.mu.Lock()
	defer q.mu.Unlock()
	q.returns.Add(now, now+after)
	return after, true
}
