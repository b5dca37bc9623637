package bluebellchaos_test

import (
	"context"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellsoak/bluebellchaos"
)

const (
	// limitWindow is the span in which an endpoint may get limitFactor times what its limit allows,
	// and limitSlack calls.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// mostInWindow returns the highest number of times within limitWindow.
func mostInWindow(times []time.Time) int {
	most := 0
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// An endpoint that names a limit gets no more from all gates together, also while processes restart,
// and gets its share of the calls again when it no longer names one.
func TestNamedLimitHoldsOverAllGates(t *testing.T) {
	bin := build(t)
	for _, c := range []struct {
		name             string
		seed             uint64
		limit            string
		perSecond        float64
		all              bool
		restartProcesses bool
	}{
		{"one engine", 1, "1.4", 1.4, false, false},
		{"one engine with restarts", 2, "1", 1, false, true},
		{"all engines", 3, "2", 2, true, false},
		{"zero", 4, "0", 0, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			report, err := bluebellchaos.RunLimited(context.Background(), bluebellchaos.Config{
				ProgramFolder: bin, DataFolder: filepath.Join(t.TempDir(), "soak"), Seed: c.seed, Duration: 16 * time.Second, Gates: 6, Cores: 3, Endpoints: 8,
			}, c.limit, c.all, c.restartProcesses)
			require.NoError(t, err)
			for _, arrivals := range report.Arrivals {
				limited := slices.DeleteFunc(slices.Clone(arrivals), func(at time.Time) bool {
					return at.Before(report.LimitedAt.Add(contactTime)) || at.After(report.FreeAt)
				})
				require.LessOrEqual(t, float64(mostInWindow(limited)), limitFactor*c.perSecond*limitWindow.Seconds()+limitSlack)
				free := slices.DeleteFunc(slices.Clone(arrivals), func(at time.Time) bool { return at.Before(report.FreeAt) })
				require.NotEmpty(t, free, "the endpoint gets calls after its limit has ended")
			}
			if !c.all {
				require.Greater(t, float64(report.Served), 0.9*float64(report.Calls), "other engines take the calls")
				return
			}
			require.NotEmpty(t, report.Refusals)
			slices.Sort(report.Refusals)
			require.Less(t, report.Refusals[len(report.Refusals)/2], 100*time.Millisecond, "what cannot be served is refused at once")
		})
	}
}
