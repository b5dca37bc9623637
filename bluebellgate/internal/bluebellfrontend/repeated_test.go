package bluebellfrontend_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/bluebellgate/internal/bluebellhandover"
	"bluebellhaven.org/platform/bluebellplatform"
)

// registerOnly makes the given registrations the only ones of an entry.
func (e *entry) registerOnly(endpoints ...bluebellfleet.Endpoint) {
	e.placer.Update(bluebellplacement.Fleet{Entries: []string{"e1"}, Endpoints: endpoints})
}

// restarted returns the registration of the next start of an endpoint, which has another ID and the
// same address.
func restarted(e bluebellfleet.Endpoint) bluebellfleet.Endpoint {
	e.ID, e.StartUnixMillis = e.ID+"-restarted", e.StartUnixMillis+1
	return e
}

// refusals are the ways in which an endpoint refuses the call with an ID.
var refusals = map[string]func(id string) string{
	"Misdirected": func(id string) string {
		return rawText(http.StatusMisdirectedRequest, bluebellplatform.AnswerHeader(id, ""), "")
	},
	"Full": func(id string) string {
		return rawText(http.StatusServiceUnavailable, bluebellplatform.NotRunHeader(id), "full\n")
	},
	"TooMany": func(id string) string {
		return rawText(http.StatusTooManyRequests, bluebellplatform.NotRunHeader(id), "")
	},
}

// waitedInVain reports whether a call was refused before it returned to an endpoint. Beside load it may have
// waited for too long, which says nothing about copies. maxRepeats bounds the calls that are made until one
// returns.
func waitedInVain(got call, returned *atomic.Bool) bool {
	return got.status == http.StatusServiceUnavailable && !returned.Load()
}

const maxRepeats = 10

// An endpoint that restarts under another ID refuses a call for the old one, and the call is sent to it
// again under the new ID. A copy of the refusal, which names the call, must not be taken for the answer
// while the endpoint runs it.
func TestCopyOfRefusalIsNotTakenForAnswerToRepeatedCall(t *testing.T) {
	for name, refusal := range refusals {
		for _, path := range []string{"/once/x", "/read/x", "/stream/x", "/stream/again/x"} {
			for _, elsewhere := range []bool{false, true} {
				t.Run(name+strings.ReplaceAll(path, "/", "_")+map[bool]string{false: "_Alone", true: "_Elsewhere"}[elsewhere], func(t *testing.T) {
					t.Parallel()
					for range maxRepeats {
						if callReturnsAfterRefusal(t, path, refusal, elsewhere) {
							return
						}
					}
					require.Fail(t, "no call returned to the endpoint")
				})
			}
		}
	}
}

// callReturnsAfterRefusal sends a call to an endpoint that refuses it and restarts, and checks its answer. It
// reports false if the call did not return to the endpoint. If elsewhere is set, another endpoint can take it
// then.
func callReturnsAfterRefusal(t *testing.T, path string, refusal func(id string) string, elsewhere bool) bool {
	t.Helper()
	e := startEntry(t, 0)
	other := startRaw(t, "i-other", func(c rawCall) rawAnswer { return rawAnswer{ran: true, parts: []string{rawSuccess(c)}} })
	var old bluebellfleet.Endpoint
	var returned atomic.Bool
	endpoint := startRaw(t, "i-0", func(c rawCall) rawAnswer {
		if c.Endpoint == old.ID {
			e.registerOnly(restarted(old))
			return rawAnswer{parts: []string{refusal(c.CallID)}}
		}
		returned.Store(true)
		if elsewhere {
			e.registerOnly(restarted(old), other.Endpoint)
		}
		if c.earlier == c.CallID {
			return rawAnswer{ran: true, parts: []string{refusal(c.CallID), rawSuccess(c)}}
		}
		return rawAnswer{ran: true, parts: []string{rawSuccess(c)}}
	})
	old = endpoint.Endpoint
	e.registerOnly(old)
	got := e.do(http.MethodPost, path, "order")
	requireTrueStatus(t, path, got, []*rawEndpoint{endpoint, other})
	if waitedInVain(got, &returned) {
		return false
	}
	require.Equal(t, http.StatusOK, got.status, "the endpoint has answered the call")
	require.Equal(t, 1, ran(got.id, endpoint, other))
	return true
}

