package bluebellfrontend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellfake/bluebellstub"
)

// sendRaw opens a connection to the entry and sends text on it.
func (e *entry) sendRaw(t *testing.T, text string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", e.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn.(*net.TCPConn)
}

// A caller that closes its half of the connection counts as gone. It must not be told that its call
// succeeded, nor that a stream is complete.
func TestHalfClosedConnectionGetsNoSuccess(t *testing.T) {
	for name, c := range map[string]struct {
		path      string
		behaviour bluebellstub.Behaviour
		begun     bool
	}{
		"BeforeAnswer":   {"/once/x", bluebellstub.Unresponsive, false},
		"MiddleOfStream": {"/stream/x", bluebellstub.Stalling, true},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t, 1)
			e.behave(c.behaviour)
			conn := e.sendRaw(t, head(c.path, "call")+"Content-Length: 5\r\n\r\norder")
			require.Eventually(t, func() bool { return e.endpoints[0].ActiveCalls() == 1 }, testTimeout, time.Millisecond)
			reader := bufio.NewReader(conn)
			if c.begun {
				_, err := reader.Peek(1)
				require.NoError(t, err)
			}
			require.NoError(t, conn.CloseWrite())
			response, err := http.ReadResponse(reader, nil)
			if !c.begun {
				require.Error(t, err, "no endpoint has answered")
				return
			}
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			_, err = io.Copy(io.Discard, response.Body)
			require.Error(t, err, "a stream that was cut must not look complete")
		})
	}
}
