package bluebellplacement

import (
	"math"
	"slices"
	"time"
)

// An endpoint may report its load in its answers, which includes calls that no entry has sent. An entry
// gets few answers of each endpoint, so entries exchange the latest report. A report can only raise the
// expected time, to that of a full endpoint at most: an endpoint that reports too little load is expected
// to answer no sooner than one without reports, and one that reports too much no later than a full one.
//
// A report is 0.1 to 0.5 s old when all entries have it, several times as long as a call of a plain service
// runs. If all entries chose the endpoint that was least loaded then, they would fill it before they
// know. They choose by the calls that are not theirs, which change slowly: what the reports contain
// beyond the calls of all entries, smoothed.

const (
	// reportRetention is the age from which on a report counts for nothing: the calls that it counts
	// have ended.
	reportRetention = time.Second
	// reportSlack is the time by which a report of other entries has to be later than the known one.
	// Its age does not include the time on the network, so that an entry's own report looks later when
	// it comes back.
	reportSlack = 20 * time.Millisecond
	// reportSmoothing is the time constant of the averages of the stated work percentage, which changes
	// many times a second, and of the calls that no entry has sent.
	reportSmoothing = time.Second
	// usualWork is the work percentage of an endpoint whose work takes its usual time.
	usualWork = 100.0
	// reportSharpness is the power of the share of free slots to which the calls of all entries are
	// spread over the plain endpoints of a target that reports loads. With 1, busy endpoints get too many
	// calls; with 3, entries with old reports choose the same endpoint.
	reportSharpness = 2.0
	// minFreeShare is the share of free slots that a full endpoint counts as.
	minFreeShare = 0.02
	// minUniform is the least uniform variate, whose logarithm is finite.
	minUniform = 1e-9
	// maxAssumedSlots bounds the slots of an endpoint that has registered none, since those of its
	// reports may be wrong.
	maxAssumedSlots = 64
)

// LoadReport is what an endpoint last said of its load.
type LoadReport struct {
	// Running and Waiting are numbers of calls at the endpoint, Slots the number that it runs at once.
	Running, Waiting, Slots int
	// WorkPercent is how long work takes, in percent of the usual time; 0 if not stated.
	WorkPercent int
	// At is when the answer with the report arrived, 0 if there was none.
	At time.Duration
}

// Later returns the later of two reports.
func (r LoadReport) Later(other LoadReport) LoadReport {
	if other.At > r.At {
		return other
	}
	return r
}

// IsFresh reports whether there is a report that still counts.
func (r LoadReport) IsFresh(now time.Duration) bool { return r.At > 0 && now-r.At < reportRetention }

// reportedLoad is the load that an endpoint reports, as this entry knows it.
type reportedLoad struct {
	latest LoadReport
	// since is when this entry learned of the incarnation. Reports to others from before may be those of
	// the one before it.
	since time.Duration
	// made is set once the endpoint has made a report, observed if this entry has got the latest one
	// itself.
	made, observed bool
	// sentAt holds when the calls in flight were sent that the latest report may not contain.
	sentAt []time.Duration
	// work is the smoothed work percentage, 0 if none was stated. usual is its average over the answers
	// that are part of the endpoint's average response time.
	work, usual float64
	// external is the smoothed number of calls at the endpoint that no entry has sent.
	external float64
}

// record records a report that this entry has got while all entries had a number of calls at the endpoint.
// It reports whether it is the first one.
func (l *reportedLoad) record(r LoadReport, entries int) (first bool) {
	first = !l.made
	if r.At >= l.latest.At {
		l.set(r, true, entries)
	}
	return first
}

// learn takes over a report that another entry has got since.
func (l *reportedLoad) learn(others LoadReport, entries int) {
	if others.At > max(l.latest.At, l.since)+reportSlack {
		l.set(others, false, entries)
	}
}

// set sets the latest report. entries is the number of calls that all entries have at the endpoint.
func (l *reportedLoad) set(r LoadReport, observed bool, entries int) {
	weight := 1.0
	if l.latest.IsFresh(r.At) {
		weight = 1 - math.Exp(-float64(r.At-l.latest.At)/float64(reportSmoothing))
	}
	l.external += weight * (float64(r.Running+r.Waiting-entries) - l.external)
	if l.work == 0 || r.WorkPercent == 0 {
		weight = 1
	}
	l.work += weight * (float64(r.WorkPercent) - l.work)
	l.latest, l.made, l.observed = r, true, observed
	l.sentAt = slices.DeleteFunc(l.sentAt, func(at time.Duration) bool { return at < r.At })
}

