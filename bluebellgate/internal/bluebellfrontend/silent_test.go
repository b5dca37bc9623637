package bluebellfrontend_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/bluebellgate/internal/bluebellrelay"
)

// longPause is longer than entries wait for a silent endpoint without looking for another one, and
// shorter than the time limit of a call.
const longPause = 1500 * time.Millisecond

// An endpoint that is silent for a second and then goes on is sound. A call that it runs must not
// end without its answer because the call cannot be sent elsewhere.
func TestSilentEndpointEndsNoAnswer(t *testing.T) {
	noRetries := bluebellrelay.RetryLimits{Window: 10 * time.Second}
	ample := bluebellrelay.RetryLimits{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}
	for name, c := range map[string]struct {
		path      string
		endpoints int
		limits    bluebellrelay.RetryLimits
	}{
		"StreamWithoutRetryBudget":   {"/stream/again/x", 2, noRetries},
		"StreamWithoutOtherEndpoint": {"/stream/again/x", 1, ample},
		"ReadWithoutRetryBudget":     {"/read/x", 2, noRetries},
		"ReadWithoutOtherEndpoint":   {"/read/x", 1, ample},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEntryWithRetryLimits(t, c.endpoints, c.limits)
			e.behave(bluebellstub.Pausing)
			for _, endpoint := range e.endpoints {
				endpoint.SetPauseTime(longPause)
			}
			got := e.do(http.MethodPost, c.path, "prompt")
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			if c.path == "/read/x" {
				require.Equal(t, bluebellstub.AnswerBody(got.id), got.body)
			} else {
				require.Equal(t, eventsText(got.id, bluebellstub.StreamEvents), got.body)
			}
			require.Len(t, e.runs(), 1)
		})
	}
}

// If the endpoint to which a silent stream is moved declines it, the stream must not end either: the
// endpoint that was left may go on.
func TestSilentEndpointIsTriedAgainAfterDecline(t *testing.T) {
	e := startEntry(t, 2)
	e.endpoints[0].SetBehaviour(bluebellstub.Pausing)
	e.endpoints[0].SetPauseTime(longPause)
	e.endpoints[1].SetBehaviour(bluebellstub.Declining)
	ended := make(chan call, 1)
	go func() { ended <- e.do(http.MethodPost, "/stream/again/x", "prompt") }()
	require.Eventually(t, func() bool { return len(e.endpoints[0].Runs()) > 0 }, testTimeout, time.Millisecond)
	e.endpoints[0].SetBehaviour(bluebellstub.Normal)
	got := <-ended
	require.NoError(t, got.err)
	require.Equal(t, eventsText(got.id, bluebellstub.StreamEvents), got.body)
}

// If the endpoint to which a silent stream is moved crashes, the stream must not end either: the endpoint
// that was left may go on, and no further endpoint runs the call.
func TestSilentEndpointIsTriedAgainAfterCrash(t *testing.T) {
	e := startEntry(t, 2)
	e.endpoints[0].SetBehaviour(bluebellstub.Pausing)
	e.endpoints[0].SetPauseTime(longPause)
	e.endpoints[1].SetBehaviour(bluebellstub.Unresponsive)
	ended := make(chan call, 1)
	go func() { ended <- e.do(http.MethodPost, "/stream/again/x", "prompt") }()
	require.Eventually(t, func() bool { return len(e.endpoints[1].Runs()) > 0 }, testTimeout, time.Millisecond)
	require.NotEmpty(t, e.endpoints[0].Runs())
	e.endpoints[0].SetBehaviour(bluebellstub.Normal)
	e.endpoints[1].Stop()
	got := <-ended
	require.NoError(t, got.err)
	require.Equal(t, eventsText(got.id, bluebellstub.StreamEvents), got.body)
}

// A stream that has begun can get no other answer. It must not be broken off before its time limit.
func TestBegunStreamIsNotCutBeforeItsLimit(t *testing.T) {
	e := startEntry(t, 1)
	e.behave(bluebellstub.Stalling)
	started := time.Now()
	got := e.do(http.MethodPost, "/stream/x", "prompt")
	require.Error(t, got.err)
	require.GreaterOrEqual(t, time.Since(started), callTimeLimit)
	require.Less(t, time.Since(started), callTimeLimit+500*time.Millisecond)
}

// A call at a silent endpoint that may not be sent again for lack of retries takes nothing from the calls
// that may: neither the allowance of a cold endpoint nor a probe.
func TestSilentCallWithoutRetryBudgetReservesNothing(t *testing.T) {
	e := startEntryWithRetryLimits(t, 2, bluebellrelay.RetryLimits{Window: 10 * time.Second})
	silent, cold := e.endpoints[0], e.endpoints[1]
	silent.SetBehaviour(bluebellstub.Pausing)
	silent.SetPauseTime(longPause)
	fleet := bluebellplacement.Fleet{Entries: []string{"e1"}, ColdRates: map[string]float64{"app": 0.1}}
	for _, endpoint := range e.endpoints {
		registered := endpoint.NextRegistration()
		registered.ReceivedAt = e.now()
		if endpoint == cold {
			registered.State, registered.ColdUntil = bluebellfleet.Draining, e.now()+time.Minute
		}
		fleet.Endpoints = append(fleet.Endpoints, registered)
	}
	e.placer.Update(fleet)
	ended := make(chan call, 1)
	go func() { ended <- e.do(http.MethodPost, "/read/x", "") }()
	require.Eventually(t, func() bool { return silent.ActiveCalls() == 1 }, testTimeout, time.Millisecond)
	fleet.Endpoints = slices.Clone(fleet.Endpoints)
	fleet.Endpoints[1].State = bluebellfleet.Serving
	e.placer.Update(fleet)
	time.Sleep(longPause * 2 / 3)
	got := e.do(http.MethodPost, "/read/x", "")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, 1, cold.Arrivals())
	require.Equal(t, http.StatusOK, (<-ended).status)
	require.Equal(t, 1, silent.Arrivals())
}
