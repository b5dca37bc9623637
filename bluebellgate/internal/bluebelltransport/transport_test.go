package bluebelltransport_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellgate/internal/bluebelltransport"
)

// testTimeout limits each wait of a test.
const testTimeout = 5 * time.Second

// server runs a script on each accepted connection and counts the connections.
type server struct {
	address string
	opened  atomic.Int64
}

func serve(t *testing.T, script func(conn net.Conn, r *bufio.Reader)) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &server{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return s
}

// readCall reads one call and returns its ID, or false if the connection has ended.
func readCall(r *bufio.Reader) (string, bool) {
	call, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, call.Body); err != nil {
		return "", false
	}
	return call.Header.Get("Id"), true
}

// writeResponse writes a complete response with an Id header.
func writeResponse(w io.Writer, id, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// request returns a call that accepts only a response with the same Id header.
func request(s *server, id, body string) bluebelltransport.Request {
	return bluebelltransport.Request{
		Address: s.address, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(body),
		MatchResponse:  func(_ int, h http.Header) bool { return h.Get("Id") == id },
		ConnectTimeout: time.Second, HeaderDeadline: time.Now().Add(testTimeout),
	}
}

// do sends a call and returns the complete body of its response.
func do(t *testing.T, c *bluebelltransport.Client, r bluebelltransport.Request) (string, error) {
	t.Helper()
	x, err := c.Do(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := x.ReadAll(1<<20, time.Now().Add(testTimeout))
	return string(body), err
}

func TestConnectionReuse(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, ok := readCall(r)
			if !ok {
				return
			}
			writeResponse(conn, id, "answer "+id)
		}
	})
	c := bluebelltransport.NewClient(bluebelltransport.Config{})
	for i := range 20 {
		id := fmt.Sprint(i)
		body, err := do(t, c, request(s, id, strings.Repeat("x", i*1000)))
		require.NoError(t, err)
		require.Equal(t, "answer "+id, body)
	}
	require.Equal(t, int64(1), s.opened.Load())
	c.PruneIdle(map[string]bool{})
	_, err := do(t, c, request(s, "last", ""))
	require.NoError(t, err)
	require.Equal(t, int64(2), s.opened.Load(), "PruneIdle must close connections to removed endpoints")
}

// A delayed response to an earlier call on the same connection must not be taken for the response
// to the current call.
func TestResponseToOtherCallIsSkipped(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		id, _ := readCall(r)
		writeResponse(conn, "an earlier call", "not yours")
		writeResponse(conn, id, "yours")
		readCall(r)
	})
	body, err := do(t, bluebelltransport.NewClient(bluebelltransport.Config{}), request(s, "1", ""))
	require.NoError(t, err)
	require.Equal(t, "yours", body)
}

// An endpoint may write the responses to all earlier calls on the connection once more before the one that is
// due. The call has run and has a response, so it must not fail, unless the others are so large that they may have
// no end.
func TestResponsesToManyOtherCallsAreSkipped(t *testing.T) {
	for _, c := range []struct {
		copies, bytes int
		fails         bool
	}{{copies: 4}, {copies: 9}, {copies: 255, bytes: 4 << 10}, {copies: 6, bytes: 600 << 10}, {copies: 20, bytes: 600 << 10, fails: true}} {
		t.Run(fmt.Sprint(c.copies, "x", c.bytes), func(t *testing.T) {
			s := serve(t, func(conn net.Conn, r *bufio.Reader) {
				id, _ := readCall(r)
				body := strings.Repeat("x", c.bytes)
				for range c.copies {
					writeResponse(conn, "an earlier call", body)
				}
				writeResponse(conn, id, "yours")
				readCall(r)
			})
			body, err := do(t, bluebelltransport.NewClient(bluebelltransport.Config{}), request(s, "1", ""))
			if c.fails {
				require.ErrorIs(t, err, bluebelltransport.ErrMalformed)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "yours", body)
		})
	}
}

