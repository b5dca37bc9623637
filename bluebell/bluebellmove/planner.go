package bluebellmove

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// CountsByRoute are counts on each route.
type CountsByRoute map[string]Counts

// Input is what a decision rests on.
type Input struct {
	// Now is the time in nanoseconds since 1970.
	Now  int64
	Move *pb.Move
	// Old and New are all outcomes that are known so far.
	Old, New CountsByRoute
	// LoadedEndpoints of UsableEndpoints endpoints have the new version.
	LoadedEndpoints, UsableEndpoints int
}

// Action is what is to be done; the zero Action is to wait.
type Action struct {
	// Step is to be proposed, if set.
	Step *pb.StepMove
	// Late is set when the move is not expected to finish in time.
	Late bool
	// Reason is one line for the log.
	Reason string
}

// loadingReach is the part of the loaded endpoints' capacity that a version may
// use while other endpoints load it.
const loadingReach = 0.5

// Planner decides on the moves of one target after another.
type Planner struct {
	policy *pb.Policy
	// what the present step started from
	target, version string
	step            uint64
	stepAt          int64
	oldAt, newAt    CountsByRoute
	// what the move started from, as far as this planner has seen it
	oldFirst, newFirst CountsByRoute
}

// NewPlanner returns a planner that has seen nothing.
func NewPlanner(policy *pb.Policy) *Planner { return &Planner{policy: policy} }

// SetPolicy takes a new policy into use.
func (p *Planner) SetPolicy(policy *pb.Policy) { p.policy = policy }

// Decide returns the next action.
func (p *Planner) Decide(in Input) Action {
	m := in.Move
	if m.Target != p.target || m.ToVersion != p.version || m.Step != p.step {
		if m.Target != p.target || m.ToVersion != p.version {
			p.oldFirst, p.newFirst = maps.Clone(in.Old), maps.Clone(in.New)
		}
		p.target, p.version, p.step, p.stepAt = m.Target, m.ToVersion, m.Step, in.Now
		p.oldAt, p.newAt = maps.Clone(in.Old), maps.Clone(in.New)
	}
	if m.Phase == pb.Phase_Loading {
		return p.decideLoading(in)
	}
	// The present step is judged on its own, since a version may be bad under its
	// load only; and all steps together, since each may be too short to tell.
	if overall, why := p.judge(in, p.oldFirst, p.newFirst); overall == Bad {
		return p.takeBack(m, "since the start, "+why)
	}
	judgement, why := p.judge(in, p.oldAt, p.newAt)
	if judgement == Bad {
		return p.takeBack(m, why)
	}
	if m.Phase == pb.Phase_Watching {
		return p.decideWatching(in, why)
	}
	return p.decideShare(in, judgement, why)
}

func (p *Planner) decideLoading(in Input) Action {
	if in.LoadedEndpoints == 0 {
		late := in.Now > in.Move.StartedAt+(in.Move.FinishBy-in.Move.StartedAt)/2
		return Action{Late: late, Reason: fmt.Sprintf("waiting for the first of %d endpoints to load", in.UsableEndpoints)}
	}
	return p.stepTo(in.Move, pb.Phase_Canary, p.policy.CanaryShare, fmt.Sprintf("%d of %d endpoints loaded", in.LoadedEndpoints, in.UsableEndpoints))
}

// testsPerRoute is the number of tests that share the stated error rates: on
// failures and on slowness, of the step and of the whole move.
const testsPerRoute = 4

