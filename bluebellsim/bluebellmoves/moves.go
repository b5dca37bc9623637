// Package bluebellmoves runs randomised moves to good and faulty versions through the
// production planner, outcome counter and state machine, on simulated time.
//
// # Usage
//
//	report := bluebellmoves.Run(bluebellmoves.Config{Policy: policy, Kind: bluebellmoves.FailLater, Runs: 200, Seed: 1})
//
// A move shifts the calls of a target from one version to another in steps. Calls arrive
// at random on two routes, and their durations vary with the work queued ahead of them.
// Calls of both versions also fail at a low base rate. Evidence (counts of the outcomes
// of calls) reaches the planner with a delay.
package bluebellmoves

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bluebellhaven.org/bluebell/bluebellmove"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
)

// Kind is the behaviour of the new version: good, or one kind of fault.
type Kind string

// The kinds of new versions.
const (
	// Good has no fault.
	Good Kind = "Good"
	// FailAtOnce fails calls from the start of the move.
	FailAtOnce Kind = "FailAtOnce"
	// SlowAtOnce is slow from the start of the move.
	SlowAtOnce Kind = "SlowAtOnce"
	// FailLater fails calls after a random delay.
	FailLater Kind = "FailLater"
	// SlowLater is slow after a random delay.
	SlowLater Kind = "SlowLater"
	// FailUnderLoad fails calls while its share of the calls is at least 0.25.
	FailUnderLoad Kind = "FailUnderLoad"
	// FailOnOneRoute fails calls of one of the two routes.
	FailOnOneRoute Kind = "FailOnOneRoute"
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{Good, FailAtOnce, SlowAtOnce, FailLater, SlowLater, FailUnderLoad, FailOnOneRoute}
}

// Config configures a series of moves.
type Config struct {
	Policy *pb.Policy
	Kind   Kind
	// Runs is the number of moves.
	Runs int
	// Seed is the random seed of the first move. Each later move uses the next one.
	Seed uint64
}

// Report sums up a series of moves.
type Report struct {
	Kind Kind
	Runs int
	// Late counts the moves among Done that ended after the time by which they should
	// finish.
	Done, Late, TakenBack int
	Unfinished            int
	// PeakShares holds, for each move to a faulty version, the largest share of calls
	// that went to that version in one second after the first symptom of the fault.
	// RemovalSeconds holds the seconds from the first symptom until entries (the
	// processes that take calls) stop sending calls to that version, for the moves taken
	// back.
	PeakShares, RemovalSeconds Distribution
	// NewVersionCalls holds the number of calls that each faulty version got.
	NewVersionCalls Distribution
}

// Distribution is a sorted list of values.
type Distribution []float64

// Quantile returns the value at quantile q, or NaN if there are no values.
func (d Distribution) Quantile(q float64) float64 {
	if len(d) == 0 {
		return math.NaN()
	}
	return d[min(int(q*float64(len(d))), len(d)-1)]
}

func (d Distribution) String() string {
	return fmt.Sprintf("median %.3g 95th %.3g most %.3g", d.Quantile(0.5), d.Quantile(0.95), d.Quantile(1))
}

const (
	stepInterval = 100 * time.Millisecond
	// keptEvidenceSteps is the number of latest steps whose evidence is kept. The planner
	// decides on the oldest of them.
	keptEvidenceSteps = 4
	endpointCount     = 12
	// loadInterval is the mean time between two endpoints that finish loading the new
	// version, when two load it at once.
	loadInterval = 500 * time.Millisecond
	// baseFailureRate is the share of calls that fail with either version, apart from
	// faults.
	baseFailureRate = 0.003
	vm              = "vm"
	target          = "notes"
	oldVersion      = "v1"
	newVersion      = "v2"
)

var routes = []string{"/v1/completions", "/v1/chat/completions"}