// A call that is sent again must not use a connection that has carried it, where a copy of the first
// response has the same ID. That connection is closed, so that the number of connections stays.
func TestCallIsNotRepeatedOnItsConnection(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		carried := map[string]bool{}
		for {
			id, ok := readCall(r)
			if !ok {
				return
			}
			if carried[id] {
				writeResponse(conn, id, "copy")
			}
			carried[id] = true
			writeResponse(conn, id, "answer "+id)
		}
	})
	c := bluebelltransport.NewClient(bluebelltransport.Config{})
	for i, want := range []struct {
		id              string
		opened          int64
		dropped, before int
	}{{"a", 1, 0, 0}, {"a", 2, 1, 0}, {"b", 2, 0, 1}, {"a", 3, 1, 0}, {"b", 3, 0, 1}, {"c", 3, 0, 2}} {
		r := request(s, want.id, "")
		r.CallID = want.id
		x, err := c.Do(context.Background(), r)
		require.NoError(t, err)
		body, err := x.ReadAll(1<<20, time.Now().Add(testTimeout))
		require.NoError(t, err)
		x.Close()
		require.Equal(t, "answer "+want.id, string(body), "call %d", i)
		require.Equal(t, want.opened, s.opened.Load(), "call %d", i)
		require.Equal(t, want.dropped, x.Connection().Dropped, "call %d", i)
		require.Equal(t, want.before, x.Connection().Calls, "call %d", i)
	}
}

// The connection of a call with SingleUse has carried no other call and carries none afterwards, and leaves
// the idle ones to others.
func TestSingleUseConnectionCarriesOneCall(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for id, ok := readCall(r); ok; id, ok = readCall(r) {
			writeResponse(conn, id, "")
		}
	})
	c := bluebelltransport.NewClient(bluebelltransport.Config{})
	for i, want := range []struct {
		single bool
		opened int64
	}{{false, 1}, {true, 2}, {true, 3}, {false, 3}} {
		r := request(s, fmt.Sprint(i), "")
		r.SingleUse = want.single
		_, err := do(t, c, r)
		require.NoError(t, err)
		require.Equal(t, want.opened, s.opened.Load(), "call %d", i)
	}
}

// The memory for the IDs of a connection's calls is bounded, and none of them is forgotten while the
// connection is used.
func TestConnectionEndsAfterManyCalls(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for id, ok := readCall(r); ok; id, ok = readCall(r) {
			writeResponse(conn, id, "")
		}
	})
	c := bluebelltransport.NewClient(bluebelltransport.Config{})
	for i := range 600 {
		r := request(s, fmt.Sprint(i), "")
		r.CallID = fmt.Sprint(i)
		_, err := do(t, c, r)
		require.NoError(t, err)
	}
	require.Equal(t, int64(3), s.opened.Load())
	r := request(s, "512", "")
	r.CallID = "512"
	_, err := do(t, c, r)
	require.NoError(t, err)
	require.Equal(t, int64(4), s.opened.Load(), "the first call of the connection must not be forgotten")
}

// Bytes that arrive on an idle connection belong to no later call, so the connection is not reused.
func TestConnectionWithStrayBytesIsNotReused(t *testing.T) {
	stray := make(chan struct{}, 8)
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		id, ok := readCall(r)
		if !ok {
			return
		}
		writeResponse(conn, id, "first")
		writeResponse(conn, id, "again")
		stray <- struct{}{}
		readCall(r)
	})
	c := bluebelltransport.NewClient(bluebelltransport.Config{})
	for i := range 3 {
		body, err := do(t, c, request(s, fmt.Sprint(i), ""))
		require.NoError(t, err)
		require.Equal(t, "first", body)
		<-stray
	}
	require.Equal(t, int64(3), s.opened.Load())
}

// The endpoint closes each connection after its response. The next call must open a new one.
func TestClosedConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 8)
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		id, _ := readCall(r)
		writeResponse(conn, id, "only")
		_ = conn.Close()
		closed <- struct{}{}
	})
	c := bluebelltransport.NewClient(bluebelltransport.Config{})
	for i := range 3 {
		_, err := do(t, c, request(s, fmt.Sprint(i), ""))
		require.NoError(t, err, "call %d", i)
		<-closed
	}
}

// An endpoint may respond before it has read a long body. The connection is not reused, because
// the rest of the body would still have to be written to it.
func TestConnectionIsNotReusedAfterEarlyResponse(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		call, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		writeResponse(conn, call.Header.Get("Id"), "too long")
		time.Sleep(200 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r)
	})
	c := bluebelltransport.NewClient(bluebelltransport.Config{})
	for i := range 2 {
		body, err := do(t, c, request(s, fmt.Sprint(i), strings.Repeat("x", 32<<20)))
		require.NoError(t, err)
		require.Equal(t, "too long", body)
	}
	require.Equal(t, int64(2), s.opened.Load())
}

