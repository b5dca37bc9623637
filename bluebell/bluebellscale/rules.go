package bluebellscale

import (
	"math"
	"slices"
	"time"
)

// figures computes what the rules compare.
func (p *Planner) figures(now time.Duration, in Input, all fleet) Figures {
	f := Figures{
		Demand:   p.smoothed(now),
		Capacity: all.sum(func(m member) int { return m.capacity() }),
		Usable:   all.sum(func(m member) int { return m.inService(m.Usable) }),
		Lost:     all.sum(func(m member) int { return m.inService(m.lost) }),
		Pressed:  p.held(now, pressureTime, func(s sample) bool { return s.pressed }),
	}
	span := window(in.Bounds)
	for _, s := range p.samples {
		if now-s.at <= span {
			f.Peak = max(f.Peak, p.smoothed(s.at))
		}
	}
	f.Forecast = p.sustained(now)
	rise := min(p.trend(now, span), p.recentTrend(now)) * (in.Bounds.StartDuration + sustainTime).Seconds()
	f.Forecast += min(max(rise, 0), maxRise*f.Forecast)
	return f
}

// inService returns n, or 0 for a failure domain that is out of service.
func (m member) inService(n int) int {
	if m.Out {
		return 0
	}
	return n
}

// capacity is the ordered number without endpoints that have been lost for long.
func (m member) capacity() int { return m.inService(m.ordered - m.lostLong) }

