// Package bluebellmoves runs randomised version moves, good and bad, through the
// product's own planner, ledger and state machine, on simulated time.
//
// # Usage
//
//	report := bluebellmoves.Run(bluebellmoves.Config{Policy: policy, Kind: bluebellmoves.FailLater, Runs: 200, Seed: 1})
//
// Calls of two routes come at random; their times vary with the work ahead. Both
// versions fail now and then by themselves. Evidence reaches the planner late.
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

// Kind is the way in which a version is good or bad.
type Kind string

// The kinds of versions.
const (
	Good           Kind = "Good"
	FailAtOnce     Kind = "FailAtOnce"
	SlowAtOnce     Kind = "SlowAtOnce"
	FailLater      Kind = "FailLater"
	SlowLater      Kind = "SlowLater"
	FailUnderLoad  Kind = "FailUnderLoad"
	FailOnOneRoute Kind = "FailOnOneRoute"
)

// Kinds lists all kinds.
func Kinds() []Kind {
	return []Kind{Good, FailAtOnce, SlowAtOnce, FailLater, SlowLater, FailUnderLoad, FailOnOneRoute}
}

// Config sets up a row of moves.
type Config struct {
	Policy *pb.Policy
	Kind   Kind
	Runs   int
	Seed   uint64
}

// Report sums up a row of moves.
type Report struct {
	Kind                       Kind
	Runs                       int
	Done, Late, TakenBack      int
	Unfinished                 int
	PeakShares, RemovalSeconds Distribution
	NewVersionCalls            Distribution
}

// Distribution is a sorted row of values.
type Distribution []float64

// Quantile returns the value that a part of the others do not exceed.
func (d Distribution) Quantile(part float64) float64 {
	if len(d) == 0 {
		return math.NaN()
	}
	return d[min(int(part*float64(len(d))), len(d)-1)]
}

func (d Distribution) String() string {
	return fmt.Sprintf("median %.3g 95th %.3g most %.3g", d.Quantile(0.5), d.Quantile(0.95), d.Quantile(1))
}

const (
	step        = 100 * time.Millisecond
	evidenceLag = 4 // steps
	endpoints   = 12
	loadTime    = 500 * time.Millisecond // mean, with two at once
	// baseFailures of either version, as a share of calls
	baseFailures = 0.003
	vm           = "vm"
	target       = "notes"
	oldVersion   = "v1"
	newVersion   = "v2"
)

var routes = []string{"/v1/completions", "/v1/chat/completions"}

// Run carries out the moves.
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
		report.PeakShares = append(report.PeakShares, m.mostShare)
		report.NewVersionCalls = append(report.NewVersionCalls, float64(m.badCalls))
		if m.shownAt > 0 && m.goneAt > 0 {
			report.RemovalSeconds = append(report.RemovalSeconds, (m.goneAt - m.shownAt).Seconds())
		}
	}
	slices.Sort(report.PeakShares)
	slices.Sort(report.NewVersionCalls)
	slices.Sort(report.RemovalSeconds)
	return report
}

// move is one move on simulated time.
type move struct {
	cfg      Config
	rand     *rand.Rand
	machine  *bluebellstate.Machine
	planner  *bluebellmove.Planner
	ledger   *bluebellmove.OutcomeCounter
	now      time.Duration
	rate     float64 // calls a second
	badRate  float64 // share of calls of a bad version that fail
	slowness float64
	badAfter time.Duration
	// evidence of the latest steps, oldest first
	evidence [][]*pb.Evidence

	mostShare       float64
	badCalls        int
	shownAt, goneAt time.Duration
	window          []windowCounts
}

type windowCounts struct{ total, bad int }

func newMove(cfg Config, seed uint64) *move {
	r := rand.New(rand.NewPCG(seed, 77))
	m := &move{
		cfg: cfg, rand: r, machine: bluebellstate.New(), planner: bluebellmove.NewPlanner(cfg.Policy),
		ledger: bluebellmove.NewOutcomeCounter(vm, 1),
		rate:   20 + 80*r.Float64(), badRate: 0.25 + 0.75*r.Float64(), slowness: 2 + 3*r.Float64(),
		badAfter: time.Duration((5 + 40*r.Float64()) * float64(time.Second)),
	}
	m.apply(&pb.Command{ChangeID: "c", Body: &pb.Command_Apply{Apply: &pb.Configuration{
		FailureDomains: []*pb.FailureDomain{{Name: "d"}}, Voters: []string{vm}, Policy: cfg.Policy,
		Targets: []*pb.Target{{Name: target, Kind: pb.Kind_Model, Version: oldVersion}},
	}}})
	// The old version has served before the move.
	for m.now < 20*time.Second {
		m.traffic()
		m.now += step
	}
	within := time.Duration((90 + 300*r.Float64()) * float64(time.Second))
	m.apply(&pb.Command{ChangeID: "m", BaseRevision: 1, Body: &pb.Command_StartMove{StartMove: &pb.StartMove{
		Target: target, ToVersion: newVersion, FinishBy: int64(m.now + within),
	}}})
	return m
}

