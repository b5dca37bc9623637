package bluebelllimit

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// Reasons for a refusal. A refused request has not run.
var (
	ErrQueueFull           = errors.New("the queue is full")
	ErrDeadlineUnreachable = errors.New("the request cannot start before its deadline")
	ErrNoSlots             = errors.New("the endpoint may get no work from here")
	ErrCustomerQueueFull   = errors.New("the customer has filled its part of the queue")
)

const (
	// customerQueueShare is the part of the queue that one customer may fill.
	customerQueueShare = 0.5
	// serviceWeight is the weight of one new measurement of the service time.
	serviceWeight = 0.1
	// defaultService is the service time before any was measured.
	defaultService = 200 * time.Millisecond
)

// Request is one request before a gate. Its zero Weight counts as 1.
type Request struct {
	ID       uint64
	Customer string
	// Weight is the customer's share under contention.
	Weight float64
	// Priority is higher for what goes first.
	Priority int
	// Deadline is the time by which it must start.
	Deadline time.Duration

	start     float64
	startedAt time.Duration
}

// GateConfig sets up a Gate.
type GateConfig struct {
	// QueueLimit is the number of requests that wait at the most.
	QueueLimit int
}

// Gate admits requests to one endpoint. It is not safe for concurrent use.
type Gate struct {
	cfg     GateConfig
	ramp    ramp
	running map[uint64]*Request
	queue   []*Request
	// virtual time and each waiting customer's last finish tag
	virtual float64
	finish  map[string]float64
	waiting map[string]int
	service time.Duration
	// slots is the limit at the latest decision.
	slots int
}

// NewGate returns a gate without slots.
func NewGate(cfg GateConfig) *Gate {
	return &Gate{
		cfg: cfg, running: map[uint64]*Request{},
		finish: map[string]float64{}, waiting: map[string]int{}, service: defaultService,
	}
}

// Running returns the number of requests that run.
func (g *Gate) Running() int { return len(g.running) }

// Waiting returns the number of requests that wait.
func (g *Gate) Waiting() int { return len(g.queue) }

// Slots returns the present limit.
func (g *Gate) Slots() int { return g.slots }

// SetLimits changes the limits. Requests that run go on. It returns the waiting
// requests that may start now.
func (g *Gate) SetLimits(now time.Duration, l SlotLimits) []*Request {
	g.ramp.set(now, l)
	return g.admit(now)
}

// Offer takes in a request. It returns true when the request starts at once, and
// false when it waits; a refused request gets an error and a time after which it
// is worth trying again.
func (g *Gate) Offer(now time.Duration, r *Request) (started bool, retryAfter time.Duration, err error) {
	g.slots = g.ramp.slots(now)
	if g.slots == 0 {
		return false, g.service, ErrNoSlots
	}
	if len(g.queue) == 0 && len(g.running) < g.slots {
		g.tag(r)
		g.start(now, r)
		return true, 0, nil
	}
	wait := g.expectedWait(r)
	switch {
	case len(g.queue) >= g.cfg.QueueLimit:
		return false, wait, ErrQueueFull
	case float64(g.waiting[r.Customer]) >= customerQueueShare*float64(g.cfg.QueueLimit):
		return false, wait, ErrCustomerQueueFull
	case now+wait > r.Deadline:
		return false, wait, ErrDeadlineUnreachable
	}
	g.tag(r)
	g.waiting[r.Customer]++
	at, _ := slices.BinarySearchFunc(g.queue, r, compareRequests)
	g.queue = slices.Insert(g.queue, at, r)
	return false, 0, nil
}

// Release ends a running request, and returns the waiting ones that start now.
// Ok tells whether the endpoint completed it.
func (g *Gate) Release(now time.Duration, r *Request, ok bool) []*Request {
	if g.running[r.ID] != r {
		panic("a request was released that does not run")
	}
	delete(g.running, r.ID)
	took := now - r.startedAt
	g.service += time.Duration(serviceWeight * float64(took-g.service))
	g.ramp.done(now, ok)
	return g.admit(now)
}

// MarkCold treats an endpoint as cold until it has completed requests again: it
// has shown that it may have lost its memory, and its health comes late.
func (g *Gate) MarkCold(now time.Duration) {
	g.ramp.restart()
	g.slots = g.ramp.slots(now)
}

// Cancel takes a request out of the queue, and tells whether it was there.
func (g *Gate) Cancel(r *Request) bool {
	at := slices.Index(g.queue, r)
	if at < 0 {
		return false
	}
	g.unqueue(at)
	return true
}

// admit starts waiting requests while there are slots.
func (g *Gate) admit(now time.Duration) []*Request {
	g.slots = g.ramp.slots(now)
	var started []*Request
	for len(g.queue) > 0 && len(g.running) < g.slots {
		r := g.queue[0]
		g.unqueue(0)
		g.start(now, r)
		started = append(started, r)
	}
	return started
}

func (g *Gate) start(now time.Duration, r *Request) {
	if len(g.running) >= g.slots {
		panic("an endpoint would get more requests than it has slots")
	}
	r.startedAt = now
	g.virtual = max(g.virtual, r.start)
	g.running[r.ID] = r
	if len(g.running) == 1 && len(g.queue) == 0 {
		// An idle gate starts a new period of fairness.
		clear(g.finish)
	}
}

// tag gives a request its place in the fair order.
func (g *Gate) tag(r *Request) {
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	r.start = max(g.virtual, g.finish[r.Customer])
	g.finish[r.Customer] = r.start + 1/weight
}

func (g *Gate) unqueue(at int) {
	r := g.queue[at]
	g.queue = slices.Delete(g.queue, at, at+1)
	if g.waiting[r.Customer]--; g.waiting[r.Customer] == 0 {
		delete(g.waiting, r.Customer)
	}
}

// expectedWait is the time until a request would start: those that go before it,
// at the rate at which the slots become free.
func (g *Gate) expectedWait(r *Request) time.Duration {
	before := 1
	for _, other := range g.queue {
		if other.Priority >= r.Priority {
			before++
		}
	}
	return time.Duration(before) * g.service / time.Duration(max(g.slots, 1))
}

func compareRequests(a, b *Request) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.start, b.start), cmp.Compare(a.ID, b.ID))
}
