package bluebellfrontend_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/bluebellgate/internal/bluebellrelay"
)

// These tests cover how long calls wait for an endpoint and for its response, and which attempts
// use the retry budget.

// Many endpoints cannot be reached. A call that was never received by an endpoint may be sent to
// another one without using the retry budget, so an empty budget does not fail it.
func TestUnsentCallDoesNotUseRetryBudget(t *testing.T) {
	e := startEntryWithRetryLimits(t, 4, bluebellrelay.RetryLimits{Window: 10 * time.Second})
	for _, endpoint := range e.endpoints[:3] {
		endpoint.Stop()
	}
	for range 3 {
		c := e.do(http.MethodPost, "/once/x", "order")
		require.NoError(t, c.err)
		require.Equal(t, http.StatusOK, c.status)
	}
	require.Len(t, e.endpoints[3].Runs(), 3)
}

// With an empty retry budget, a call that an endpoint has received and declined is not resent.
func TestDeclinedCallUsesRetryBudget(t *testing.T) {
	e := startEntryWithRetryLimits(t, 4, bluebellrelay.RetryLimits{Window: 10 * time.Second})
	e.behave(bluebellstub.Declining)
	require.Equal(t, http.StatusServiceUnavailable, e.do(http.MethodPost, "/once/x", "order").status)
	arrivals := 0
	for _, endpoint := range e.endpoints {
		arrivals += endpoint.Arrivals()
	}
	require.Equal(t, 1, arrivals)
}

// An endpoint does not respond while the other endpoints are at their load limit. The call stays, since
// the endpoint may go on, and is sent to another endpoint as soon as one takes it.
func TestCallWaitsForOtherEndpointAfterTimeout(t *testing.T) {
	e := startEntry(t, 2)
	e.endpoints[0].SetBehaviour(bluebellstub.Unresponsive)
	fleet := bluebellplacement.Fleet{Entries: []string{"e1"}, TokenCapacity: map[string]int{"app": 100}}
	for _, endpoint := range e.endpoints {
		registered := endpoint.NextRegistration()
		registered.ReceivedAt = time.Hour
		fleet.Endpoints = append(fleet.Endpoints, registered)
	}
	busy := fleet
	busy.UseByOthers = map[string]bluebellplacement.EndpointUse{"i-1": {Calls: 4, Tokens: 100}}
	e.placer.Update(busy)
	answered := make(chan call)
	go func() { answered <- e.do(http.MethodPost, "/stream/again/x", "prompt") }()
	require.Eventually(t, func() bool { return len(e.endpoints[0].Runs()) == 1 }, testTimeout, time.Millisecond)
	time.Sleep(400 * time.Millisecond) // longer than the attempt's timeout, 240 ms
	require.Equal(t, 1, e.endpoints[0].ActiveCalls())
	e.placer.Update(fleet)
	c := <-answered
	require.NoError(t, c.err)
	require.Zero(t, e.endpoints[0].ActiveCalls())
	require.Equal(t, http.StatusOK, c.status)
	require.Equal(t, eventsText(c.id, bluebellstub.StreamEvents), c.body)
}

// A stream's endpoint closes the connection while all other endpoints are draining, loading or not
// yet ready for load. If the call failed, the events that the caller has received would be lost,
// so the call waits for an endpoint.
func TestBrokenStreamWaitsForUsableEndpoint(t *testing.T) {
	e := startEntry(t, 2)
	e.endpoints[0].SetBehaviour(bluebellstub.Truncating)
	fleet := bluebellplacement.Fleet{Entries: []string{"e1"}}
	for _, endpoint := range e.endpoints {
		fleet.Endpoints = append(fleet.Endpoints, endpoint.NextRegistration())
	}
	busy := fleet
	busy.Loading = []string{"i-1"}
	e.placer.Update(busy)
	answered := make(chan call)
	go func() { answered <- e.do(http.MethodPost, "/stream/again/x", "prompt") }()
	require.Eventually(t, func() bool { return len(e.endpoints[0].Runs()) == 1 && e.endpoints[0].ActiveCalls() == 0 }, testTimeout, time.Millisecond)
	time.Sleep(200 * time.Millisecond) // twice as long as a call that has not run waits for an endpoint
	e.placer.Update(fleet)
	c := <-answered
	require.NoError(t, c.err)
	require.Equal(t, http.StatusOK, c.status)
	require.Equal(t, eventsText(c.id, bluebellstub.StreamEvents), c.body)
}

// All endpoints are busy, and a first event takes longer than the attempt's timeout. A call stays
// at an endpoint that still answers other calls: at another endpoint its prompt would be processed
// again, which would increase the load of all endpoints further.
func TestCallStaysAtBusyEndpointThatAnswersOthers(t *testing.T) {
	e := startEntry(t, 2)
	e.behave(bluebellstub.Unresponsive)
	fleet := bluebellplacement.Fleet{Entries: []string{"e1"}, UseByOthers: map[string]bluebellplacement.EndpointUse{}}
	for _, endpoint := range e.endpoints {
		registered := endpoint.NextRegistration()
		fleet.Endpoints = append(fleet.Endpoints, registered)
		fleet.UseByOthers[registered.ID] = bluebellplacement.EndpointUse{AnsweredAt: time.Hour}
	}
	e.placer.Update(fleet)
	answered := make(chan call)
	go func() { answered <- e.do(http.MethodGet, "/read/x", "") }()
	require.Eventually(t, func() bool { return len(e.runs()) == 1 }, testTimeout, time.Millisecond)
	time.Sleep(1200 * time.Millisecond) // twice the attempt's timeout of an idempotent call
	require.Len(t, e.runs(), 1)
	<-answered
	require.Len(t, e.runs(), 2, "a call that stays unanswered must in the end be sent to another endpoint")
}
