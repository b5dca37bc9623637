package bluebelldispatch

import (
	"errors"
	"io"
	"net/http"
	"time"

	"bluebellhaven.org/bluebellentry/internal/bluebellupstream"
)

// Reply is the answer to a call: a body, or a stream of events.
type Reply struct {
	Status      int
	ContentType string
	// Body is the whole answer, unless Streamed.
	Body     []byte
	Streamed bool
	// Replayed is set when the answer was stored for an earlier attempt.
	Replayed bool
	Endpoint string
	Version  string
	// CachedBlocks were reused by the endpoint, of Blocks in the prompt.
	CachedBlocks, Blocks int
	usageSeen            bool

	header   http.Header
	exchange *bluebellupstream.Exchange
	events   *bluebellupstream.EventReader
	// first is the event that was read before the reply was handed on.
	first    []byte
	firstEnd error
	// reading is the time spent on waiting for eventsRead events after the first.
	now        func() time.Duration
	reading    time.Duration
	eventsRead int
	// finish is called once, with the error that ended the reply early.
	finish func(err error)
	ended  bool
}

// Next returns the next event of a stream: io.EOF at its end, and another error
// when it broke.
func (r *Reply) Next() ([]byte, error) {
	event, err := r.first, r.firstEnd
	r.first, r.firstEnd = nil, nil
	if event == nil && err == nil {
		startedAt := r.now()
		event, err = r.events.Next()
		r.reading += r.now() - startedAt
		r.eventsRead++
	}
	switch {
	case errors.Is(err, io.EOF):
		r.end(nil)
	case err != nil:
		r.end(err)
	default:
		r.noteUsage(event)
	}
	return event, err
}

// noteUsage takes in what an answer tells of reused blocks.
func (r *Reply) noteUsage(data []byte) {
	if cached, ok := cachedBlocks(data, r.Blocks); ok {
		r.CachedBlocks, r.usageSeen = cached, true
	}
}

// minTokens is the least number of events that a token time is taken of.
const minTokens = 4

// tokenTime returns the time between two events, or 0 if there were too few. The
// time that the caller took to read them is not part of it.
func (r *Reply) tokenTime() time.Duration {
	if r.eventsRead < minTokens {
		return 0
	}
	return r.reading / time.Duration(r.eventsRead)
}

// Close ends the reply. A stream that was not read to its end is cancelled at the
// endpoint; that a caller goes away says nothing about the endpoint.
func (r *Reply) Close() { r.end(nil) }

func (r *Reply) end(err error) {
	if r.ended {
		return
	}
	r.ended = true
	if r.exchange != nil {
		r.exchange.Close()
	}
	if r.finish != nil {
		r.finish(err)
	}
}
