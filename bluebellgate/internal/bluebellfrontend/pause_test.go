package bluebellfrontend_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

// refuseFor lets an endpoint refuse calls and name a time without calls.
func refuseFor(endpoint *bluebellstub.Endpoint, b bluebellstub.Behaviour, seconds string) {
	endpoint.SetBehaviour(b)
	endpoint.Say(bluebellplatform.RetryAfterHeader(seconds))
}

// An endpoint whose refusal names a time gets nothing until then, and calls again soon after it.
func TestEndpointGetsNothingForTheTimeItNames(t *testing.T) {
	for name, b := range map[string]bluebellstub.Behaviour{"Declined": bluebellstub.Declining, "Run": bluebellstub.Unavailable} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t, 2)
			pausing, other := e.endpoints[0], e.endpoints[1]
			other.SetProcessingTime(30 * time.Millisecond)
			refuseFor(pausing, b, "1.5")
			for pausing.Arrivals() == 0 {
				e.do(http.MethodGet, "/read/x", "")
			}
			refused := pausing.ArrivalTimes()[0]
			pausing.SetBehaviour(bluebellstub.Normal)
			for time.Since(refused) < 1450*time.Millisecond {
				e.register()
				require.Equal(t, http.StatusOK, e.do(http.MethodGet, "/read/x", "").status)
			}
			require.Equal(t, 1, pausing.Arrivals())
			require.Eventually(t, func() bool {
				return e.do(http.MethodGet, "/read/x", "").status == http.StatusOK && pausing.Arrivals() > 5
			}, 2*time.Second, time.Millisecond)
		})
	}
}

// While no endpoint wants calls, these are refused at once, and told when one does.
func TestCallsAreRefusedWhileNoEndpointWantsAny(t *testing.T) {
	e := startEntry(t, 2)
	for _, endpoint := range e.endpoints {
		refuseFor(endpoint, bluebellstub.Declining, "2")
	}
	for n, path := range []string{"/read/x", "/read/x", "/once/x", "/stream/x"} {
		started := time.Now()
		c := e.do(http.MethodPost, path, "")
		require.Equal(t, http.StatusServiceUnavailable, c.status)
		after, err := strconv.ParseFloat(c.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.InDelta(t, 2, after, 1.2, "call %d", n)
		require.Greater(t, after, 1.5, "call %d", n)
		require.Less(t, time.Since(started), 100*time.Millisecond, "call %d", n)
	}
	require.Len(t, e.endpoints[0].ArrivalTimes(), 1)
	require.Len(t, e.endpoints[1].ArrivalTimes(), 1)
}

// A call that waits for the last endpoint is refused as soon as that endpoint wants no calls.
func TestWaitingCallIsRefusedWhenLastEndpointPauses(t *testing.T) {
	e := startEntry(t, 1)
	e.endpoints[0].SetProcessingTime(60 * time.Millisecond)
	refuseFor(e.endpoints[0], bluebellstub.Unavailable, "3")
	first := make(chan call, 1)
	go func() { first <- e.do(http.MethodPost, "/once/x", "") }()
	require.Eventually(t, func() bool { return e.endpoints[0].ActiveCalls() == 1 }, testTimeout, time.Millisecond)
	e.placer.Update(bluebellplacement.Fleet{
		Entries: []string{"e1"}, TokenCapacity: map[string]int{"app": 100}, Endpoints: []bluebellfleet.Endpoint{e.endpoints[0].NextRegistration()},
		UseByOthers: map[string]bluebellplacement.EndpointUse{"i-0": {Calls: 4, Tokens: 100}},
	})
	started := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, e.do(http.MethodGet, "/read/y", "").status)
	require.Less(t, time.Since(started), 150*time.Millisecond, "a call waits for half of its objective of 400 ms")
	require.Equal(t, http.StatusBadGateway, (<-first).status)
	require.Len(t, e.runs(), 1)
}

// The header counts only in refusals: other answers, and refusals without it, change nothing.
func TestOnlyRefusalsNameTimesWithoutCalls(t *testing.T) {
	e := startEntry(t, 1)
	e.endpoints[0].Say(bluebellplatform.RetryAfterHeader("5"))
	for _, b := range []bluebellstub.Behaviour{bluebellstub.Normal, bluebellstub.Failing} {
		e.behave(b)
		e.do(http.MethodGet, "/read/x", "")
	}
	e.endpoints[0].Say(nil)
	e.behave(bluebellstub.Declining)
	require.Equal(t, http.StatusServiceUnavailable, e.do(http.MethodGet, "/read/x", "").status)
	e.behave(bluebellstub.Normal)
	require.Eventually(t, func() bool { return e.do(http.MethodGet, "/read/x", "").status == http.StatusOK }, time.Second, time.Millisecond)
}