// Run simulates the moves.
func Run(cfg Config) Report {
	report := Report{Kind: cfg.Kind, Runs: cfg.Runs}
	for run := range cfg.Runs {
		m := newMove(cfg, cfg.Seed+uint64(run))
		m.run()
		switch m.state().Phase {
		case pb.Phase_Done:
			report.Done++
			if m.state().PhaseSince > m.state().FinishBy {
				report.Late++
			}
		case pb.Phase_TakenBack:
			report.TakenBack++
		default:
			report.Unfinished++
		}
		report.PeakShares = append(report.PeakShares, m.peakShare)
		report.NewVersionCalls = append(report.NewVersionCalls, float64(m.newVersionCalls))
		if m.firstSymptomAt > 0 && m.removedAt > 0 {
			report.RemovalSeconds = append(report.RemovalSeconds, (m.removedAt - m.firstSymptomAt).Seconds())
		}
	}
	slices.Sort(report.PeakShares)
	slices.Sort(report.NewVersionCalls)
	slices.Sort(report.RemovalSeconds)
	return report
}

// move is the simulation of one move.
type move struct {
	cfg            Config
	rand           *rand.Rand
	machine        *bluebellstate.Machine
	planner        *bluebellmove.Planner
	outcomes       *bluebellmove.OutcomeCounter
	now            time.Duration
	callsPerSecond float64
	// failureRate is the share of calls that fail while the fault of the new version
	// fails calls.
	failureRate float64
	// slowFactor multiplies the durations of calls that the fault makes slow.
	slowFactor float64
	// faultDelay is the time after the start of the move at which the faults FailLater
	// and SlowLater begin.
	faultDelay time.Duration
	// evidence holds the evidence of the latest steps, oldest first.
	evidence [][]*pb.Evidence

	// peakShare and newVersionCalls are the values for Report.
	peakShare       float64
	newVersionCalls int
	// firstSymptomAt is the time of the first call that the fault made fail or slow,
	// removedAt the time from which no calls go to the new version. 0 means not yet.
	firstSymptomAt, removedAt time.Duration
	// window holds the counts of the steps of the last second.
	window []stepCounts
}

// stepCounts counts the calls of one step, all and those to the new version.
type stepCounts struct{ total, newVersion int }

func newMove(cfg Config, seed uint64) *move {
	r := rand.New(rand.NewPCG(seed, 77))
	m := &move{
		cfg: cfg, rand: r, machine: bluebellstate.New(), planner: bluebellmove.NewPlanner(cfg.Policy),
		outcomes:       bluebellmove.NewOutcomeCounter(vm, 1),
		callsPerSecond: 20 + 80*r.Float64(), failureRate: 0.25 + 0.75*r.Float64(), slowFactor: 2 + 3*r.Float64(),
		faultDelay: time.Duration((5 + 40*r.Float64()) * float64(time.Second)),
	}
	m.apply(&pb.Command{ChangeID: "c", Body: &pb.Command_Apply{Apply: &pb.Configuration{
		FailureDomains: []*pb.FailureDomain{{Name: "d"}}, Voters: []string{vm}, Policy: cfg.Policy,
		Targets: []*pb.Target{{Name: target, Kind: pb.Kind_Model, Version: oldVersion}},
	}}})
	// The old version serves calls for 20 seconds before the move.
	for m.now < 20*time.Second {
		m.sendCalls()
		m.now += stepInterval
	}
	timeToFinish := time.Duration((90 + 300*r.Float64()) * float64(time.Second))
	m.apply(&pb.Command{ChangeID: "m", BaseRevision: 1, Body: &pb.Command_StartMove{StartMove: &pb.StartMove{
		Target: target, ToVersion: newVersion, FinishBy: int64(m.now + timeToFinish),
	}}})
	return m
}

// apply applies a command, which must be accepted.
func (m *move) apply(c *pb.Command) {
	c.UnixNanos = int64(m.now)
	if r := m.machine.Apply(c); r.Verdict != pb.Verdict_Accepted {
		panic(fmt.Sprintf("command was not accepted: %v", r))
	}
}

// state returns the state of the move, or nil before its start.
func (m *move) state() *pb.Move { return bluebellstate.LatestMove(m.machine.View(), target) }

