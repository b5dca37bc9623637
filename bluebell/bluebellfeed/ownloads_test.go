package bluebellfeed_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfeed"
)

// Guards against a leader that misses the load of the entries that report to itself, or counts that of an entry
// that has stopped.
func TestOwnLoadsAreThoseOfReportingEntries(t *testing.T) {
	d := newDeployment("a/c1")
	d.shareLoads(t)
	d.follow(t, "a/e1", "a/c1")
	own := func() bluebellfeed.PeerLoads { return d.cores["a/c1"].OwnLoads() }
	eventually(t, "the report is included", func() bool {
		l := own()
		return len(l.Entries) == 1 && slices.ContainsFunc(l.Uses, func(u bluebellfeed.Use) bool {
			return u.Endpoint == "i-1" && u.Calls == 1 && u.Tokens == 100 && u.Unread == 10
		})
	})
	require.Equal(t, "a/e1", own().Entries[0].Address)
	d.cores["a/c1"].down.Store(true)
	eventually(t, "the report has expired", func() bool {
		l := own()
		return len(l.Entries) == 0 && !slices.ContainsFunc(l.Uses, func(u bluebellfeed.Use) bool { return u.Calls > 0 || u.Tokens > 0 || u.Unread > 0 })
	})
}
