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
	"bluebellhaven.org/platform/bluebellplatform"
)

// acceptStopsAfter exceeds the time after which a stopping entry accepts no more connections.
const acceptStopsAfter = 3 * time.Second

// A connection that was opened before the listener closed gets an answer to the call that it sends
// later. Otherwise the entry has read a whole call and the caller learns nothing.
func TestCallOnConnectionOpenedBeforeStopIsAnswered(t *testing.T) {
	e := startEntry(t, 1)
	used := e.sendRaw(t, head("/read/x", "first")+"Content-Length: 0\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(used), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	e.stop()
	stopped := time.Now()
	time.Sleep(acceptStopsAfter - 500*time.Millisecond)
	conn, err := net.Dial("tcp", e.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	time.Sleep(time.Until(stopped.Add(acceptStopsAfter)))
	_, err = io.WriteString(conn, head("/once/x", "late")+"Content-Length: 5\r\n\r\norder")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	response, err = http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "the call was read, so it is answered")
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close)
	require.NoError(t, <-e.ended)
	require.Less(t, time.Since(stopped), 8*time.Second)
	for _, r := range e.runs() {
		require.NotEqual(t, "late", r.Call.CallID)
	}
}

// While a stopping entry finishes its last calls, the load balancer may still send new ones to it, if too
// few others are left. They are refused as not run instead of meeting a closed port.
func TestNewConnectionIsRefusedWithAnswerWhileEntryStops(t *testing.T) {
	e := startEntry(t, 1)
	e.behave(bluebellstub.Pausing)
	e.endpoints[0].SetPauseTime(acceptStopsAfter + time.Second)
	slow := make(chan call, 1)
	go func() {
		slow <- e.send(http.MethodPost, "/slow/x", "order", bluebellplatform.Call{Key: "k", TimeLeft: testTimeout})
	}()
	require.Eventually(t, func() bool { return len(e.runs()) == 1 }, testTimeout, time.Millisecond)
	e.stop()
	time.Sleep(acceptStopsAfter)
	conn := e.sendRaw(t, head("/once/x", "late")+"Content-Length: 5\r\n\r\norder")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.True(t, response.Close)
	c := <-slow
	require.NoError(t, c.err)
	require.Equal(t, http.StatusOK, c.status)
	require.NoError(t, <-e.ended)
	require.Len(t, e.runs(), 1)
}

// A stopping entry has less time than the caller of a call that it still accepts. If no endpoint answers
// until then, the caller is told so instead of losing its connection.
func TestCallAcceptedWhileStoppingIsAnsweredBeforeTheEnd(t *testing.T) {
	e := startEntry(t, 1)
	e.behave(bluebellstub.Unresponsive)
	e.stop()
	stopped := time.Now()
	time.Sleep(100 * time.Millisecond)
	c := e.send(http.MethodPost, "/slow/x", "order", bluebellplatform.Call{Key: "k", TimeLeft: testTimeout})
	require.NoError(t, c.err)
	require.Equal(t, http.StatusGatewayTimeout, c.status)
	require.True(t, c.closes)
	require.Less(t, time.Since(stopped), 8*time.Second)
	require.Greater(t, time.Since(stopped), 8*time.Second*5/6, "the endpoint has nearly all of the time")
	require.NoError(t, <-e.ended)
}
