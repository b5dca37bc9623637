package bluebellfrontend_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellfake/bluebellstub"
)

// These tests cover streams that send something without making progress, and slow ones that do.

// An endpoint in trouble sends a comment now and then, before the first event or in the middle of
// a stream. A comment is no progress: the stream must be resumed at another endpoint like one that
// sends nothing, long before the deadline of 2 s.
func TestStalledStreamIsResumed(t *testing.T) {
	for name, behaviour := range map[string]bluebellstub.Behaviour{"BeforeFirstEvent": bluebellstub.Commenting, "AfterTwoEvents": bluebellstub.Stalling} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t, 2)
			e.endpoints[0].SetBehaviour(behaviour)
			for range 4 {
				started := time.Now()
				c := e.do(http.MethodPost, "/stream/again/x", "prompt")
				require.NoError(t, c.err)
				require.Equal(t, http.StatusOK, c.status)
				require.Equal(t, eventsText(c.id, bluebellstub.StreamEvents), withoutComments(c.body))
				require.Less(t, time.Since(started), 1500*time.Millisecond)
			}
			require.NotEmpty(t, e.endpoints[0].Runs(), "the endpoint in trouble was met")
		})
	}
}

// A stream that may not run again, and whose endpoint only sends comments, ends at its deadline.
func TestStalledStreamEndsAtDeadline(t *testing.T) {
	e := startEntry(t, 1)
	e.behave(bluebellstub.Commenting)
	started := time.Now()
	c := e.do(http.MethodPost, "/stream/x", "prompt")
	require.True(t, c.err != nil || c.status == http.StatusGatewayTimeout, "status %d", c.status)
	require.Less(t, time.Since(started), 2500*time.Millisecond)
	require.Eventually(t, func() bool { return e.endpoints[0].ActiveCalls() == 0 }, testTimeout, time.Millisecond, "the endpoint is told")
}

// A stream whose events arrive at nearly the longest allowed gap is sound and must not be cut or
// moved, although it takes several times as long as most streams.
func TestSlowSoundStreamIsNotCut(t *testing.T) {
	for _, path := range []string{"/stream/x", "/stream/again/x"} {
		e := startEntry(t, 2)
		for _, endpoint := range e.endpoints {
			endpoint.SetProcessingTime(190 * time.Millisecond)
		}
		c := e.do(http.MethodPost, path, "prompt")
		require.NoError(t, c.err)
		require.Equal(t, eventsText(c.id, bluebellstub.StreamEvents), c.body)
		require.Len(t, e.runs(), 1)
	}
}

// withoutComments returns the events of a stream that are not comments.
func withoutComments(stream string) string {
	var kept []string
	for _, event := range strings.SplitAfter(stream, "\n\n") {
		if !strings.HasPrefix(event, ":") {
			kept = append(kept, event)
		}
	}
	return strings.Join(kept, "")
}
