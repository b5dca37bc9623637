package bluebellplacement

import (
	"math"
	"slices"
	"time"
)

// The engines of a target may differ in speed. An entry gets a few suitable answers of an engine in a
// minute, too few for the quantile that estimates the speed of the target. The speed of an engine is
// therefore estimated as its ratio to that of the target, by small corrections that all entries share.
//
// A call tells the speed but for the share of its shared blocks that the engine had cached: of the speeds
// with all and with none of them cached, the one closer to the estimate counts. A call that met work that
// no entry knows of seems slow, and none seems fast, so that corrections downwards are bounded more
// narrowly than those upwards.

const (
	// maxEngineSamples bounds the calls that are kept for each engine, engineSampleRetention is how
	// long: an engine may become slower or faster without a restart.
	maxEngineSamples      = 16
	engineSampleRetention = 2 * time.Minute
	// maxFaster and maxSlower bound the deviation of one call from the estimate, as a logarithm.
	maxFaster = 0.35
	maxSlower = 0.07
	// minLogRatio and maxLogRatio bound the logarithm of an engine's speed divided by the
	// reference.
	minLogRatio = -1.6
	maxLogRatio = 1.1
	// ownCorrectionCalls is the number of calls of which this entry applies half of their mean deviation.
	ownCorrectionCalls = 2.0
	// othersCorrection is the number of calls times their time in reports of other entries after which
	// the estimate has followed these by two thirds. It is about 5 s for an engine with two suitable
	// calls a second over all entries, each of which is reported for a second.
	othersCorrection = 10 * time.Second
	// aloneAfter is the time without estimates of others after which the own one is taken for that of all
	// entries.
	aloneAfter = 3 * time.Second
	// Answers of all engines are late while stores or links are slow, which says nothing about engines: a
	// deviation of more than commonSlower in three quarters of the latest commonSamples calls of a target.
	// A call then corrects its engine by lateCorrection at most; without any correction, engines would keep
	// a wrong estimate that the fastest few have caused. Fewer than minCommonSamples calls show nothing.
	commonSlower     = -0.35
	commonSamples    = 16
	minCommonSamples = 4
	// minKnownEngines is the number of engines whose speeds tell what to expect of another one.
	minKnownEngines = 4
	lateCorrection  = -0.01
)

// Speed is a sum of estimates of how many prompt tokens an engine processes per second.
type Speed struct {
	// Total is the sum of the estimates, in tokens a second, each weighted by the calls that it is based
	// on. Calls is the sum of these.
	Total int64
	Calls int
}

// NewSpeed returns an estimate that is based on a number of calls.
func NewSpeed(tokensPerSecond float64, calls int) Speed {
	return Speed{Total: int64(math.Round(tokensPerSecond)) * int64(calls), Calls: calls}
}

// TokensPerSecond returns the mean estimate, 0 if there is none.
func (s Speed) TokensPerSecond() float64 {
	if s.Calls <= 0 {
		return 0
	}
	return float64(s.Total) / float64(s.Calls)
}

// Add returns the sum of two sets of estimates.
func (s Speed) Add(other Speed) Speed { return Speed{s.Total + other.Total, s.Calls + other.Calls} }

// Minus returns the set without a part of it.
func (s Speed) Minus(part Speed) Speed {
	if part.Calls >= s.Calls {
		return Speed{}
	}
	return Speed{max(s.Total-part.Total, 0), s.Calls - part.Calls}
}

// engineSample is a call that an engine without known unread tokens has answered.
type engineSample struct {
	at, took time.Duration
	// own is the number of tokens that the engine certainly processed, most the one with all shared
	// blocks that were not fetched.
	own, most int
}

// engineSpeed estimates the speed of one engine relative to the reference of its target.
type engineSpeed struct {
	// ratio is the speed divided by the reference of the target, logRatio its logarithm; 0 and 0 before
	// the first estimate.
	ratio, logRatio float64
	samples         []engineSample // a ring
	next            int
}

// engineRate returns the number of prompt tokens that an engine processes per second. One that is not
// known is as fast as the upper quarter of the others: the target's estimate is from one entry's calls
// only.
func (t *targetState) engineRate(e *engineSpeed) float64 {
	switch {
	case e.ratio != 0:
		return e.ratio * t.speed.referenceRate()
	case t.usualRatio != 0:
		return t.usualRatio * t.speed.referenceRate()
	}
	return t.speed.tokensPerSecond()
}