func (m *move) apply(c *pb.Command) {
	c.UnixNanos = int64(m.now)
	if r := m.machine.Apply(c); r.Verdict != pb.Verdict_Accepted {
		panic(fmt.Sprintf("command refused: %v", r))
	}
}

func (m *move) state() *pb.Move { return bluebellstate.LatestMove(m.machine.View(), target) }

// run goes on until the move has ended and its traffic is gone, or long after its
// time.
func (m *move) run() {
	startedAt := m.now
	end := time.Duration(m.state().FinishBy) + time.Minute
	for m.now < end && bluebellstate.MoveActive(m.state()) {
		m.traffic()
		m.evidence = append(m.evidence, m.ledger.Evidence(m.machine.View().Moves))
		if len(m.evidence) > evidenceLag {
			m.evidence = m.evidence[1:]
		}
		m.decide(m.now - startedAt)
		m.now += step
	}
	if m.state().Phase == pb.Phase_TakenBack {
		// Entries follow one step later.
		m.goneAt = m.now + step
	}
}

func (m *move) decide(since time.Duration) {
	seen := m.evidence[0]
	action := m.planner.Decide(bluebellmove.Input{
		Now: int64(m.now), Move: m.state(), UsableEndpoints: endpoints, LoadedEndpoints: min(int(since/loadTime), endpoints),
		Old: bluebellmove.SumByRoute(seen, target, oldVersion), New: bluebellmove.SumByRoute(seen, target, newVersion),
	})
	if action.Step != nil {
		m.apply(&pb.Command{Body: &pb.Command_StepMove{StepMove: action.Step}})
	}
}

// traffic sends the calls of one step.
func (m *move) traffic() {
	share := 0.0
	if mv := m.state(); mv != nil {
		share = mv.Share
	}
	counts := windowCounts{}
	calls := m.rate * step.Seconds()
	for calls > 0 {
		if calls < 1 && m.rand.Float64() > calls {
			break
		}
		calls--
		counts.total++
		version := oldVersion
		if m.rand.Float64() < share {
			version = newVersion
			counts.bad++
		}
		m.call(version, share)
	}
	if m.state() == nil || m.cfg.Kind == Good {
		return
	}
	m.badCalls += counts.bad
	m.window = append(m.window, counts)
	if len(m.window) > int(time.Second/step) {
		m.window = m.window[1:]
	}
	total, bad := 0, 0
	for _, w := range m.window {
		total += w.total
		bad += w.bad
	}
	if m.shownAt > 0 && total > 0 {
		m.mostShare = max(m.mostShare, float64(bad)/float64(total))
	}
}

// call is one call and its outcome.
func (m *move) call(version string, share float64) {
	route := routes[0]
	if m.rand.Float64() < 0.25 {
		route = routes[1]
	}
	fails, slows := false, false
	if version == newVersion {
		fails, slows = m.isBad(route, share)
	}
	failed := m.rand.Float64() < baseFailures || fails && m.rand.Float64() < m.badRate
	factor := 1.0
	if slows {
		factor = m.slowness
	}
	if (fails && failed || slows) && m.shownAt == 0 {
		m.shownAt = m.now
	}
	blocks := 1 + m.rand.IntN(10)
	jitter := math.Exp(0.3 * m.rand.NormFloat64())
	// Work ahead that the owner does not know of.
	ahead := float64(m.rand.IntN(3))
	m.ledger.Add(bluebellmove.Outcome{
		Target: target, Version: version, Route: route, Failed: failed, Blocks: blocks,
		FirstToken: time.Duration(factor * jitter * (float64(blocks) + ahead) * float64(40*time.Millisecond)),
		TokenTime:  time.Duration(factor * math.Exp(0.1*m.rand.NormFloat64()) * float64(20*time.Millisecond)),
		Baseline:   version == oldVersion,
	})
}

// isBad tells how a call of the new version goes wrong.
func (m *move) isBad(route string, share float64) (fails, slows bool) {
	since := m.now - time.Duration(m.state().StartedAt)
	switch m.cfg.Kind {
	case FailAtOnce:
		return true, false
	case SlowAtOnce:
		return false, true
	case FailLater:
		return since > m.badAfter, false
	case SlowLater:
		return false, since > m.badAfter
	case FailUnderLoad:
		return share >= 0.25, false
	case FailOnOneRoute:
		return route == routes[1], false
	}
	return false, false
}
