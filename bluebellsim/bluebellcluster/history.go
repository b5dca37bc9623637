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

// checkFor bounds the check of one history.
const checkFor = 5 * time.Second

type claimKind int

const (
	openOp claimKind = iota
	closeOp
	releaseOp
)

type claimInput struct {
	kind    claimKind
	key     string
	attempt string
	outcome pb.RunState
	// expirable is set when the key's retention may have passed.
	expirable bool
}

// claimOp is one try of a claim command. One without an answer may have taken
// effect at any time after its call, or never.
type claimOp struct {
	input                claimInput
	calledAt, returnedAt time.Duration
	output               *pb.Result
	answered             bool
	// void is set when the command certainly had no effect by this try.
	void bool
}

type changeOp struct {
	id                   string
	base                 uint64
	calledAt, returnedAt time.Duration
	output               *pb.Result
	answered             bool
}

// claimState is what the specification knows of one call.
type claimState struct {
	holder  string
	outcome pb.RunState
	expired bool
}

// claimSpec says which answers are right.
var claimSpec = porcupine.Model{
	Init: func() any { return claimState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(claimState), input.(claimInput)
		r, _ := output.(*pb.Result)
		verdict, outcome, next := s.apply(in)
		if r == nil {
			return true, next
		}
		right := r.Verdict == verdict && (verdict != pb.Verdict_Settled || r.Outcome == outcome)
		if in.expirable && (s.expired || !right) {
			return forgotten(in, r), claimState{expired: true}
		}
		return right, next
	},
}

// forgotten tells whether an answer is that of a key that is not remembered.
func forgotten(in claimInput, r *pb.Result) bool {
	switch in.kind {
	case openOp:
		return r.Verdict == pb.Verdict_Expired
	case closeOp:
		return r.Verdict == pb.Verdict_Refused
	}
	return r.Verdict == pb.Verdict_Accepted
}

// apply is the specification of one command.
func (s claimState) apply(in claimInput) (pb.Verdict, pb.RunState, claimState) {
	mine := s.holder == in.attempt
	ended := s.outcome == pb.RunState_Ran || s.outcome == pb.RunState_Unknown
	switch in.kind {
	case openOp:
		switch {
		case s.outcome == pb.RunState_NotRun && mine:
			return pb.Verdict_Refused, 0, s
		case s.holder == "" || s.outcome == pb.RunState_NotRun:
			return pb.Verdict_Granted, 0, claimState{holder: in.attempt}
		case ended:
			return pb.Verdict_Settled, s.outcome, s
		case mine:
			return pb.Verdict_Granted, 0, s
		}
		return pb.Verdict_Held, 0, s
	case closeOp:
		if !mine || s.outcome == pb.RunState_NotRun {
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
	case !mine:
		return pb.Verdict_Accepted, 0, s
	case ended:
		return pb.Verdict_Refused, 0, s
	}
	return pb.Verdict_Accepted, 0, claimState{holder: s.holder, outcome: pb.RunState_NotRun}
}

// changeSpec is a compare-and-set on the declared revision.
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

// checkHistories checks all that clients were told.
func (c *clients) checkHistories() {
	w := c.world
	for _, key := range sortedKeys(c.claimOps) {
		var ops []porcupine.Operation
		for i, op := range c.claimOps[key] {
			if op.void {
				continue
			}
			// A try without an answer may take effect long after its call.
			op.input.expirable = !op.answered || op.returnedAt-keyMadeAt(key) > keyRetention-time.Second
			ops = append(ops, operation(i, op.input, op.output, op.calledAt, op.returnedAt, op.answered))
		}
		if porcupine.CheckOperationsTimeout(claimSpec, ops, checkFor) == porcupine.Illegal {
			w.fail("the history of call %s is not linearizable: %s", key, claimHistory(c.claimOps[key]))
		}
	}
	var ops []porcupine.Operation
	for i, op := range c.changeOps {
		if !op.answered {
			// What became of it shows in the log that all members agree on.
			op.output = c.logged[op.id]
		}
		ops = append(ops, operation(i, op.base, op.output, op.calledAt, op.returnedAt, op.answered))
	}
	if porcupine.CheckOperationsTimeout(changeSpec, ops, checkFor) == porcupine.Illegal {
		w.fail("the history of changes is not linearizable")
	}
}

// keyMadeAt returns when a key was made, on the world's time.
func keyMadeAt(key string) time.Duration {
	made, err := bluebellstate.KeyTime(key)
	if err != nil {
		panic(err)
	}
	return time.Duration(made.UnixNano() - startTime)
}

func operation(client int, in any, out *pb.Result, calledAt, returnedAt time.Duration, answered bool) porcupine.Operation {
	returned := int64(math.MaxInt64)
	if answered {
		returned = int64(returnedAt)
	}
	return porcupine.Operation{ClientId: client, Input: in, Call: int64(calledAt), Output: out, Return: returned}
}

// claimHistory describes the tries on one call.
func claimHistory(ops []*claimOp) string {
	var b strings.Builder
	for _, op := range ops {
		if op.void {
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
