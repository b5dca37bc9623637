package bluebellcluster

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	keyRetention = 20 * time.Second
	sendTimeout  = 700 * time.Millisecond
	maxSends     = 12
	newCallEvery = 60 * time.Millisecond
	newTaskEvery = 400 * time.Millisecond
	customer     = "grower"
	target       = "booking"
)

// clients stand in for entries, their callers and operators.
type clients struct {
	world *Simulation
	// dispatched calls by key; the invariant is that none is over 1.
	dispatched map[string]int
	attempts   int
	claimOps   map[string][]*claimOp
	changeOps  []changeOp
	// accepted changes by revision
	accepted map[uint64]string
	// logged holds the result of each change that was applied anywhere.
	logged  map[string]*pb.Result
	domains []string
}

func newClients(w *Simulation) *clients {
	c := &clients{
		world: w, dispatched: map[string]int{}, claimOps: map[string][]*claimOp{},
		accepted: map[uint64]string{}, logged: map[string]*pb.Result{},
		domains: []string{"gyor", "papa", "tata"},
	}
	w.after(time.Second, c.configure)
	w.after(2*time.Second, c.nextCall)
	w.after(2*time.Second, c.nextTask)
	w.after(time.Second, c.nextOrder)
	return c
}

// try is one offer of a command to a member, as the history keeps it.
type try struct {
	// answered is told the result that the client gets.
	answered func(r *pb.Result)
	// void is told that the command has had no effect by this offer.
	void func()
}

// offer gives a command to members until one answers.
func (c *clients) offer(command *pb.Command, sends int, begin func() try, done func(*pb.Result)) {
	w := c.world
	if sends == 0 {
		done(nil)
		return
	}
	m := w.members[w.rand.IntN(len(w.members))]
	if leader := w.currentLeader(); leader != nil && !w.oneIn(4) {
		m = leader
	}
	over := false
	again := func(d time.Duration) {
		w.after(d, func() {
			if !over {
				over = true
				c.offer(command, sends-1, begin, done)
			}
		})
	}
	t := begin()
	taken := m.propose(command, func(r *pb.Result, lost bool) {
		if lost {
			t.void()
			return
		}
		if w.oneIn(10) {
			// The answer is lost.
			return
		}
		w.after(w.between(0, 3*time.Millisecond), func() {
			if over {
				return
			}
			over = true
			t.answered(r)
			done(r)
		})
	})
	if !taken {
		t.void()
		again(w.between(20*time.Millisecond, 200*time.Millisecond))
		return
	}
	again(w.between(sendTimeout/4, sendTimeout))
}

// configure has the first configuration agreed.
func (c *clients) configure() {
	configuration := &pb.Configuration{
		Name: "world", Voters: []string{"vm0"},
		Policy: &pb.Policy{KeyRetention: durationpb.New(keyRetention), CanaryShare: 0.05, RampFactor: 2, PoisonLimit: 2},
	}
	for _, d := range c.domains {
		configuration.FailureDomains = append(configuration.FailureDomains, &pb.FailureDomain{Name: d, Region: "r"})
	}
	c.attempts++
	c.change(fmt.Sprintf("first%d", c.attempts), 0, &pb.Command{Body: &pb.Command_Apply{Apply: configuration}}, func(r *pb.Result) {
		if r == nil {
			c.world.after(100*time.Millisecond, c.configure)
		}
	})
}

// nextCall starts a call that may not be repeated, and its resends.
func (c *clients) nextCall() {
	w := c.world
	w.after(w.between(newCallEvery/2, 2*newCallEvery), c.nextCall)
	key := c.newKey()
	for range 1 + w.rand.IntN(4) {
		delay := w.between(0, 2*time.Second)
		if w.oneIn(15) {
			delay = w.between(keyRetention, keyRetention+2*time.Minute)
		}
		w.after(delay, func() { c.attempt(key) })
	}
}

