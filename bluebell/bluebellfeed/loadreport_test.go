package bluebellfeed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfeed"
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
