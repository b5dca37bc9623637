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
	"bluebellhaven.org/bluebell/bluebellqueue"
	"bluebellhaven.org/bluebell/bluebelltier"
)

const (
	target = "llm"
	model  = "m0"
	// wayThere is the time from an entry to an engine with a kept connection.
	wayThere = time.Millisecond
	// connectWithin is how long an entry tries to reach an endpoint, and lostAfter when it
	// gives up one that has gone silent in the middle of an answer.
	connectWithin = 400 * time.Millisecond
	lostAfter     = 3 * time.Second
	// lobbyTick is how often waiting calls are tried; see bluebellrelay.
	lobbyTick = 20 * time.Millisecond
	// nearTokens as in bluebellrelay.
	nearTokens = 1000
	// maxAttempts of one call of a caller.
	maxAttempts = 4
)

// guest is a call that waits at its entry.
type guest struct {
	call      *call
	waiter    bluebellqueue.Waiter
	request   bluebellplacement.Request
	until     time.Duration
	nearUntil time.Duration
}

// entry is one entry with the product's decisions.
type entry struct {
	w      *world
	name   string
	domain int
	placer *bluebellplacement.Placer
	tier   *bluebelltier.Planner
	lobby  []*guest
	// told is what it has told the core processes last.
	told    map[string]bluebellplacement.EndpointUse
	fetches map[string]bluebelltier.Load
	ticking bool
}

func (w *world) newEntry(i int) *entry {
	e := &entry{w: w, name: fmt.Sprintf("e%03d", i), domain: i % w.load.Domains}
	e.placer = bluebellplacement.New(bluebellplacement.Config{
		Self: e.name, FailureDomain: domainName(e.domain), OldWeightsGrace: time.Hour, ColdFactor: 1, StaleAfter: 4500 * time.Millisecond,
	})
	e.tier = bluebelltier.New(bluebelltier.Config{
		Stores:     func() []bluebelldeployment.Store { return w.declared },
		Directory:  func() *bluebelldirectory.View { return w.views[w.side(e.domain)] },
		OtherLoads: func() map[string]bluebelltier.Load { return w.otherFetches(e) },
		Now:        func() time.Duration { return w.agenda.Now() },
	})
	return e
}

func domainName(i int) string { return fmt.Sprintf("d%d", i) }

// tell is what the entry tells the core processes with a poll.
func (e *entry) tell() {
	e.told, e.fetches = e.placer.Uses(e.w.agenda.Now()), e.tier.InFlight()
}

// hear takes in what the core processes know of the endpoints and of other entries.
func (e *entry) hear(endpoints []bluebellfleet.Endpoint, sums map[string]bluebellplacement.EndpointUse) {
	others := make(map[string]bluebellplacement.EndpointUse, len(sums))
	for id, sum := range sums {
		own := e.told[id]
		others[id] = bluebellplacement.EndpointUse{
			Calls: sum.Calls - own.Calls, Tokens: sum.Tokens - own.Tokens, PrefillTokens: sum.PrefillTokens - own.PrefillTokens,
			Failing: sum.Failing - own.Failing, AnsweredAt: sum.AnsweredAt,
		}
	}
	e.placer.Update(bluebellplacement.Fleet{
		Endpoints: endpoints, Entries: e.w.entryNames, TokenCapacity: map[string]int{target: e.w.load.EngineRoom}, UseByOthers: others, RegistrationsLive: true,
	})
}

// take places a call or lets it wait.
func (e *entry) take(c *call) {
	k, now := c.kind, e.w.agenda.Now()
	r := bluebellplacement.Request{
		Target: target, Model: model, SharedBlock: c.subject, SharedTokens: k.SharedTokens, OwnTokens: k.OwnTokens, OutputTokens: k.OutputTokens,
		Tried: c.tried, FetchTime: e.tier.FetchTime(e.blocks(c, e.domain)),
	}
	g := &guest{call: c, request: r, waiter: bluebellqueue.Waiter{
		Priority: k.Priority, Arrived: now, ObjectiveEnd: c.takenAt + k.Objective.Duration(), Deadline: c.deadline,
		Objective: k.Objective.Duration(), MayHaveRun: c.ran, Tokens: r.Tokens(),
	}}
	g.until = bluebellqueue.WaitUntil(g.waiter)
	if k.SharedTokens >= nearTokens && len(c.tried) == 0 {
		g.nearUntil = bluebellqueue.HomesOnlyUntil(g.waiter)
	}
	if len(e.lobby) == 0 && e.try(g) == bluebellqueue.Placed {
		return
	}
	e.lobby = append(e.lobby, g)
	if !e.ticking {
		e.ticking = true
		e.w.agenda.After(lobbyTick, e.tick)
	}
}

