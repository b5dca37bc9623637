package bluebellstate

import (
	"errors"
	"fmt"
	"slices"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// shareTolerance allows for rounding errors when shares of traffic are compared.
const shareTolerance = 1e-9

// MoveActive reports whether m, the gradual replacement of a target's version, is neither
// done nor taken back.
func MoveActive(m *pb.Move) bool {
	return m.Phase != pb.Phase_Done && m.Phase != pb.Phase_TakenBack
}

// LatestMove returns the latest move of target, or nil if there is none.
func LatestMove(v *pb.View, target string) *pb.Move {
	for _, m := range v.Moves {
		if m.Target == target {
			return m
		}
	}
	return nil
}

// withNewMove returns a copy of v with a new move, which replaces a finished move of the
// same target.
func withNewMove(v *pb.View, s *pb.StartMove, now int64) (*pb.View, error) {
	from := ServingVersion(v, s.Target)
	switch old := LatestMove(v, s.Target); {
	case from == "":
		return nil, fmt.Errorf("target %q is not in the configuration", s.Target)
	case s.ToVersion == "" || s.ToVersion == from:
		return nil, fmt.Errorf("target %s is served by version %q already", s.Target, from)
	case s.FinishBy <= now:
		return nil, errors.New("the time set for the move has passed")
	case old != nil && MoveActive(old):
		return nil, fmt.Errorf("target %s has a move to version %s in phase %v", s.Target, old.ToVersion, old.Phase)
	}
	next := cloneView(v)
	next.Moves = slices.DeleteFunc(next.Moves, func(m *pb.Move) bool { return m.Target == s.Target })
	next.Moves = append(next.Moves, &pb.Move{
		Target: s.Target, FromVersion: from, ToVersion: s.ToVersion,
		StartedAt: now, FinishBy: s.FinishBy,
		Phase: pb.Phase_Loading, Step: 1, PhaseSince: now,
	})
	return next, nil
}

// stepMove advances a move to its next step or takes it back. Taking back a move that is
// already taken back is accepted, so the command can be resent. Any step forward must name
// the current step, so that only one of two concurrent proposers advances the move.
func (m *Machine) stepMove(s *pb.StepMove) *pb.Result {
	old := LatestMove(m.view, s.Target)
	if takenBack := pb.Phase_TakenBack; old != nil && old.ToVersion == s.ToVersion && old.Phase == takenBack && s.Phase == takenBack {
		return &pb.Result{Verdict: pb.Verdict_Accepted, Revision: m.view.Revision}
	}
	if old == nil || old.ToVersion != s.ToVersion || !MoveActive(old) {
		return m.refuse("target %s has no running move to version %s", s.Target, s.ToVersion)
	}
	takeBack := s.Phase == pb.Phase_TakenBack
	if !takeBack && s.FromStep != old.Step {
		r := m.refuse("the move is at step %d, not %d", old.Step, s.FromStep)
		r.Verdict = pb.Verdict_Conflict
		return r
	}
	if err := checkStep(old, s, m.view.Configuration.GetPolicy()); err != nil {
		return m.refuse("%v", err)
	}
	next := cloneView(m.view)
	changed := &pb.Move{
		Target: old.Target, FromVersion: old.FromVersion, ToVersion: old.ToVersion,
		StartedAt: old.StartedAt, FinishBy: old.FinishBy,
		Phase: s.Phase, Share: s.Share, Step: old.Step + 1, Reason: s.Reason, PhaseSince: m.now,
	}
	for i, mv := range next.Moves {
		if mv == old {
			next.Moves[i] = changed
		}
	}
	if s.Phase == pb.Phase_Done {
		for i, tv := range next.Versions {
			if tv.Target == s.Target {
				next.Versions[i] = &pb.TargetVersion{Target: s.Target, Version: s.ToVersion}
			}
		}
	}
	m.publish(next)
	return &pb.Result{Verdict: pb.Verdict_Accepted, Revision: m.view.Revision}
}

// checkStep returns an error if the step skips a phase or raises the share of traffic
// beyond what the policy allows in that phase. The machine checks this itself because a
// proposer can act on outdated state.
func checkStep(old *pb.Move, s *pb.StepMove, p *pb.Policy) error {
	allowed := false
	switch s.Phase {
	case pb.Phase_TakenBack:
		allowed = s.Share == 0
	case pb.Phase_Canary:
		allowed = old.Phase == pb.Phase_Loading && s.Share <= p.GetCanaryShare()+shareTolerance
	case pb.Phase_Ramping:
		allowed = (old.Phase == pb.Phase_Canary || old.Phase == pb.Phase_Ramping) &&
			s.Share <= old.Share*p.GetRampFactor()+shareTolerance && s.Share <= 1
	case pb.Phase_Watching:
		allowed = old.Phase == pb.Phase_Ramping && s.Share == 1 && old.Share >= 1-shareTolerance
	case pb.Phase_Done:
		allowed = old.Phase == pb.Phase_Watching && s.Share == 1
	}
	if !allowed {
		return fmt.Errorf("a move in phase %v at share %.3f cannot step to %v at %.3f", old.Phase, old.Share, s.Phase, s.Share)
	}
	return nil
}
