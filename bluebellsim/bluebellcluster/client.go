package bluebellcluster

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// keyRetention is the time for which the state machine stores idempotency keys.
	keyRetention = 20 * time.Second
	// maxSendTimeout is the longest wait for an answer before a client sends again.
	maxSendTimeout = 700 * time.Millisecond
	maxSends       = 12
	// callInterval and changeInterval scale the random time until the next call or
	// change, which is between half and twice this time.
	callInterval   = 60 * time.Millisecond
	changeInterval = 400 * time.Millisecond
	customer       = "grower"
	target         = "booking"
)

// clients simulates entries (the processes that take calls), their callers and
// operators.
type clients struct {
	sim *Simulation
	// dispatched counts the dispatches of each call by idempotency key. No count may
	// exceed 1.
	dispatched map[string]int
	// lastID is the number in the latest ID of an attempt or a change.
	lastID int
	// claimOps and changeOps are the histories to check. Claims are listed by key.
	claimOps  map[string][]*claimOp
	changeOps []changeOp
	// acceptedChanges holds the ID of the change that was accepted as each revision.
	acceptedChanges map[uint64]string
	// appliedChanges holds the result of each change that any member has applied, by ID.
	appliedChanges map[string]*pb.Result
	domains        []string
}

func newClients(sim *Simulation) *clients {
	c := &clients{
		sim: sim, dispatched: map[string]int{}, claimOps: map[string][]*claimOp{},
		acceptedChanges: map[uint64]string{}, appliedChanges: map[string]*pb.Result{},
		domains: []string{"gyor", "papa", "tata"},
	}
	sim.after(time.Second, c.applyFirstConfiguration)
	sim.after(2*time.Second, c.startCall)
	sim.after(2*time.Second, c.startChanges)
	sim.after(time.Second, c.checkOrder)
	return c
}

// submission holds the callbacks that record one submission of a command to a member
// in the history.
type submission struct {
	// onResult is called with the result that the client receives.
	onResult func(r *pb.Result)
	// onNoEffect is called when this submission is known to have had no effect.
	onNoEffect func()
}

// submit sends a command to randomly selected members, mostly the leader, until one
// answers, at most sends times. It calls done with the result, or with nil if none came.
func (c *clients) submit(command *pb.Command, sends int, record func() submission, done func(*pb.Result)) {
	sim := c.sim
	if sends == 0 {
		done(nil)
		return
	}
	m := sim.members[sim.rand.IntN(len(sim.members))]
	if leader := sim.currentLeader(); leader != nil && !sim.oneIn(4) {
		m = leader
	}
	finished := false
	resendAfter := func(d time.Duration) {
		sim.after(d, func() {
			if !finished {
				finished = true
				c.submit(command, sends-1, record, done)
			}
		})
	}
	attempt := record()
	accepted := m.propose(command, func(r *pb.Result, lost bool) {
		if lost {
			attempt.onNoEffect()
			return
		}
		if sim.oneIn(10) {
			// The answer to the client is lost.
			return
		}
		sim.after(sim.between(0, 3*time.Millisecond), func() {
			if finished {
				return
			}
			finished = true
			attempt.onResult(r)
			done(r)
		})
	})
	if !accepted {
		attempt.onNoEffect()
		resendAfter(sim.between(20*time.Millisecond, 200*time.Millisecond))
		return
	}
	resendAfter(sim.between(maxSendTimeout/4, maxSendTimeout))
}

// applyFirstConfiguration submits the first configuration until it is answered.
func (c *clients) applyFirstConfiguration() {
	configuration := &pb.Configuration{
		Name: "world", Voters: []string{"vm0"},
		Policy: &pb.Policy{KeyRetention: durationpb.New(keyRetention), CanaryShare: 0.05, RampFactor: 2, PoisonLimit: 2},
	}
	for _, d := range c.domains {
		configuration.FailureDomains = append(configuration.FailureDomains, &pb.FailureDomain{Name: d, Region: "r"})
	}
	c.lastID++
	c.submitChange(fmt.Sprintf("first%d", c.lastID), 0, &pb.Command{Body: &pb.Command_Apply{Apply: configuration}}, func(r *pb.Result) {
		if r == nil {
			c.sim.after(100*time.Millisecond, c.applyFirstConfiguration)
		}
	})
}

