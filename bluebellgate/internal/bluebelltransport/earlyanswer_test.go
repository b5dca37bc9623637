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
