package bluebellfrontend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/bluebellgate/internal/bluebellhandover"
	"bluebellhaven.org/platform/bluebellplatform"
)

// offer sends a call of another entry and returns the result and the body of its answer.
func (e *entry) offer(t *testing.T, path, body string, offer bluebellhandover.Offer) (bluebellhandover.Result, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+e.peers+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Host = "h.example"
	r.Header = bluebellplatform.CallerHeader(bluebellplatform.Call{ID: "offered", Key: "k", TimeLeft: callTimeLimit})
	offer.Encode(r.Header)
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	result, err := bluebellhandover.DecodeResult(response.Header)
	require.NoError(t, err)
	return result, string(text)
}

// A new deployment reaches entries at different moments. An entry that gets a call of one that is a
// moment ahead takes it: if all declined, the call would be refused.
func TestCallOfNewerDeploymentIsTaken(t *testing.T) {
	e := startEntry(t, 1)
	time.AfterFunc(50*time.Millisecond, func() { e.revision.Store(2) })
	result, body := e.offer(t, "/once/x", "order", bluebellhandover.Offer{Revision: 2, Target: "app", TimeLeft: callTimeLimit})
	require.Equal(t, bluebellhandover.Answered, result.Outcome)
	require.Equal(t, bluebellstub.AnswerBody("offered"), body)
	started := time.Now()
	result, _ = e.offer(t, "/once/x", "order", bluebellhandover.Offer{Revision: 3, Target: "app", TimeLeft: callTimeLimit})
	require.Equal(t, bluebellhandover.Declined, result.Outcome)
	require.Less(t, time.Since(started), 400*time.Millisecond, "the origin asks others")
	require.Len(t, e.runs(), 1)
}

// An entry that declines a call whose body does not arrive, since the links to the origin are cut, does
// not wait for it: meanwhile no calls of others would be taken, and a planned stop would last as long.
func TestDeclinedCallWithoutBodyHoldsNothing(t *testing.T) {
	e := startEntry(t, 1)
	conn, err := net.Dial("tcp", e.peers)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	header := bluebellplatform.CallerHeader(bluebellplatform.Call{ID: "cut", Key: "k"})
	bluebellhandover.Offer{Revision: 1, Target: "app", TimeLeft: callTimeLimit}.Encode(header)
	header.Set("Content-Length", strconv.Itoa(32<<20))
	_, err = io.WriteString(conn, "POST /once/x HTTP/1.1\r\nHost: h.example\r\n")
	require.NoError(t, err)
	w := bufio.NewWriter(conn)
	require.NoError(t, header.Write(w))
	_, err = w.WriteString("\r\nbegin")
	require.NoError(t, err)
	require.NoError(t, w.Flush())
	require.Eventually(t, func() bool {
		result, _ := e.offer(t, "/read/x", "", bluebellhandover.Offer{Revision: 1, Target: "app", TimeLeft: callTimeLimit})
		return result.Outcome == bluebellhandover.Answered
	}, 3*time.Second, 50*time.Millisecond)
	started := time.Now()
	e.stop()
	require.NoError(t, <-e.ended)
	require.Less(t, time.Since(started), 5*time.Second)
}
