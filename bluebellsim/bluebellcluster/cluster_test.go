package bluebellcluster_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellsim/bluebellcluster"
)

// TestInvariantsHoldUnderFaults runs a few fixed seeds. The command bluebellsim runs many
// seeds.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	for _, voters := range []int{3, 5} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("Voters%d/Seed%d", voters, seed), func(t *testing.T) {
				t.Parallel()
				simulation := bluebellcluster.New(bluebellcluster.Config{Seed: seed, Steps: 40_000, Voters: voters})
				report, err := simulation.Run()
				require.NoError(t, err)
				// The run must have contained faults and client operations.
				require.Positive(t, report.Crashes)
				require.Positive(t, report.Partitions)
				require.Positive(t, report.Pauses)
				require.Greater(t, report.Committed, 500)
				require.Greater(t, report.Dispatches, 100)
				require.Positive(t, report.Conflicts)
			})
		}
	}
}

// TestUsageIsDecidedAndReportedOnce guards against two decisions of a usage window, against reports that
// differ, and against decisions that a crash, a lost disk or a snapshot loses.
func TestUsageIsDecidedAndReportedOnce(t *testing.T) {
	for _, voters := range []int{3, 5} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("Voters%d/Seed%d", voters, seed), func(t *testing.T) {
				t.Parallel()
				report, err := bluebellcluster.New(bluebellcluster.Config{Seed: seed, Steps: 40_000, Voters: voters, Usage: true}).Run()
				require.NoError(t, err)
				require.Greater(t, report.UsageDecisions, 5)
				require.Greater(t, report.UsageReports, report.UsageDecisions/2)
			})
		}
	}
}

// TestMutationsCauseViolations disables one safeguard at a time. The seeds are ones whose
// runs violate an invariant.
func TestMutationsCauseViolations(t *testing.T) {
	seeds := map[bluebellcluster.Mutation]uint64{
		bluebellcluster.IgnoreSync: 3, bluebellcluster.SameIdentity: 10, bluebellcluster.VoteAtOnce: 1, bluebellcluster.Drift: 3,
		bluebellcluster.DispatchHeld: 2, bluebellcluster.ForgetReleased: 2, bluebellcluster.ForgetCommit: 1, bluebellcluster.SkipCorrupt: 10,
		bluebellcluster.ReportUndecided: 1,
	}
	for _, m := range bluebellcluster.Mutations() {
		t.Run(string(m), func(t *testing.T) {
			t.Parallel()
			_, err := bluebellcluster.New(bluebellcluster.Config{Seed: seeds[m], Steps: 100_000, Voters: 3, Mutation: m}).Run()
			var violation *bluebellcluster.Violation
			require.ErrorAs(t, err, &violation)
		})
	}
}

// TestSameSeedGivesSameReport checks that runs are deterministic.
func TestSameSeedGivesSameReport(t *testing.T) {
	run := func() bluebellcluster.Report {
		report, err := bluebellcluster.New(bluebellcluster.Config{Seed: 9, Steps: 20_000, Voters: 3}).Run()
		require.NoError(t, err)
		return report
	}
	require.Equal(t, run(), run())
}
