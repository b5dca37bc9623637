package bluebellstub_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

// client is a connection to an endpoint.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func connect(t *testing.T, e *bluebellstub.Endpoint) client {
	t.Helper()
	conn, err := net.Dial("tcp", e.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return client{t, conn, bufio.NewReader(conn)}
}

func (c client) send(path, id, endpoint string) {
	c.t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://endpoint"+path, strings.NewReader("body"))
	require.NoError(c.t, err)
	r.Header = bluebellplatform.EncodeCall(bluebellplatform.CallerHeader(bluebellplatform.Call{ID: id}), bluebellplatform.OutgoingCall{
		Endpoint: endpoint, TimeLeft: time.Second,
	})
	require.NoError(c.t, r.Write(c.conn))
}

// requireResponse requires that the next response is one to a call.
func (c client) requireResponse(id string, status int, body string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	require.Equal(c.t, id, bluebellplatform.DecodeAnswer(response.StatusCode, response.Header).CallID)
	require.Equal(c.t, status, response.StatusCode)
	require.Equal(c.t, body, string(text))
}

// An endpoint writes refusals, answers and streams once more, with the IDs that they had, before the
// response to the next call on their connection.
func TestCopiesOfResponses(t *testing.T) {
	copies := false
	e, err := bluebellstub.Start(bluebellstub.Config{ID: "i-2", Target: "app", Copies: func() bool { return copies }})
	require.NoError(t, err)
	t.Cleanup(e.Stop)
	c := connect(t, e)
	events := ""
	for n := range bluebellstub.StreamEvents {
		events += bluebellstub.Event("stream", n+1)
	}
	c.send("/once/x", "uncopied", "i-2")
	c.requireResponse("uncopied", http.StatusOK, bluebellstub.AnswerBody("uncopied"))
	copies = true
	c.send("/once/x", "moved", "i-1")
	c.requireResponse("uncopied", http.StatusOK, bluebellstub.AnswerBody("uncopied"))
	c.requireResponse("moved", http.StatusMisdirectedRequest, "")
	c.send("/once/x", "moved", "i-2")
	c.requireResponse("moved", http.StatusMisdirectedRequest, "")
	c.requireResponse("moved", http.StatusOK, bluebellstub.AnswerBody("moved"))
	e.SetBehaviour(bluebellstub.Declining)
	c.send("/once/x", "declined", "i-2")
	c.requireResponse("moved", http.StatusOK, bluebellstub.AnswerBody("moved"))
	c.requireResponse("declined", http.StatusServiceUnavailable, "")
	e.SetBehaviour(bluebellstub.Normal)
	c.send(bluebellstub.StreamPathPrefix+"x", "stream", "i-2")
	c.requireResponse("declined", http.StatusServiceUnavailable, "")
	c.requireResponse("stream", http.StatusOK, events)
	c.send("/once/x", "last", "i-2")
	c.requireResponse("stream", http.StatusOK, events)
	c.requireResponse("last", http.StatusOK, bluebellstub.AnswerBody("last"))
	require.Len(t, e.Runs(), 4)
	require.Equal(t, []string{"moved"}, e.Misdirected())
}

// An endpoint that runs as many calls as it can declines others.
func TestFullEndpointDeclinesCalls(t *testing.T) {
	e, err := bluebellstub.Start(bluebellstub.Config{ID: "i-1", Target: "app", MaxCalls: 1})
	require.NoError(t, err)
	t.Cleanup(e.Stop)
	e.SetBehaviour(bluebellstub.Unresponsive)
	connect(t, e).send("/once/x", "first", "i-1")
	require.Eventually(t, func() bool { return e.ActiveCalls() == 1 }, 10*time.Second, time.Millisecond)
	c := connect(t, e)
	c.send("/once/x", "second", "i-1")
	c.requireResponse("second", http.StatusServiceUnavailable, "")
	require.Len(t, e.Runs(), 1)
}
