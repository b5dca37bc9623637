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
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellgate/internal/bluebelltransport"
)

// An endpoint may begin its response before it has read the body, and read on later than the time by
// which the header had to arrive. It must get the rest of the body.
func TestBodyIsSentAfterEarlyResponse(t *testing.T) {
	const headerTimeout = 200 * time.Millisecond
	body := strings.Repeat("0123456789abcdef", 1<<16)
	received := make(chan string, 1)
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		call, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\n", call.Header.Get("Id"))
		time.Sleep(2 * headerTimeout)
		text, err := io.ReadAll(call.Body)
		if err != nil {
			return
		}
		received <- string(text)
		_, _ = io.WriteString(conn, "done")
	})
	c := bluebelltransport.NewClient(bluebelltransport.Config{Dial: smallBufferDial})
	r := request(s, "call", body)
	r.HeaderDeadline = time.Now().Add(headerTimeout)
	got, err := do(t, c, r)
	require.NoError(t, err)
	require.Equal(t, "done", got)
	require.Equal(t, body, <-received)
}

// smallBufferDial opens connections whose endpoint has to read while a call is being written.
func smallBufferDial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
}

// readEvents sends a call and returns the text of the events of its response.
func readEvents(c *bluebelltransport.Client, r bluebelltransport.Request) (string, error) {
	x, err := c.Do(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer x.Close()
	text := ""
	for {
		event, err := x.NextEvent(time.Now().Add(testTimeout))
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return "", err
		}
		text += string(event.Text)
	}
}

// Guards against a part of a response that is taken for a whole one: the endpoint answers a long upload at once, without
// a length, and ends the connection while the upload is being written, by a reset or otherwise.
func TestResponseThatEndsBeforeCallIsWrittenIsIncomplete(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 1<<16)
	for name, end := range map[string]func(conn *net.TCPConn){
		"Reset":      func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() },
		"ResetLater": func(conn *net.TCPConn) { time.Sleep(20 * time.Millisecond); _ = conn.SetLinger(0); _ = conn.Close() },
		"Closed":     func(conn *net.TCPConn) { _ = conn.Close() },
		"HalfClosed": func(conn *net.TCPConn) { _ = conn.CloseWrite(); time.Sleep(200 * time.Millisecond) },
	} {
		for media, read := range map[string]func(c *bluebelltransport.Client, r bluebelltransport.Request) (string, error){
			"Body": func(c *bluebelltransport.Client, r bluebelltransport.Request) (string, error) { return do(t, c, r) }, "Events": readEvents,
		} {
			t.Run(name+media, func(t *testing.T) {
				t.Parallel()
				s := serve(t, func(conn net.Conn, r *bufio.Reader) {
					call, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\ndata: a part\n\n", call.Header.Get("Id"))
					end(conn.(*net.TCPConn))
				})
				c := bluebelltransport.NewClient(bluebelltransport.Config{Dial: smallBufferDial})
				for range 20 {
					got, err := read(c, request(s, "call", body))
					require.Error(t, err, "%q", got)
				}
			})
		}
	}
}

// Guards against a whole response without a length that is not believed.
func TestResponseThatEndsBehindCallIsComplete(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 1<<16)
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		if id, ok := readCall(r); ok {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\ndata: all\n\n", id)
		}
	})
	c := bluebelltransport.NewClient(bluebelltransport.Config{Dial: smallBufferDial})
	for _, text := range []string{body, "short", ""} {
		got, err := do(t, c, request(s, "call", text))
		require.NoError(t, err)
		require.Equal(t, "data: all\n\n", got)
		got, err = readEvents(c, request(s, "call", text))
		require.NoError(t, err)
		require.Equal(t, "data: all\n\n", got)
	}
}
