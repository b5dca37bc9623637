package bluebelloverload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebellpressure"
	"bluebellhaven.org/bluebell/bluebellqueue"
	"bluebellhaven.org/bluebell/bluebelltier"
)

const (
	target = "llm"
	model  = "m0"
	// networkDelay is the time from an entry to an engine over an open connection.
	networkDelay = time.Millisecond
	// connectTimeout limits an entry's attempt to reach an endpoint. silenceTimeout is the time
	// after which a call at an engine that has become silent is given up.
	connectTimeout = 400 * time.Millisecond
	silenceTimeout = 3 * time.Second
	// queuePollInterval is the time between attempts to place the waiting calls, as in
	// bluebellrelay.
	queuePollInterval = 20 * time.Millisecond
	// minHomeWaitTokens is the least size of a shared block whose call first waits for one of
	// its homes (the endpoints that should have the block cached), as in bluebellrelay.
	minHomeWaitTokens = 1000
	// maxAttempts limits the attempts to send one call to an engine.
	maxAttempts = 4
)

// queuedCall is a call that waits at its entry.
type queuedCall struct {
	call    *call
	waiter  bluebellqueue.Waiter
	request bluebellplacement.Request
	// waitUntil is when the call is refused. Until homesOnlyUntil it may only go to its homes.
	waitUntil      time.Duration
	homesOnlyUntil time.Duration
}

// entry simulates one entry with the product's placement, queue and use of cache stores.
type entry struct {
	sim          *simulation
	name         string
	domain       int
	placer       *bluebellplacement.Placer
	cachePlanner *bluebelltier.Planner
	queue        []*queuedCall
	// reportedUses and reportedFetches are what the entry last sent to the core processes.
	reportedUses    map[string]bluebellplacement.EndpointUse
	reportedFetches map[string]bluebelltier.Load
	// pollScheduled is set while the next call of pollQueue is scheduled.
	pollScheduled bool
	// othersDemand is the demand at the other entries, as of othersDemandAt, reportedDemand what this one
	// last reported, and returns the callers that it told to return.
	othersDemand, reportedDemand bluebellpressure.Demand
	othersDemandAt               time.Duration
	returns                      bluebellpressure.Returns
}

func (sim *simulation) newEntry(i int) *entry {
	e := &entry{sim: sim, name: fmt.Sprintf("e%03d", i), domain: i % sim.load.Domains}
	e.placer = bluebellplacement.New(bluebellplacement.Config{
		Self: e.name, FailureDomain: domainName(e.domain), OldWeightsGrace: time.Hour, ColdFactor: 1, StaleAfter: 4500 * time.Millisecond,
	})
	e.cachePlanner = bluebelltier.New(bluebelltier.Config{
		Stores:     func() []bluebelldeployment.Store { return sim.declaredStores },
		Directory:  func() *bluebelldirectory.View { return sim.views[sim.side(e.domain)] },
		OtherLoads: func() map[string]bluebelltier.Load { return sim.otherFetches(e) },
		Now:        func() time.Duration { return sim.eventQueue.Now() },
	})
	return e
}

func domainName(i int) string { return fmt.Sprintf("d%d", i) }

// report sets what the entry sends to the core processes with a poll.
func (e *entry) report() {
	e.reportedDemand = e.demand()
	e.reportedUses, e.reportedFetches = e.placer.Uses(e.sim.eventQueue.Now()), e.cachePlanner.InFlight()
}

// update applies the answer to a poll: the endpoints, and the sum of what all entries reported,
// from which the entry's own report is subtracted.
func (e *entry) update(endpoints []bluebellfleet.Endpoint, sums map[string]bluebellplacement.EndpointUse) {
	others := make(map[string]bluebellplacement.EndpointUse, len(sums))
	for id, sum := range sums {
		own := e.reportedUses[id]
		others[id] = bluebellplacement.EndpointUse{
			Calls: sum.Calls - own.Calls, Tokens: sum.Tokens - own.Tokens, PrefillTokens: sum.PrefillTokens - own.PrefillTokens,
			Failing: sum.Failing - own.Failing, AnsweredAt: sum.AnsweredAt, UnreadByPriority: sum.UnreadByPriority.Sub(own.UnreadByPriority),
			Speed: sum.Speed.Minus(own.Speed),
		}
	}
	e.placer.Update(bluebellplacement.Fleet{
		Endpoints: endpoints, Entries: e.sim.entryNames, TokenCapacity: map[string]int{target: e.sim.load.EngineRoom}, UseByOthers: others, RegistrationsLive: true,
		Ranks: map[string][]bluebellplacement.Rank{target: e.sim.load.ranks()},
	})
}

