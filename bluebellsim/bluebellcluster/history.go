package bluebellcluster

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
)

// checkTimeout limits the time of the linearizability check of one history.
const checkTimeout = 5 * time.Second

// claimKind is the kind of a claim command.
type claimKind int

const (
	openOp claimKind = iota
	closeOp
	releaseOp
)

// claimInput is the input of a claim operation.
type claimInput struct {
	kind    claimKind
	key     string
	attempt string
	outcome pb.RunState
	// maybeExpired is set if the retention of the key may have passed.
	maybeExpired bool
}

// claimOp is one submission of a claim command. A submission without an answer may take
// effect at any time after calledAt, or never.
type claimOp struct {
	input                claimInput
	calledAt, returnedAt time.Duration
	output               *pb.Result
	answered             bool
	// noEffect is set if this submission certainly had no effect.
	noEffect bool
}

// changeOp is an operator's change with all its submissions.
type changeOp struct {
	id                   string
	base                 uint64
	calledAt, returnedAt time.Duration
	output               *pb.Result
	answered             bool
}

// claimState is the state of the claim of one call in the specification.
type claimState struct {
	holder  string
	outcome pb.RunState
	expired bool
}

// claimSpec is the sequential specification of the commands on one claim.
var claimSpec = porcupine.Model{
	Init: func() any { return claimState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(claimState), input.(claimInput)
		r, _ := output.(*pb.Result)
		verdict, outcome, next := s.apply(in)
		if r == nil {
			return true, next
		}
		valid := r.Verdict == verdict && (verdict != pb.Verdict_Settled || r.Outcome == outcome)
		if in.maybeExpired && (s.expired || !valid) {
			return isForgottenKeyResult(in, r), claimState{expired: true}
		}
		return valid, next
	},
}

// isForgottenKeyResult reports whether r is the result for a key that the state machine
// no longer stores.
func isForgottenKeyResult(in claimInput, r *pb.Result) bool {
	switch in.kind {
	case openOp:
		return r.Verdict == pb.Verdict_Expired
	case closeOp:
		return r.Verdict == pb.Verdict_Refused
	}
	return r.Verdict == pb.Verdict_Accepted
}

// apply returns the expected verdict and outcome of a command, and the state after it.
func (s claimState) apply(in claimInput) (pb.Verdict, pb.RunState, claimState) {
	isHolder := s.holder == in.attempt
	finished := s.outcome == pb.RunState_Ran || s.outcome == pb.RunState_Unknown
	switch in.kind {
	case openOp:
		switch {
		case s.outcome == pb.RunState_NotRun && isHolder:
			return pb.Verdict_Refused, 0, s
		case s.holder == "" || s.outcome == pb.RunState_NotRun:
			return pb.Verdict_Granted, 0, claimState{holder: in.attempt}
		case finished:
			return pb.Verdict_Settled, s.outcome, s
		case isHolder:
			return pb.Verdict_Granted, 0, s
		}
		return pb.Verdict_Held, 0, s
	case closeOp:
		if !isHolder || s.outcome == pb.RunState_NotRun {
			return pb.Verdict_Refused, 0, s
		}
		if s.outcome != pb.RunState_Ran {
			s.outcome = in.outcome
		}
		return pb.Verdict_Settled, s.outcome, s
	}
	switch {
	case s.holder == "":
		return pb.Verdict_Accepted, 0, claimState{holder: in.attempt, outcome: pb.RunState_NotRun}
	case !isHolder:
		return pb.Verdict_Accepted, 0, s
	case finished:
		return pb.Verdict_Refused, 0, s
	}
	return pb.Verdict_Accepted, 0, claimState{holder: s.holder, outcome: pb.RunState_NotRun}
}

// changeSpec is the sequential specification of changes: a compare-and-set on the
// declared revision.
var changeSpec = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		declared, base := state.(uint64), input.(uint64)
		r := output.(*pb.Result)
		switch r.GetVerdict() {
		case pb.Verdict_Accepted:
			return base >= declared && r.Revision > declared, r.Revision
		case pb.Verdict_Conflict:
			return base < declared, declared
		}
		return true, declared
	},
}

// checkHistories fails if the results that clients received are not linearizable, for
// the claim of each call and for all changes.
func (c *clients) checkHistories() {
	sim := c.sim
	for _, key := range sortedKeys(c.claimOps) {
		var ops []porcupine.Operation
		for i, op := range c.claimOps[key] {
			if op.noEffect {
				continue
			}
			// A submission without an answer may take effect long after it was made.
			op.input.maybeExpired = !op.answered || op.returnedAt-keyCreatedAt(key) > keyRetention-time.Second
			ops = append(ops, newOperation(i, op.input, op.output, op.calledAt, op.returnedAt, op.answered))
		}
		if porcupine.CheckOperationsTimeout(claimSpec, ops, checkTimeout) == porcupine.Illegal {
			sim.fail("the history of call %s is not linearizable: %s", key, formatClaimHistory(c.claimOps[key]))
		}
	}
	var ops []porcupine.Operation
	for i, op := range c.changeOps {
		if !op.answered {
			// The result is that of the entry in the members' common log, if there is
			// one.
			op.output = c.appliedChanges[op.id]
		}
		ops = append(ops, newOperation(i, op.base, op.output, op.calledAt, op.returnedAt, op.answered))
	}
	if porcupine.CheckOperationsTimeout(changeSpec, ops, checkTimeout) == porcupine.Illegal {
		sim.fail("the history of changes is not linearizable")
	}
}

// keyCreatedAt returns the simulated time at which a key was created.
func keyCreatedAt(key string) time.Duration {
	created, err := bluebellstate.KeyTime(key)
	if err != nil {
		panic(err)
	}
	return time.Duration(created.UnixNano() - startUnixNanos)
}

// newOperation returns a porcupine operation, which never returns if it has no answer.
func newOperation(client int, in any, out *pb.Result, calledAt, returnedAt time.Duration, answered bool) porcupine.Operation {
	returned := int64(math.MaxInt64)
	if answered {
		returned = int64(returnedAt)
	}
	return porcupine.Operation{ClientId: client, Input: in, Call: int64(calledAt), Output: out, Return: returned}
}

// formatClaimHistory lists the submissions for one call, one per line.
func formatClaimHistory(ops []*claimOp) string {
	var b strings.Builder
	for _, op := range ops {
		if op.noEffect {
			continue
		}
		kind := [...]string{"open", "close", "release"}[op.input.kind]
		fmt.Fprintf(&b, "\n  %s by %s at %v", kind, op.input.attempt, op.calledAt)
		if op.answered {
			fmt.Fprintf(&b, ": %v %v at %v", op.output.Verdict, op.output.Outcome, op.returnedAt)
		}
	}
	return b.String()
}