func (e *entry) tick() {
	e.admit()
	var left []*guest
	for _, g := range e.lobby {
		if e.w.agenda.Now() >= g.until && !g.call.over {
			e.w.refuse(g.call)
			continue
		}
		left = append(left, g)
	}
	e.lobby = left
	e.ticking = len(e.lobby) > 0
	if e.ticking {
		e.w.agenda.After(lobbyTick, e.tick)
	}
}

func (e *entry) admit() {
	waiters := make([]bluebellqueue.Waiter, len(e.lobby))
	for i, g := range e.lobby {
		waiters[i] = g.waiter
	}
	placed := map[*guest]bool{}
	bluebellqueue.Admit(waiters, e.w.agenda.Now(), func(i int) bluebellqueue.TryResult {
		v := e.try(e.lobby[i])
		placed[e.lobby[i]] = v == bluebellqueue.Placed
		return v
	})
	e.lobby = slices.DeleteFunc(e.lobby, func(g *guest) bool { return placed[g] || g.call.over })
}

func (e *entry) try(g *guest) bluebellqueue.TryResult {
	g.request.HomesOnly, g.request.FirstEventBy = e.w.agenda.Now() < g.nearUntil, bluebellqueue.FirstEventBy(g.waiter, e.w.agenda.Now(), len(e.lobby))
	choice, absence := e.placer.Pick(e.w.agenda.Now(), g.request)
	switch {
	case absence == bluebellplacement.Picked:
		e.send(g.call, choice)
		return bluebellqueue.Placed
	case absence.Saturated() && !g.request.HomesOnly:
		return bluebellqueue.Full
	}
	return bluebellqueue.NotPlaced
}

// send sends a call to the engine of a choice.
func (e *entry) send(c *call, choice bluebellplacement.Choice) {
	w := e.w
	e.placer.Sent(&choice, w.agenda.Now())
	c.choice, c.attempts, c.inFlight = choice, c.attempts+1, true
	c.tried = append(c.tried, choice.Endpoint.ID)
	engine := w.engines[choice.Endpoint.ID]
	if engine.dark || w.isCut(e.domain, engine.domain) {
		w.agenda.After(connectWithin, func() { e.failed(c, bluebellplacement.ConnectionFailed) })
		return
	}
	c.plan = e.tier.Plan(e.blocks(c, engine.domain))
	w.carry(c, engine)
}

// failed goes on after an attempt without an answer.
func (e *entry) failed(c *call, o bluebellplacement.Outcome) {
	if c.over {
		return
	}
	e.done(c, o)
	if c.attempts >= maxAttempts || c.ran && !c.kind.Resumable {
		e.w.end(c, failed)
		return
	}
	e.take(c)
}

// done notes how the present attempt of a call ended, if there is one.
func (e *entry) done(c *call, o bluebellplacement.Outcome) {
	if c.inFlight {
		c.inFlight = false
		e.placer.Done(c.choice, e.w.agenda.Now(), o)
	}
	e.tier.FetchesDone(c.plan)
}

// blocks describes the shared blocks of a call to the tier.
func (e *entry) blocks(c *call, domain int) bluebelltier.Request {
	return bluebelltier.Request{
		Scope: bluebelldirectory.Scope("", model, 1), FailureDomain: domainName(domain), HomeDomain: c.choice.HomeDomain, TokenBytes: tokenBytes,
		Blocks: []bluebelltier.Block{{ID: c.subject, Tokens: c.kind.SharedTokens}},
	}
}

// baseline sends a call by a simple policy, without waiting.
func (w *world) baseline(c *call) {
	var id string
	switch w.cfg.Policy {
	case RoundRobin:
		w.turn++
		id = w.names[w.turn%len(w.names)]
	case LeastLoaded:
		id = slices.MinFunc(w.names, func(a, b string) int { return w.engines[a].load() - w.engines[b].load() })
	default:
		id = w.names[hash(c.subject)%uint64(len(w.names))]
		if c.attempts > 0 {
			id = w.names[rand.New(rand.NewPCG(hash(c.subject), uint64(c.attempts))).IntN(len(w.names))]
		}
	}
	c.attempts++
	engine := w.engines[id]
	if engine.dark || w.isCut(c.entry.domain, engine.domain) {
		w.agenda.After(connectWithin, func() {
			switch {
			case c.over:
			case c.attempts < maxAttempts:
				w.baseline(c)
			default:
				w.end(c, failed)
			}
		})
		return
	}
	c.plan = c.entry.tier.Plan(c.entry.blocks(c, engine.domain))
	w.carry(c, engine)
}

// load is what a perfectly informed balancer would compare.
func (e *engine) load() int {
	if e.dark {
		return 1 << 30
	}
	return len(e.running) + len(e.waiting)
}
