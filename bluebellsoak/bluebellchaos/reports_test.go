package bluebellchaos_test

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellsoak/bluebellchaos"
)

// Operators of other systems saw an endpoint stop in the middle of the head of its answer and close; callers
// got a 200 with an empty or short body that looked whole.
func TestAnswerThatEndsInItsHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	takeTurn(t)
	report, err := bluebellchaos.RunCutHeads(context.Background(), bluebellchaos.Config{
		ProgramFolder: build(t), DataFolder: filepath.Join(t.TempDir(), "soak"), Seed: 41, Duration: 15 * time.Second, Gates: 6, Cores: 3, Endpoints: 6,
	})
	require.NoError(t, err)
	t.Logf("%d answers cut at %d positions, %d served", report.Cut, report.Positions, report.Served)
	require.Empty(t, report.Findings)
	require.Greater(t, report.Positions, 100)
	require.Positive(t, report.Served)
}

// Operators of other systems saw a planned stop in calm take calls late, pass them on, and cut them at the
// end of the stop without an answer, among them calls that may not be repeated.
func TestPlannedStopInCalmCutsNoCall(t *testing.T) {
	t.Parallel()
	bin := build(t)
	for i, work := range []time.Duration{20 * time.Millisecond, 600 * time.Millisecond, 1800 * time.Millisecond} {
		t.Run(work.String(), func(t *testing.T) {
			t.Parallel()
			takeTurn(t)
			findings, stopping, err := bluebellchaos.RunPlannedStops(context.Background(), bluebellchaos.Config{
				ProgramFolder: bin, DataFolder: filepath.Join(t.TempDir(), "soak"), Seed: uint64(42 + i), Gates: 2, Cores: 3, Endpoints: 12,
			}, work)
			require.NoError(t, err)
			t.Logf("%d calls to stopping gates", stopping)
			require.Empty(t, findings)
			require.Greater(t, stopping, 30)
		})
	}
}

// Operators of other systems saw the disks of core processes full for a few seconds, one after another, and
// long after that changes refused or unanswered, while all processes ran.
func TestFullDisksOneAfterAnotherLeaveNoCoreBehind(t *testing.T) {
	t.Parallel()
	takeTurn(t)
	findings, ends, err := bluebellchaos.RunFullDisks(context.Background(), bluebellchaos.Config{
		ProgramFolder: build(t), DataFolder: filepath.Join(t.TempDir(), "soak"), Seed: 45, Gates: 2, Cores: 3, Endpoints: 4,
	})
	require.NoError(t, err)
	t.Logf("core processes ended %d times", ends)
	require.Empty(t, findings)
	require.Positive(t, ends)
}
