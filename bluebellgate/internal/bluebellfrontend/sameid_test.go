package bluebellfrontend_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/platform/bluebellplatform"
)

// A caller that sends one call after another with the same ID must not take up the connections that an
// endpoint accepts from all callers together.
func TestCallerWithOneIDHoldsFewConnections(t *testing.T) {
	const calls = 100
	e := startEntry(t, 0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	endpoint := &rawEndpoint{
		Endpoint: bluebellfleet.Endpoint{ID: "i-0", Target: "app", Address: listener.Addr().String(), State: bluebellfleet.Serving, StartUnixMillis: 1, Sequence: 1},
		answer:   func(c rawCall) rawAnswer { return rawAnswer{ran: true, parts: []string{rawSuccess(c)}} },
		runs:     map[string]int{},
	}
	var open, most atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			most.Store(max(most.Load(), open.Add(1)))
			go func() {
				defer open.Add(-1)
				endpoint.serve(conn)
			}()
		}
	}()
	e.useRaw(endpoint)
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
