package bluebellfrontend_test

import (
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

// startRawWithOneConnection starts a raw endpoint that resets connections beyond the first. A new
// connection may wait for the end of the one before it.
func startRawWithOneConnection(t *testing.T, id string, answer func(c rawCall) rawAnswer) *rawEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &rawEndpoint{
		Endpoint: bluebellfleet.Endpoint{ID: id, Target: "app", Address: listener.Addr().String(), State: bluebellfleet.Serving, StartUnixMillis: 1, Sequence: 1},
		answer:   answer, runs: map[string]int{},
	}
	var open atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				for wait := time.Now().Add(50 * time.Millisecond); !open.CompareAndSwap(0, 1); time.Sleep(time.Millisecond) {
					if time.Now().After(wait) {
						_ = conn.(*net.TCPConn).SetLinger(0)
						_ = conn.Close()
						return
					}
				}
				defer open.Add(-1)
				e.serve(conn)
			}()
		}
	}()
	return e
}

// A call that is sent again to an endpoint at the limit of its connections is not lost to that limit: the
// entry has an idle connection there that it can close.
func TestRepeatedCallNeedsNoFurtherConnection(t *testing.T) {
	for _, path := range []string{"/once/x", "/read/x"} {
		t.Run(path[1:5], func(t *testing.T) {
			e := startEntry(t, 0)
			var old bluebellfleet.Endpoint
			endpoint := startRawWithOneConnection(t, "i-0", func(c rawCall) rawAnswer {
				if c.Endpoint == old.ID {
					e.registerOnly(restarted(old))
					return rawAnswer{parts: []string{rawText(http.StatusMisdirectedRequest, bluebellplatform.AnswerHeader(c.CallID, ""), "")}}
				}
				return rawAnswer{ran: true, parts: []string{rawSuccess(c)}}
			})
			old = endpoint.Endpoint
			e.registerOnly(old)
			got := e.do(http.MethodPost, path, "order")
			requireTrueStatus(t, path, got, []*rawEndpoint{endpoint})
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, bluebellstub.AnswerBody(got.id), got.body)
		})
	}
}
