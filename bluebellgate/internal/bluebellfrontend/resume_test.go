package bluebellfrontend_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

// unframed returns a response that ends with its connection.
func unframed(status int, h http.Header, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	// Writes to a strings.Builder do not fail.
	_ = h.Write(&b)
	return b.String() + "\r\n" + body
}

// chunked returns a response in one chunk. It is not complete without its last chunk.
func chunked(status int, h http.Header, body string, complete bool) string {
	h.Set("Transfer-Encoding", "chunked")
	if body != "" {
		body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	if complete {
		body += "0\r\n\r\n"
	}
	return unframed(status, h, body)
}

// sealed returns the header of an answer with a content type, or none if it is "".
func sealed(c rawCall, contentType string) http.Header {
	h := bluebellplatform.AnswerHeader(c.CallID, "seal")
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	return h
}

const (
	eventStream = "text/event-stream"
	htmlError   = "<html>\n\n<body>data: none</body>\n\n</html>\n\n"
	jsonError   = "{\n\n\"error\": \"overloaded\"\n\n}\n\n"
)

// numbered returns the events with the given numbers.
func numbered(id string, numbers ...int) string {
	var b strings.Builder
	for _, n := range numbers {
		b.WriteString(bluebellstub.Event(id, n))
	}
	return b.String()
}

// After a stream has begun and broken off, its caller receives nothing but the events that are missing,
// each once. If the endpoint that should resume the stream answers otherwise, the stream ends early, and
// does not look complete.
func TestBrokenStreamHasNothingButItsEvents(t *testing.T) {
	for name, resumed := range map[string]func(c rawCall) string{
		"Error":               func(c rawCall) string { return rawText(500, sealed(c, "text/plain"), "internal error\n\n") },
		"ErrorWithoutSeal":    func(c rawCall) string { return rawText(502, bluebellplatform.AnswerHeader(c.CallID, ""), htmlError) },
		"ErrorInChunks":       func(c rawCall) string { return chunked(500, sealed(c, "text/html"), htmlError, true) },
		"ErrorAsStream":       func(c rawCall) string { return chunked(500, sealed(c, eventStream), numbered(c.CallID, 3, 4, 5), true) },
		"ErrorUnframed":       func(c rawCall) string { return unframed(500, sealed(c, "text/html"), htmlError) },
		"NotFound":            func(c rawCall) string { return rawText(404, sealed(c, "application/json"), jsonError) },
		"Found":               func(c rawCall) string { return rawText(302, sealed(c, "text/html"), htmlError) },
		"Unavailable":         func(c rawCall) string { return rawText(503, sealed(c, "text/plain"), "full\n\n") },
		"Declined":            func(c rawCall) string { return rawText(503, bluebellplatform.NotRunHeader(c.CallID), "full\n\n") },
		"HTML":                func(c rawCall) string { return rawText(200, sealed(c, "text/html"), htmlError) },
		"HTMLWithoutType":     func(c rawCall) string { return rawText(200, sealed(c, ""), htmlError) },
		"HTMLAsStream":        func(c rawCall) string { return rawText(200, sealed(c, eventStream), htmlError) },
		"HTMLUnframed":        func(c rawCall) string { return unframed(200, sealed(c, eventStream), htmlError) },
		"JSON":                func(c rawCall) string { return rawText(200, sealed(c, "application/json"), jsonError) },
		"JSONWithoutType":     func(c rawCall) string { return chunked(200, sealed(c, ""), jsonError, true) },
		"JSONAsStream":        func(c rawCall) string { return rawText(200, sealed(c, eventStream), jsonError) },
		"DataWithoutID":       func(c rawCall) string { return rawText(200, sealed(c, eventStream), "data: error\n\n") },
		"DataInPlainText":     func(c rawCall) string { return rawText(200, sealed(c, "text/plain"), numbered(c.CallID, 3, 4, 5)) },
		"Empty":               func(c rawCall) string { return rawText(200, sealed(c, ""), "") },
		"EmptyStream":         func(c rawCall) string { return rawText(200, sealed(c, eventStream), "") },
		"EmptyStreamInChunks": func(c rawCall) string { return chunked(200, sealed(c, eventStream), "", true) },
		"EmptyStreamUnframed": func(c rawCall) string { return unframed(200, sealed(c, eventStream), "") },
		"EmptyStreamCutOff":   func(c rawCall) string { return chunked(200, sealed(c, eventStream), "", false) },
		"OnlyComments":        func(c rawCall) string { return rawText(200, sealed(c, eventStream), ": none\n\n: left\n\n") },
		"NoContent":           func(c rawCall) string { return unframed(204, sealed(c, ""), "") },
		"StartsAgain":         func(c rawCall) string { return rawText(200, sealed(c, eventStream), numbered(c.CallID, 1, 2, 3, 4, 5)) },
		"RepeatsLast":         func(c rawCall) string { return rawText(200, sealed(c, eventStream), numbered(c.CallID, 2, 3, 4, 5)) },
		"SkipsOne":            func(c rawCall) string { return rawText(200, sealed(c, eventStream), numbered(c.CallID, 4, 5)) },
		"RepeatsOneLater":     func(c rawCall) string { return rawText(200, sealed(c, eventStream), numbered(c.CallID, 3, 4, 4, 5)) },
		"GoesBackLater": func(c rawCall) string {
			return rawText(200, sealed(c, eventStream), numbered(c.CallID, 3, 1, 2, 3, 4, 5))
		},
		"BreaksOffAgain": func(c rawCall) string { return chunked(200, sealed(c, eventStream), numbered(c.CallID, 3), false) },
		"WholeHeadAmongEvents": func(c rawCall) string {
			return unframed(200, sealed(c, eventStream), numbered(c.CallID, 3)+rawText(503, bluebellplatform.NotRunHeader("other"), "full\n\n")+numbered(c.CallID, 4, 5))
		},
		"WholeHeadWithinEvent": func(c rawCall) string {
			return unframed(200, sealed(c, eventStream), "id: 3\n"+rawText(500, sealed(c, "text/html"), "data: error\n\n"))
		},
		"TextBehindEvents": func(c rawCall) string {
			return rawText(200, sealed(c, eventStream), numbered(c.CallID, 3)+"Internal Server Error\n\n"+numbered(c.CallID, 4, 5))
		},
	} {
		for _, cut := range []string{"", "id: 3\nda"} {
			t.Run(name+map[bool]string{true: "AfterEvent", false: "WithinEvent"}[cut == ""], func(t *testing.T) {
				t.Parallel()
				e := startEntry(t, 0)
				answer := func(c rawCall) rawAnswer {
					if c.ResumeAfter == "" {
						return rawAnswer{ran: true, parts: []string{chunked(200, sealed(c, eventStream), numbered(c.CallID, 1, 2)+cut, false)}, closes: true}
					}
					return rawAnswer{ran: true, parts: []string{resumed(c)}, closes: true}
				}
				e.useRaw(startRaw(t, "i-1", answer), startRaw(t, "i-2", answer))
				c := e.do(http.MethodPost, "/stream/again/x", "prompt")
				require.Equal(t, http.StatusOK, c.status)
				complete := eventsText(c.id, bluebellstub.StreamEvents)
				require.True(t, strings.HasPrefix(complete, c.body), "the caller got %q", c.body)
				require.True(t, strings.HasSuffix(c.body, "\n\n"), "the caller got %q", c.body)
				if c.err == nil {
					require.Equal(t, complete, c.body)
				}
			})
		}
	}
}

// A stream that its endpoint resumes where it broke off is complete, whatever its framing.
func TestBrokenStreamIsResumed(t *testing.T) {
	for name, resumed := range map[string]func(c rawCall) string{
		"Length":   func(c rawCall) string { return rawText(200, sealed(c, eventStream), numbered(c.CallID, 3, 4, 5)) },
		"Chunks":   func(c rawCall) string { return chunked(200, sealed(c, eventStream), numbered(c.CallID, 3, 4, 5), true) },
		"Unframed": func(c rawCall) string { return unframed(200, sealed(c, eventStream), numbered(c.CallID, 3, 4, 5)) },
		"Parameters": func(c rawCall) string {
			return rawText(200, sealed(c, "Text/Event-Stream; charset=utf-8"), numbered(c.CallID, 3, 4, 5))
		},
		"WithoutType": func(c rawCall) string { return rawText(200, sealed(c, ""), numbered(c.CallID, 3, 4, 5)) },
		"Comments": func(c rawCall) string {
			return rawText(200, sealed(c, eventStream), ": resumed\n\n"+numbered(c.CallID, 3, 4, 5))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := startEntry(t, 0)
			answer := func(c rawCall) rawAnswer {
				if c.ResumeAfter == "" {
					return rawAnswer{ran: true, parts: []string{chunked(200, sealed(c, eventStream), numbered(c.CallID, 1, 2), false)}, closes: true}
				}
				return rawAnswer{ran: true, parts: []string{resumed(c)}, closes: true}
			}
			e.useRaw(startRaw(t, "i-1", answer), startRaw(t, "i-2", answer))
			c := e.do(http.MethodPost, "/stream/again/x", "prompt")
			require.NoError(t, c.err)
			require.Equal(t, eventsText(c.id, bluebellstub.StreamEvents), c.body)
		})
	}
}

