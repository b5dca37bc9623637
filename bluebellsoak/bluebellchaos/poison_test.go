package bluebellchaos_test

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellsoak/bluebellchaos"
)

const (
	// contactTime is within what time of the fifth crash all processes have to know the block.
	contactTime = 3 * time.Second
	// maxReachedLate is how many calls with the block may reach engines later.
	maxReachedLate = 3
)

// A block that crashes engines reaches few of them, also while processes restart, and calls that
// share its customer and first block are served.
func TestPoisonedBlockReachesFewEngines(t *testing.T) {
	bin := build(t)
	for _, c := range []struct {
		name             string
		seed             uint64
		restartProcesses bool
	}{{"alone", 1, false}, {"with restarts", 2, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			report, err := bluebellchaos.RunPoisoned(context.Background(), bluebellchaos.Config{
				ProgramFolder: bin, DataFolder: filepath.Join(t.TempDir(), "soak"), Seed: c.seed, Duration: 16 * time.Second, Gates: 3, Cores: 3, Endpoints: 16,
			}, c.restartProcesses)
			require.NoError(t, err)
			require.NotEmpty(t, report.Crashes)
			require.Empty(t, report.Untrue)
			fifth := report.Crashes[min(len(report.Crashes), 5)-1]
			late := 0
			for _, at := range report.Reached {
				if at.After(fifth.Add(contactTime)) {
					late++
				}
			}
			require.LessOrEqual(t, late, maxReachedLate, "%d crashes in all", len(report.Crashes))
			requireSoundServed(t, report, fifth.Add(2*contactTime))
		})
	}
}

// requireSoundServed requires that sound calls made after a time are served at least half as often
// as those before the first crash.
func requireSoundServed(t *testing.T, report bluebellchaos.PoisonReport, after time.Time) {
	t.Helper()
	var before, beforeServed, beside, besideServed float64
	for _, s := range report.Sound {
		served := 0.0
		if s.Served {
			served = 1
		}
		switch {
		case s.At.Before(report.Crashes[0]):
			before, beforeServed = before+1, beforeServed+served
		case s.At.After(after):
			beside, besideServed = beside+1, besideServed+served
		}
	}
	require.GreaterOrEqual(t, beside, 20.0)
	require.GreaterOrEqual(t, besideServed/beside, 0.5*beforeServed/before)
}
