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

// Engines that crash when they turn too many calls away do not have to, under several times the load
// that they can take and while processes restart. Their slots are used, and calls that get none are
// refused early.
func TestBrittleEnginesStayUpOverAllGates(t *testing.T) {
	bin := build(t)
	for _, c := range []struct {
		name             string
		seed             uint64
		perSecond        int
		restartProcesses bool
	}{
		{"none turned away", 1, 0, false},
		{"with restarts", 2, 3, true},
		{"none turned away with restarts", 3, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cfg := bluebellchaos.Config{
				ProgramFolder: bin, DataFolder: filepath.Join(t.TempDir(), "soak"), Seed: c.seed, Duration: 14 * time.Second, Gates: 6, Cores: 3, Endpoints: 8,
			}
			report, err := bluebellchaos.RunBrittle(context.Background(), cfg, c.perSecond, contactTime, c.restartProcesses)
			require.NoError(t, err)
			require.Zero(t, report.Fallen, "%d calls turned away in a second", report.MostRefusals)
			require.Greater(t, report.Calls, 500)
			require.Greater(t, float64(report.Served), 0.2*float64(report.Calls))
			slices.Sort(report.Refusals)
			require.NotEmpty(t, report.Refusals)
			require.Less(t, report.Refusals[len(report.Refusals)/2], 100*time.Millisecond, "what cannot be served is refused at once")
		})
	}
}
