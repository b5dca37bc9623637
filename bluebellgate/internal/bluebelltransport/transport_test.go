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

const patience = 5 * time.Second

// server answers connections by a script.
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

// read takes in one call and returns its ID.
func read(r *bufio.Reader) (string, bool) {
	call, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, call.Body); err != nil {
		return "", false
	}
	return call.Header.Get("Id"), true
}

func answer(w io.Writer, id, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(s *server, id, body string) bluebelltransport.Request {
	return bluebelltransport.Request{
		Address: s.address, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(body),
		MatchResponse:  func(_ int, h http.Header) bool { return h.Get("Id") == id },
		ConnectTimeout: time.Second, HeaderDeadline: time.Now().Add(patience),
	}
}

func do(t *testing.T, c *bluebelltransport.Client, r bluebelltransport.Request) (string, error) {
	t.Helper()
	x, err := c.Do(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := x.ReadAll(1<<20, time.Now().Add(patience))
	return string(body), err
}

func TestConnectionsAreKept(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, ok := read(r)
			if !ok {
				return
			}
			answer(conn, id, "answer "+id)
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
	require.Equal(t, int64(2), s.opened.Load(), "nothing is kept to an endpoint that is gone")
}

func TestAnAnswerToAnotherCallIsSkipped(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		id, _ := read(r)
		answer(conn, "an earlier call", "not yours")
		answer(conn, id, "yours")
		read(r)
	})
	body, err := do(t, bluebelltransport.NewClient(bluebelltransport.Config{}), request(s, "1", ""))
	require.NoError(t, err)
	require.Equal(t, "yours", body)
}

// A connection on which something came while it was idle carries no other call.
func TestAConnectionWithStrayBytesIsNotUsed(t *testing.T) {
	stray := make(chan struct{}, 8)
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		id, ok := read(r)
		if !ok {
			return
		}
		answer(conn, id, "first")
		answer(conn, id, "again")
		stray <- struct{}{}
		read(r)
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

func TestAConnectionThatWasClosedIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 8)
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		id, _ := read(r)
		answer(conn, id, "only")
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

// An endpoint may answer before it has read a long body. The connection is not used
// again: the rest of the body is due on it.
func TestAnEarlyAnswerEndsItsConnection(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		call, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer(conn, call.Header.Get("Id"), "too long")
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

func TestErrorsTellWhetherTheCallMayHaveRun(t *testing.T) {
	silent := serve(t, func(_ net.Conn, r *bufio.Reader) {
		read(r)
		read(r)
	})
	r := request(silent, "1", "")
	r.HeaderDeadline = time.Now().Add(50 * time.Millisecond)
	_, err := do(t, bluebelltransport.NewClient(bluebelltransport.Config{}), r)
	var failure *bluebelltransport.Error
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.MaybeSent)
	require.True(t, failure.Timeout)

	closing := serve(t, func(_ net.Conn, r *bufio.Reader) { read(r) })
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

func events(conn net.Conn, id, body string, whole bool) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", id, len(body), body)
	if whole {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

func TestAnAnswerIsAwaitedForAsLongAsItsCallGoesOn(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		id, _ := read(r)
		<-release
		answer(conn, id, "late")
		_, _ = read(r)
	})
	c := bluebelltransport.NewClient(bluebelltransport.Config{})
	r := request(s, "a", "")
	r.HeaderDeadline = time.Now().Add(10 * time.Millisecond)
	asked := 0
	r.ExtendDeadline = func() time.Time {
		if asked++; asked == 3 {
			close(release)
			return time.Now().Add(patience)
		}
		return time.Now().Add(10 * time.Millisecond)
	}
	body, err := do(t, c, r)
	require.NoError(t, err)
	require.Equal(t, "late", body)
	require.Equal(t, 3, asked)

	s = serve(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = read(r)
		_, _ = read(r)
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

// The load pattern: an endpoint cannot be reached for some seconds within an answer that
// cannot be had again. Its connection lives as long as the call; kept, it has the usual time
// again, so that one that goes silent for good is not used.
func TestAConnectionIsAsPatientAsItsCall(t *testing.T) {
	const tcpUserTimeout = 0x12
	var dialed net.Conn
	c := bluebelltransport.NewClient(bluebelltransport.Config{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			dialed = conn
			return conn, err
		},
	})
	option := func(level, name int) time.Duration {
		raw, err := dialed.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		value := 0
		require.NoError(t, raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), level, name) }))
		require.NoError(t, err)
		return time.Duration(value)
	}
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, ok := read(r)
			if !ok {
				return
			}
			answer(conn, id, "ok")
		}
	})
	holds := func(want time.Duration) {
		t.Helper()
		require.Equal(t, want, option(syscall.IPPROTO_TCP, tcpUserTimeout)*time.Millisecond)
		probes := option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT) * option(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL) * time.Second
		require.GreaterOrEqual(t, probes, want)
		require.Less(t, probes, want+2*time.Second)
	}
	for _, one := range []struct{ silence, want time.Duration }{
		{9500 * time.Millisecond, 9 * time.Second}, {0, 2 * time.Second}, {7 * time.Second, 7 * time.Second}, {time.Second, 2 * time.Second},
	} {
		r := request(s, "a", "")
		r.AckTimeout = one.silence
		x, err := c.Do(context.Background(), r)
		require.NoError(t, err)
		holds(one.want)
		_, err = x.ReadAll(1<<20, time.Now().Add(patience))
		require.NoError(t, err)
		x.Close()
		holds(2 * time.Second)
	}
	require.Equal(t, int64(1), s.opened.Load())
}

// The connection ends right behind a whole answer. The answer is there, whatever can no longer
// be set on the connection.
func TestAReadyAnswerOutlivesItsConnection(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, ok := read(r)
			if !ok {
				return
			}
			answer(conn, id, "ready")
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

func TestEventsAreWhole(t *testing.T) {
	for _, c := range []struct {
		body  string
		whole bool
		want  []string
		end   error
	}{
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true, []string{"1", "2"}, io.EOF},
		{"id: 1\r\ndata: a\r\n\r\n", true, []string{"1"}, io.EOF},
		{"weight-versions: 2\nid: 1\ndata: a\n\n", true, []string{"1"}, io.EOF},
		{"id: 1\ndata: a\n\nid: 2\nda", true, []string{"1"}, bluebelltransport.ErrTruncated},
		{"id: 1\ndata: a\n\nid: 2\nda", false, []string{"1"}, io.ErrUnexpectedEOF},
	} {
		s := serve(t, func(conn net.Conn, r *bufio.Reader) {
			id, _ := read(r)
			events(conn, id, c.body, c.whole)
		})
		x, err := bluebelltransport.NewClient(bluebelltransport.Config{}).Do(context.Background(), request(s, "1", ""))
		require.NoError(t, err)
		var ids []string
		var text strings.Builder
		for err == nil {
			var e bluebelltransport.Event
			if e, err = x.NextEvent(time.Now().Add(patience)); err == nil {
				ids = append(ids, e.ID)
				text.Write(e.Text)
			}
		}
		x.Close()
		require.Equal(t, c.want, ids, c.body)
		require.True(t, errors.Is(err, c.end), "%q: %v", c.body, err)
		require.True(t, strings.HasPrefix(c.body, text.String()), "events are passed on as they came")
	}
}
