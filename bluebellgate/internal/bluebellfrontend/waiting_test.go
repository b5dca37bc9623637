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

// How long calls wait for endpoints and at them, and what counts as a repeat.

// The load pattern: many endpoints cannot be reached. What never arrived is no repeat, so
// no budget keeps it from those that can.
func TestACallThatNeverArrivedIsNoRepeat(t *testing.T) {
	e := startWith(t, 4, bluebellrelay.RetryBudget{Window: 10 * time.Second})
	for _, one := range e.endpoints[:3] {
		one.Stop()
	}
	for range 3 {
		c := e.do(http.MethodPost, "/once/x", "order")
		require.NoError(t, c.err)
		require.Equal(t, http.StatusOK, c.status)
	}
	require.Len(t, e.endpoints[3].Runs(), 3)
}

// The same budget still bounds what has arrived.
func TestACallThatWasDeclinedIsARepeat(t *testing.T) {
	e := startWith(t, 4, bluebellrelay.RetryBudget{Window: 10 * time.Second})
	e.behave(bluebellstub.Declining)
	require.Equal(t, http.StatusServiceUnavailable, e.do(http.MethodPost, "/once/x", "order").status)
	asked := 0
	for _, one := range e.endpoints {
		asked += one.Arrivals()
	}
	require.Equal(t, 1, asked)
}

// The load pattern: a call leaves a silent endpoint while the others have as much work as
// is good for them. It has time left, so it waits for them like any other call.
func TestACallThatLeftASilentEndpointWaitsForAnother(t *testing.T) {
	e := start(t, 2)
	e.endpoints[0].Behave(bluebellstub.Mute)
	fleet := bluebellplacement.Fleet{Entries: []string{"e1"}, Rooms: map[string]int{"app": 100}}
	for _, one := range e.endpoints {
		registered := one.Registration()
		registered.HeardAt = time.Hour
		fleet.Endpoints = append(fleet.Endpoints, registered)
	}
	busy := fleet
	busy.Others = map[string]bluebellplacement.Use{"i-1": {Calls: 4, Tokens: 100}}
	e.placer.Update(busy)
	answered := make(chan call)
	go func() { answered <- e.do(http.MethodPost, "/stream/again/x", "prompt") }()
	require.Eventually(t, func() bool { return len(e.endpoints[0].Runs()) == 1 && e.endpoints[0].Active() == 0 }, patience, time.Millisecond)
	time.Sleep(150 * time.Millisecond)
	e.placer.Update(fleet)
	c := <-answered
	require.NoError(t, c.err)
	require.Equal(t, http.StatusOK, c.status)
	require.Equal(t, events(c.id, bluebellstub.StreamEvents), c.body)
}

// The load pattern: a stream's endpoint breaks off, and all others are leaving, loading or
// bear nothing yet. What the caller has of the answer is lost with it, so it waits.
func TestABegunStreamWaitsForAnEndpointThatFits(t *testing.T) {
	e := start(t, 2)
	e.endpoints[0].Behave(bluebellstub.Cutting)
	fleet := bluebellplacement.Fleet{Entries: []string{"e1"}}
	for _, one := range e.endpoints {
		fleet.Endpoints = append(fleet.Endpoints, one.Registration())
	}
	busy := fleet
	busy.Loading = []string{"i-1"}
	e.placer.Update(busy)
	answered := make(chan call)
	go func() { answered <- e.do(http.MethodPost, "/stream/again/x", "prompt") }()
	require.Eventually(t, func() bool { return len(e.endpoints[0].Runs()) == 1 && e.endpoints[0].Active() == 0 }, patience, time.Millisecond)
	time.Sleep(200 * time.Millisecond) // twice as long as a call that has not run waits
	e.placer.Update(fleet)
	c := <-answered
	require.NoError(t, c.err)
	require.Equal(t, http.StatusOK, c.status)
	require.Equal(t, events(c.id, bluebellstub.StreamEvents), c.body)
}

// The load pattern: all endpoints are busy, and first events take longer than a call is
// ready to wait. One that goes on answering others is not left: what it has read for the
// call would be read again elsewhere, which made all of them busier still.
func TestACallStaysAtABusyEndpointThatAnswersOthers(t *testing.T) {
	e := start(t, 2)
	e.behave(bluebellstub.Mute)
	fleet := bluebellplacement.Fleet{Entries: []string{"e1"}, Others: map[string]bluebellplacement.Use{}}
	for _, one := range e.endpoints {
		registered := one.Registration()
		fleet.Endpoints = append(fleet.Endpoints, registered)
		fleet.Others[registered.ID] = bluebellplacement.Use{AnsweredAt: time.Hour}
	}
	e.placer.Update(fleet)
	answered := make(chan call)
	go func() { answered <- e.do(http.MethodGet, "/read/x", "") }()
	require.Eventually(t, func() bool { return len(e.runs()) == 1 }, patience, time.Millisecond)
	time.Sleep(1200 * time.Millisecond) // twice as long as a call waits for a read
	require.Len(t, e.runs(), 1)
	<-answered
	require.Len(t, e.runs(), 2, "a call that is stuck alone goes elsewhere in the end")
}
