package bluebellhead_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellhead"
	"bluebellhaven.org/bluebell/bluebellhead/bluebelloddhead"
)

// sound are responses that must be read, with their bodies.
var sound = map[string]string{
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodymore":                                               "body",
	"HTTP/1.1 200\r\nContent-Length:4\r\n\r\nbodymore":                                                   "body",
	"HTTP/1.0 200 OK\nContent-Length: 4\n\nbodymore":                                                     "body",
	"HTTP/1.1 200 Größe\r\nX: \tä b\t\r\nX!#$%&'*+-.^_`|~: 1\r\nEmpty:\r\nContent-Length: 4\r\n\r\nbody": "body",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nTrail: 1\r\n\r\n":            "body",
	"HTTP/1.1 200 OK\r\n\r\nbody":                                                                        "body",
	"HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n":                                                      "",
}

// Guards against sound responses that are refused, however they arrive.
func TestSoundResponsesAreRead(t *testing.T) {
	for text, body := range sound {
		for _, wrap := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader, iotest.DataErrReader} {
			source := bluebellhead.NewReader(wrap(strings.NewReader(text)))
			response, err := source.ReadResponse(bufio.NewReaderSize(source, 16), nil)
			require.NoError(t, err, text)
			got, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, body, string(got))
			require.NoError(t, bluebellhead.CheckResponse(response))
		}
	}
}

// Guards against a head that hides the length of its body, or that a client gets passed on, however it arrives.
func TestOddHeadsAreRejected(t *testing.T) {
	for name, head := range bluebelloddhead.Heads("Id: 1\r\n") {
		for _, wrap := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader} {
			source := bluebellhead.NewReader(wrap(strings.NewReader(head + "body")))
			reader := bufio.NewReader(source)
			response, err := source.ReadResponse(reader, nil)
			for err == nil && response.StatusCode < http.StatusOK {
				response, err = source.ReadResponse(reader, nil)
			}
			require.Error(t, err, name)
		}
	}
}

// Guards against a second response on a connection that is checked by the bytes of the first.
func TestResponsesOfOneConnectionAreChecked(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	for name, head := range bluebelloddhead.Heads("Id: 1\r\n") {
		source := bluebellhead.NewReader(strings.NewReader(first + head + "body"))
		reader := bufio.NewReader(source)
		response, err := source.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		response, err = source.ReadResponse(reader, nil)
		for err == nil && response.StatusCode < http.StatusOK {
			response, err = source.ReadResponse(reader, nil)
		}
		require.Error(t, err, name)
	}
}

// answered returns the connection of a client whose peer answers each of its requests, byte by byte.
func answered(t *testing.T, answers ...string) net.Conn {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	go func() {
		reader := bufio.NewReader(server)
		for _, answer := range answers {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			for i := range len(answer) {
				if _, err := server.Write([]byte{answer[i]}); err != nil {
					return
				}
			}
		}
		_ = server.Close()
	}()
	return client
}

// exchange sends a request and reads the response as a client does that checks nothing.
func exchange(conn net.Conn) (string, error) {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\n"); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, "Host: h\r\n\r\n"); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against an odd head that a client of another kind takes for a response, the first or the next one of its
// connection.
func TestConnRejectsOddHeads(t *testing.T) {
	const first = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	for name, head := range bluebelloddhead.Heads("Id: 1\r\n") {
		_, err := exchange(bluebellhead.NewConn(answered(t, head+"body")))
		require.Error(t, err, name)
		conn := bluebellhead.NewConn(answered(t, first[len("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"):], head+"body"))
		body, err := exchange(conn)
		require.NoError(t, err)
		require.Equal(t, "body", body)
		_, err = exchange(conn)
		require.Error(t, err, name)
	}
	_, err := exchange(bluebellhead.NewConn(answered(t, "HTTP/1.1 200 OK\r\nLong: "+strings.Repeat("a", 1<<17))))
	require.ErrorIs(t, err, bluebellhead.ErrMalformed)
}

// Guards against malformed fields of trailers, and of responses of http.Client.
func TestFieldsAreChecked(t *testing.T) {
	for _, fields := range []http.Header{{"A b": {"1"}}, {"A ": {"1"}}, {"": {"1"}}, {"A": {"1", "a\x00"}}, {"A": {"\n"}}, {"\x01": {"1"}}} {
		require.ErrorIs(t, bluebellhead.CheckFields(fields), bluebellhead.ErrMalformed)
		require.ErrorIs(t, bluebellhead.CheckResponse(&http.Response{StatusCode: 200, Header: fields}), bluebellhead.ErrMalformed)
		require.ErrorIs(t, bluebellhead.CheckResponse(&http.Response{StatusCode: 200, Trailer: fields}), bluebellhead.ErrMalformed)
	}
	require.NoError(t, bluebellhead.CheckResponse(&http.Response{StatusCode: 200, Header: http.Header{"A-b": {"", "a\tb ä"}}}))
	for _, status := range []int{0, 99, 101, 600, -1} {
		require.ErrorIs(t, bluebellhead.CheckResponse(&http.Response{StatusCode: status}), bluebellhead.ErrMalformed)
	}
}