// reported returns the report for other entries.
func (l *reportedLoad) reported(now time.Duration) LoadReport {
	if !l.observed || !l.latest.IsFresh(now) {
		return LoadReport{}
	}
	return l.latest
}

// sent records that a call is sent.
func (l *reportedLoad) sent(now time.Duration) {
	if l.latest.IsFresh(now) {
		l.sentAt = append(l.sentAt, now)
	}
}

// ended records that a call has ended.
func (l *reportedLoad) ended(sentAt time.Duration) {
	if i := slices.Index(l.sentAt, sentAt); i >= 0 {
		l.sentAt = slices.Delete(l.sentAt, i, i+1)
	}
}

// answered records that an answer has become part of the average response time.
func (l *reportedLoad) answered() {
	if l.work == 0 {
		return
	}
	if l.usual == 0 {
		l.usual = l.work
	}
	l.usual += responseTimeWeight * (l.work - l.usual)
}

// calls returns the number of calls at the endpoint by the latest report and by what this entry has sent
// since, for a number of slots that it has registered. It is at most that number. An endpoint that has
// fewer slots at present is full with fewer calls.
func (l *reportedLoad) calls(slots float64) float64 {
	calls := float64(l.latest.Running + l.latest.Waiting + len(l.sentAt))
	if present := float64(max(l.latest.Slots, 1)); present < slots {
		calls *= slots / present
	}
	return min(calls, slots)
}

// RecordLoadReport records the load report in an answer of a choice's endpoint. It reports whether it is
// the first one of the endpoint that this entry knows of.
func (p *Placer) RecordLoadReport(c Choice, r LoadReport) (first bool) {
	c.withState(func(t *targetState, s *endpointState) {
		first = s.load.record(r, s.running-1+s.othersCalls)
		t.reportsLoad = true
	})
	return first
}

// reportedSlots returns the number of slots of an endpoint that reports its load.
func (m *member) reportedSlots() int {
	if m.endpoint.Slots > 0 {
		return m.endpoint.Slots
	}
	return min(max(m.state.load.latest.Slots, 1), maxAssumedSlots)
}

// addReportedCalls raises the expected time of an endpoint of a plain service by what it reports, and
// spreads the entries' calls: an endpoint is chosen with a probability that is proportional to a power of
// the share of its slots that is free, divided by its response time.
func (p *Placer) addReportedCalls(now time.Duration, t *targetState, c *candidate) {
	l, slots := &c.state.load, float64(c.reportedSlots())
	response, calls, work := float64(c.state.responseTime()), float64(c.state.running), 1.0
	if l.latest.IsFresh(now) {
		calls += max(l.external, 0)
		if l.usual > 0 {
			work = max(l.work/l.usual, 1)
		}
		full := response * (1 + slots)
		c.expected = max(c.expected, time.Duration(min(work*response*(1+l.calls(slots)), full)))
	}
	t.spreads++
	// The least of exponentially distributed variates is each one with a probability that is inversely
	// proportional to its mean.
	u := unitFraction(mixHashes(p.selfHash+t.spreads, c.hash))
	variate := math.Pow(-math.Log(max(u, minUniform)), 1/reportSharpness)
	c.cost = time.Duration(response * variate * min(work/max(1-calls/slots, minFreeShare), 1/minFreeShare))
}

// addReportedLoad raises the expected time of an engine by what it reports. Unread tokens are not part of
// a report, so a full engine is one that generates tokens for a call in each slot.
func (c *candidate) addReportedLoad(now time.Duration) {
	l := &c.state.load
	if !l.latest.IsFresh(now) {
		return
	}
	slots, known := c.reportedSlots(), c.state.running+c.others.Calls
	base := c.expected
	raised := float64(base) + max(l.calls(float64(slots))-float64(known), 0)*float64(runningCallCost)
	raised *= max(l.work/usualWork, 1)
	full := base + time.Duration(max(slots-known, 0))*runningCallCost
	c.expected = max(base, min(time.Duration(raised), full))
	c.cost += c.expected - base
}
