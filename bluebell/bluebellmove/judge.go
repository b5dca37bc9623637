package bluebellmove

import "math"

// Judgement is the result of testing a version's outcomes.
type Judgement int

// The judgements, from best to worst. LeansGood is evidence for a good version that
// does not suffice for Good.
const (
	Good Judgement = iota
	LeansGood
	Undecided
	Bad
)

func (j Judgement) String() string {
	return [...]string{"Good", "LeansGood", "Undecided", "Bad"}[j]
}

// Counts holds the numbers of calls of one version on one route in one period. Total
// includes Failed and Slow.
type Counts struct {
	Total, Failed, Slow uint64
}

func (c Counts) minus(d Counts) Counts {
	return Counts{c.Total - min(c.Total, d.Total), c.Failed - min(c.Failed, d.Failed), c.Slow - min(c.Slow, d.Slow)}
}

func (c Counts) plus(d Counts) Counts {
	return Counts{c.Total + d.Total, c.Failed + d.Failed, c.Slow + d.Slow}
}

// TestParameters holds the two rates that a sequential test distinguishes and its
// error probabilities.
type TestParameters struct {
	// GoodRate is the highest rate of a good version. The rate of a bad version is
	// higher by BadMargin.
	GoodRate, BadMargin float64
	// FalseAlarm is the probability of judging a good version bad, MissedAlarm
	// that of judging a bad version good.
	FalseAlarm, MissedAlarm float64
}

const (
	// leanSamples is the minimum number of calls for LeansGood if any of them
	// counts against the version.
	leanSamples = 8
	// maxGoodRate limits the good rate of a test, however often the old version
	// fails.
	maxGoodRate = 0.5
	// slowGoodRate is the fraction of slow answers that a good version may have.
	slowGoodRate = 0.05
	// slowBadMargin is how much higher that fraction is for a bad version.
	slowBadMargin = 0.25
)

// test runs Wald's sequential probability ratio test on hits, the failed or slow
// calls, among total calls. The good rate is baseRate if that is above GoodRate.
func (p TestParameters) test(hits, total uint64, baseRate float64) Judgement {
	goodRate := min(max(p.GoodRate, baseRate), maxGoodRate)
	badRate := min(goodRate+p.BadMargin, 0.95)
	misses := float64(total - min(hits, total))
	logRatio := float64(hits)*math.Log(badRate/goodRate) + misses*math.Log((1-badRate)/(1-goodRate))
	switch {
	case logRatio >= math.Log((1-p.MissedAlarm)/p.FalseAlarm):
		return Bad
	case logRatio <= math.Log(p.MissedAlarm/(1-p.FalseAlarm)):
		return Good
	case logRatio < 0 && (total >= leanSamples || hits == 0):
		return LeansGood
	}
	return Undecided
}

// judge compares the new version with the old one on one route. It returns the worse
// of the judgements on failures and on slow answers.
func (p TestParameters) judge(old, next Counts) Judgement {
	failures := p.test(next.Failed, next.Total, smoothedRate(old.Failed, old.Total, p.GoodRate))
	slow := TestParameters{slowGoodRate, slowBadMargin, p.FalseAlarm, p.MissedAlarm}
	slowness := slow.test(next.Slow, next.Total, smoothedRate(old.Slow, old.Total, slowGoodRate))
	return max(failures, slowness)
}

// smoothedRate returns the old version's rate of hits. With few calls it is close
// to the prior, which has the weight of priorCalls calls.
func smoothedRate(hits, total uint64, prior float64) float64 {
	const priorCalls = 20
	return (float64(hits) + prior*priorCalls) / (float64(total) + priorCalls)
}
