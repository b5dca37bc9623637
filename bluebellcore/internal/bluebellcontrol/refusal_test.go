package bluebellcontrol_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/platform/bluebellplatform"
)

// slowSender is a connection on which a message is sent in pieces, with a pause after each, and
// what is received is passed on late.
type slowSender struct {
	net.Conn
	piece int
	pause time.Duration
	late  time.Duration
}

func (c slowSender) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		n, err := c.Conn.Write(b[sent:min(sent+c.piece, len(b))])
		sent += n
		if err != nil {
			return sent, err
		}
		time.Sleep(c.pause)
	}
	return sent, nil
}

func (c slowSender) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	time.Sleep(c.late)
	return n, err
}

// dial opens a connection to the server.
func (f *fixture) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// The connection was closed with a part of the request unread. The reset destroyed the refusal on its way to clients
// that were still sending.
func TestRefusalReachesSlowSender(t *testing.T) {
	f := start(t)
	method, path, err := bluebellplatform.EncodeOperation(bluebellplatform.Operation{Verb: bluebellplatform.Register, Subject: "i-1"})
	require.NoError(t, err)
	declare, declarations, err := bluebellplatform.EncodeOperation(bluebellplatform.Operation{Verb: bluebellplatform.Declare})
	require.NoError(t, err)
	chunk := "4000\r\n" + strings.Repeat(" ", 0x4000) + "\r\n"
	for _, c := range []struct {
		name, request string
		status        int
	}{
		{"LongHeader", fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", method, path, strings.Repeat("i", 64<<10)), http.StatusRequestHeaderFieldsTooLarge},
		{"MalformedHeader", fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n%s", method, path, strings.Repeat(" ", 64<<10)), http.StatusBadRequest},
		{"LongBody", fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, path, 256<<10, strings.Repeat(" ", 256<<10)), http.StatusRequestEntityTooLarge},
		{"LongChunkedBody", fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", method, path, strings.Repeat(chunk, 16)), http.StatusRequestEntityTooLarge},
		{"LongDeclaration", fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", declare, declarations, 8<<20+1, strings.Repeat(" ", 8<<20+1)), http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			conn := slowSender{Conn: f.dial(t), piece: max(4<<10, len(c.request)/16), pause: 10 * time.Millisecond}
			require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			_, err := io.WriteString(conn, c.request)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			_, err = io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, c.status, response.StatusCode)
			require.True(t, response.Close)
		})
	}
}

// The HTTP client of Go reports a write that fails before it reads the refusal.
func TestRefusalReachesSlowClient(t *testing.T) {
	f := start(t)
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return slowSender{Conn: conn, piece: 2 << 10, pause: 20 * time.Millisecond, late: 200 * time.Millisecond}, err
	}}
	defer transport.CloseIdleConnections()
	method, path, err := bluebellplatform.EncodeOperation(bluebellplatform.Operation{Verb: bluebellplatform.Register, Subject: strings.Repeat("i", 10_000)})
	require.NoError(t, err)
	r, err := http.NewRequest(method, f.url+path, strings.NewReader("{}"))
	require.NoError(t, err)
	response, err := (&http.Client{Transport: transport, Timeout: 10 * time.Second}).Do(r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
}

// A client that goes on sending after it was refused holds its connection for a bounded time.
func TestRefusedSenderIsCutOff(t *testing.T) {
	f := start(t)
	for name, request := range map[string]string{
		"Header": "GET /" + strings.Repeat("x", 8<<10),
		"Body":   "PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n\r\n" + strings.Repeat("x", 32<<10),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := f.dial(t)
			_, err := io.WriteString(conn, request)
			require.NoError(t, err)
			require.Eventually(t, func() bool {
				_, err := io.WriteString(conn, "x")
				return err != nil
			}, 5*time.Second, 20*time.Millisecond)
		})
	}
}