// placeOrQueue sends a call to an engine if no other call waits and the placer picks an
// engine. Otherwise the call waits.
func (e *entry) placeOrQueue(c *call) {
	k, now := c.kind, e.sim.eventQueue.Now()
	r := bluebellplacement.Request{
		Target: target, Model: model, Priority: k.Priority, SharedBlock: c.subject, SharedTokens: k.SharedTokens, OwnTokens: k.OwnTokens, OutputTokens: k.OutputTokens,
		Tried: c.tried, FetchTime: e.cachePlanner.FetchTime(e.cacheRequest(c, e.domain)),
	}
	q := &queuedCall{call: c, request: r, waiter: bluebellqueue.Waiter{
		Priority: k.Priority, Arrived: now, ObjectiveEnd: c.receivedAt + k.Objective.Duration(), Deadline: c.deadline,
		Objective: k.Objective.Duration(), MayHaveRun: c.mayHaveRun, Tokens: r.Tokens(),
		Urgency: e.sim.load.urgency(k.Priority),
	}}
	if q.waiter.Urgency != bluebellqueue.Unranked {
		q.waiter.Work, q.waiter.Protected = e.placer.PrefillTime(r), e.sim.rand.Float64() < bluebellqueue.ProtectedShare
	}
	q.waitUntil = bluebellqueue.WaitUntil(q.waiter)
	if k.SharedTokens >= minHomeWaitTokens && len(c.tried) == 0 {
		q.homesOnlyUntil = bluebellqueue.HomesOnlyUntil(q.waiter)
	}
	if (len(e.queue) == 0 || e.goesFirst(q)) && e.tryPlace(q) == bluebellqueue.Placed {
		return
	}
	if e.refusesAtOnce(q) {
		e.sim.refuse(q)
		return
	}
	e.queue = append(e.queue, q)
	if !e.pollScheduled {
		e.pollScheduled = true
		e.sim.eventQueue.After(queuePollInterval, e.pollQueue)
	}
}

// goesFirst reports whether the calls are ranked by urgency and none that waits goes before a new one.
func (e *entry) goesFirst(q *queuedCall) bool {
	return q.waiter.Urgency != bluebellqueue.Unranked && !slices.ContainsFunc(e.queue, func(other *queuedCall) bool {
		return !bluebellqueue.Before(q.waiter, other.waiter, e.sim.eventQueue.Now())
	})
}

// pollQueue tries to place the waiting calls, and refuses those that have waited too long.
func (e *entry) pollQueue() {
	e.admit()
	var left []*queuedCall
	for _, q := range e.queue {
		if e.sim.eventQueue.Now() >= q.waitUntil && !q.call.ended {
			e.sim.refuse(q)
			continue
		}
		left = append(left, q)
	}
	e.queue = left
	e.pollScheduled = len(e.queue) > 0
	if e.pollScheduled {
		e.sim.eventQueue.After(queuePollInterval, e.pollQueue)
	}
}

// admit places waiting calls in the order of bluebellqueue, and removes them from the queue.
func (e *entry) admit() {
	waiters := make([]bluebellqueue.Waiter, len(e.queue))
	for i, q := range e.queue {
		waiters[i] = q.waiter
	}
	placed := map[*queuedCall]bool{}
	bluebellqueue.Admit(waiters, e.sim.eventQueue.Now(), func(i int) bluebellqueue.TryResult {
		result := e.tryPlace(e.queue[i])
		placed[e.queue[i]] = result == bluebellqueue.Placed
		return result
	})
	e.queue = slices.DeleteFunc(e.queue, func(q *queuedCall) bool { return placed[q] || q.call.ended })
}

