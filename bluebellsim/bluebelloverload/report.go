package bluebelloverload

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// outcome is how a call ended.
type outcome int

const (
	answered outcome = iota
	refused
	failed
)

// window is the time in which the calls of one element of Report.Windows arrive.
const window = 2 * time.Second

// Counts holds the number of calls that arrived, and how they ended. A call is in time if its
// first event came within its objective, and late if it was answered with a later first event.
type Counts struct {
	Arrived, InTime, Late, Refused, Failed int
}

// InTimeShare returns the share of the calls that were in time.
func (c Counts) InTimeShare() float64 { return float64(c.InTime) / float64(max(c.Arrived, 1)) }

// Report is the result of a run.
type Report struct {
	Policy Policy
	All    Counts
	// Kinds holds the counts of each kind by its name.
	Kinds map[string]*Counts
	// Windows holds the counts of each window of two seconds by the calls' arrival.
	Windows []*Counts
	// ReadTokens is the number of tokens of shared blocks that engines read. RereadTokens is
	// the part of them that some engine had read within the last rereadWindow.
	ReadTokens, RereadTokens int
	// FirstEventTimes holds the times from arrival to the first event of the answer.
	FirstEventTimes []time.Duration
	// inTime holds the calls that have begun but not ended: whether they are in time.
	inTime map[*call]bool
}

func newReport(cfg Config) *Report {
	return &Report{Policy: cfg.Policy, Kinds: map[string]*Counts{}, inTime: map[*call]bool{}}
}

// countsOf returns the counts to which a call belongs by its arrival and kind.
func (r *Report) countsOf(arrival time.Duration, k *CallKind) []*Counts {
	i := int((arrival - warmUp) / window)
	for len(r.Windows) <= i {
		r.Windows = append(r.Windows, &Counts{})
	}
	if r.Kinds[k.Name] == nil {
		r.Kinds[k.Name] = &Counts{}
	}
	return []*Counts{&r.All, r.Windows[i], r.Kinds[k.Name]}
}

func (r *Report) recordArrival(arrival time.Duration, k *CallKind) {
	for _, c := range r.countsOf(arrival, k) {
		c.Arrived++
	}
}

func (r *Report) recordFirstEvent(c *call, now time.Duration) {
	took := now - c.arrivedAt
	r.FirstEventTimes = append(r.FirstEventTimes, took)
	r.inTime[c] = took <= c.kind.Objective.Duration()
}

func (r *Report) recordEnd(c *call, o outcome) {
	for _, n := range r.countsOf(c.arrivedAt, c.kind) {
		switch {
		case o == refused:
			n.Refused++
		case o == failed:
			n.Failed++
		case r.inTime[c]:
			n.InTime++
		default:
			n.Late++
		}
	}
	delete(r.inTime, c)
}

// FirstEventQuantile returns the quantile of FirstEventTimes at a fraction between 0 and 1, or
// 0 if no call has begun.
func (r *Report) FirstEventQuantile(fraction float64) time.Duration {
	if len(r.FirstEventTimes) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.FirstEventTimes))
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}

// String returns the counts, and a bar chart of the share of calls in time with a bar for each
// window.
func (r *Report) String() string {
	var b strings.Builder
	percent := func(n int) float64 { return 100 * float64(n) / float64(max(r.All.Arrived, 1)) }
	fmt.Fprintf(&b, "%-11s %d calls: in time %.1f %%, late %.1f %%, refused %.1f %%, failed %.1f %%; first event median %v, 99th %v; read %.1f M shared tokens, %.1f M again\n",
		r.Policy, r.All.Arrived, percent(r.All.InTime), percent(r.All.Late), percent(r.All.Refused), percent(r.All.Failed),
		r.FirstEventQuantile(0.5).Round(time.Millisecond), r.FirstEventQuantile(0.99).Round(time.Millisecond), float64(r.ReadTokens)/1e6, float64(r.RereadTokens)/1e6)
	bars := []rune(" ▁▂▃▄▅▆▇█")
	b.WriteString("            in time ")
	for _, w := range r.Windows {
		b.WriteRune(bars[int(w.InTimeShare()*float64(len(bars)-1)+0.5)])
	}
	return b.String()
}