// startCall starts a non-idempotent call and its resends, some of them after the
// retention of the key, and schedules the next call.
func (c *clients) startCall() {
	sim := c.sim
	sim.after(sim.between(callInterval/2, 2*callInterval), c.startCall)
	key := c.newIdempotencyKey()
	for range 1 + sim.rand.IntN(4) {
		delay := sim.between(0, 2*time.Second)
		if sim.oneIn(15) {
			delay = sim.between(keyRetention, keyRetention+2*time.Minute)
		}
		sim.after(delay, func() { c.openClaim(key) })
	}
}

// newIdempotencyKey returns a version 7 UUID from the simulation's time and random
// generator.
func (c *clients) newIdempotencyKey() string {
	sim := c.sim
	var id uuid.UUID
	millis := sim.wallNanos() / int64(time.Millisecond)
	for i := range 6 {
		id[i] = byte(millis >> (8 * (5 - i)))
	}
	for i := 6; i < 16; i++ {
		id[i] = byte(sim.rand.Uint32())
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// openClaim attempts a call as one entry does: it opens the claim and acts on the
// verdict.
func (c *clients) openClaim(key string) {
	c.lastID++
	open := &pb.OpenClaim{
		Customer: customer, Target: target, Key: key, Digest: []byte("body"),
		Attempt: fmt.Sprintf("attempt%d", c.lastID), Holder: "entry",
	}
	command := &pb.Command{Body: &pb.Command_OpenClaim{OpenClaim: open}}
	c.submitClaim(claimInput{kind: openOp, key: key, attempt: open.Attempt}, command, func(r *pb.Result) {
		if r == nil {
			return
		}
		switch r.Verdict {
		case pb.Verdict_Granted:
			c.continueCall(open)
		case pb.Verdict_Held:
			if c.sim.cfg.Mutation == DispatchHeld {
				c.dispatch(open, pb.RunState_Ran)
			}
		case pb.Verdict_Settled:
			c.sim.report.Settled++
			if r.Outcome == pb.RunState_Ran && c.dispatched[key] == 0 {
				c.sim.fail("claim of call %s is settled as Ran, but the call was never dispatched", key)
			}
		case pb.Verdict_Expired:
			c.sim.report.Expired++
		}
	})
}

// continueCall continues a call whose claim was granted: it dispatches the call, releases
// the claim, or simulates the death of the entry.
func (c *clients) continueCall(open *pb.OpenClaim) {
	sim := c.sim
	switch sim.rand.IntN(10) {
	case 0:
		// The entry dies between the claim and the dispatch.
	case 1:
		// The entry pauses between the claim and the dispatch.
		sim.after(sim.between(time.Second, 6*time.Second), func() { c.dispatch(open, pb.RunState_Ran) })
	case 2, 3:
		c.releaseClaim(open)
	case 4:
		c.dispatch(open, pb.RunState_Unknown)
	case 5:
		// The entry dies between the dispatch and the closing of the claim.
		c.recordDispatch(open.Key)
	default:
		c.dispatch(open, pb.RunState_Ran)
	}
}

// releaseClaim releases the claim of a call that was not dispatched.
func (c *clients) releaseClaim(open *pb.OpenClaim) {
	command := &pb.Command{Body: &pb.Command_ReleaseClaim{ReleaseClaim: &pb.ReleaseClaim{
		Customer: open.Customer, Target: open.Target, Key: open.Key, Attempt: open.Attempt,
	}}}
	c.submitClaim(claimInput{kind: releaseOp, key: open.Key, attempt: open.Attempt}, command, func(*pb.Result) {})
}

// dispatch records the dispatch of a call and closes its claim with the outcome.
func (c *clients) dispatch(open *pb.OpenClaim, outcome pb.RunState) {
	c.recordDispatch(open.Key)
	if c.sim.cfg.Mutation == ForgetReleased {
		c.releaseClaim(open)
		return
	}
	command := &pb.Command{Body: &pb.Command_CloseClaim{CloseClaim: &pb.CloseClaim{
		Customer: open.Customer, Target: open.Target, Key: open.Key, Attempt: open.Attempt, Outcome: outcome,
	}}}
	c.submitClaim(claimInput{kind: closeOp, key: open.Key, attempt: open.Attempt, outcome: outcome}, command, func(*pb.Result) {})
}

// recordDispatch counts a dispatch and fails if the call was dispatched before.
func (c *clients) recordDispatch(key string) {
	c.sim.report.Dispatches++
	c.dispatched[key]++
	if c.dispatched[key] > 1 {
		c.sim.fail("call %s was dispatched twice", key)
	}
}

// submitClaim submits a claim command and records each submission as an operation of
// its own.
func (c *clients) submitClaim(in claimInput, command *pb.Command, done func(*pb.Result)) {
	sim := c.sim
	record := func() submission {
		sim.report.ClaimOps++
		op := &claimOp{input: in, calledAt: sim.now}
		c.claimOps[in.key] = append(c.claimOps[in.key], op)
		return submission{
			onResult:   func(r *pb.Result) { op.returnedAt, op.output, op.answered = sim.now, r, true },
			onNoEffect: func() { op.noEffect = true },
		}
	}
	c.submit(command, maxSends, record, done)
}

// startChanges submits one or two concurrent changes that take a failure domain out of
// or into service, both with the same base revision, and schedules the next ones.
func (c *clients) startChanges() {
	sim := c.sim
	sim.after(sim.between(changeInterval/2, 2*changeInterval), c.startChanges)
	m := sim.members[sim.rand.IntN(len(sim.members))]
	if m.node == nil || m.machine.View().Configuration == nil {
		return
	}
	base := m.machine.View().DeclaredRevision
	for range 1 + sim.rand.IntN(2) {
		c.lastID++
		id := fmt.Sprintf("change%d", c.lastID)
		command := &pb.Command{Body: &pb.Command_SetFailureDomain{SetFailureDomain: &pb.SetFailureDomain{
			Name: c.domains[sim.rand.IntN(len(c.domains))], Out: sim.oneIn(2),
		}}}
		c.submitChange(id, base, command, func(*pb.Result) {})
	}
}

// submitChange submits an operator's change and records it as one operation, however
// often it is resent.
func (c *clients) submitChange(id string, base uint64, command *pb.Command, done func(*pb.Result)) {
	sim := c.sim
	command.ChangeID, command.BaseRevision, command.Operator = id, base, "operator"
	i := len(c.changeOps)
	c.changeOps = append(c.changeOps, changeOp{id: id, base: base, calledAt: sim.now})
	sends := 0
	record := func() submission {
		if sends++; sends > 1 {
			sim.report.Resent++
		}
		return submission{onResult: func(r *pb.Result) { c.recordChangeResult(i, id, r) }, onNoEffect: func() {}}
	}
	c.submit(command, maxSends, record, done)
}

// recordChangeResult records the result of change i and fails if the revision of an
// accepted change is not unique or a conflict has no text.
func (c *clients) recordChangeResult(i int, id string, r *pb.Result) {
	sim := c.sim
	op := &c.changeOps[i]
	op.returnedAt, op.output, op.answered = sim.now, r, true
	switch r.Verdict {
	case pb.Verdict_Accepted:
		sim.report.Changes++
		if other, ok := c.acceptedChanges[r.Revision]; ok && other != id {
			sim.fail("changes %s and %s were both accepted as revision %d", other, id, r.Revision)
		}
		c.acceptedChanges[r.Revision] = id
	case pb.Verdict_Conflict:
		sim.report.Conflicts++
		if r.Text == "" {
			sim.fail("conflict result of change %s does not name the change that was accepted first", id)
		}
	}
}

// checkOrder checks that no other member holds the lease while the leader would send an
// order. Orders are sent only under the lease.
func (c *clients) checkOrder() {
	sim := c.sim
	sim.after(sim.between(20*time.Millisecond, 100*time.Millisecond), c.checkOrder)
	if leader := sim.currentLeader(); leader != nil {
		sim.report.Orders++
		sim.checkLease(leader)
	}
}
