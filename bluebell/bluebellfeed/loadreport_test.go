package bluebellfeed_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebell/bluebellplacement"
)

// An entry gets so few answers of an endpoint that it acts on the reports that others have got, also
// those that report to another core process. A report that arrives without its age would outlive the
// calls that it counts.
func TestLoadReportsReachOtherEntries(t *testing.T) {
	d := newDeployment("a/c1", "b/c2")
	d.shareLoads(t)
	e := d.follow(t, "a/e1", "a/c1", "b/c2")
	d.follow(t, "b/e2", "a/c1", "b/c2")
	var got bluebellfeed.Use
	eventually(t, "the report is known", func() bool {
		for _, u := range e.UsesOfOthers() {
			if u.Endpoint == "i-2" && u.Report.At > 0 && u.Failing > 0 {
				got = u
			}
		}
		return got.Report.At > 0
	})
	age := d.now() - got.Report.At
	require.GreaterOrEqual(t, age, answerAge-50*time.Millisecond)
	require.Less(t, age, 3*answerAge)
	require.Equal(t, 3, got.Report.Running)
	require.Equal(t, 2, got.Report.Waiting)
	require.Equal(t, 8, got.Report.Slots)
	require.Equal(t, 140, got.Report.WorkPercent)
}

// The mean of the estimates of two entries must neither change with the number of core processes nor
// contain the own estimate of the entry that gets it.
func TestSpeedsReachOtherEntries(t *testing.T) {
	d := newDeployment("a/c1", "b/c2")
	d.shareLoads(t)
	e := d.follow(t, "a/e1", "a/c1", "b/c2")
	d.follow(t, "b/e2", "a/c1", "b/c2")
	d.follow(t, "b/e3", "a/c1", "b/c2")
	eventually(t, "the estimates of both others are known", func() bool {
		return slices.ContainsFunc(e.UsesOfOthers(), func(u bluebellfeed.Use) bool {
			return u.Endpoint == "i-2" && u.Speed == bluebellplacement.NewSpeed(47_000, 6)
		})
	})
}
