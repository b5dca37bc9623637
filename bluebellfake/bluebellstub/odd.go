package bluebellstub

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"

	"bluebellhaven.org/bluebell/bluebellhead/bluebelloddhead"
	"bluebellhaven.org/platform/bluebellplatform"
)

// longBodyBytes is the length from which ResettingEarly regards a body as long.
const longBodyBytes = 8 << 10

func (e *Endpoint) currentBehaviour() Behaviour {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.behaviour
}

// writeOddHead writes an answer whose head is no HTTP directly to the connection, and closes it.
func (e *Endpoint) writeOddHead(w http.ResponseWriter, h http.Header, text string) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	var fields strings.Builder
	// Writes to a strings.Builder do not fail.
	_ = h.Write(&fields)
	heads := bluebelloddhead.Heads(fields.String())
	e.mu.Lock()
	name := slices.Sorted(maps.Keys(heads))[e.oddHeads%len(heads)]
	e.oddHeads++
	e.mu.Unlock()
	_, err = io.WriteString(conn, heads[name]+text)
	return err
}

// resetEarly answers a call as ResettingEarly says.
func resetEarly(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	in, err := bluebellplatform.DecodeIncomingCall(r.Header)
	if err != nil {
		return
	}
	// Writes to a strings.Builder do not fail.
	var fields strings.Builder
	_ = bluebellplatform.AnswerHeader(in.CallID, "seal").Write(&fields)
	text := AnswerBody(in.CallID)
	if strings.HasPrefix(r.URL.Path, StreamPathPrefix) {
		text = Event(in.CallID, 1)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", fields.String(), text[:len(text)/2])
}