// newKey makes a UUID of version 7 from the world's own time and randomness.
func (c *clients) newKey() string {
	w := c.world
	var id uuid.UUID
	millis := w.wall() / int64(time.Millisecond)
	for i := range 6 {
		id[i] = byte(millis >> (8 * (5 - i)))
	}
	for i := 6; i < 16; i++ {
		id[i] = byte(w.rand.Uint32())
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// attempt is one entry's try at a call.
func (c *clients) attempt(key string) {
	c.attempts++
	open := &pb.OpenClaim{
		Customer: customer, Target: target, Key: key, Digest: []byte("body"),
		Attempt: fmt.Sprintf("attempt%d", c.attempts), Holder: "entry",
	}
	command := &pb.Command{Body: &pb.Command_OpenClaim{OpenClaim: open}}
	c.claim(claimInput{kind: openOp, key: key, attempt: open.Attempt}, command, func(r *pb.Result) {
		if r == nil {
			return
		}
		switch r.Verdict {
		case pb.Verdict_Granted:
			c.granted(open)
		case pb.Verdict_Held:
			if c.world.cfg.Mutation == DispatchHeld {
				c.dispatch(open, pb.RunState_Ran)
			}
		case pb.Verdict_Settled:
			c.world.report.Settled++
			if r.Outcome == pb.RunState_Ran && c.dispatched[key] == 0 {
				c.world.fail("call %s is said to have run, and was never dispatched", key)
			}
		case pb.Verdict_Expired:
			c.world.report.Expired++
		}
	})
}

// granted goes on with a call, or dies on the way.
func (c *clients) granted(open *pb.OpenClaim) {
	w := c.world
	switch w.rand.IntN(10) {
	case 0:
		// The entry dies between the claim and the dispatch.
	case 1:
		w.after(w.between(time.Second, 6*time.Second), func() { c.dispatch(open, pb.RunState_Ran) })
	case 2, 3:
		c.release(open)
	case 4:
		c.dispatch(open, pb.RunState_Unknown)
	case 5:
		// The entry dies after the dispatch.
		c.count(open.Key)
	default:
		c.dispatch(open, pb.RunState_Ran)
	}
}

func (c *clients) release(open *pb.OpenClaim) {
	command := &pb.Command{Body: &pb.Command_ReleaseClaim{ReleaseClaim: &pb.ReleaseClaim{
		Customer: open.Customer, Target: open.Target, Key: open.Key, Attempt: open.Attempt,
	}}}
	c.claim(claimInput{kind: releaseOp, key: open.Key, attempt: open.Attempt}, command, func(*pb.Result) {})
}

func (c *clients) dispatch(open *pb.OpenClaim, outcome pb.RunState) {
	c.count(open.Key)
	if c.world.cfg.Mutation == ForgetReleased {
		c.release(open)
		return
	}
	command := &pb.Command{Body: &pb.Command_CloseClaim{CloseClaim: &pb.CloseClaim{
		Customer: open.Customer, Target: open.Target, Key: open.Key, Attempt: open.Attempt, Outcome: outcome,
	}}}
	c.claim(claimInput{kind: closeOp, key: open.Key, attempt: open.Attempt, outcome: outcome}, command, func(*pb.Result) {})
}

// count holds the world to one dispatch of each call.
func (c *clients) count(key string) {
	c.world.report.Dispatches++
	c.dispatched[key]++
	if c.dispatched[key] > 1 {
		c.world.fail("call %s was dispatched twice", key)
	}
}

// claim sends a claim command and keeps its history, try by try.
func (c *clients) claim(in claimInput, command *pb.Command, done func(*pb.Result)) {
	w := c.world
	begin := func() try {
		w.report.ClaimOps++
		op := &claimOp{input: in, calledAt: w.now}
		c.claimOps[in.key] = append(c.claimOps[in.key], op)
		return try{
			answered: func(r *pb.Result) { op.returnedAt, op.output, op.answered = w.now, r, true },
			void:     func() { op.void = true },
		}
	}
	c.offer(command, maxSends, begin, done)
}

// nextTask lets an operator take a failure domain out or in. Two operators often
// act on the same base.
func (c *clients) nextTask() {
	w := c.world
	w.after(w.between(newTaskEvery/2, 2*newTaskEvery), c.nextTask)
	m := w.members[w.rand.IntN(len(w.members))]
	if m.node == nil || m.machine.View().Configuration == nil {
		return
	}
	base := m.machine.View().DeclaredRevision
	for range 1 + w.rand.IntN(2) {
		c.attempts++
		id := fmt.Sprintf("change%d", c.attempts)
		command := &pb.Command{Body: &pb.Command_SetFailureDomain{SetFailureDomain: &pb.SetFailureDomain{
			Name: c.domains[w.rand.IntN(len(c.domains))], Out: w.oneIn(2),
		}}}
		c.change(id, base, command, func(*pb.Result) {})
	}
}

// change sends an operator's change and keeps its history.
func (c *clients) change(id string, base uint64, command *pb.Command, done func(*pb.Result)) {
	w := c.world
	command.ChangeID, command.BaseRevision, command.Operator = id, base, "operator"
	i := len(c.changeOps)
	c.changeOps = append(c.changeOps, changeOp{id: id, base: base, calledAt: w.now})
	sends := 0
	begin := func() try {
		if sends++; sends > 1 {
			w.report.Resent++
		}
		return try{answered: func(r *pb.Result) { c.changed(i, id, r) }, void: func() {}}
	}
	c.offer(command, maxSends, begin, done)
}

func (c *clients) changed(i int, id string, r *pb.Result) {
	w := c.world
	op := &c.changeOps[i]
	op.returnedAt, op.output, op.answered = w.now, r, true
	switch r.Verdict {
	case pb.Verdict_Accepted:
		w.report.Changes++
		if other, ok := c.accepted[r.Revision]; ok && other != id {
			w.fail("changes %s and %s were both accepted as revision %d", other, id, r.Revision)
		}
		c.accepted[r.Revision] = id
	case pb.Verdict_Conflict:
		w.report.Conflicts++
		if r.Text == "" {
			w.fail("change %s was not told what was accepted first", id)
		}
	}
}

// nextOrder lets the leader order, as the mover does: only under its lease.
func (c *clients) nextOrder() {
	w := c.world
	w.after(w.between(20*time.Millisecond, 100*time.Millisecond), c.nextOrder)
	if leader := w.currentLeader(); leader != nil {
		w.report.Orders++
		w.checkLease(leader)
	}
}
