package bluebellmove

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// CountsByRoute holds the counts of one version on each route.
type CountsByRoute map[string]Counts

// Input holds the data for one decision.
type Input struct {
	// Now is the time in nanoseconds since 1970.
	Now  int64
	Move *pb.Move
	// Old and New hold all outcomes known so far of the old and the new version.
	Old, New CountsByRoute
	// LoadedEndpoints of UsableEndpoints have loaded the new version.
	LoadedEndpoints, UsableEndpoints int
}

// Action is the result of a decision. The zero Action means to wait.
type Action struct {
	// Step is the command to propose, or nil.
	Step *pb.StepMove
	// Late is set if the move is not expected to finish in time.
	Late bool
	// Reason explains the decision in one line for the log.
	Reason string
}

// loadingShareFactor is the fraction of the loaded endpoints' part of all usable
// endpoints that a version may get as its share while other endpoints load it.
const loadingShareFactor = 0.5

// Planner decides on the moves of one target, one move after another.
type Planner struct {
	policy *pb.Policy
	// The current step, when it was first seen, and the counts at that time.
	target, version      string
	step                 uint64
	stepStartedAt        int64
	oldAtStep, newAtStep CountsByRoute
	// The counts when this planner first saw the move.
	oldAtStart, newAtStart CountsByRoute
}

// NewPlanner returns a planner that has seen no move yet.
func NewPlanner(policy *pb.Policy) *Planner { return &Planner{policy: policy} }

// SetPolicy replaces the policy for later decisions.
func (p *Planner) SetPolicy(policy *pb.Policy) { p.policy = policy }

// Decide returns the next action for a move.
func (p *Planner) Decide(in Input) Action {
	m := in.Move
	if m.Target != p.target || m.ToVersion != p.version || m.Step != p.step {
		if m.Target != p.target || m.ToVersion != p.version {
			p.oldAtStart, p.newAtStart = maps.Clone(in.Old), maps.Clone(in.New)
		}
		p.target, p.version, p.step, p.stepStartedAt = m.Target, m.ToVersion, m.Step, in.Now
		p.oldAtStep, p.newAtStep = maps.Clone(in.Old), maps.Clone(in.New)
	}
	if m.Phase == pb.Phase_Loading {
		return p.decideLoading(in)
	}
	// The current step is judged separately, since a version may be bad only under
	// its load. All steps are also judged together, since each may be too short to
	// show a bad version.
	if overall, reason := p.judge(in, p.oldAtStart, p.newAtStart); overall == Bad {
		return p.takeBack(m, "since the start, "+reason)
	}
	judgement, reason := p.judge(in, p.oldAtStep, p.newAtStep)
	if judgement == Bad {
		return p.takeBack(m, reason)
	}
	if m.Phase == pb.Phase_Watching {
		return p.decideWatching(in, reason)
	}
	return p.decideShare(in, judgement, reason)
}

// decideLoading starts the canary phase once an endpoint has loaded the new version.
// The move is late if none has after half of its time.
func (p *Planner) decideLoading(in Input) Action {
	if in.LoadedEndpoints == 0 {
		late := in.Now > in.Move.StartedAt+(in.Move.FinishBy-in.Move.StartedAt)/2
		return Action{Late: late, Reason: fmt.Sprintf("waiting for the first of %d endpoints to load", in.UsableEndpoints)}
	}
	return p.stepTo(in.Move, pb.Phase_Canary, p.policy.CanaryShare, fmt.Sprintf("%d of %d endpoints loaded", in.LoadedEndpoints, in.UsableEndpoints))
}

// testsPerRoute is the number of tests among which the policy's FalseAlarm rate is
// divided: of failures and of slowness, each for the step and for the whole move.
const testsPerRoute = 4

