package bluebellupstream_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellentry/internal/bluebellupstream"
)

// An informational response is not the answer, and many of them are no endless header.
func TestInformationalResponseIsNoAnswer(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, before := range []string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"} {
		x, err := exchange(t, startEndpoint(t, before+answer, true))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, x.Status())
		body, err := x.ReadAll(100)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		x.Close()
	}
	_, err := exchange(t, startEndpoint(t, strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1<<16), true))
	var e *bluebellupstream.Error
	require.ErrorAs(t, err, &e)
}

// A copy of an earlier answer, written on the same connection, is read by no later request.
func TestCopyOfEarlierAnswerIsNotRead(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var requests atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					text := refusal + refusal
					if requests.Add(1) > 1 {
						text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + refusal
					}
					_, _ = io.WriteString(conn, text)
				}
			}()
		}
	}()
	for n := range 5 {
		x, err := exchange(t, listener.Addr().String())
		require.NoError(t, err)
		require.Equal(t, map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusOK}[n == 0], x.Status())
		_, err = x.ReadAll(100)
		require.NoError(t, err)
		x.Close()
	}
}

// What an endpoint sends in place of a stream, or in the middle of one, is no event and ends no stream.
func TestOtherTextIsNoStream(t *testing.T) {
	const head = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/html\r\n\r\n"
	for name, c := range map[string]struct {
		text   string
		events int
	}{
		"HTML":      {chunked("<html>\n\n<body></body>\n\n</html>\n\n") + lastChunk, 0},
		"JSON":      {chunked("{\n\n\"error\": 1\n\n}\n\n") + lastChunk, 0},
		"Empty":     {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0},
		"NoContent": {"HTTP/1.1 204 No Content\r\n\r\n", 0},
		"Chunks":    {chunked() + lastChunk, 0},
		"WholeHead": {chunked("data: a\n\n", head, "<html>data: b</html>\n\n") + lastChunk, 1},
	} {
		t.Run(name, func(t *testing.T) {
			x, err := exchange(t, startEndpoint(t, c.text, false))
			require.NoError(t, err)
			defer x.Close()
			events := x.Events()
			n := -1
			for ; err == nil; n++ {
				_, err = events.Next()
			}
			require.Equal(t, c.events, n)
			require.False(t, errors.Is(err, io.EOF), "the stream must not look complete")
		})
	}
}

// An event whose data has several lines arrives at the caller with all of them.
func TestEventWithSeveralLinesIsWritten(t *testing.T) {
	for _, data := range []string{"a", "a\nb", "a\n\nb\n", "{\"x\":1}"} {
		var text strings.Builder
		require.NoError(t, bluebellupstream.WriteEvent(&text, []byte(data)))
		x, err := exchange(t, startEndpoint(t, chunked(text.String()+"data: [DONE]\n\n")+lastChunk, false))
		require.NoError(t, err)
		events := x.Events()
		got, err := events.Next()
		require.NoError(t, err)
		require.Equal(t, data, string(got))
		_, err = events.Next()
		require.ErrorIs(t, err, io.EOF)
		x.Close()
	}
}