// An Error distinguishes an endpoint that does not respond, one that closes the connection after
// the call, and one that refuses the connection.
func TestErrorReportsWhetherCallMayHaveBeenSent(t *testing.T) {
	unresponsive := serve(t, func(_ net.Conn, r *bufio.Reader) {
		readCall(r)
		readCall(r)
	})
	r := request(unresponsive, "1", "")
	r.HeaderDeadline = time.Now().Add(50 * time.Millisecond)
	_, err := do(t, bluebelltransport.NewClient(bluebelltransport.Config{}), r)
	var failure *bluebelltransport.Error
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.MaybeSent)
	require.True(t, failure.Timeout)

	closing := serve(t, func(_ net.Conn, r *bufio.Reader) { readCall(r) })
	_, err = do(t, bluebelltransport.NewClient(bluebelltransport.Config{}), request(closing, "1", ""))
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.MaybeSent)
	require.False(t, failure.Timeout)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := &server{address: listener.Addr().String()}
	require.NoError(t, listener.Close())
	_, err = do(t, bluebelltransport.NewClient(bluebelltransport.Config{}), request(gone, "1", ""))
	require.ErrorAs(t, err, &failure)
	require.False(t, failure.MaybeSent)
	require.Equal(t, bluebelltransport.Connecting, failure.Stage)
}

// writeEvents writes a chunked response, with the final chunk if complete is set.
func writeEvents(conn net.Conn, id, body string, complete bool) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", id, len(body), body)
	if complete {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// An expired read deadline fails the call only if ExtendDeadline returns a time in the past.
func TestExtendDeadlineProlongsWait(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		id, _ := readCall(r)
		<-release
		writeResponse(conn, id, "late")
		_, _ = readCall(r)
	})
	c := bluebelltransport.NewClient(bluebelltransport.Config{})
	r := request(s, "a", "")
	r.HeaderDeadline = time.Now().Add(10 * time.Millisecond)
	extensions := 0
	r.ExtendDeadline = func() time.Time {
		if extensions++; extensions == 3 {
			close(release)
			return time.Now().Add(testTimeout)
		}
		return time.Now().Add(10 * time.Millisecond)
	}
	body, err := do(t, c, r)
	require.NoError(t, err)
	require.Equal(t, "late", body)
	require.Equal(t, 3, extensions)

	s = serve(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = readCall(r)
		_, _ = readCall(r)
	})
	r = request(s, "b", "")
	r.HeaderDeadline = time.Now().Add(10 * time.Millisecond)
	r.ExtendDeadline = func() time.Time { return time.Time{} }
	_, err = do(t, c, r)
	var failure *bluebelltransport.Error
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.Timeout)
	require.True(t, failure.MaybeSent)
}

// An endpoint may be unreachable for some seconds during a response that cannot be requested
// again, so the call's AckTimeout applies to its connection from the beginning of the response.
// An idle connection has the default of 2 s again, so that a connection whose endpoint stays
// unreachable is not reused.
func TestAckTimeoutAppliesToCallOnly(t *testing.T) {
	const tcpUserTimeout = 0x12
	var dialed net.Conn
	c := bluebelltransport.NewClient(bluebelltransport.Config{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			dialed = conn
			return conn, err
		},
	})
	socketOption := func(level, name int) time.Duration {
		raw, err := dialed.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		value := 0
		require.NoError(t, raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), level, name) }))
		require.NoError(t, err)
		return time.Duration(value)
	}
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, ok := readCall(r)
			if !ok {
				return
			}
			writeResponse(conn, id, "ok")
		}
	})
	requireAckTimeout := func(want time.Duration) {
		t.Helper()
		require.Equal(t, want, socketOption(syscall.IPPROTO_TCP, tcpUserTimeout)*time.Millisecond)
		probes := socketOption(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT) * socketOption(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL) * time.Second
		require.GreaterOrEqual(t, probes, want)
		require.Less(t, probes, want+2*time.Second)
	}
	for _, test := range []struct{ ackTimeout, want time.Duration }{
		{9500 * time.Millisecond, 9 * time.Second}, {0, 2 * time.Second}, {7 * time.Second, 7 * time.Second}, {time.Second, 2 * time.Second},
	} {
		r := request(s, "a", "")
		r.AckTimeout = test.ackTimeout
		x, err := c.Do(context.Background(), r)
		require.NoError(t, err)
		requireAckTimeout(test.want)
		_, err = x.ReadAll(1<<20, time.Now().Add(testTimeout))
		require.NoError(t, err)
		x.Close()
		requireAckTimeout(2 * time.Second)
	}
	require.Equal(t, int64(1), s.opened.Load())
}