// smoothed returns the mean demand of smoothingTime before at.
func (p *Planner) smoothed(at time.Duration) float64 {
	sum, n := 0.0, 0
	for _, s := range p.samples {
		if s.at <= at && at-s.at < smoothingTime {
			sum += s.demand
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// sustained returns the demand that was reached all the time for sustainTime.
func (p *Planner) sustained(now time.Duration) float64 {
	if !p.spans(now, sustainTime) {
		return 0
	}
	lowest := math.Inf(1)
	for _, s := range p.samples {
		if now-s.at <= sustainTime {
			lowest = min(lowest, p.smoothed(s.at))
		}
	}
	return lowest
}

// trend returns the change of demand per second: that of the median between two spans. A span is longer than a
// wave, whose ups and downs therefore cancel out, and a short burst does not move a median.
func (p *Planner) trend(now, span time.Duration) float64 {
	if !p.spans(now, 2*span-sampleGap) {
		return 0
	}
	var before, after []float64
	for _, s := range p.samples {
		if now-s.at < span {
			after = append(after, s.demand)
		} else if now-s.at < 2*span {
			before = append(before, s.demand)
		}
	}
	return (median(after) - median(before)) / span.Seconds()
}

// recentTrend returns the change of demand per second within the last 6 s. A demand that has risen and rises no
// more has a trend by its medians for two spans.
func (p *Planner) recentTrend(now time.Duration) float64 {
	const half = sustainTime * 3 / 4
	sums, counts := [2]float64{}, [2]float64{}
	for _, s := range p.samples {
		if i := int((now - s.at) / half); i < 2 {
			sums[i] += s.demand
			counts[i]++
		}
	}
	if counts[0] == 0 || counts[1] == 0 {
		return 0
	}
	return (sums[0]/counts[0] - sums[1]/counts[1]) / half.Seconds()
}

func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	if n == 0 {
		return 0
	}
	return (values[(n-1)/2] + values[n/2]) / 2
}

// spans reports whether there is input for a time before now.
func (p *Planner) spans(now, d time.Duration) bool {
	return len(p.samples) > 0 && now-p.samples[0].at >= d
}

// held reports whether a condition held for a time before now.
func (p *Planner) held(now, d time.Duration, condition func(s sample) bool) bool {
	return p.spans(now, d) && !slices.ContainsFunc(p.samples, func(s sample) bool { return now-s.at <= d && !condition(s) })
}

func (s sample) isComplete() bool { return s.complete }

// toMinimum returns numbers that are not below the declared minimum.
func (p *Planner) toMinimum(now time.Duration, in Input, all fleet, _ Figures) (Reason, []int) {
	next := all.numbers()
	observed := p.held(now, lowerTime, sample.isComplete)
	reason := Unchanged
	for i, m := range all {
		// Until a number is agreed, endpoints may run that have not been heard of, and the first order could
		// stop some of them.
		if next[i] < in.Bounds.Min && (m.Ordered > 0 || observed) {
			reason, next[i] = Bound, in.Bounds.Min
		}
	}
	return reason, next
}

// raise returns larger numbers if the forecast or a shortage needs them.
func (p *Planner) raise(now time.Duration, in Input, all fleet, f Figures) (Reason, []int) {
	if p.explainedByLoss(now, all, f) {
		return Unchanged, nil
	}
	want, reason := 0, Unchanged
	if f.Forecast > raiseUse*float64(f.Capacity) {
		want, reason = int(math.Ceil(f.Forecast/planUse)), Forecast
	}
	starting := p.hasRaised && now-p.raisedAt < in.Bounds.StartDuration+pressureTime
	// Where most endpoints are idle, calls wait or are refused for another reason.
	idle := in.Load.Known && f.Demand < idleUse*float64(f.Usable)
	if f.Pressed && !starting && !idle {
		// A shortage of 2 s says that more are needed, but not how many. If it lasts, the forecast tells.
		if tenth := f.Capacity + (f.Capacity+9)/10; tenth > want {
			want, reason = tenth, Shortage
		}
	}
	next := all.numbers()
	if reason == Unchanged || !all.add(next, want-f.Capacity, in.Bounds.Max) {
		return Unchanged, nil
	}
	return reason, next
}

// explainedByLoss reports whether endpoints that were lost lately, or have just returned, explain a shortage. What
// waited for them is served in the seconds after their return.
func (p *Planner) explainedByLoss(now time.Duration, all fleet, f Figures) bool {
	many := func(lost int) bool { return float64(lost) > lossShare*float64(f.Capacity) }
	if many(all.sum(func(m member) int { return m.inService(m.lost - m.lostLong) })) {
		p.lossAt, p.hadLoss = now, true
		return true
	}
	returned := !many(all.sum(func(m member) int { return m.inService(m.lostLong) }))
	return returned && p.hadLoss && now-p.lossAt <= sustainTime
}

// add adds up to n endpoints to the failure domains that have the fewest, and reports whether it added any.
func (f fleet) add(next []int, n, most int) bool {
	added := false
	for ; n > 0; n-- {
		least := -1
		for i, m := range f {
			if !m.Out && !m.damaged() && next[i] < most && (least < 0 || next[i]-m.lostLong < next[least]-f[least].lostLong) {
				least = i
			}
		}
		if least < 0 {
			break
		}
		next[least]++
		added = true
	}
	return added
}

// lower returns smaller numbers if they bear the highest demand with a fifth to spare.
func (p *Planner) lower(now time.Duration, in Input, all fleet, f Figures) (Reason, []int) {
	if !p.mayLower(now, in, all, f) {
		return Unchanged, nil
	}
	next := all.numbers()
	total := all.sum(func(m member) int { return m.ordered })
	steps := max(total/10, 1)
	if over := all.overMaximum(in.Bounds.Max); over > 0 {
		return Bound, all.remove(next, min(over, steps), in.Bounds.Max)
	}
	if !in.Load.Known {
		return Unchanged, nil
	}
	needed := int(math.Ceil(max(f.Peak, f.Forecast) / lowerUse))
	serving := all.sum(func(m member) int { return min(m.Usable, m.ordered) })
	steps = min(steps, serving-needed)
	if now < p.barUntil {
		steps = min(steps, total-p.bar)
	}
	if steps <= 0 {
		return Unchanged, nil
	}
	next = all.remove(next, steps, max(in.Bounds.Min, 1))
	if slices.Equal(next, all.numbers()) {
		return Unchanged, nil
	}
	return Surplus, next
}

// mayLower reports whether what was observed allows a smaller number. Losses, starting endpoints, failure domains
// out of service and missing reports make a demand look lower than it is, or a capacity larger.
func (p *Planner) mayLower(now time.Duration, in Input, all fleet, f Figures) bool {
	span := window(in.Bounds)
	if p.hasRaised && now-p.raisedAt < span+in.Bounds.StartDuration || p.hasLowered && now-p.loweredAt < span {
		return false
	}
	if !p.held(now, span, func(s sample) bool { return s.complete && !s.pressed }) {
		return false
	}
	if slices.ContainsFunc(all, func(m member) bool { return m.Out || m.settled < m.ordered || m.lost > m.lostLong }) {
		return false
	}
	return float64(f.Lost) <= lossShare*float64(f.Capacity)
}

// overMaximum is the number of endpoints above the maximum.
func (f fleet) overMaximum(most int) int {
	return f.sum(func(m member) int { return max(m.ordered-most, 0) })
}

// remove takes n endpoints from the failure domains that have the most, but leaves least in each. At most a tenth
// of a failure domain, or one endpoint, is taken at a time.
func (f fleet) remove(next []int, n, least int) []int {
	for ; n > 0; n-- {
		most := -1
		for i, m := range f {
			if next[i] > least && m.ordered-next[i] < max(m.ordered/10, 1) && (most < 0 || next[i] > next[most]) {
				most = i
			}
		}
		if most < 0 {
			break
		}
		next[most]--
	}
	return next
}
