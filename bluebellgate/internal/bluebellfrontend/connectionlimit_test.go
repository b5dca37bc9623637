package bluebellfrontend_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

// serveOneConnection returns a function that serves one connection at a time and resets others. A new connection
// may wait for the end of the one before it.
func serveOneConnection() func(e *rawEndpoint, conn net.Conn) {
	var open atomic.Int64
	return func(e *rawEndpoint, conn net.Conn) {
		for wait := time.Now().Add(50 * time.Millisecond); !open.CompareAndSwap(0, 1); time.Sleep(time.Millisecond) {
			if time.Now().After(wait) {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
				return
			}
		}
		defer open.Add(-1)
		e.serve(conn)
	}
}

// A call that is sent again to an endpoint at the limit of its connections is not lost to that limit: the
// entry has an idle connection there that it can close.
func TestRepeatedCallNeedsNoFurtherConnection(t *testing.T) {
	for _, path := range []string{"/once/x", "/read/x"} {
		t.Run(path[1:5], func(t *testing.T) {
			for range maxRepeats {
				if callReturnsAtConnectionLimit(t, path) {
					return
				}
			}
			require.Fail(t, "no call returned to the endpoint")
		})
	}
}

// callReturnsAtConnectionLimit sends a call to an endpoint that accepts one connection, refuses the call and
// restarts, and checks its answer. It reports false if the call did not return to the endpoint.
func callReturnsAtConnectionLimit(t *testing.T, path string) bool {
	t.Helper()
	e := startEntry(t, 0)
	var old bluebellfleet.Endpoint
	var returned atomic.Bool
	endpoint := startRawWith(t, "i-0", func(c rawCall) rawAnswer {
		if c.Endpoint == old.ID {
			e.registerOnly(restarted(old))
			return rawAnswer{parts: []string{rawText(http.StatusMisdirectedRequest, bluebellplatform.AnswerHeader(c.CallID, ""), "")}}
		}
		returned.Store(true)
		return rawAnswer{ran: true, parts: []string{rawSuccess(c)}}
	}, serveOneConnection())
	old = endpoint.Endpoint
	e.registerOnly(old)
	got := e.do(http.MethodPost, path, "order")
	requireTrueStatus(t, path, got, []*rawEndpoint{endpoint})
	if waitedInVain(got, &returned) {
		return false
	}
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, bluebellstub.AnswerBody(got.id), got.body)
	return true
}

// A caller that sends one call after another with the same ID must not take up the connections that an
// endpoint accepts from all callers together.
func TestCallerWithOneIDHoldsFewConnections(t *testing.T) {
	const calls = 100
	e := startEntry(t, 0)
	var open, most atomic.Int64
	e.useRaw(startRawWith(t, "i-0", func(c rawCall) rawAnswer { return rawAnswer{ran: true, parts: []string{rawSuccess(c)}} },
		func(e *rawEndpoint, conn net.Conn) {
			now := open.Add(1)
			for high := most.Load(); now > high && !most.CompareAndSwap(high, now); high = most.Load() {
			}
			defer open.Add(-1)
			e.serve(conn)
		}))
	for range calls {
		r, err := http.NewRequest(http.MethodGet, "http://"+e.address+"/read/x", nil)
		require.NoError(t, err)
		r.Host = "h.example"
		r.Header = bluebellplatform.CallerHeader(bluebellplatform.Call{ID: "same", Key: "k", TimeLeft: callTimeLimit})
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.LessOrEqual(t, most.Load(), int64(4), "open connections during %d calls in succession", calls)
}
