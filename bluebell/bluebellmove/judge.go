package bluebellmove

import "math"

// Judgement is what the evidence says of a version.
type Judgement int

// The judgements, in order of badness.
const (
	Good Judgement = iota
	LeansGood
	Undecided
	Bad
)

func (j Judgement) String() string {
	return [...]string{"Good", "LeansGood", "Undecided", "Bad"}[j]
}

// Counts are outcomes of one version on one route in one period.
type Counts struct {
	Total, Failed, Slow uint64
}

func (c Counts) minus(d Counts) Counts {
	return Counts{c.Total - min(c.Total, d.Total), c.Failed - min(c.Failed, d.Failed), c.Slow - min(c.Slow, d.Slow)}
}

func (c Counts) plus(d Counts) Counts {
	return Counts{c.Total + d.Total, c.Failed + d.Failed, c.Slow + d.Slow}
}

// TestParameters are what a test tells apart, and how often it may err.
type TestParameters struct {
	// GoodRate is accepted; a rate higher by BadMargin is not.
	GoodRate, BadMargin float64
	// FalseAlarm is the probability of calling a good version bad, MissedAlarm
	// that of calling a bad one good.
	FalseAlarm, MissedAlarm float64
}

const (
	// leanSamples is the least evidence that a leaning needs where some calls have
	// failed.
	leanSamples = 8
	// maxBaseRate bounds what the old version's own failures excuse.
	maxBaseRate = 0.5
	// slowGoodRate is the share of slow answers that a good version may have.
	slowGoodRate = 0.05
	// slowBadMargin is how many more a bad one has.
	slowBadMargin = 0.25
)

// test is Wald's sequential probability ratio test of hits among total.
func (r TestParameters) test(hits, total uint64, base float64) Judgement {
	p0 := min(max(r.GoodRate, base), maxBaseRate)
	p1 := min(p0+r.BadMargin, 0.95)
	misses := float64(total - min(hits, total))
	ratio := float64(hits)*math.Log(p1/p0) + misses*math.Log((1-p1)/(1-p0))
	switch {
	case ratio >= math.Log((1-r.MissedAlarm)/r.FalseAlarm):
		return Bad
	case ratio <= math.Log(r.MissedAlarm/(1-r.FalseAlarm)):
		return Good
	case ratio < 0 && (total >= leanSamples || hits == 0):
		return LeansGood
	}
	return Undecided
}

// judge compares the new version with the old one on one route.
func (r TestParameters) judge(old, next Counts) Judgement {
	failures := r.test(next.Failed, next.Total, baseRate(old.Failed, old.Total, r.GoodRate))
	slow := TestParameters{slowGoodRate, slowBadMargin, r.FalseAlarm, r.MissedAlarm}
	slowness := slow.test(next.Slow, next.Total, baseRate(old.Slow, old.Total, slowGoodRate))
	return max(failures, slowness)
}

// baseRate is the old version's rate, drawn towards the prior while there is
// little evidence of it.
func baseRate(hits, total uint64, prior float64) float64 {
	const priorWeight = 20
	return (float64(hits) + prior*priorWeight) / (float64(total) + priorWeight)
}
