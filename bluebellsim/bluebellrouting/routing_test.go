package bluebellrouting_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellconfig"
	"bluebellhaven.org/bluebellsim/bluebellrouting"
)

// TestRouterAgainstBaselines bounds the blocks that the router lets engines compute again, and
// the 95th percentile of the time to the first token of returning prompts against that of the
// other policies with the same callers.
func TestRouterAgainstBaselines(t *testing.T) {
	q, err := bluebellconfig.LoadQuestionnaire("../../examples/vlechtwerkbond/answers.jsonc")
	require.NoError(t, err)
	reports := map[bluebellrouting.Policy]bluebellrouting.Report{}
	for _, p := range bluebellrouting.Policies() {
		reports[p] = bluebellrouting.Run(bluebellrouting.Config{
			Configuration: bluebellconfig.Generate(q), Target: "ledgers", Policy: p, Seed: 1,
			Callers: 120, Duration: 40 * time.Minute, CacheBlocks: 4000,
		})
	}
	router := reports[bluebellrouting.Router]
	require.Less(t, float64(router.Computed), 1.3*float64(router.MinComputed))
	for _, p := range []bluebellrouting.Policy{bluebellrouting.RoundRobin, bluebellrouting.LeastLoaded} {
		require.Less(t, router.Returning.Quantile(0.95), reports[p].Returning.Quantile(0.95)/2, p)
	}
	require.LessOrEqual(t, router.Returning.Quantile(0.95), reports[bluebellrouting.PlainHash].Returning.Quantile(0.95))
}

// runWithDomainOut runs each policy with a failure domain out for the second third of the run.
func runWithDomainOut(t *testing.T) map[bluebellrouting.Policy]bluebellrouting.Report {
	q, err := bluebellconfig.LoadQuestionnaire("../../examples/konzorcium/answers.jsonc")
	require.NoError(t, err)
	reports := map[bluebellrouting.Policy]bluebellrouting.Report{}
	for _, p := range bluebellrouting.Policies() {
		reports[p] = bluebellrouting.Run(bluebellrouting.Config{
			Configuration: bluebellconfig.Generate(q), Target: "notes", Policy: p, Seed: 1,
			Callers: 400, Duration: 40 * time.Minute, CacheBlocks: 4000, OutDomain: "tata",
		})
	}
	return reports
}

// TestFailureDomainOutAgainstBaselines bounds the time until a failure domain that is taken out
// gets no more calls. It compares the times to the first token of returning prompts with those
// of the other policies meanwhile.
func TestFailureDomainOutAgainstBaselines(t *testing.T) {
	reports := runWithDomainOut(t)
	router := reports[bluebellrouting.Router]
	require.NotEmpty(t, router.During)
	require.Less(t, router.LastCallAfterOut, 3*time.Second)
	for p, r := range reports {
		require.LessOrEqual(t, router.During.Quantile(0.95), r.During.Quantile(0.95), p)
	}
}

// TestCallersHardlyFeelADomainOut guards against slow returning prompts while a failure domain
// is out: the 95th percentile of the time to their first token must be at most 1.5 times that
// from before the domain was taken out.
func TestCallersHardlyFeelADomainOut(t *testing.T) {
	router := runWithDomainOut(t)[bluebellrouting.Router]
	require.LessOrEqual(t, router.During.Quantile(0.95), router.Before.Quantile(0.95)*3/2)
}
