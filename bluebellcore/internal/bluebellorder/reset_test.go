package bluebellorder_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/platform/bluebellplatform"
)

// Guards against an order that was given up and that the system delivers when the link is back, behind an order of the next
// holder: its connection is reset, also while the order waits to be sent.
func TestUnansweredOrderIsReset(t *testing.T) {
	c := newCluster(t, 0)
	e := &endpoint{id: "i-0", version: 1}
	c.endpoints = append(c.endpoints, e)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	report, err := bluebellplatform.EncodeReport(bluebellplatform.EndpointReport{Weights: map[string]uint64{"m0": 1}})
	require.NoError(t, err)
	ended := make(chan error, 100)
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		switch {
		case err != nil:
		case r.URL.Path == bluebellplatform.ReportPath:
			_ = (&http.Response{
				StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(report)), Body: io.NopCloser(bytes.NewReader(report)),
			}).Write(conn)
		default:
			_, err = io.Copy(io.Discard, conn)
			ended <- err
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	c.register(t, e, listener.Addr().String())
	c.requested.Store(2)
	select {
	case err := <-ended:
		require.ErrorContains(t, err, "reset")
	case <-time.After(eventTimeout):
		require.Fail(t, "the connection stays open")
	}
}
