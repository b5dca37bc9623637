package bluebelllimit

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// The errors of Gate.Offer. A rejected request has not run.
var (
	ErrQueueFull           = errors.New("the queue is full")
	ErrDeadlineUnreachable = errors.New("the request cannot start before its deadline")
	ErrNoSlots             = errors.New("the endpoint may get no work from here")
	ErrCustomerQueueFull   = errors.New("the customer has filled its part of the queue")
)

const (
	// customerQueueShare is the fraction of the queue that one customer may fill.
	customerQueueShare = 0.5
	// serviceTimeWeight is the weight of a new sample in the moving average of the
	// service time.
	serviceTimeWeight = 0.1
	// defaultServiceTime is the service time that is assumed before the first sample.
	defaultServiceTime = 200 * time.Millisecond
)

// Request is a request for one slot of an endpoint.
type Request struct {
	ID       uint64
	Customer string
	// Weight is the customer's relative share of the slots while requests wait. Zero
	// and negative values count as 1.
	Weight float64
	// Priority orders waiting requests; higher values start first.
	Priority int
	// Deadline is the time by which the request must start.
	Deadline time.Duration

	startTag  float64
	startedAt time.Duration
}

// GateConfig is the configuration of a Gate.
type GateConfig struct {
	// QueueLimit is the maximum number of waiting requests.
	QueueLimit int
}

// Gate limits the concurrent requests on one endpoint and queues further ones. It is
// not safe for concurrent use.
type Gate struct {
	cfg     GateConfig
	ramp    ramp
	running map[uint64]*Request
	queue   []*Request
	// virtualTime and each customer's last finish tag order the queue fairly; see the
	// package comment.
	virtualTime       float64
	finishTags        map[string]float64
	waitingByCustomer map[string]int
	// serviceTime is the moving average of the time that requests run.
	serviceTime time.Duration
	// slots is the slot limit at the latest decision.
	slots int
}

// NewGate returns a gate that rejects all requests until SetLimits is called.
func NewGate(cfg GateConfig) *Gate {
	return &Gate{
		cfg: cfg, running: map[uint64]*Request{},
		finishTags: map[string]float64{}, waitingByCustomer: map[string]int{}, serviceTime: defaultServiceTime,
	}
}

// Running returns the number of running requests.
func (g *Gate) Running() int { return len(g.running) }

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int { return len(g.queue) }

// Slots returns the slot limit at the latest decision.
func (g *Gate) Slots() int { return g.slots }

// SetLimits changes the limits and returns the waiting requests that start now.
// Running requests continue even if they exceed the new limits.
func (g *Gate) SetLimits(now time.Duration, l SlotLimits) []*Request {
	g.ramp.setLimits(now, l)
	return g.admit(now)
}

// Offer submits a request. It returns true if the request starts at once and false if
// it is queued. For a rejected request it returns an error and the time after which
// the caller may retry.
func (g *Gate) Offer(now time.Duration, r *Request) (started bool, retryAfter time.Duration, err error) {
	g.slots = g.ramp.slots(now)
	if g.slots == 0 {
		return false, g.serviceTime, ErrNoSlots
	}
	if len(g.queue) == 0 && len(g.running) < g.slots {
		g.assignTags(r)
		g.start(now, r)
		return true, 0, nil
	}
	wait := g.expectedWait(r)
	switch {
	case len(g.queue) >= g.cfg.QueueLimit:
		return false, wait, ErrQueueFull
	case float64(g.waitingByCustomer[r.Customer]) >= customerQueueShare*float64(g.cfg.QueueLimit):
		return false, wait, ErrCustomerQueueFull
	case now+wait > r.Deadline:
		return false, wait, ErrDeadlineUnreachable
	}
	g.assignTags(r)
	g.waitingByCustomer[r.Customer]++
	index, _ := slices.BinarySearchFunc(g.queue, r, compareRequests)
	g.queue = slices.Insert(g.queue, index, r)
	return false, 0, nil
}

// Release ends a running request and returns the waiting requests that start now. The
// argument ok reports whether the endpoint completed the request. Release panics if
// the request is not running.
func (g *Gate) Release(now time.Duration, r *Request, ok bool) []*Request {
	if g.running[r.ID] != r {
		panic("bluebelllimit: released a request that is not running")
	}
	delete(g.running, r.ID)
	elapsed := now - r.startedAt
	g.serviceTime += time.Duration(serviceTimeWeight * float64(elapsed-g.serviceTime))
	g.ramp.recordResult(now, ok)
	return g.admit(now)
}

// MarkCold treats the endpoint as cold until it has completed requests again. Callers
// use it at the first sign that the endpoint may have lost the contents of its memory,
// since the endpoint's health report arrives later.
func (g *Gate) MarkCold(now time.Duration) {
	g.ramp.restart()
	g.slots = g.ramp.slots(now)
}

// Cancel removes a request from the queue and reports whether it was queued.
func (g *Gate) Cancel(r *Request) bool {
	index := slices.Index(g.queue, r)
	if index < 0 {
		return false
	}
	g.removeQueued(index)
	return true
}

// admit starts waiting requests while slots are free, and returns them.
func (g *Gate) admit(now time.Duration) []*Request {
	g.slots = g.ramp.slots(now)
	var started []*Request
	for len(g.queue) > 0 && len(g.running) < g.slots {
		r := g.queue[0]
		g.removeQueued(0)
		g.start(now, r)
		started = append(started, r)
	}
	return started
}

// start marks a request as running. It panics if no slot is free.
func (g *Gate) start(now time.Duration, r *Request) {
	if len(g.running) >= g.slots {
		panic("bluebelllimit: started a request without a free slot")
	}
	r.startedAt = now
	g.virtualTime = max(g.virtualTime, r.startTag)
	g.running[r.ID] = r
	if len(g.running) == 1 && len(g.queue) == 0 {
		// The gate was idle, so that earlier use no longer counts in the fair order.
		clear(g.finishTags)
	}
}

// assignTags sets the request's start tag and the finish tag of its customer.
func (g *Gate) assignTags(r *Request) {
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	r.startTag = max(g.virtualTime, g.finishTags[r.Customer])
	g.finishTags[r.Customer] = r.startTag + 1/weight
}

func (g *Gate) removeQueued(index int) {
	r := g.queue[index]
	g.queue = slices.Delete(g.queue, index, index+1)
	if g.waitingByCustomer[r.Customer]--; g.waitingByCustomer[r.Customer] == 0 {
		delete(g.waitingByCustomer, r.Customer)
	}
}

// expectedWait estimates the time until a request would start, from the number of
// requests ahead of it and the rate at which slots become free.
func (g *Gate) expectedWait(r *Request) time.Duration {
	ahead := 1
	for _, other := range g.queue {
		if other.Priority >= r.Priority {
			ahead++
		}
	}
	return time.Duration(ahead) * g.serviceTime / time.Duration(max(g.slots, 1))
}

// compareRequests orders the queue by priority, start tag and ID.
func compareRequests(a, b *Request) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.ID, b.ID))
}
