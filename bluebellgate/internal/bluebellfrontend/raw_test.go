package bluebellfrontend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

// rawCall is a call that a raw endpoint has read.
type rawCall struct {
	bluebellplatform.IncomingCall
	path string
	// earlier is the ID of the first call on the connection, "" if this is the first one.
	earlier string
	// unnamed is set if an earlier call on the connection had no ID.
	unnamed bool
}

// rawAnswer is what a raw endpoint writes. The parts are written with a pause between them.
type rawAnswer struct {
	ran   bool
	parts []string
	// closes ends the connection afterwards.
	closes bool
}

// rawEndpoint is an endpoint that may write anything to its connections.
type rawEndpoint struct {
	bluebellfleet.Endpoint
	answer func(c rawCall) rawAnswer

	mu sync.Mutex
	// runs counts the runs by call ID.
	runs map[string]int
}

const rawPause = 5 * time.Millisecond

// startRaw starts an endpoint that answers each call as a function says.
func startRaw(t *testing.T, id string, answer func(c rawCall) rawAnswer) *rawEndpoint {
	t.Helper()
	return startRawWith(t, id, answer, (*rawEndpoint).serve)
}

// startRawWith starts an endpoint whose connections are treated as serve does, each in a goroutine.
func startRawWith(t *testing.T, id string, answer func(c rawCall) rawAnswer, serve func(e *rawEndpoint, conn net.Conn)) *rawEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &rawEndpoint{
		Endpoint: bluebellfleet.Endpoint{ID: id, Target: "app", Address: listener.Addr().String(), State: bluebellfleet.Serving, StartUnixMillis: 1, Sequence: 1},
		answer:   answer, runs: map[string]int{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(e, conn)
		}
	}()
	return e
}

func (e *rawEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	earlier, unnamed := "", false
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		in, err := bluebellplatform.DecodeIncomingCall(r.Header)
		if err != nil {
			return
		}
		a := e.answer(rawCall{IncomingCall: in, path: r.URL.Path, earlier: earlier, unnamed: unnamed})
		if earlier == "" {
			earlier = in.CallID
		}
		unnamed = unnamed || in.CallID == ""
		if a.ran {
			e.mu.Lock()
			e.runs[in.CallID]++
			e.mu.Unlock()
		}
		for i, part := range a.parts {
			if i > 0 {
				time.Sleep(rawPause)
			}
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
		}
		if a.closes {
			return
		}
	}
}

// ran returns how often any of the endpoints ran a call.
func ran(id string, endpoints ...*rawEndpoint) int {
	n := 0
	for _, e := range endpoints {
		e.mu.Lock()
		n += e.runs[id]
		e.mu.Unlock()
	}
	return n
}

// useRaw makes raw endpoints the only ones of an entry.
func (e *entry) useRaw(endpoints ...*rawEndpoint) {
	fleet := bluebellplacement.Fleet{Entries: []string{"e1"}}
	for _, r := range endpoints {
		fleet.Endpoints = append(fleet.Endpoints, r.Endpoint)
	}
	e.placer.Update(fleet)
}

// rawText returns a response with a length.
func rawText(status int, h http.Header, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	// Writes to a strings.Builder do not fail.
	_ = h.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// rawSuccess returns the complete answer to a call, as a stream if the path asks for one.
func rawSuccess(c rawCall) string {
	h := bluebellplatform.AnswerHeader(c.CallID, "seal")
	if !strings.HasPrefix(c.path, bluebellstub.StreamPathPrefix) {
		return rawText(http.StatusOK, h, bluebellstub.AnswerBody(c.CallID))
	}
	h.Set("Content-Type", "text/event-stream")
	return rawText(http.StatusOK, h, eventsText(c.CallID, bluebellstub.StreamEvents))
}
