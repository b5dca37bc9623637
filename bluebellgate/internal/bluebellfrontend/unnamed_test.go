package bluebellfrontend_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

// refusingUnnamed returns an endpoint that refuses calls without an ID, and writes such a refusal once more
// where the next answer on the connection is due.
func refusingUnnamed(t *testing.T) *rawEndpoint {
	t.Helper()
	return startRaw(t, "i-0", func(c rawCall) rawAnswer {
		refusal := rawText(http.StatusBadRequest, bluebellplatform.NotRunHeader(""), "call has no ID\n")
		switch {
		case c.CallID == "":
			return rawAnswer{parts: []string{refusal}}
		case c.unnamed:
			return rawAnswer{ran: true, parts: []string{refusal + rawSuccess(c)}}
		}
		return rawAnswer{ran: true, parts: []string{rawSuccess(c)}}
	})
}

// The answer to a call without an ID names no call. It must be told from those to other calls nevertheless:
// the caller is told that the call has not run, and other callers get the answers to their calls.
func TestAnswerToCallWithoutIDIsNoOtherCalls(t *testing.T) {
	for _, path := range []string{"/once/x", "/read/x", "/stream/x", "/stream/again/x"} {
		t.Run(strings.ReplaceAll(path[1:], "/", "_"), func(t *testing.T) {
			e := startEntry(t, 0)
			endpoint := refusingUnnamed(t)
			e.useRaw(endpoint)
			for n := range 4 {
				refused := e.sendWithID(http.MethodPost, path, "order", bluebellplatform.Call{Key: "k"})
				require.NoError(t, refused.err)
				require.Equal(t, http.StatusServiceUnavailable, refused.status, "call %d has not run", n)
				// The back-off of the endpoint ends.
				time.Sleep(60 * time.Millisecond)
				answered := e.do(http.MethodPost, path, "order")
				require.NoError(t, answered.err)
				require.Equal(t, http.StatusOK, answered.status, "call %d", n)
				require.Contains(t, []string{bluebellstub.AnswerBody(answered.id), eventsText(answered.id, bluebellstub.StreamEvents)}, answered.body)
				require.Equal(t, 1, ran(answered.id, endpoint))
			}
			require.Zero(t, ran("", endpoint))
		})
	}
}

// A caller that lists the header of the ID among those of its connection must not take the ID from its call on the
// way to the endpoint: the refusal would have none, and a copy of it would reach other callers.
func TestCallerCannotHideID(t *testing.T) {
	e := startEntry(t, 0)
	endpoint := refusingUnnamed(t)
	e.useRaw(endpoint)
	require.Equal(t, http.StatusOK, e.do(http.MethodPost, "/once/x", "order").status)
	r, err := http.NewRequest(http.MethodPost, "http://"+e.address+"/once/x", strings.NewReader("order"))
	require.NoError(t, err)
	r.Host = "h.example"
	r.Header = bluebellplatform.CallerHeader(bluebellplatform.Call{ID: "hidden", Key: "k"})
	for name := range r.Header.Clone() {
		r.Header.Add("Connection", name)
	}
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, 1, ran("hidden", endpoint))
}
