package bluebelldispatch

import (
	"context"
	"sync"
	"time"

	"bluebellhaven.org/bluebell/bluebelllimit"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellroute"
)

// gate is the gate of one endpoint with those that wait before it.
type gate struct {
	mu      sync.Mutex
	gate    *bluebelllimit.Gate
	limits  bluebelllimit.SlotLimits
	waiting map[uint64]chan struct{}
}

// gateSet holds the gates of the endpoints that this VM owns.
type gateSet struct {
	vm    string
	now   func() time.Duration
	after func(time.Duration) <-chan time.Time

	mu         sync.Mutex
	gates      map[string]*gate
	queueLimit int
	nextID     uint64
}

func newGateSet(vm string, now func() time.Duration, after func(time.Duration) <-chan time.Time) *gateSet {
	return &gateSet{vm: vm, now: now, after: after, gates: map[string]*gate{}}
}

// handover is how long a new owner of slots waits for the old one to follow: the
// time in which a change is in force everywhere, and some more.
const handover = 6 * time.Second

// HandoverLeft returns how long a handover still takes.
func HandoverLeft(ownersChangedAt int64, now time.Time) time.Duration {
	return time.Unix(0, ownersChangedAt).Add(handover).Sub(now)
}

// apply puts a table's limits in force. UnixNow is the time of health reports;
// ownersChangedAt is when slots last passed to other owners. Slots that this VM
// has gained by that are used once the handover is over.
func (s *gateSet) apply(t *bluebellroute.Table, policy *pb.Policy, unixNow, ownersChangedAt int64) {
	s.mu.Lock()
	s.queueLimit = int(policy.GetQueueLimit())
	s.mu.Unlock()
	now := s.now()
	warmAfter := policy.GetWarmAfter().AsDuration()
	waits := unixNow < ownersChangedAt+int64(handover)
	for _, e := range t.Endpoints() {
		warm, cold := e.SlotShare(s.vm, e.Slots), e.SlotShare(s.vm, e.ColdSlots)
		g := s.find(e.Name)
		if g == nil && warm == 0 {
			continue
		}
		if g == nil {
			g = s.get(e.Name)
		}
		age := time.Duration(unixNow - e.FirstSeenAt)
		g.setLimits(now, waits, bluebelllimit.SlotLimits{
			Warm: warm, Cold: cold,
			Incarnation: e.Incarnation, ColdUntil: now + warmAfter - age,
			Closed: !e.Usable || warm == 0,
		})
	}
	s.closeMissing(now, t)
}

// closeMissing closes the gates of endpoints that are no longer declared.
func (s *gateSet) closeMissing(now time.Duration, t *bluebellroute.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, g := range s.gates {
		if t.Endpoint(name) == nil {
			g.setLimits(now, false, bluebelllimit.SlotLimits{Closed: true})
		}
	}
}

func (s *gateSet) find(endpoint string) *gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gates[endpoint]
}

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

// use tells how an endpoint is used from here.
func (s *gateSet) use(endpoint string) (running, waiting, slots int) {
	g := s.find(endpoint)
	if g == nil {
		return 0, 0, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Running(), g.gate.Waiting(), g.gate.Slots()
}

// slot is the right to run one request on an endpoint.
type slot struct {
	gate    *gate
	request *bluebelllimit.Request
	now     func() time.Duration
}

// acquire waits for a slot of an endpoint.
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
	started, turn, err := g.offer(s.now(), r)
	if err != nil {
		return nil, err
	}
	sl := &slot{gate: g, request: r, now: s.now}
	if started {
		return sl, nil
	}
	select {
	case <-turn:
		return sl, nil
	case <-s.after(c.StartBy - s.now()):
	case <-ctx.Done():
	}
	if !g.cancel(r) {
		// Its turn came at the same moment.
		return sl, nil
	}
	return nil, notRun(503, CodeOverloaded, time.Second, "no slot became free at endpoint %s in time", endpoint)
}

// release gives the slot back. Ok tells whether the endpoint completed the
// request.
func (s *slot) release(ok bool) {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.gate.Release(s.now(), s.request, ok))
}

// setLimits puts limits in force; one that waits does not use more slots than
// before.
func (g *gate) setLimits(now time.Duration, waits bool, l bluebelllimit.SlotLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if waits {
		l.Warm, l.Cold = min(l.Warm, g.limits.Warm), min(l.Cold, g.limits.Cold)
	}
	g.limits = l
	g.wake(g.gate.SetLimits(now, l))
}

func (g *gate) suspect(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.MarkCold(now)
}

func (g *gate) offer(now time.Duration, r *bluebelllimit.Request) (bool, <-chan struct{}, *CallError) {
	g.mu.Lock()
	defer g.mu.Unlock()
	started, retryAfter, err := g.gate.Offer(now, r)
	if err != nil {
		return false, nil, notRun(503, CodeOverloaded, max(retryAfter, 10*time.Millisecond), "%v", err)
	}
	if started {
		return true, nil, nil
	}
	turn := make(chan struct{})
	g.waiting[r.ID] = turn
	return false, turn, nil
}

func (g *gate) cancel(r *bluebelllimit.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, r.ID)
	return g.gate.Cancel(r)
}

func (g *gate) wake(started []*bluebelllimit.Request) {
	for _, r := range started {
		if turn := g.waiting[r.ID]; turn != nil {
			delete(g.waiting, r.ID)
			close(turn)
		}
	}
}
