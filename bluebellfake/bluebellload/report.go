package bluebellload

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LatencyHistogram is a distribution of times.
type LatencyHistogram struct {
	histogram *hdrhistogram.Histogram
}

func newSample() *LatencyHistogram {
	return &LatencyHistogram{hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

// add counts one time; those beyond the range count as its end.
func (s *LatencyHistogram) add(d time.Duration) {
	_ = s.histogram.RecordValue(min(max(d.Microseconds(), 1), s.histogram.HighestTrackableValue()))
}

// Count returns the number of times.
func (s *LatencyHistogram) Count() int64 { return s.histogram.TotalCount() }

// Quantile returns the time that a percentage of all times do not exceed.
func (s *LatencyHistogram) Quantile(percent float64) time.Duration {
	return time.Duration(s.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

func (s *LatencyHistogram) text() string {
	return fmt.Sprintf("%6d requests  median %-9v 95th %-9v 99th %v", s.Count(),
		s.Quantile(50).Round(100*time.Microsecond), s.Quantile(95).Round(100*time.Microsecond), s.Quantile(99).Round(100*time.Microsecond))
}

// Text returns the report for reading.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "  first visits      %s\n", r.FirstVisits.text())
	fmt.Fprintf(&b, "  returning visits  %s\n", r.ReturningVisits.text())
	if r.PromptBlocks > 0 {
		fmt.Fprintf(&b, "  context           %d blocks, %.1f %% recomputed\n", r.PromptBlocks, 100*float64(r.PromptBlocks-r.CachedBlocks)/float64(r.PromptBlocks))
	}
	if r.Orders > 0 {
		fmt.Fprintf(&b, "  job orders        %d, each sent twice: %d answered, %d replayed, %d not run, %d unknown\n",
			r.Orders, r.OrdersAnswered, r.OrdersReplayed, r.OrdersNotRun, r.OrdersUnknown)
	}
	fmt.Fprintf(&b, "  versions          %s\n", counts(r.Versions))
	fmt.Fprintf(&b, "  endpoints         %s\n", counts(r.Endpoints))
	fmt.Fprintf(&b, "  errors            %s\n", counts(r.Errors))
	return b.String()
}

func counts(m map[string]int) string {
	if len(m) == 0 {
		return "none"
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}
