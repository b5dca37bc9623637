package bluebellgateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellfake/bluebellstub"
)

// A brittle endpoint has fewer slots than there are entries. Callers of entries without a share of them are
// served by those that have one, and the endpoint never has to turn a call away.
func TestEntryWithoutShareOfBrittleEndpointIsServedByOthers(t *testing.T) {
	c := startCluster(t, 1)
	var gates []*gate
	for n := range bluebellstub.Slots + 2 {
		gates = append(gates, c.startGate(fmt.Sprint(n%3)))
	}
	c.endpoints[0].SetBrittle(0, 0)
	require.Equal(t, http.StatusOK, gates[0].do(http.MethodGet, "/read/x", "").status)
	time.Sleep(contactTime)
	var calls []call
	for range 20 {
		for _, g := range gates {
			calls = append(calls, g.do(http.MethodPost, "/once/x", "order"))
		}
	}
	refusals, fell := c.endpoints[0].Refusals()
	require.False(t, fell, "%d calls turned away", len(refusals))
	require.Equal(t, len(calls), wholeAnswers(calls))
	c.requireOnceOrTrue(calls)
}
