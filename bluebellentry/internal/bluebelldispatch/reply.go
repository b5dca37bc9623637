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
	// Body is the whole answer if Streamed is not set.
	Body     []byte
	Streamed bool
	// Replayed is set if the answer was stored with the claim of an earlier attempt.
	Replayed bool
	Endpoint string
	Version  string
	// CachedBlocks is how many of the prompt's blocks the endpoint had cached, and Blocks is
	// how many blocks the prompt has.
	CachedBlocks, Blocks int
	// usageSeen is set once the endpoint reported its token usage.
	usageSeen bool

	header   http.Header
	exchange *bluebellupstream.Exchange
	events   *bluebellupstream.EventReader
	// firstEvent and firstErr are what the first read of the stream returned, which was done
	// before the reply was returned.
	firstEvent []byte
	firstErr   error
	// eventWait is the total time spent waiting for the eventsRead events after the first.
	now        func() time.Duration
	eventWait  time.Duration
	eventsRead int
	// finish, if set, is called once when the reply ends, with the error if it ended early.
	finish func(err error)
	ended  bool
}

// Next returns the next event of a stream. It returns io.EOF at the end of the stream, and
// another error if the stream broke before its end.
func (r *Reply) Next() ([]byte, error) {
	event, err := r.firstEvent, r.firstErr
	r.firstEvent, r.firstErr = nil, nil
	if event == nil && err == nil {
		startedAt := r.now()
		event, err = r.events.Next()
		r.eventWait += r.now() - startedAt
		r.eventsRead++
	}
	switch {
	case errors.Is(err, io.EOF):
		r.end(nil)
	case err != nil:
		r.end(err)
	default:
		r.recordUsage(event)
	}
	return event, err
}

// recordUsage stores the number of cached blocks if the data of an answer contains it.
func (r *Reply) recordUsage(data []byte) {
	if cached, ok := cachedBlocks(data, r.Blocks); ok {
		r.CachedBlocks, r.usageSeen = cached, true
	}
}

// minEventsForTokenTime is the least number of events from which tokenTime computes a time.
const minEventsForTokenTime = 4

// tokenTime returns the mean time between two events, or 0 if there were too few. It leaves
// out the time that the caller took to read them.
func (r *Reply) tokenTime() time.Duration {
	if r.eventsRead < minEventsForTokenTime {
		return 0
	}
	return r.eventWait / time.Duration(r.eventsRead)
}

// Close ends the reply. If the stream was not read to its end, Close cancels it at the
// endpoint. That is not recorded as a failure, since the cause is the caller.
func (r *Reply) Close() { r.end(nil) }

// end closes the exchange and calls finish, unless the reply has already ended.
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
