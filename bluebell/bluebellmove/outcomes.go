package bluebellmove

import (
	"maps"
	"slices"
	"sync"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// slowQuantile is the quantile of the old version's latest times with which
	// times are compared. The quantile is called the baseline.
	slowQuantile = 0.9
	// slowFirstTokenFactor is the multiple of the baseline above which a time to
	// the first token is slow. It is large because the work ahead of a request at
	// its endpoint is only an estimate.
	slowFirstTokenFactor = 3.0
	// slowTokenFactor is the multiple of the baseline above which a time between
	// tokens is slow. That time hardly depends on the work ahead.
	slowTokenFactor = 1.5
	// A time is slow only if it also exceeds its baseline by at least this much:
	// smaller differences are noise.
	minFirstTokenExcess = 50 * time.Millisecond
	minTokenExcess      = 5 * time.Millisecond
	// baselineSamples is the number of latest times of the old version from which
	// the quantile is computed. It is computed again after baselineInterval times.
	baselineSamples  = 64
	baselineInterval = 8
)

// Outcome is the result of one call.
type Outcome struct {
	Target, Version, Route string
	Failed                 bool
	// FirstToken is the time to the first token, or to the answer if it is not
	// streamed.
	FirstToken time.Duration
	// Blocks is the number of blocks that were computed for the call or ahead of it.
	Blocks int
	// TokenTime is the time between two tokens, or 0 if it was not measured.
	TokenTime time.Duration
	// Baseline is set if Version is not the new version of a move. The baseline is
	// computed from the times of these calls.
	Baseline bool
}

type outcomeKey struct{ target, version, route string }

// measure is a kind of measured time.
type measure int

const (
	firstTokenMeasure measure = iota
	tokenMeasure
)

type baselineKey struct {
	target, route string
	measure       measure
}

// OutcomeCounter counts the outcomes of calls at one VM since the process started.
// It is safe for concurrent use.
type OutcomeCounter struct {
	vm        string
	startedAt int64

	mu        sync.Mutex
	counts    map[outcomeKey]Counts
	baselines map[baselineKey]*baseline
	// initialCounts holds the counts when each active move was first seen.
	initialCounts map[moveKey]map[outcomeKey]Counts
}

type moveKey struct {
	target    string
	startedAt int64
}

// baseline computes the slowQuantile of the old version's latest times. Its value
// is 0 before the first baselineInterval times.
type baseline struct {
	samples []float64
	next    int
	value   float64
}

func (b *baseline) add(seconds float64) {
	if len(b.samples) < baselineSamples {
		b.samples = append(b.samples, seconds)
	} else {
		b.samples[b.next%baselineSamples] = seconds
	}
	b.next++
	if b.next%baselineInterval != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(b.samples))
	b.value = sorted[int(slowQuantile*float64(len(sorted)-1))]
}

// NewOutcomeCounter returns a counter without outcomes. StartedAt, in nanoseconds
// since 1970, distinguishes its counts from those of an earlier process.
func NewOutcomeCounter(vm string, startedAt int64) *OutcomeCounter {
	return &OutcomeCounter{
		vm: vm, startedAt: startedAt, counts: map[outcomeKey]Counts{}, baselines: map[baselineKey]*baseline{},
		initialCounts: map[moveKey]map[outcomeKey]Counts{},
	}
}

// Add counts one outcome.
func (c *OutcomeCounter) Add(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := outcomeKey{o.Target, o.Version, o.Route}
	counts := c.counts[k]
	counts.Total++
	switch {
	case o.Failed:
		counts.Failed++
	case c.slow(o):
		counts.Slow++
	}
	c.counts[k] = counts
}

// slow reports whether one of a call's times is slow compared with the old version.
// The time to the first token is compared per block.
func (c *OutcomeCounter) slow(o Outcome) bool {
	blocks := float64(o.Blocks + 1)
	slow := c.exceeds(o, firstTokenMeasure, o.FirstToken.Seconds()/blocks, slowFirstTokenFactor, minFirstTokenExcess.Seconds()/blocks)
	if o.TokenTime > 0 {
		slow = c.exceeds(o, tokenMeasure, o.TokenTime.Seconds(), slowTokenFactor, minTokenExcess.Seconds()) || slow
	}
	return slow
}

