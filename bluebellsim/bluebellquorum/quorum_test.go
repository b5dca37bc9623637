package bluebellquorum_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellsim/bluebellquorum"
)

// TestAvailabilityOfChosenLayouts checks the reasons that the design page gives for its
// layouts: one voter in each of three failure domains, and five voters in two regions.
func TestAvailabilityOfChosenLayouts(t *testing.T) {
	rows := map[string]bluebellquorum.Row{}
	for _, r := range bluebellquorum.Table(bluebellquorum.ExpectedRates()) {
		rows[r.Layout.Name] = r
	}
	chosen, hierarchical := rows["3 domains: one voter in each, majority"], rows["3 domains: six voters, hierarchical"]
	require.True(t, chosen.SurvivesAnyVM)
	require.True(t, chosen.SurvivesAnyDomain)
	require.Less(t, chosen.Quorum, hierarchical.Quorum)
	require.Less(t, chosen.DowntimePerYear, hierarchical.DowntimePerYear)

	large := rows["7 domains: five voters, majority"]
	require.True(t, large.SurvivesAnyDomainAndVM)
	require.True(t, large.SurvivesRegionCut)
	for name, r := range rows {
		if strings.HasPrefix(name, "7") {
			require.LessOrEqual(t, large.DowntimePerYear, r.DowntimePerYear, name)
		}
	}
}

// TestMajorityOfThreeMatchesClosedForm compares the downtime with the closed form for
// three voters that fail independently.
func TestMajorityOfThreeMatchesClosedForm(t *testing.T) {
	const p = 0.1
	r := bluebellquorum.Evaluate(bluebellquorum.Layouts()[0], bluebellquorum.Rates{VM: p})
	want := 3*p*p*(1-p) + p*p*p
	require.InDelta(t, want*365*24, r.DowntimePerYear.Hours(), 1e-6)
}
