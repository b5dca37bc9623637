package bluebellfrontend_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

// register passes new registrations of all endpoints to the placer.
func (e *entry) register() {
	fleet := bluebellplacement.Fleet{Entries: []string{"e1"}, At: e.now()}
	for _, endpoint := range e.endpoints {
		registered := endpoint.NextRegistration()
		registered.ReceivedAt = e.now()
		fleet.Endpoints = append(fleet.Endpoints, registered)
	}
	e.placer.Update(fleet)
}

// An endpoint that says in any answer that it leaves gets no further calls, whatever its later
// registrations say.
func TestLeavingEndpointGetsNoFurtherCalls(t *testing.T) {
	for name, c := range map[string]struct {
		path      string
		behaviour bluebellstub.Behaviour
	}{
		"Answer":       {"/read/x", bluebellstub.Normal},
		"Error":        {"/read/x", bluebellstub.Failing},
		"Refusal":      {"/read/x", bluebellstub.Declining},
		"Unsealed":     {"/read/x", bluebellstub.Unsealed},
		"Stream":       {"/stream/x", bluebellstub.Normal},
		"BrokenStream": {"/stream/again/x", bluebellstub.Truncating},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t, 2)
			leaving := e.endpoints[0]
			leaving.SetBehaviour(c.behaviour)
			leaving.Say(bluebellplatform.LeavingHeader("1"))
			for leaving.Arrivals() == 0 {
				e.do(http.MethodGet, c.path, "")
			}
			require.Equal(t, 1, leaving.Arrivals())
			leaving.SetBehaviour(bluebellstub.Normal)
			leaving.Say(nil)
			for range 12 {
				e.register()
				for _, path := range []string{"/read/y", "/once/y", "/stream/y", "/stream/again/y"} {
					require.Equal(t, http.StatusOK, e.do(http.MethodPost, path, "").status)
				}
			}
			e.endpoints = e.endpoints[:1]
			e.register()
			require.Equal(t, http.StatusServiceUnavailable, e.do(http.MethodPost, "/read/y", "").status)
			require.Equal(t, 1, leaving.Arrivals())
		})
	}
}

// When all endpoints of a target leave, its calls are refused at once: none of them takes a call
// again.
func TestCallsAreRefusedAtOnceWhileAllEndpointsLeave(t *testing.T) {
	e := startEntry(t, 2)
	for _, endpoint := range e.endpoints {
		endpoint.Say(bluebellplatform.LeavingHeader("1"))
	}
	for range 2 {
		require.Equal(t, http.StatusOK, e.do(http.MethodGet, "/read/x", "").status)
	}
	for _, path := range []string{"/read/x", "/once/x", "/stream/x"} {
		started := time.Now()
		c := e.do(http.MethodPost, path, "")
		require.Equal(t, http.StatusServiceUnavailable, c.status)
		require.NotEmpty(t, c.header.Get("Retry-After"))
		require.Less(t, time.Since(started), 100*time.Millisecond)
	}
	require.Len(t, e.runs(), 2)
}

// A call that waits for the last endpoint is refused as soon as that endpoint says that it leaves.
func TestWaitingCallIsRefusedWhenLastEndpointLeaves(t *testing.T) {
	e := startEntry(t, 1)
	e.endpoints[0].SetProcessingTime(60 * time.Millisecond)
	e.endpoints[0].Say(bluebellplatform.LeavingHeader("1"))
	first := make(chan call, 1)
	go func() { first <- e.do(http.MethodGet, "/read/x", "") }()
	require.Eventually(t, func() bool { return e.endpoints[0].ActiveCalls() == 1 }, testTimeout, time.Millisecond)
	e.placer.Update(bluebellplacement.Fleet{
		Entries: []string{"e1"}, TokenCapacity: map[string]int{"app": 100}, Endpoints: []bluebellfleet.Endpoint{e.endpoints[0].NextRegistration()},
		UseByOthers: map[string]bluebellplacement.EndpointUse{"i-0": {Calls: 4, Tokens: 100}},
	})
	started := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, e.do(http.MethodGet, "/read/y", "").status)
	require.Less(t, time.Since(started), 150*time.Millisecond, "a call waits for half of its objective of 400 ms")
	require.Equal(t, http.StatusOK, (<-first).status)
	require.Len(t, e.runs(), 1)
}