// An answer to a stream that has not begun is passed on whole if it is no stream.
func TestAnswerOtherThanStreamIsPassedOnWhole(t *testing.T) {
	for _, path := range []string{"/stream/x", "/stream/again/x"} {
		for _, body := range []string{`{"a":1}`, jsonError, htmlError, ": no stream\n\n", "data: x\n\ndata: y"} {
			e := startEntry(t, 0)
			e.useRaw(startRaw(t, "i-1", func(c rawCall) rawAnswer {
				return rawAnswer{ran: true, parts: []string{rawText(200, sealed(c, "application/json"), body)}}
			}))
			c := e.do(http.MethodPost, path, "prompt")
			require.NoError(t, c.err)
			require.Equal(t, http.StatusOK, c.status)
			require.Equal(t, body, c.body)
		}
	}
}

// An event may be longer than the buffers that it passes through.
func TestLargeEventIsForwarded(t *testing.T) {
	for _, size := range []int{4085, 4086, 4087, 4096, 10_000, 100_000} {
		e := startEntry(t, 0)
		large := fmt.Sprintf("id: 1\ndata: %s\n\n", strings.Repeat("x", size))
		e.useRaw(startRaw(t, "i-1", func(c rawCall) rawAnswer {
			return rawAnswer{ran: true, parts: []string{chunked(200, sealed(c, eventStream), large+numbered(c.CallID, 2, 3), true)}}
		}))
		c := e.do(http.MethodPost, "/stream/x", "prompt")
		require.NoError(t, c.err)
		require.Equal(t, http.StatusOK, c.status)
		require.Equal(t, large+numbered(c.id, 2, 3), c.body, "%d bytes", size)
	}
}

// A caller that resumes a stream by itself receives no event again.
func TestStreamThatCallerResumesStartsBehindItsLastEvent(t *testing.T) {
	for name, c := range map[string]struct {
		first  int
		status int
	}{"GoesOn": {3, http.StatusOK}, "StartsAgain": {1, http.StatusBadGateway}, "RepeatsLast": {2, http.StatusBadGateway}} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t, 0)
			e.useRaw(startRaw(t, "i-1", func(call rawCall) rawAnswer {
				var numbers []int
				for n := c.first; n <= bluebellstub.StreamEvents; n++ {
					numbers = append(numbers, n)
				}
				return rawAnswer{ran: true, parts: []string{rawText(200, sealed(call, eventStream), numbered(call.CallID, numbers...))}}
			}))
			got := e.sendResuming("/stream/again/x", "2")
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.status)
			if c.status == http.StatusOK {
				require.Equal(t, numbered(got.id, 3, 4, 5), got.body)
			}
		})
	}
}
