package bluebellmove

import (
	"maps"
	"slices"
	"sync"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// slowQuantile of the serving version's times is the mark of slowness.
	slowQuantile = 0.9
	// slowFirstToken is the multiple of the mark above which a first token is
	// slow. It is wide because the work ahead at an endpoint is only estimated.
	slowFirstToken = 3.0
	// slowToken is the same for the time between tokens, which hardly depends on
	// the work ahead.
	slowToken = 1.5
	// A time is slow only if it is also this much above its mark: less is noise.
	minSlowFirstToken = 50 * time.Millisecond
	minSlowToken      = 5 * time.Millisecond
	// markSamples are the latest times of the serving version that the quantile
	// is taken of; it is taken anew after each markEvery of them.
	markSamples = 64
	markEvery   = 8
)

// Outcome is the end of one call.
type Outcome struct {
	Target, Version, Route string
	Failed                 bool
	// FirstToken is the time to the first token or the answer.
	FirstToken time.Duration
	// Blocks that were computed for it, or ahead of it.
	Blocks int
	// TokenTime is the time between two tokens, or 0 if it was not measured.
	TokenTime time.Duration
	// Baseline is set when Version is not the new one of a move.
	Baseline bool
}

type ledgerKey struct{ target, version, route string }

// measure is what is timed.
type measure int

const (
	firstTokenMeasure measure = iota
	tokenMeasure
)

type markKey struct {
	target, route string
	measure       measure
}

// OutcomeCounter counts outcomes at one VM since its start. It is safe for concurrent
// use.
type OutcomeCounter struct {
	vm        string
	startedAt int64

	mu     sync.Mutex
	counts map[ledgerKey]Counts
	marks  map[markKey]*mark
	// bases are the counts at which each running move was first seen.
	bases map[moveKey]map[ledgerKey]Counts
}

type moveKey struct {
	target    string
	startedAt int64
}

// mark is the high quantile of the serving version's latest times.
type mark struct {
	samples []float64
	next    int
	value   float64
}

func (m *mark) add(time float64) {
	if len(m.samples) < markSamples {
		m.samples = append(m.samples, time)
	} else {
		m.samples[m.next%markSamples] = time
	}
	m.next++
	if m.next%markEvery != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(m.samples))
	m.value = sorted[int(slowQuantile*float64(len(sorted)-1))]
}

// NewOutcomeCounter returns an empty ledger. StartedAt, in nanoseconds since 1970, tells
// its counts from those of an earlier process.
func NewOutcomeCounter(vm string, startedAt int64) *OutcomeCounter {
	return &OutcomeCounter{
		vm: vm, startedAt: startedAt, counts: map[ledgerKey]Counts{}, marks: map[markKey]*mark{},
		bases: map[moveKey]map[ledgerKey]Counts{},
	}
}

// Add counts one outcome.
func (l *OutcomeCounter) Add(o Outcome) {
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

// slow compares a call's times with the serving version's marks.
func (l *OutcomeCounter) slow(o Outcome) bool {
	blocks := float64(o.Blocks + 1)
	slow := l.exceeds(o, firstTokenMeasure, o.FirstToken.Seconds()/blocks, slowFirstToken, minSlowFirstToken.Seconds()/blocks)
	if o.TokenTime > 0 {
		slow = l.exceeds(o, tokenMeasure, o.TokenTime.Seconds(), slowToken, minSlowToken.Seconds()) || slow
	}
	return slow
}

// exceeds tells whether a time is above a multiple of its mark, and by no less
// than a margin. Nothing is before there is a mark.
func (l *OutcomeCounter) exceeds(o Outcome, m measure, time, factor, margin float64) bool {
	k := markKey{o.Target, o.Route, m}
	mk := l.marks[k]
	if mk == nil {
		mk = &mark{}
		l.marks[k] = mk
	}
	value := mk.value
	if o.Baseline {
		mk.add(time)
	}
	return value > 0 && time > max(factor*value, value+margin)
}

// Evidence returns what was counted since each move was first seen here.
func (l *OutcomeCounter) Evidence(moves []*pb.Move) []*pb.Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*pb.Evidence
	for _, m := range moves {
		base := l.base(m)
		for k, c := range l.counts {
			if m.Target != k.target || k.version != m.FromVersion && k.version != m.ToVersion {
				continue
			}
			c = c.minus(base[k])
			all = append(all, &pb.Evidence{
				VM: l.vm, StartedAt: max(l.startedAt, m.StartedAt), Target: k.target, Version: k.version, Route: k.route,
				Good: c.Total - c.Failed - c.Slow, Failed: c.Failed, Slow: c.Slow,
			})
		}
	}
	return all
}

// base returns the counts at which a move was first seen. The one of an earlier
// move of the same target is dropped.
func (l *OutcomeCounter) base(m *pb.Move) map[ledgerKey]Counts {
	key := moveKey{m.Target, m.StartedAt}
	if l.bases[key] == nil {
		for k := range l.bases {
			if k.target == m.Target {
				delete(l.bases, k)
			}
		}
		l.bases[key] = maps.Clone(l.counts)
	}
	return l.bases[key]
}

// SumByRoute adds up the evidence of all VMs on one version.
func SumByRoute(evidence []*pb.Evidence, target, version string) CountsByRoute {
	sums := CountsByRoute{}
	for _, e := range evidence {
		if e.Target == target && e.Version == version {
			sums[e.Route] = sums[e.Route].plus(Counts{e.Good + e.Failed + e.Slow, e.Failed, e.Slow})
		}
	}
	return sums
}

// VersionBreaker stops a version at one VM on that VM's own evidence. A stop needs no
// agreement, and lasts as long as the move.
type VersionBreaker struct {
	mu     sync.Mutex
	braked map[brakeKey]string
	since  map[brakeKey][2]CountsByRoute
}

type brakeKey struct {
	target, version string
	startedAt       int64
}

// NewVersionBreaker returns a brake that stops nothing.
func NewVersionBreaker() *VersionBreaker {
	return &VersionBreaker{braked: map[brakeKey]string{}, since: map[brakeKey][2]CountsByRoute{}}
}

// Check judges a move on a VM's own evidence, and tells whether it stopped the
// version just now.
func (b *VersionBreaker) Check(m *pb.Move, own []*pb.Evidence, policy *pb.Policy) (why string, stopped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := brakeKey{m.Target, m.ToVersion, m.StartedAt}
	old, next := SumByRoute(own, m.Target, m.FromVersion), SumByRoute(own, m.Target, m.ToVersion)
	start, known := b.since[k]
	if !known {
		b.since[k] = [2]CountsByRoute{old, next}
		return "", false
	}
	if _, already := b.braked[k]; already {
		return "", false
	}
	p := Planner{policy: policy}
	judgement, why := p.judge(Input{Move: m, Old: old, New: next}, start[0], start[1])
	if judgement != Bad {
		return "", false
	}
	b.braked[k] = why
	return why, true
}

// Stopped tells whether a version is stopped here in a move.
func (b *VersionBreaker) Stopped(m *pb.Move) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.braked[brakeKey{m.Target, m.ToVersion, m.StartedAt}]
	return ok
}
