package bluebellstub

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"bluebellhaven.org/platform/bluebellplatform"
)

// endlessBlock is about the number of bytes that an endless response sends at a time.
const endlessBlock = 16 << 10

// endlessPart is a part of a response that does not end.
type endlessPart struct {
	// status is the status line, "" if the response has none.
	status string
	// header has the header of a sound answer if it is set, with the length or coding of framing.
	header  bool
	framing string
	// refuses is set if the header says that the call has not run, and answers if a sound answer with a length comes
	// first.
	refuses, answers bool
	// before is sent once behind the header, and repeated without end.
	before, repeated string
}

const (
	statusOK = "HTTP/1.1 200 OK\r\n"
	chunked  = "Transfer-Encoding: chunked\r\n"
)

var endlessParts = map[string]endlessPart{
	"StatusLine":     {status: "HTTP/1.1 200 ", repeated: "OK"},
	"HeaderField":    {status: statusOK + "X: ", repeated: "y"},
	"HeaderFields":   {status: statusOK, repeated: "Field: value\r\n"},
	"Informational":  {repeated: "HTTP/1.1 100 Continue\r\n\r\n"},
	"ChunkedBody":    {status: statusOK, header: true, framing: chunked, repeated: "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
	"SmallChunks":    {status: statusOK, header: true, framing: chunked, repeated: "1\r\nx\r\n"},
	"ChunkExtension": {status: statusOK, header: true, framing: chunked, before: "4;", repeated: "x"},
	"Trailers":       {status: statusOK, header: true, framing: chunked, before: "0\r\n", repeated: "Field: value\r\n"},
	"Body":           {status: statusOK, header: true, repeated: "x"},
	"BodyWithLength": {status: statusOK, header: true, framing: "Content-Length: " + strconv.Itoa(1<<40) + "\r\n", repeated: "x"},
	"Line":           {status: statusOK, header: true, before: "data: ", repeated: "x"},
	"Events":         {status: statusOK, header: true, repeated: "data: x\n\n"},
	"Comments":       {status: statusOK, header: true, repeated: ": x\n\n"},
	"Error":          {status: "HTTP/1.1 500 Internal Server Error\r\n", header: true, framing: chunked, repeated: "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
	"Refusal":        {status: "HTTP/1.1 503 Service Unavailable\r\n", header: true, refuses: true, framing: chunked, repeated: "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
	"BehindAnswer":   {status: statusOK, header: true, answers: true, repeated: "x"},
	"NoHTTP":         {repeated: "\x00\x01\x02garbage"},
}

// EndlessParts returns the parts of a response that SetEndless accepts.
func EndlessParts() []string { return slices.Sorted(maps.Keys(endlessParts)) }

// SetEndless makes a part of each response, also to orders and requests for reports, go on until the caller closes
// the connection; "" ends that.
func (e *Endpoint) SetEndless(part string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endless = part
}

// endlessPart returns the part that has no end, and whether there is one.
func (e *Endpoint) endlessPart() (endlessPart, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	part, found := endlessParts[e.endless]
	return part, found
}

// writeEndless responds with a part that does not end until the caller closes the connection.
func writeEndless(w http.ResponseWriter, part endlessPart, header, refusal http.Header, answer string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	var head bytes.Buffer
	head.WriteString(part.status)
	if part.header {
		if part.refuses {
			header = refusal
		}
		// Writes to a bytes.Buffer do not fail.
		_ = header.Write(&head)
		if part.answers {
			head.WriteString("Content-Length: " + strconv.Itoa(len(answer)) + "\r\n")
		}
		head.WriteString(part.framing + "\r\n")
	}
	if part.answers {
		head.WriteString(answer)
	}
	head.WriteString(part.before)
	block := strings.Repeat(part.repeated, 1+endlessBlock/len(part.repeated))
	_, err = conn.Write(head.Bytes())
	for err == nil {
		_, err = io.WriteString(conn, block)
	}
}

// EndlessHandler responds to each request with a part that does not end.
func EndlessHandler(part string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeEndless(w, endlessParts[part], http.Header{"Content-Type": {"application/json"}}, nil, "{}")
	})
}

// serveEndless answers a call with a response that does not end.
func (e *Endpoint) serveEndless(w http.ResponseWriter, r *http.Request, callID string, part endlessPart) {
	header, answer := bluebellplatform.AnswerHeader(callID, e.cfg.ID+"."+callID), AnswerBody(callID)
	if strings.HasPrefix(r.URL.Path, StreamPathPrefix) {
		header.Set("Content-Type", "text/event-stream")
		answer = ""
		for n := range StreamEvents {
			answer += Event(callID, n+1)
		}
	}
	writeEndless(w, part, header, bluebellplatform.NotRunHeader(callID), answer)
}
