package bluebellmove

import (
	"sync"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// slowQuantile of the serving version's times is the mark of slowness, when
	// exceeded by slowFactor.
	slowQuantile = 0.9
	slowFactor   = 1.5
	// quantileStep is the relative step of the estimate.
	quantileStep = 0.05
)

// Outcome is the end of one call.
type Outcome struct {
	Target, Version, Route string
	Failed                 bool
	// FirstToken is the time to the first token or the answer.
	FirstToken time.Duration
	// Blocks that were computed for it.
	Blocks int
	// Serving is set when Version is not the new one of a move.
	Serving bool
}

type ledgerKey struct{ target, version, route string }

type routeKey struct{ target, route string }

// Ledger counts outcomes at one VM since its start. It is safe for concurrent
// use.
type Ledger struct {
	vm        string
	startedAt int64

	mu     sync.Mutex
	counts map[ledgerKey]Counts
	// marks are estimates of the serving version's times for one block.
	marks map[routeKey]float64
}

// NewLedger returns an empty ledger. StartedAt, in nanoseconds since 1970, tells
// its counts from those of an earlier process.
func NewLedger(vm string, startedAt int64) *Ledger {
	return &Ledger{vm: vm, startedAt: startedAt, counts: map[ledgerKey]Counts{}, marks: map[routeKey]float64{}}
}

// Add counts one outcome.
func (l *Ledger) Add(o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := ledgerKey{o.Target, o.Version, o.Route}
	c := l.counts[k]
	c.Total++
	switch {
	case o.Failed:
		c.Failed++
	case l.slow(o):
		c.Slow++
	}
	l.counts[k] = c
}

// slow compares a time for one block with the serving version's high quantile,
// which it estimates by stochastic approximation (Robbins and Monro, 1951).
func (l *Ledger) slow(o Outcome) bool {
	k := routeKey{o.Target, o.Route}
	time := o.FirstToken.Seconds() / float64(o.Blocks+1)
	mark, known := l.marks[k]
	if !known {
		if o.Serving {
			l.marks[k] = time
		}
		return false
	}
	if o.Serving {
		if time > mark {
			l.marks[k] = mark * (1 + quantileStep*slowQuantile)
		} else {
			l.marks[k] = mark * (1 - quantileStep*(1-slowQuantile))
		}
	}
	return time > slowFactor*mark
}

// Evidence returns the counts of the targets with a move.
func (l *Ledger) Evidence(moves []*pb.Move) []*pb.Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*pb.Evidence
	for k, c := range l.counts {
		for _, m := range moves {
			if m.Target != k.target || k.version != m.FromVersion && k.version != m.ToVersion {
				continue
			}
			all = append(all, &pb.Evidence{
				VM: l.vm, StartedAt: l.startedAt, Target: k.target, Version: k.version, Route: k.route,
				Good: c.Total - c.Failed - c.Slow, Failed: c.Failed, Slow: c.Slow,
			})
		}
	}
	return all
}

// Sum adds up the evidence of all VMs on one version.
func Sum(evidence []*pb.Evidence, target, version string) ByRoute {
	sums := ByRoute{}
	for _, e := range evidence {
		if e.Target == target && e.Version == version {
			sums[e.Route] = sums[e.Route].plus(Counts{e.Good + e.Failed + e.Slow, e.Failed, e.Slow})
		}
	}
	return sums
}

// Brake stops a version at one VM on that VM's own evidence. A stop needs no
// agreement, and lasts as long as the move.
type Brake struct {
	mu     sync.Mutex
	braked map[brakeKey]string
	since  map[brakeKey][2]ByRoute
}

type brakeKey struct {
	target, version string
	startedAt       int64
}

// NewBrake returns a brake that stops nothing.
func NewBrake() *Brake {
	return &Brake{braked: map[brakeKey]string{}, since: map[brakeKey][2]ByRoute{}}
}

// Check judges a move on a VM's own evidence, and tells whether it stopped the
// version just now.
func (b *Brake) Check(m *pb.Move, own []*pb.Evidence, policy *pb.Policy) (why string, stopped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := brakeKey{m.Target, m.ToVersion, m.StartedAt}
	old, next := Sum(own, m.Target, m.FromVersion), Sum(own, m.Target, m.ToVersion)
	start, known := b.since[k]
	if !known {
		b.since[k] = [2]ByRoute{old, next}
		return "", false
	}
	if _, already := b.braked[k]; already {
		return "", false
	}
	p := Planner{policy: policy, oldAt: start[0], newAt: start[1]}
	judgement, why := p.judge(Input{Move: m, Old: old, New: next})
	if judgement != Bad {
		return "", false
	}
	b.braked[k] = why
	return why, true
}

// Braked tells whether a version is stopped here in a move.
func (b *Brake) Braked(m *pb.Move) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.braked[brakeKey{m.Target, m.ToVersion, m.StartedAt}]
	return ok
}
