package bluebelloverload

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

type outcome int

const (
	answered outcome = iota
	refused
	failed
)

// window is the time that one mark of a plot stands for.
const window = 2 * time.Second

// Count is how the calls of one kind or one window ended.
type Count struct {
	Asked, InTime, Late, Refused, Failed int
}

// InTimeShare is the part of the calls that were answered within their objective.
func (c Count) InTimeShare() float64 { return float64(c.InTime) / float64(max(c.Asked, 1)) }

// Report is what a run showed.
type Report struct {
	Policy Policy
	All    Count
	Kinds  map[string]*Count
	// Windows are the calls by the time of their arrival.
	Windows []*Count
	// Read are the shared tokens that engines read, Again those that some engine had read
	// before.
	Read, Again int
	// First are the times to the first event.
	First  []time.Duration
	inTime map[*call]bool
}

func newReport(cfg Config) *Report {
	return &Report{Policy: cfg.Policy, Kinds: map[string]*Count{}, inTime: map[*call]bool{}}
}

// counts returns where a call that came at a time is counted.
func (r *Report) counts(at time.Duration, k *Kind) []*Count {
	i := int((at - warmUp) / window)
	for len(r.Windows) <= i {
		r.Windows = append(r.Windows, &Count{})
	}
	if r.Kinds[k.Name] == nil {
		r.Kinds[k.Name] = &Count{}
	}
	return []*Count{&r.All, r.Windows[i], r.Kinds[k.Name]}
}

func (r *Report) asked(at time.Duration, k *Kind) {
	for _, c := range r.counts(at, k) {
		c.Asked++
	}
}

func (r *Report) begun(c *call, now time.Duration) {
	took := now - c.arrivedAt
	r.First = append(r.First, took)
	r.inTime[c] = took <= c.kind.Objective.Duration()
}

func (r *Report) ended(c *call, o outcome) {
	for _, n := range r.counts(c.arrivedAt, c.kind) {
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

// At returns the time to the first event that a part of the calls do not exceed.
func (r *Report) At(part float64) time.Duration {
	if len(r.First) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.First))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

// String shows the counts and a plot of the calls in time, a mark for each two seconds.
func (r *Report) String() string {
	var b strings.Builder
	part := func(n int) float64 { return 100 * float64(n) / float64(max(r.All.Asked, 1)) }
	fmt.Fprintf(&b, "%-11s %d calls: in time %.1f %%, late %.1f %%, refused %.1f %%, failed %.1f %%; first event median %v, 99th %v; read %.1f M shared tokens, %.1f M again\n",
		r.Policy, r.All.Asked, part(r.All.InTime), part(r.All.Late), part(r.All.Refused), part(r.All.Failed),
		r.At(0.5).Round(time.Millisecond), r.At(0.99).Round(time.Millisecond), float64(r.Read)/1e6, float64(r.Again)/1e6)
	marks := []rune(" ▁▂▃▄▅▆▇█")
	b.WriteString("            in time ")
	for _, w := range r.Windows {
		b.WriteRune(marks[int(w.InTimeShare()*float64(len(marks)-1)+0.5)])
	}
	return b.String()
}
