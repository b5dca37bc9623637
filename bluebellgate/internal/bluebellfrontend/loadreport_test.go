package bluebellfrontend_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/platform/bluebellplatform"
)

// A report that cannot be read must not fail the call whose answer it comes with, and one that can must
// reach the choice of the endpoint.
func TestLoadReportsSteerCalls(t *testing.T) {
	e := startEntry(t, 2)
	busy, free := e.endpoints[0], e.endpoints[1]
	for _, malformed := range []string{"", "-1,0,6", "a,b,c", "1,2,3,4,5", "99999999999999999999,1,1"} {
		busy.Say(bluebellplatform.LoadReportHeader(malformed))
		free.Say(bluebellplatform.LoadReportHeader(malformed))
		for range 4 {
			require.Equal(t, http.StatusOK, e.do(http.MethodGet, "/read/x", "").status)
		}
	}
	busy.Say(bluebellplatform.LoadReportHeader("6,20,6"))
	free.Say(bluebellplatform.LoadReportHeader("0,0,6"))
	for arrivals := busy.Arrivals(); busy.Arrivals() == arrivals; {
		require.Equal(t, http.StatusOK, e.do(http.MethodGet, "/read/x", "").status)
	}
	before := free.Arrivals()
	for range 40 {
		require.Equal(t, http.StatusOK, e.do(http.MethodGet, "/read/x", "").status)
	}
	require.GreaterOrEqual(t, free.Arrivals()-before, 38)
}
