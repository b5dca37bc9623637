package bluebellfrontend_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

// An endpoint that writes the refusal of an earlier call once more must not make a caller believe that
// its call has not run, nor make a call that may run once run at a second endpoint.
func TestCopyOfEarlierRefusalIsNotTrusted(t *testing.T) {
	const continued = "HTTP/1.1 100 Continue\r\n\r\n"
	refusal := func(id string) string {
		return rawText(http.StatusServiceUnavailable, bluebellplatform.NotRunHeader(id), "full\n")
	}
	wrong := func(id string) string {
		return rawText(http.StatusMisdirectedRequest, bluebellplatform.AnswerHeader(id, ""), "")
	}
	for name, parts := range map[string]func(c rawCall) []string{
		"BeforeAnswer":           func(c rawCall) []string { return []string{refusal(c.earlier), rawSuccess(c)} },
		"BeforeAnswerWithoutID":  func(c rawCall) []string { return []string{refusal(""), rawSuccess(c)} },
		"OneSegmentBefore":       func(c rawCall) []string { return []string{refusal(c.earlier) + rawSuccess(c)} },
		"OneSegmentBeforeNoID":   func(c rawCall) []string { return []string{refusal("") + rawSuccess(c)} },
		"OneSegmentBehind":       func(c rawCall) []string { return []string{rawSuccess(c) + refusal(c.earlier)} },
		"OneSegmentBehindNoID":   func(c rawCall) []string { return []string{rawSuccess(c) + refusal("")} },
		"BehindWithThisID":       func(c rawCall) []string { return []string{rawSuccess(c), refusal(c.CallID)} },
		"OneSegmentBehindThisID": func(c rawCall) []string { return []string{rawSuccess(c) + refusal(c.CallID)} },
		"Behind":                 func(c rawCall) []string { return []string{rawSuccess(c), refusal(c.earlier)} },
		"BehindNoID":             func(c rawCall) []string { return []string{rawSuccess(c), refusal("")} },
		"AfterContinue":          func(c rawCall) []string { return []string{continued, refusal(c.earlier), rawSuccess(c)} },
		"AfterContinueNoID":      func(c rawCall) []string { return []string{continued + refusal(""), rawSuccess(c)} },
		"MisdirectedWithoutID":   func(c rawCall) []string { return []string{wrong(""), rawSuccess(c)} },
		"MisdirectedEarlierCall": func(c rawCall) []string { return []string{wrong(c.earlier), rawSuccess(c)} },
		"ManyCopies": func(c rawCall) []string {
			return []string{strings.Repeat(refusal(c.earlier), 9), rawSuccess(c)}
		},
		"OnlyTheCopyWithoutID": func(rawCall) []string { return []string{refusal("")} },
		"BadRequestWithoutID": func(c rawCall) []string {
			return []string{rawText(http.StatusBadRequest, bluebellplatform.NotRunHeader(""), ""), rawSuccess(c)}
		},
	} {
		for _, path := range []string{"/once/x", "/read/x", "/stream/x", "/stream/again/x"} {
			t.Run(name+strings.ReplaceAll(path, "/", "_"), func(t *testing.T) {
				t.Parallel()
				e := startEntry(t, 0)
				var endpoints []*rawEndpoint
				for i := range 3 {
					endpoints = append(endpoints, startRaw(t, fmt.Sprint("i-", i), func(c rawCall) rawAnswer {
						if c.earlier == "" {
							return rawAnswer{parts: []string{refusal(c.CallID)}}
						}
						return rawAnswer{ran: true, parts: parts(c)}
					}))
				}
				e.useRaw(endpoints...)
				first := e.do(http.MethodPost, "/once/first", "order")
				require.Equal(t, http.StatusServiceUnavailable, first.status, "each endpoint has refused the call, and its connection is kept")
				for range 6 {
					// The back-off of the endpoints ends.
					time.Sleep(60 * time.Millisecond)
					requireTrueStatus(t, path, e.do(http.MethodPost, path, "order"), endpoints)
				}
			})
		}
	}
}

// A call that an endpoint runs is answered, however many answers to earlier calls are written once more before
// its own.
func TestCallBehindManyCopiesIsAnswered(t *testing.T) {
	for _, path := range []string{"/once/x", "/read/x", "/stream/x", "/stream/again/x"} {
		t.Run(strings.ReplaceAll(path[1:], "/", "_"), func(t *testing.T) {
			t.Parallel()
			e := startEntry(t, 0)
			endpoint := startRaw(t, "i-0", func(c rawCall) rawAnswer {
				if c.earlier == "" {
					return rawAnswer{ran: true, parts: []string{rawSuccess(c)}}
				}
				earlier := rawCall{IncomingCall: bluebellplatform.IncomingCall{CallID: c.earlier}, path: c.path}
				return rawAnswer{ran: true, parts: []string{strings.Repeat(rawSuccess(earlier), 9), rawSuccess(c)}}
			})
			e.useRaw(endpoint)
			for range 3 {
				got := e.do(http.MethodPost, path, "order")
				requireTrueStatus(t, path, got, []*rawEndpoint{endpoint})
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, 1, ran(got.id, endpoint))
			}
		})
	}
}

// requireTrueStatus checks that a call that has run was not refused as not run, that it has run no more
// often than its route allows, and that a success has the whole answer.
func requireTrueStatus(t *testing.T, path string, c call, endpoints []*rawEndpoint) {
	t.Helper()
	runs := ran(c.id, endpoints...)
	if runs > 0 && c.err == nil {
		require.NotContains(t, []int{
			http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		}, c.status, "the call has run")
	}
	limit := 1
	if path == "/read/x" || path == "/stream/again/x" {
		limit = 2
	}
	require.LessOrEqual(t, runs, limit)
	if c.err == nil && c.status == http.StatusOK {
		require.Contains(t, []string{bluebellstub.AnswerBody(c.id), eventsText(c.id, bluebellstub.StreamEvents)}, c.body)
	}
}