// The connection is closed right after a complete response has arrived. Socket options can no
// longer be set on it, and the response must still be returned.
func TestResponseIsReturnedAfterConnectionClosed(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, ok := readCall(r)
			if !ok {
				return
			}
			writeResponse(conn, id, "ready")
		}
	})
	var dialed net.Conn
	c := bluebelltransport.NewClient(bluebelltransport.Config{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			dialed = conn
			return conn, err
		},
	})
	_, err := do(t, c, request(s, "a", ""))
	require.NoError(t, err)
	r := request(s, "a", "")
	r.AckTimeout = 9 * time.Second
	r.MatchResponse = func(int, http.Header) bool { return dialed.Close() == nil }
	x, err := c.Do(context.Background(), r)
	require.NoError(t, err)
	defer x.Close()
	require.Equal(t, http.StatusOK, x.Status())
}

// NextEvent returns complete events only, unchanged, and reports how the stream ended.
func TestNextEventReturnsCompleteEvents(t *testing.T) {
	for _, c := range []struct {
		body     string
		complete bool
		want     []string
		end      error
	}{
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true, []string{"1", "2"}, io.EOF},
		{"id: 1\r\ndata: a\r\n\r\n", true, []string{"1"}, io.EOF},
		{"weight-versions: 2\nid: 1\ndata: a\n\n", true, []string{"1"}, io.EOF},
		{"id: 1\ndata: a\n\nid: 2\nda", true, []string{"1"}, bluebelltransport.ErrTruncated},
		{"id: 1\ndata: a\n\nid: 2\nda", false, []string{"1"}, io.ErrUnexpectedEOF},
	} {
		s := serve(t, func(conn net.Conn, r *bufio.Reader) {
			id, _ := readCall(r)
			writeEvents(conn, id, c.body, c.complete)
		})
		x, err := bluebelltransport.NewClient(bluebelltransport.Config{}).Do(context.Background(), request(s, "1", ""))
		require.NoError(t, err)
		var ids []string
		var text strings.Builder
		for err == nil {
			var e bluebelltransport.Event
			if e, err = x.NextEvent(time.Now().Add(testTimeout)); err == nil {
				ids = append(ids, e.ID)
				text.Write(e.Text)
			}
		}
		x.Close()
		require.Equal(t, c.want, ids, c.body)
		require.True(t, errors.Is(err, c.end), "%q: %v", c.body, err)
		require.True(t, strings.HasPrefix(c.body, text.String()), "events must be returned unchanged")
	}
}

// A connection that was opened without a call carries the next one.
func TestOpenedConnectionIsUsed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	var opened, authenticated atomic.Int32
	refuse := false
	client := bluebelltransport.NewClient(bluebelltransport.Config{
		OnConnect: func(string) { opened.Add(1) },
		Authenticate: func(context.Context, net.Conn, string) error {
			if authenticated.Add(1); refuse {
				return io.ErrUnexpectedEOF
			}
			return nil
		},
	})
	address := listener.Addr().String()
	require.NoError(t, client.Open(context.Background(), address, time.Second))
	exchange, err := client.Do(context.Background(), bluebelltransport.Request{
		Address: address, Method: http.MethodGet, URI: "/", Host: "h", MatchResponse: func(int, http.Header) bool { return true },
		ConnectTimeout: time.Second, HeaderDeadline: time.Now().Add(5 * time.Second),
	})
	require.NoError(t, err)
	exchange.Close()
	require.EqualValues(t, 1, opened.Load())
	require.EqualValues(t, 1, authenticated.Load())
	refuse = true
	require.Error(t, client.Open(context.Background(), address, time.Second))
	require.EqualValues(t, 1, opened.Load(), "a connection that is not authenticated is none")
	require.NoError(t, server.Close())
	require.Error(t, client.Open(context.Background(), address, time.Second))
}