// A call that is handed over may be sent to an endpoint that its origin could not hear. If that one
// refuses it, the call may be sent there again, and a copy of the refusal must not be taken for the
// answer.
func TestCopyOfRefusalIsNotTakenForAnswerToCallHandedOver(t *testing.T) {
	for _, path := range []string{"/once/x", "/read/x"} {
		t.Run(strings.ReplaceAll(path, "/", "_"), func(t *testing.T) {
			t.Parallel()
			e := startEntry(t, 0)
			received := 0
			endpoint := startRaw(t, "i-0", func(c rawCall) rawAnswer {
				refusal := rawText(http.StatusServiceUnavailable, bluebellplatform.NotRunHeader(c.CallID), "full\n")
				received++
				switch {
				case received == 1:
					return rawAnswer{parts: []string{refusal}}
				case c.earlier == c.CallID:
					return rawAnswer{ran: true, parts: []string{refusal, rawSuccess(c)}}
				}
				return rawAnswer{ran: true, parts: []string{rawSuccess(c)}}
			})
			e.useRaw(endpoint)
			result, body := e.offer(t, path, "order", bluebellhandover.Offer{
				Revision: 1, Target: "app", TimeLeft: callTimeLimit, Tried: []string{"i-0"}, Silent: []string{"i-0"},
			})
			require.Equal(t, bluebellhandover.Answered, result.Outcome)
			require.Equal(t, bluebellstub.AnswerBody("offered"), body)
			require.Equal(t, 1, ran("offered", endpoint))
		})
	}
}

// A stream that breaks off may be resumed at an endpoint that had refused it and has restarted since. A copy of
// the refusal must not end the stream.
func TestCopyOfRefusalDoesNotEndResumedStream(t *testing.T) {
	for name, refusal := range refusals {
		for broken, end := range map[string]string{"Truncated": "", "NoEvent": "internal error\n"} {
			t.Run(name+broken, func(t *testing.T) {
				t.Parallel()
				e := startEntry(t, 0)
				var old bluebellfleet.Endpoint
				var breaking *rawEndpoint
				endpoint := startRaw(t, "i-0", func(c rawCall) rawAnswer {
					if c.Endpoint == old.ID {
						e.registerOnly(old, breaking.Endpoint)
						return rawAnswer{parts: []string{refusal(c.CallID)}}
					}
					resumed := rawText(http.StatusOK, sealed(c, eventStream), numbered(c.CallID, 3, 4, 5))
					if c.earlier == c.CallID {
						return rawAnswer{ran: true, parts: []string{refusal(c.CallID), resumed}}
					}
					return rawAnswer{ran: true, parts: []string{resumed}}
				})
				breaking = startRaw(t, "i-breaking", func(c rawCall) rawAnswer {
					e.registerOnly(restarted(old), breaking.Endpoint)
					return rawAnswer{ran: true, parts: []string{chunked(http.StatusOK, sealed(c, eventStream), numbered(c.CallID, 1, 2)+end, false)}, closes: true}
				})
				old = endpoint.Endpoint
				e.registerOnly(old)
				got := e.do(http.MethodPost, "/stream/again/x", "prompt")
				require.NoError(t, got.err)
				require.Equal(t, eventsText(got.id, bluebellstub.StreamEvents), got.body)
				require.Equal(t, 1, ran(got.id, endpoint))
				require.Equal(t, 1, ran(got.id, breaking))
			})
		}
	}
}

// A call that all endpoints have refused waits for a moment, and returns to one that has restarted meanwhile.
// A copy of its refusal must not be taken for the answer.
func TestCopyOfRefusalIsNotTakenForAnswerToCallThatWaited(t *testing.T) {
	for name, refusal := range refusals {
		for _, path := range []string{"/once/x", "/read/x", "/stream/x", "/stream/again/x"} {
			t.Run(name+strings.ReplaceAll(path, "/", "_"), func(t *testing.T) {
				t.Parallel()
				for range maxRepeats {
					if callReturnsAfterWait(t, path, refusal) {
						return
					}
				}
				require.Fail(t, "no call returned to an endpoint")
			})
		}
	}
}

// callReturnsAfterWait sends a call that two endpoints refuse, of which one restarts, and checks its answer. It
// reports false if the call did not return to that endpoint.
func callReturnsAfterWait(t *testing.T, path string, refusal func(id string) string) bool {
	t.Helper()
	e := startEntry(t, 0)
	var endpoints []*rawEndpoint
	var refused atomic.Int64
	var returned atomic.Bool
	for i := range 2 {
		id := fmt.Sprint("i-", i)
		endpoints = append(endpoints, startRaw(t, id, func(c rawCall) rawAnswer {
			switch {
			case c.Endpoint != id:
				returned.Store(true)
				if c.earlier == c.CallID {
					return rawAnswer{ran: true, parts: []string{refusal(c.CallID), rawSuccess(c)}}
				}
				return rawAnswer{ran: true, parts: []string{rawSuccess(c)}}
			case refused.Add(1) == 2:
				// Less than the call waits.
				time.AfterFunc(40*time.Millisecond, func() { e.registerOnly(restarted(endpoints[0].Endpoint), endpoints[1].Endpoint) })
			}
			return rawAnswer{parts: []string{refusal(c.CallID)}}
		}))
	}
	e.useRaw(endpoints...)
	got := e.do(http.MethodPost, path, "order")
	requireTrueStatus(t, path, got, endpoints)
	if waitedInVain(got, &returned) {
		return false
	}
	require.Equal(t, int64(2), refused.Load())
	require.Equal(t, http.StatusOK, got.status, "the endpoint has answered the call")
	require.Equal(t, 1, ran(got.id, endpoints...))
	return true
}