// judge returns the worst judgement of any route with traffic since a start.
func (p *Planner) judge(in Input, oldAt, newAt CountsByRoute) (Judgement, string) {
	routes := slices.Sorted(maps.Keys(in.New))
	worst, why := Good, "no traffic yet"
	traffic := false
	for _, route := range routes {
		next := in.New[route].minus(newAt[route])
		if next.Total == 0 {
			continue
		}
		old := in.Old[route].minus(oldAt[route])
		rates := TestParameters{
			GoodRate: p.policy.GoodFailureRate, BadMargin: p.policy.BadFailureRate,
			FalseAlarm:  p.policy.FalseAlarm / float64(testsPerRoute*len(routes)),
			MissedAlarm: p.policy.MissedAlarm / float64(len(routes)),
		}
		j := rates.judge(old, next)
		if !traffic || j > worst {
			worst = j
			why = fmt.Sprintf("route %s: %v after %d calls, %d failed, %d slow; old version: %d calls, %d failed, %d slow",
				route, j, next.Total, next.Failed, next.Slow, old.Total, old.Failed, old.Slow)
		}
		traffic = true
	}
	if !traffic {
		worst = Undecided
	}
	return worst, why
}

func (p *Planner) decideWatching(in Input, why string) Action {
	if in.Now-p.stepAt < int64(p.policy.WatchFor.AsDuration()) {
		return Action{Reason: why}
	}
	return p.stepTo(in.Move, pb.Phase_Done, 1, why)
}

func (p *Planner) decideShare(in Input, j Judgement, why string) Action {
	m := in.Move
	budget, late := p.stepBudget(in)
	overdue := in.Now-p.stepAt >= budget
	idle := p.idle(in)
	// One early failure among few calls cannot hold a move up for long: the next
	// step brings more evidence, and the tests of the whole move go on.
	held := in.Now-p.stepAt >= heldFactor*budget
	pass := j == Good || overdue && (j == LeansGood || idle) || held
	if !pass {
		return Action{Late: late, Reason: why}
	}
	if m.Share >= 1 {
		return p.stepTo(m, pb.Phase_Watching, 1, why)
	}
	next := min(m.Share*p.policy.RampFactor, 1)
	if next > reach(in) {
		return Action{Late: late, Reason: fmt.Sprintf("share %.3f waits for loads: %d of %d endpoints", next, in.LoadedEndpoints, in.UsableEndpoints)}
	}
	return p.stepTo(m, pb.Phase_Ramping, next, why)
}

// reach is the largest share that the loaded endpoints may get. While some still
// load it leaves room for the new version's empty caches.
func reach(in Input) float64 {
	if in.LoadedEndpoints >= in.UsableEndpoints {
		return 1
	}
	return loadingReach * float64(in.LoadedEndpoints) / float64(in.UsableEndpoints)
}

// heldFactor is the multiple of its time after which a step ends undecided.
const heldFactor = 2

// paceMargin is the part of the remaining time that the steps are planned into.
const paceMargin = 0.85

// stepBudget divides the remaining time among the remaining steps.
func (p *Planner) stepBudget(in Input) (budget int64, late bool) {
	share := max(in.Move.Share, p.policy.CanaryShare)
	steps := math.Ceil(math.Log(1/share)/math.Log(p.policy.RampFactor)) + 1
	watch := int64(p.policy.WatchFor.AsDuration())
	remaining := in.Move.FinishBy - watch - p.stepAt
	if remaining <= 0 {
		return int64(time.Second), true
	}
	return int64(paceMargin * float64(remaining) / steps), false
}

// idle tells whether neither version had any traffic in this step.
func (p *Planner) idle(in Input) bool {
	var total Counts
	for route, c := range in.Old {
		total = total.plus(c.minus(p.oldAt[route]))
	}
	for route, c := range in.New {
		total = total.plus(c.minus(p.newAt[route]))
	}
	return total.Total == 0
}

func (p *Planner) takeBack(m *pb.Move, why string) Action {
	return p.stepTo(m, pb.Phase_TakenBack, 0, why)
}

func (p *Planner) stepTo(m *pb.Move, phase pb.Phase, share float64, why string) Action {
	return Action{Reason: why, Step: &pb.StepMove{
		Target: m.Target, ToVersion: m.ToVersion, Phase: phase, Share: share, FromStep: m.Step, Reason: why,
	}}
}