// judge returns the worst judgement among the routes on which the new version got
// calls since the given counts, and its reason. Without such calls it is Undecided.
func (p *Planner) judge(in Input, oldBefore, newBefore CountsByRoute) (Judgement, string) {
	routes := slices.Sorted(maps.Keys(in.New))
	worst, reason := Good, "no traffic yet"
	traffic := false
	for _, route := range routes {
		next := in.New[route].minus(newBefore[route])
		if next.Total == 0 {
			continue
		}
		old := in.Old[route].minus(oldBefore[route])
		parameters := TestParameters{
			GoodRate: p.policy.GoodFailureRate, BadMargin: p.policy.BadFailureRate,
			FalseAlarm:  p.policy.FalseAlarm / float64(testsPerRoute*len(routes)),
			MissedAlarm: p.policy.MissedAlarm / float64(len(routes)),
		}
		j := parameters.judge(old, next)
		if !traffic || j > worst {
			worst = j
			reason = fmt.Sprintf("route %s: %v after %d calls, %d failed, %d slow; old version: %d calls, %d failed, %d slow",
				route, j, next.Total, next.Failed, next.Slow, old.Total, old.Failed, old.Slow)
		}
		traffic = true
	}
	if !traffic {
		worst = Undecided
	}
	return worst, reason
}

// decideWatching ends the move after the policy's WatchFor.
func (p *Planner) decideWatching(in Input, reason string) Action {
	if in.Now-p.stepStartedAt < int64(p.policy.WatchFor.AsDuration()) {
		return Action{Reason: reason}
	}
	return p.stepTo(in.Move, pb.Phase_Done, 1, reason)
}

// decideShare decides whether the share grows, or at share 1 the watching phase starts.
func (p *Planner) decideShare(in Input, j Judgement, reason string) Action {
	m := in.Move
	budget, late := p.stepBudget(in)
	overdue := in.Now-p.stepStartedAt >= budget
	idle := p.idle(in)
	// An undecided step ends too, so that one early failure among few calls does
	// not delay the move for long. The next step brings more evidence, and the
	// tests of the whole move continue.
	expired := in.Now-p.stepStartedAt >= undecidedFactor*budget
	pass := j == Good || overdue && (j == LeansGood || idle) || expired
	if !pass {
		return Action{Late: late, Reason: reason}
	}
	if m.Share >= 1 {
		return p.stepTo(m, pb.Phase_Watching, 1, reason)
	}
	next := min(m.Share*p.policy.RampFactor, 1)
	if next > maxShare(in) {
		return Action{Late: late, Reason: fmt.Sprintf("share %.3f waits for loads: %d of %d endpoints", next, in.LoadedEndpoints, in.UsableEndpoints)}
	}
	return p.stepTo(m, pb.Phase_Ramping, next, reason)
}

// maxShare returns the largest share that the loaded endpoints may get. While other
// endpoints still load the version, it leaves spare capacity, since the caches of
// the new version are empty.
func maxShare(in Input) float64 {
	if in.LoadedEndpoints >= in.UsableEndpoints {
		return 1
	}
	return loadingShareFactor * float64(in.LoadedEndpoints) / float64(in.UsableEndpoints)
}

// undecidedFactor is the multiple of its time budget after which a step ends even
// if the judgement is undecided.
const undecidedFactor = 2

// paceMargin is the fraction of the remaining time that is divided among the steps.
const paceMargin = 0.85

// stepBudget returns the time for the current step in nanoseconds: an equal part of
// the time that remains before the watching phase. The move is late if none remains.
func (p *Planner) stepBudget(in Input) (budget int64, late bool) {
	share := max(in.Move.Share, p.policy.CanaryShare)
	steps := math.Ceil(math.Log(1/share)/math.Log(p.policy.RampFactor)) + 1
	watch := int64(p.policy.WatchFor.AsDuration())
	remaining := in.Move.FinishBy - watch - p.stepStartedAt
	if remaining <= 0 {
		return int64(time.Second), true
	}
	return int64(paceMargin * float64(remaining) / steps), false
}

// idle reports whether neither version got any calls in the current step.
func (p *Planner) idle(in Input) bool {
	var total Counts
	for route, c := range in.Old {
		total = total.plus(c.minus(p.oldAtStep[route]))
	}
	for route, c := range in.New {
		total = total.plus(c.minus(p.newAtStep[route]))
	}
	return total.Total == 0
}

func (p *Planner) takeBack(m *pb.Move, reason string) Action {
	return p.stepTo(m, pb.Phase_TakenBack, 0, reason)
}

func (p *Planner) stepTo(m *pb.Move, phase pb.Phase, share float64, reason string) Action {
	return Action{Reason: reason, Step: &pb.StepMove{
		Target: m.Target, ToVersion: m.ToVersion, Phase: phase, Share: share, FromStep: m.Step, Reason: reason,
	}}
}