// run simulates steps until the move has ended, or until a minute after the time by which
// it should finish.
func (m *move) run() {
	startedAt := m.now
	end := time.Duration(m.state().FinishBy) + time.Minute
	for m.now < end && bluebellstate.MoveActive(m.state()) {
		m.sendCalls()
		m.evidence = append(m.evidence, m.outcomes.Evidence(m.machine.View().Moves))
		if len(m.evidence) > keptEvidenceSteps {
			m.evidence = m.evidence[1:]
		}
		m.decide(m.now - startedAt)
		m.now += stepInterval
	}
	if m.state().Phase == pb.Phase_TakenBack {
		// Entries stop sending calls to the new version one step later.
		m.removedAt = m.now + stepInterval
	}
}

// decide applies the step that the planner chooses, if any. since is the time since the
// start of the move.
func (m *move) decide(since time.Duration) {
	delayedEvidence := m.evidence[0]
	action := m.planner.Decide(bluebellmove.Input{
		Now: int64(m.now), Move: m.state(), UsableEndpoints: endpointCount, LoadedEndpoints: min(int(since/loadInterval), endpointCount),
		Old: bluebellmove.SumByRoute(delayedEvidence, target, oldVersion), New: bluebellmove.SumByRoute(delayedEvidence, target, newVersion),
	})
	if action.Step != nil {
		m.apply(&pb.Command{Body: &pb.Command_StepMove{StepMove: action.Step}})
	}
}

// sendCalls simulates the calls of one step and updates the share of calls to the new
// version.
func (m *move) sendCalls() {
	share := 0.0
	if current := m.state(); current != nil {
		share = current.Share
	}
	counts := stepCounts{}
	calls := m.callsPerSecond * stepInterval.Seconds()
	for calls > 0 {
		if calls < 1 && m.rand.Float64() > calls {
			break
		}
		calls--
		counts.total++
		version := oldVersion
		if m.rand.Float64() < share {
			version = newVersion
			counts.newVersion++
		}
		m.recordCall(version, share)
	}
	if m.state() == nil || m.cfg.Kind == Good {
		return
	}
	m.newVersionCalls += counts.newVersion
	m.window = append(m.window, counts)
	if len(m.window) > int(time.Second/stepInterval) {
		m.window = m.window[1:]
	}
	total, toNewVersion := 0, 0
	for _, w := range m.window {
		total += w.total
		toNewVersion += w.newVersion
	}
	if m.firstSymptomAt > 0 && total > 0 {
		m.peakShare = max(m.peakShare, float64(toNewVersion)/float64(total))
	}
}

// recordCall simulates one call and records its outcome.
func (m *move) recordCall(version string, share float64) {
	route := routes[0]
	if m.rand.Float64() < 0.25 {
		route = routes[1]
	}
	fails, slows := false, false
	if version == newVersion {
		fails, slows = m.faults(route, share)
	}
	failed := m.rand.Float64() < baseFailureRate || fails && m.rand.Float64() < m.failureRate
	factor := 1.0
	if slows {
		factor = m.slowFactor
	}
	if (fails && failed || slows) && m.firstSymptomAt == 0 {
		m.firstSymptomAt = m.now
	}
	blocks := 1 + m.rand.IntN(10)
	jitter := math.Exp(0.3 * m.rand.NormFloat64())
	// Blocks of work queued ahead of the call that are not counted in Outcome.Blocks, since
	// the VM that owns the endpoint cannot see them.
	ahead := float64(m.rand.IntN(3))
	m.outcomes.Add(bluebellmove.Outcome{
		Target: target, Version: version, Route: route, Failed: failed, Blocks: blocks,
		FirstToken: time.Duration(factor * jitter * (float64(blocks) + ahead) * float64(40*time.Millisecond)),
		TokenTime:  time.Duration(factor * math.Exp(0.1*m.rand.NormFloat64()) * float64(20*time.Millisecond)),
		Baseline:   version == oldVersion,
	})
}

// faults reports whether the fault of the new version makes a call fail or slow at this
// time.
func (m *move) faults(route string, share float64) (fails, slows bool) {
	since := m.now - time.Duration(m.state().StartedAt)
	switch m.cfg.Kind {
	case FailAtOnce:
		return true, false
	case SlowAtOnce:
		return false, true
	case FailLater:
		return since > m.faultDelay, false
	case SlowLater:
		return false, since > m.faultDelay
	case FailUnderLoad:
		return share >= 0.25, false
	case FailOnOneRoute:
		return route == routes[1], false
	}
	return false, false
}