// exceeds reports whether a time is above factor times its baseline and also above
// the baseline plus margin. It is false as long as there is no baseline. If the
// call belongs to the old version, its time is added to the baseline.
func (c *OutcomeCounter) exceeds(o Outcome, m measure, seconds, factor, margin float64) bool {
	k := baselineKey{o.Target, o.Route, m}
	b := c.baselines[k]
	if b == nil {
		b = &baseline{}
		c.baselines[k] = b
	}
	value := b.value
	if o.Baseline {
		b.add(seconds)
	}
	return value > 0 && seconds > max(factor*value, value+margin)
}

// Evidence returns, for the old and new version of each move, the outcomes counted
// since this counter first saw the move.
func (c *OutcomeCounter) Evidence(moves []*pb.Move) []*pb.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*pb.Evidence
	for _, m := range moves {
		initial := c.countsAtStart(m)
		for k, counts := range c.counts {
			if m.Target != k.target || k.version != m.FromVersion && k.version != m.ToVersion {
				continue
			}
			counts = counts.minus(initial[k])
			all = append(all, &pb.Evidence{
				VM: c.vm, StartedAt: max(c.startedAt, m.StartedAt), Target: k.target, Version: k.version, Route: k.route,
				Good: counts.Total - counts.Failed - counts.Slow, Failed: counts.Failed, Slow: counts.Slow,
			})
		}
	}
	return all
}

// countsAtStart returns the counts when a move was first seen. For a new move it
// stores the current counts and deletes those of earlier moves of the target.
func (c *OutcomeCounter) countsAtStart(m *pb.Move) map[outcomeKey]Counts {
	key := moveKey{m.Target, m.StartedAt}
	if c.initialCounts[key] == nil {
		for k := range c.initialCounts {
			if k.target == m.Target {
				delete(c.initialCounts, k)
			}
		}
		c.initialCounts[key] = maps.Clone(c.counts)
	}
	return c.initialCounts[key]
}

// SumByRoute adds up the evidence of all VMs on one version of a target.
func SumByRoute(evidence []*pb.Evidence, target, version string) CountsByRoute {
	sums := CountsByRoute{}
	for _, e := range evidence {
		if e.Target == target && e.Version == version {
			sums[e.Route] = sums[e.Route].plus(Counts{e.Good + e.Failed + e.Slow, e.Failed, e.Slow})
		}
	}
	return sums
}

// VersionBreaker is a circuit breaker for the new version of a move at one VM. It
// stops the version on the evidence of that VM alone, without agreement of other
// VMs. The version stays stopped there until the move ends.
type VersionBreaker struct {
	mu      sync.Mutex
	stopped map[breakerKey]string
	// initial holds the counts of the old and the new version at the first Check.
	initial map[breakerKey][2]CountsByRoute
}

type breakerKey struct {
	target, version string
	startedAt       int64
}

// NewVersionBreaker returns a breaker with no version stopped.
func NewVersionBreaker() *VersionBreaker {
	return &VersionBreaker{stopped: map[breakerKey]string{}, initial: map[breakerKey][2]CountsByRoute{}}
}

// Check judges the new version of a move on this VM's own evidence since the first
// Check of the move. It reports whether this call stopped the version, and the reason.
func (b *VersionBreaker) Check(m *pb.Move, own []*pb.Evidence, policy *pb.Policy) (reason string, stopped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := breakerKey{m.Target, m.ToVersion, m.StartedAt}
	old, next := SumByRoute(own, m.Target, m.FromVersion), SumByRoute(own, m.Target, m.ToVersion)
	initial, seen := b.initial[k]
	if !seen {
		b.initial[k] = [2]CountsByRoute{old, next}
		return "", false
	}
	if _, already := b.stopped[k]; already {
		return "", false
	}
	p := Planner{policy: policy}
	judgement, reason := p.judge(Input{Move: m, Old: old, New: next}, initial[0], initial[1])
	if judgement != Bad {
		return "", false
	}
	b.stopped[k] = reason
	return reason, true
}

// Stopped reports whether the new version of a move is stopped at this VM.
func (b *VersionBreaker) Stopped(m *pb.Move) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.stopped[breakerKey{m.Target, m.ToVersion, m.StartedAt}]
	return ok
}