// tryPlace sends a call to the endpoint that the placer picks, if it picks one.
func (e *entry) tryPlace(q *queuedCall) bluebellqueue.TryResult {
	q.request.HomesOnly, q.request.FirstEventBy = e.sim.eventQueue.Now() < q.homesOnlyUntil, bluebellqueue.FirstEventBy(q.waiter, e.sim.eventQueue.Now(), len(e.queue))
	choice, result := e.placer.Pick(e.sim.eventQueue.Now(), q.request)
	switch {
	case result == bluebellplacement.Picked:
		e.send(q.call, choice)
		return bluebellqueue.Placed
	case result.Saturated() && !q.request.HomesOnly:
		return bluebellqueue.Full
	}
	return bluebellqueue.NotPlaced
}

// send sends a call to the chosen engine.
func (e *entry) send(c *call, choice bluebellplacement.Choice) {
	sim := e.sim
	e.placer.Sent(&choice, sim.eventQueue.Now())
	c.choice, c.attempts, c.inFlight = choice, c.attempts+1, true
	c.tried = append(c.tried, choice.Endpoint.ID)
	engine := sim.engines[choice.Endpoint.ID]
	if engine.dark || sim.cutBetween(e.domain, engine.domain) {
		sim.eventQueue.After(connectTimeout, func() { e.attemptFailed(c, bluebellplacement.ConnectionFailed) })
		return
	}
	c.cachePlan = e.cachePlanner.Plan(e.cacheRequest(c, engine.domain))
	sim.deliver(c, engine)
}

// attemptFailed tries a call again after an attempt without an answer. The call fails if it has
// had maxAttempts, or if it may have run and is not resumable.
func (e *entry) attemptFailed(c *call, o bluebellplacement.Outcome) {
	if c.ended {
		return
	}
	e.attemptDone(c, o)
	if c.attempts >= maxAttempts || c.mayHaveRun && !c.kind.Resumable {
		e.sim.end(c, failed)
		return
	}
	e.placeOrQueue(c)
}

// attemptDone records the outcome of a call's attempt in flight, if there is one, and the end
// of its fetches.
func (e *entry) attemptDone(c *call, o bluebellplacement.Outcome) {
	if c.inFlight {
		c.inFlight = false
		e.placer.Done(c.choice, e.sim.eventQueue.Now(), o)
	}
	e.cachePlanner.FetchesDone(c.cachePlan)
}

// cacheRequest returns the request to the cache planner for a call that runs in a failure domain.
func (e *entry) cacheRequest(c *call, domain int) bluebelltier.Request {
	return bluebelltier.Request{
		Scope: bluebelldirectory.Scope("", model, 1), FailureDomain: domainName(domain), HomeDomain: c.choice.HomeDomain, TokenBytes: tokenBytes,
		Blocks: []bluebelltier.Block{{ID: c.subject, Tokens: c.kind.SharedTokens}}, Expected: c.choice.Predicted,
	}
}

// placeByBaseline sends a call at once to the engine that a baseline policy chooses. If the
// engine cannot be reached, it tries again up to maxAttempts.
func (sim *simulation) placeByBaseline(c *call) {
	var id string
	switch sim.cfg.Policy {
	case RoundRobin:
		sim.nextEngine++
		id = sim.engineIDs[sim.nextEngine%len(sim.engineIDs)]
	case LeastLoaded:
		id = slices.MinFunc(sim.engineIDs, func(a, b string) int { return sim.engines[a].calls() - sim.engines[b].calls() })
	default:
		id = sim.engineIDs[hash(c.subject)%uint64(len(sim.engineIDs))]
		if c.attempts > 0 {
			id = sim.engineIDs[rand.New(rand.NewPCG(hash(c.subject), uint64(c.attempts))).IntN(len(sim.engineIDs))]
		}
	}
	c.attempts++
	engine := sim.engines[id]
	if engine.dark || sim.cutBetween(c.entry.domain, engine.domain) {
		sim.eventQueue.After(connectTimeout, func() {
			switch {
			case c.ended:
			case c.attempts < maxAttempts:
				sim.placeByBaseline(c)
			default:
				sim.end(c, failed)
			}
		})
		return
	}
	c.cachePlan = c.entry.cachePlanner.Plan(c.entry.cacheRequest(c, engine.domain))
	sim.deliver(c, engine)
}

// calls returns the number of running and waiting calls, which LeastLoaded compares without
// delay. It is very large for a dark engine.
func (e *engine) calls() int {
	if e.dark {
		return 1 << 30
	}
	return len(e.running) + len(e.waiting)
}