// updateRatios updates usualRatio.
func (t *targetState) updateRatios() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ratios = t.ratios[:0]
	for i := range t.members {
		if ratio := t.members[i].state.speed.ratio; ratio != 0 {
			t.ratios = append(t.ratios, ratio)
		}
	}
	t.usualRatio = 0
	if len(t.ratios) >= minKnownEngines {
		slices.Sort(t.ratios)
		t.usualRatio = t.ratios[len(t.ratios)-1-len(t.ratios)/4]
	}
}

func (e *engineSpeed) correct(by float64) {
	e.logRatio = min(max(e.logRatio+by, minLogRatio), maxLogRatio)
	e.ratio = math.Exp(e.logRatio)
}

// record adds a call. target is the estimate of the target.
func (e *engineSpeed) record(target *speedEstimate, s engineSample) {
	if s.own < minSpeedTokens || s.took <= 0 {
		return
	}
	deviation, _ := e.deviationOf(target, s)
	if target.engines.areLate(deviation) {
		e.correct(max(min(deviation, 0), lateCorrection))
		return
	}
	if len(e.samples) < maxEngineSamples {
		e.samples = append(e.samples, s)
	} else {
		e.samples[e.next] = s
		e.next = (e.next + 1) % maxEngineSamples
	}
	mean, calls := e.deviation(target, s.at)
	e.correct(mean * float64(calls) / (float64(calls) + ownCorrectionCalls))
}

// deviationOf returns by how much the speed in a call deviates from the estimate, as a logarithm, and
// whether a part of the shared blocks being cached may explain that.
func (e *engineSpeed) deviationOf(target *speedEstimate, s engineSample) (deviation float64, ambiguous bool) {
	seconds := max(s.took-target.overhead(), s.took/2).Seconds()
	reference := math.Log(target.referenceRate()*seconds) + e.logRatio
	least, most := math.Log(float64(s.own))-reference, math.Log(float64(s.most))-reference
	if math.Abs(most) < math.Abs(least) {
		return most, least < 0 && most > 0
	}
	return least, least < 0 && most > 0
}

// deviation returns the mean by which the recent calls deviate from the estimate, as a logarithm, and
// their number.
func (e *engineSpeed) deviation(target *speedEstimate, now time.Duration) (mean float64, calls int) {
	for _, s := range e.samples {
		if now-s.at > engineSampleRetention {
			continue
		}
		deviation, ambiguous := e.deviationOf(target, s)
		bound := maxFaster
		if ambiguous {
			bound = maxSlower
		}
		mean += min(max(deviation, -maxSlower), bound)
		calls++
	}
	return mean / float64(max(calls, 1)), calls
}

// engineDeviations are those of the latest calls of a target.
type engineDeviations struct {
	latest [commonSamples]float64 // a ring
	count  int
}

// areLate adds the deviation of a call, and reports whether most calls are late.
func (d *engineDeviations) areLate(deviation float64) bool {
	d.latest[d.count%commonSamples] = deviation
	d.count++
	late, n := 0, min(d.count, commonSamples)
	for _, one := range d.latest[:n] {
		if one < commonSlower {
			late++
		}
	}
	return n >= minCommonSamples && 4*late > 3*n
}

// reported returns the estimate of this entry's calls for other entries.
func (e *engineSpeed) reported(target *speedEstimate, now time.Duration) Speed {
	deviation, calls := e.deviation(target, now)
	if calls == 0 {
		return Speed{}
	}
	return NewSpeed(target.referenceRate()*math.Exp(e.logRatio+deviation), calls)
}

// speedsFor returns for how long the speeds in the fleet's sums of other entries count, 0 if these contain
// none: most are without. p.mu must be held for writing.
func (p *Placer) speedsFor(f *Fleet) time.Duration {
	since := max(f.At-p.speedsAt, 0)
	shared := since >= aloneAfter
	for _, u := range f.UseByOthers {
		shared = shared || u.Speed.Calls > 0
	}
	if !shared {
		return 0
	}
	p.speedsAt = f.At
	return min(since, time.Second)
}

// learnSpeed learns from the speeds that the other entries have reported for a time, which are added to
// the own one for the weights of homes.
func (s *endpointState) learnSpeed(target *speedEstimate, now, since time.Duration, others Speed) {
	if since == 0 {
		return
	}
	s.home.learn(others.Add(s.use(now, target).Speed), since)
	s.speed.learn(target, since, others)
}

// learn applies the estimates of other entries, which have reported them for a time.
func (e *engineSpeed) learn(target *speedEstimate, since time.Duration, others Speed) {
	if others.Calls == 0 || others.Total <= 0 || target.rate == 0 {
		return
	}
	weight := 1 - math.Exp(-float64(others.Calls)*float64(since)/float64(othersCorrection))
	e.correct(weight * (math.Log(others.TokensPerSecond()/target.referenceRate()) - e.logRatio))
}
