package bluebellgateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

// contactTime is the time within which an entry has to find out what it cannot reach.
const contactTime = 3 * time.Second

// Callers of an entry that is cut off from all endpoints are served nearly as well as those of other
// entries, which run its calls.
func TestEntryWithoutLinksIsServedByOthers(t *testing.T) {
	for _, k := range []cut{reset, hanging, refusing} {
		t.Run(k.String(), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 6)
			a, b := c.startGate("a"), c.startGate("b")
			a.setCut(k)
			ofB := make(chan []call, 1)
			go func() { ofB <- b.load(10*time.Millisecond, contactTime, contactTime+2*time.Second) }()
			ofA := a.load(10*time.Millisecond, contactTime, contactTime+2*time.Second)
			others := <-ofB
			require.NotEmpty(t, ofA)
			c.requireOnceOrTrue(append(ofA, others...))
			servedA, servedB := float64(wholeAnswers(ofA))/float64(len(ofA)), float64(wholeAnswers(others))/float64(len(others))
			t.Logf("served %.3f of %d calls, the other entry %.3f of %d", servedA, len(ofA), servedB, len(others))
			require.GreaterOrEqual(t, servedB, 0.95)
			require.GreaterOrEqual(t, servedA, 2./3*servedB)
		})
	}
}

// An entry that passes on an answer that another entry got from an endpoint that leaves sends nothing to
// that endpoint either, once its own links are back.
func TestEndpointThatLeavesIsKnownThroughHelper(t *testing.T) {
	c := startCluster(t, 3)
	a := c.startGate("a")
	c.startGate("b")
	a.setCut(reset)
	require.Eventually(t, func() bool { return a.do(http.MethodGet, "/read/x", "").status == http.StatusOK }, testTimeout, 20*time.Millisecond)
	leaving := c.endpoints[1] // in the failure domain of the helper
	leaving.Say(bluebellplatform.LeavingHeader("1"))
	before := leaving.Arrivals()
	require.Eventually(t, func() bool {
		a.do(http.MethodGet, "/read/x", "")
		return leaving.Arrivals() > before
	}, testTimeout, time.Millisecond)
	leaving.Say(nil)
	arrivals := leaving.Arrivals()
	for _, slow := range []*bluebellstub.Endpoint{c.endpoints[0], c.endpoints[2]} {
		slow.SetProcessingTime(100 * time.Millisecond)
	}
	a.setCut(connected)
	a.load(5*time.Millisecond, 0, contactTime)
	require.Equal(t, arrivals, leaving.Arrivals())
}
