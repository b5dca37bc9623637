package bluebellfeed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfeed"
)

// Guards against loads that are older than the objective of the calls that are placed by them, against
// a change for deployments with longer objectives, and against polls that grow with the square of the
// entries: each of them answers with the sums of all.
func TestIntervalsFollowObjectiveAndEntries(t *testing.T) {
	usual := bluebellfeed.LoadIntervals{EntryWait: 200 * time.Millisecond, LoadsWait: 100 * time.Millisecond, Table: 30 * time.Millisecond}
	require.Equal(t, usual, bluebellfeed.IntervalsFor(0, 98), "no objective")
	require.Equal(t, usual, bluebellfeed.IntervalsFor(500*time.Millisecond, 98))
	const objective = 400 * time.Millisecond
	fast := bluebellfeed.IntervalsFor(objective, 98)
	require.Less(t, fast.EntryWait+fast.LoadsWait+fast.Table, objective/8)
	for _, entries := range []int{1, 100, 300, 1000} {
		i := bluebellfeed.IntervalsFor(objective, entries)
		perSecond := float64(entries) / i.EntryWait.Seconds()
		require.LessOrEqual(t, perSecond, max(5000, float64(entries)/usual.EntryWait.Seconds()), "%d entries", entries)
		require.LessOrEqual(t, i.EntryWait, usual.EntryWait)
	}
}
