package bluebellgateway_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

// mostCrashes returns the most crashes that any subject is suspected of.
func (c *cluster) mostCrashes() int {
	most := 0
	for _, s := range c.suspects.Suspects(c.now()) {
		most = max(most, len(s.Crashes))
	}
	return most
}

// crashOne makes a call again and again until an endpoint that runs it and does not answer is stopped.
func (g *gate) crashOne(method, path string) {
	g.cluster.t.Helper()
	ended := make(chan bool)
	go func() {
		defer close(ended)
		for range 100 {
			if g.do(method, path, "deadly").status != http.StatusInternalServerError {
				return
			}
		}
	}()
	running := func() int {
		return slices.IndexFunc(g.cluster.endpoints, func(e *bluebellstub.Endpoint) bool { return !e.Ended() && e.ActiveCalls() > 0 })
	}
	require.Eventually(g.cluster.t, func() bool { return running() >= 0 }, testTimeout, time.Millisecond)
	g.cluster.endpoints[running()].Stop()
	<-ended
}

// An error status of another endpoint says nothing about a call that crashes endpoints: it cleared the call,
// which then crashed three more.
func TestErrorStatusClearsNoCall(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	a := c.startGate("a")
	c.behave(bluebellstub.Unresponsive)
	c.endpoints[2].SetBehaviour(bluebellstub.Failing)
	a.crashOne(http.MethodPost, "/once/deadly")
	require.Eventually(t, func() bool { return c.mostCrashes() == 1 }, testTimeout, 10*time.Millisecond)
	c.behave(bluebellstub.Failing)
	require.Equal(t, http.StatusInternalServerError, a.do(http.MethodPost, "/once/deadly", "deadly").status)
	require.Never(t, func() bool { return c.mostCrashes() == 0 }, time.Second, 10*time.Millisecond)
}

// An endpoint that has taken over the address of a crashed one, and so declines its calls, does not show that
// the crashed one goes on: that cleared the crash.
func TestEndpointAtSameAddressClearsNoCrash(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	a := c.startGate("a")
	c.behave(bluebellstub.Unresponsive)
	crashed := c.endpoints[0]
	a.crashOne(http.MethodPost, "/once/deadly")
	other, err := bluebellstub.Start(bluebellstub.Config{ID: "i-other", Target: "app", Listen: crashed.Address()})
	require.NoError(t, err)
	t.Cleanup(other.Stop)
	for range 20 {
		require.NotEqual(t, http.StatusOK, a.do(http.MethodPost, "/once/sound", "sound").status)
		time.Sleep(50 * time.Millisecond)
	}
	require.Positive(t, c.mostCrashes())
}

// An entry that reaches no core process, as in a cut-off domain, refuses a call that has crashed all three
// endpoints of its service, although new connections to them are refused.
func TestCutOffEntryRefusesCallThatCrashesAllEndpoints(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	a := c.startGate("a")
	deadly := func(bluebellplatform.IncomingCall) bool { return true }
	for i, e := range c.currentEndpoints() {
		address, registration := e.Address(), e.NextRegistration()
		e.Stop()
		replaced, err := bluebellstub.Start(bluebellstub.Config{
			ID: registration.ID, Target: registration.Target, FailureDomain: registration.FailureDomain, Listen: address,
			StartUnixMillis: registration.StartUnixMillis + 1, Crashes: deadly, CrashAfter: 30 * time.Millisecond,
		})
		require.NoError(t, err)
		c.replaceEndpoint(i, replaced)
	}
	time.Sleep(time.Second) // The entry knows the new incarnations.
	a.setCoreCut(true)
	require.Eventually(t, func() bool {
		got := a.do(http.MethodPost, "/read/deadly", "deadly")
		return got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" && c.ended() == 3
	}, testTimeout, 300*time.Millisecond)
	time.Sleep(4 * time.Second) // No core process has answered for that long.
	for i, e := range c.currentEndpoints() {
		again, err := bluebellstub.Start(bluebellstub.Config{ID: e.NextRegistration().ID, Target: "app", Listen: e.Address(), StartUnixMillis: 1})
		require.NoError(t, err)
		c.replaceEndpoint(i, again)
	}
	require.Eventually(t, func() bool { return a.do(http.MethodPost, "/read/sound", "sound").status == http.StatusOK }, testTimeout, 50*time.Millisecond)
	for range 5 {
		require.Equal(t, http.StatusServiceUnavailable, a.do(http.MethodPost, "/read/deadly", "deadly").status)
	}
}

// ended returns the number of endpoints that have ended.
func (c *cluster) ended() int {
	n := 0
	for _, e := range c.endpoints {
		if e.Ended() {
			n++
		}
	}
	return n
}
