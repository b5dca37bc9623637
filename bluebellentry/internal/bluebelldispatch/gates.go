package bluebelldispatch

import (
	"context"
	"sync"
	"time"

	"bluebellhaven.org/bluebell/bluebelllimit"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellroute"
)

// gate limits the calls that this VM runs on one endpoint.
type gate struct {
	mu     sync.Mutex
	gate   *bluebelllimit.Gate
	limits bluebelllimit.SlotLimits
	// waiting holds, by request ID, the channel that is closed when the request gets a slot.
	waiting map[uint64]chan struct{}
}

// gateSet holds the gates of the endpoints that this VM owns.
type gateSet struct {
	vm    string // the name of this VM
	now   func() time.Duration
	after func(time.Duration) <-chan time.Time

	mu         sync.Mutex
	gates      map[string]*gate // by endpoint
	queueLimit int
	nextID     uint64 // the ID of the latest request for a slot
}

func newGateSet(vm string, now func() time.Duration, after func(time.Duration) <-chan time.Time) *gateSet {
	return &gateSet{vm: vm, now: now, after: after, gates: map[string]*gate{}}
}

// handoverDuration is the time for which a new owner of slots does not use them, so that
// the old owner stops using them first. It is longer than the time in which a change is in
// force on all VMs.
const handoverDuration = 6 * time.Second

// HandoverRemaining returns the time until the handover of a change of owners is over. It
// is negative after the handover. The argument ownersChangedAt is in Unix nanoseconds.
func HandoverRemaining(ownersChangedAt int64, now time.Time) time.Duration {
	return time.Unix(0, ownersChangedAt).Add(handoverDuration).Sub(now)
}

// apply sets the limits of all gates from a table. The times unixNow, on the clock of health
// reports, and ownersChangedAt, the last change of slot owners, are in Unix nanoseconds.
// Slots that this VM gained by that change are not used before the handover is over.
func (s *gateSet) apply(t *bluebellroute.Table, policy *pb.Policy, unixNow, ownersChangedAt int64) {
	s.mu.Lock()
	s.queueLimit = int(policy.GetQueueLimit())
	s.mu.Unlock()
	now := s.now()
	warmAfter := policy.GetWarmAfter().AsDuration()
	inHandover := unixNow < ownersChangedAt+int64(handoverDuration)
	for _, e := range t.Endpoints() {
		warm, cold := e.SlotShare(s.vm, e.Slots), e.SlotShare(s.vm, e.ColdSlots)
		g := s.lookup(e.Name)
		if g == nil && warm == 0 {
			continue
		}
		if g == nil {
			g = s.get(e.Name)
		}
		age := time.Duration(unixNow - e.FirstSeenAt)
		g.setLimits(now, inHandover, bluebelllimit.SlotLimits{
			Warm: warm, Cold: cold,
			Incarnation: e.Incarnation, ColdUntil: now + warmAfter - age,
			Closed: !e.Usable || warm == 0,
		})
	}
	s.closeMissing(now, t)
}

// closeMissing closes the gates of endpoints that are not in the table.
func (s *gateSet) closeMissing(now time.Duration, t *bluebellroute.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, g := range s.gates {
		if t.Endpoint(name) == nil {
			g.setLimits(now, false, bluebelllimit.SlotLimits{Closed: true})
		}
	}
}

// lookup returns the gate of an endpoint, or nil if there is none.
func (s *gateSet) lookup(endpoint string) *gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gates[endpoint]
}

// get returns the gate of an endpoint. It creates the gate if there is none.
func (s *gateSet) get(endpoint string) *gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gates[endpoint]
	if g == nil {
		g = &gate{
			gate:    bluebelllimit.NewGate(bluebelllimit.GateConfig{QueueLimit: s.queueLimit}),
			waiting: map[uint64]chan struct{}{},
		}
		s.gates[endpoint] = g
	}
	return g
}

// use returns how many calls of this VM run on an endpoint and how many wait for it, and how
// many of its slots this VM may use.
func (s *gateSet) use(endpoint string) (running, waiting, slots int) {
	g := s.lookup(endpoint)
	if g == nil {
		return 0, 0, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Running(), g.gate.Waiting(), g.gate.Slots()
}

// slot is the right to run one call on an endpoint.
type slot struct {
	gate    *gate
	request *bluebelllimit.Request
	now     func() time.Duration
}

// acquire waits for a slot of an endpoint until c.StartBy or the end of ctx.
func (s *gateSet) acquire(ctx context.Context, endpoint string, c *Call) (*slot, *CallError) {
	g := s.get(endpoint)
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.mu.Unlock()
	r := &bluebelllimit.Request{
		ID: id, Customer: c.Customer.Name, Weight: float64(c.Customer.Share),
		Priority: int(c.Work.GetPriority()), Deadline: c.StartBy,
	}
	started, slotReady, err := g.offer(s.now(), r)
	if err != nil {
		return nil, err
	}
	sl := &slot{gate: g, request: r, now: s.now}
	if started {
		return sl, nil
	}
	select {
	case <-slotReady:
		return sl, nil
	case <-s.after(c.StartBy - s.now()):
	case <-ctx.Done():
	}
	if !g.cancel(r) {
		// The request got its slot at the same moment.
		return sl, nil
	}
	return nil, notRunError(503, CodeOverloaded, time.Second, "no slot became free at endpoint %s in time", endpoint)
}

// release returns the slot to its gate. The argument ok is false if the endpoint failed
// during the call.
func (s *slot) release(ok bool) {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.signalStarted(g.gate.Release(s.now(), s.request, ok))
}

// setLimits changes the limits of the gate. During a handover it doesn't raise the number of
// slots.
func (g *gate) setLimits(now time.Duration, inHandover bool, l bluebelllimit.SlotLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if inHandover {
		l.Warm, l.Cold = min(l.Warm, g.limits.Warm), min(l.Cold, g.limits.Cold)
	}
	g.limits = l
	g.signalStarted(g.gate.SetLimits(now, l))
}

// markCold makes the endpoint cold: it may have restarted and lost its cache.
func (g *gate) markCold(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.MarkCold(now)
}

// offer requests a slot. It reports whether the request got one at once; if not, it returns
// a channel that is closed when the request gets one.
func (g *gate) offer(now time.Duration, r *bluebelllimit.Request) (bool, <-chan struct{}, *CallError) {
	g.mu.Lock()
	defer g.mu.Unlock()
	started, retryAfter, err := g.gate.Offer(now, r)
	if err != nil {
		return false, nil, notRunError(503, CodeOverloaded, max(retryAfter, 10*time.Millisecond), "%v", err)
	}
	if started {
		return true, nil, nil
	}
	slotReady := make(chan struct{})
	g.waiting[r.ID] = slotReady
	return false, slotReady, nil
}

// cancel withdraws a waiting request. It returns false if the request already has a slot.
func (g *gate) cancel(r *bluebelllimit.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, r.ID)
	return g.gate.Cancel(r)
}

// signalStarted closes the channels of requests that got a slot.
func (g *gate) signalStarted(started []*bluebelllimit.Request) {
	for _, r := range started {
		if slotReady := g.waiting[r.ID]; slotReady != nil {
			delete(g.waiting, r.ID)
			close(slotReady)
		}
	}
}
