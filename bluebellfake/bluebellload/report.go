package bluebellload

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LatencyHistogram is a histogram of durations between one microsecond and one minute.
type LatencyHistogram struct {
	histogram *hdrhistogram.Histogram
}

func newLatencyHistogram() *LatencyHistogram {
	return &LatencyHistogram{hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

// record adds a duration. Durations beyond the range count as its nearest bound.
func (h *LatencyHistogram) record(d time.Duration) {
	_ = h.histogram.RecordValue(min(max(d.Microseconds(), 1), h.histogram.HighestTrackableValue()))
}

// Count returns the number of recorded durations.
func (h *LatencyHistogram) Count() int64 { return h.histogram.TotalCount() }

// Quantile returns the duration that the given percentage of all recorded durations do not
// exceed.
func (h *LatencyHistogram) Quantile(percent float64) time.Duration {
	return time.Duration(h.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

func (h *LatencyHistogram) summary() string {
	return fmt.Sprintf("%6d requests  median %-9v 95th %-9v 99th %v", h.Count(),
		h.Quantile(50).Round(100*time.Microsecond), h.Quantile(95).Round(100*time.Microsecond), h.Quantile(99).Round(100*time.Microsecond))
}

// Text returns the report as a table of several lines.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "  first visits      %s\n", r.FirstVisits.summary())
	fmt.Fprintf(&b, "  returning visits  %s\n", r.ReturningVisits.summary())
	if r.PromptBlocks > 0 {
		fmt.Fprintf(&b, "  context           %d blocks, %.1f %% recomputed\n", r.PromptBlocks, 100*float64(r.PromptBlocks-r.CachedBlocks)/float64(r.PromptBlocks))
	}
	if r.Orders > 0 {
		fmt.Fprintf(&b, "  job orders        %d, each sent twice: %d answered, %d replayed, %d not run, %d unknown\n",
			r.Orders, r.OrdersAnswered, r.OrdersReplayed, r.OrdersNotRun, r.OrdersUnknown)
	}
	fmt.Fprintf(&b, "  versions          %s\n", formatCounts(r.Versions))
	fmt.Fprintf(&b, "  endpoints         %s\n", formatCounts(r.Endpoints))
	fmt.Fprintf(&b, "  errors            %s\n", formatCounts(r.Errors))
	return b.String()
}

// formatCounts returns the counts sorted by key, or "none".
func formatCounts(m map[string]int) string {
	if len(m) == 0 {
		return "none"
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}
