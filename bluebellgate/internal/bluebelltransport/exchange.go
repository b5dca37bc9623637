package bluebelltransport

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bluebellhaven.org/bluebell/bluebellhead"
)

const (
	// maxSkippedResponses limits the responses to other calls that one call skips: each call that the
	// connection has carried may have one.
	maxSkippedResponses = maxCallsPerConnection
	// maxInlineBodyBytes is the size up to which a body is written before the response is read.
	// Together with the header it fits the smallest TCP window.
	maxInlineBodyBytes = 4 << 10
	// writeDoneTimeout is many times the scheduling delay of a runnable goroutine in a process
	// that has only a share of a CPU core.
	writeDoneTimeout = 50 * time.Millisecond
)

// Request is one call to an endpoint.
type Request struct {
	Address string
	Method  string
	// URI is the path with the query, sent unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// CallID is the ID that the response should name, "" if there is none. No connection carries two
	// calls with the same ID.
	CallID string
	// MatchResponse reports whether a response with this status and header belongs to the call.
	MatchResponse func(status int, h http.Header) bool
	// ConnectTimeout limits the time to open a new connection.
	ConnectTimeout time.Duration
	// AckTimeout is how long sent TCP data may stay unacknowledged before the connection counts
	// as lost, at least 2 s. On a reused connection 2 s apply until the response begins, since
	// its endpoint may have become unreachable while it was idle.
	AckTimeout time.Duration
	// HeaderDeadline is the time by which the header of the response must have arrived.
	HeaderDeadline time.Time
	// ExtendDeadline is called when a read deadline expires. It returns the new deadline, or a time
	// in the past to fail the read. It may be nil.
	ExtendDeadline func() time.Time
	// MaxStreamBytes limits the events of a stream together. If 0, it is 8 MiB.
	MaxStreamBytes int64
	// NewConnection demands a connection that no earlier call has used, which opens only if the
	// endpoint is alive.
	NewConnection bool
	// SingleUse demands a connection that carries no other call, before or after this one. The response
	// to a call without an ID cannot be told from those to others.
	SingleUse bool
}

// singleUse reports whether the connection may carry no other call. The end of a response depends on whether
// its request was a HEAD, which is not known of the response to an earlier call.
func (r *Request) singleUse() bool { return r.SingleUse || r.Method == http.MethodHead }

// Exchange is a call whose response header has been read.
type Exchange struct {
	client     *Client
	conn       *conn
	response   *http.Response
	stopCancel func() bool
	// written is closed when the whole call has been written, and unwritten when that has failed.
	written     chan struct{}
	unwritten   chan struct{}
	eventReader *bufio.Reader
	// buffer is the memory of the response, and streamed the number of bytes of its events, of which there may be
	// maxStreamBytes.
	buffer         *buffer
	streamed       int64
	maxStreamBytes int64
	// complete is set when the response has been read to its end.
	complete bool
	// singleUse is set if the connection may carry no other call.
	singleUse bool
	closed    bool
	// usage is the use of the connection before the call, and skipped the number of responses to
	// other calls before that of the call.
	usage   ConnectionUse
	skipped int
}

// Do sends a call and reads the header of its response. When ctx is done, the connection is
// closed, which cancels the call at the endpoint. The caller must close the exchange.
func (c *Client) Do(ctx context.Context, r Request) (*Exchange, error) {
	opened, err := c.connect(ctx, r)
	if err != nil {
		return nil, &Error{Stage: Connecting, Timeout: isTimeout(err), Err: err}
	}
	opened.extendDeadline = r.ExtendDeadline
	x := &Exchange{client: c, conn: opened, written: make(chan struct{}), unwritten: make(chan struct{}), buffer: c.buffers.open(r.Address, ctx.Done())}
	x.singleUse = r.singleUse()
	x.maxStreamBytes = cmp.Or(r.MaxStreamBytes, defaultMaxStreamBytes)
	x.usage = opened.use(r.CallID)
	x.stopCancel = context.AfterFunc(ctx, func() { _ = opened.Close() })
	if err := x.send(r); err != nil {
		return nil, err
	}
	if err := x.readHeader(r); err != nil {
		return nil, x.fail(AwaitingAnswer, err)
	}
	return x, nil
}

// Reused reports whether the connection carried an earlier call.
func (x *Exchange) Reused() bool { return x.usage.Calls > 0 }

// Connection returns the use of the connection before the call.
func (x *Exchange) Connection() ConnectionUse { return x.usage }

// Skipped returns the number of responses to other calls that came before the response.
func (x *Exchange) Skipped() int { return x.skipped }

// send writes the call. A body above maxInlineBodyBytes is written while the response is read,
// since the endpoint may respond before it has read the body.
func (x *Exchange) send(r Request) error {
	ackTimeout := defaultAckTimeout
	if !x.conn.reused {
		ackTimeout = r.AckTimeout
	}
	if err := errors.Join(x.conn.SetReadDeadline(r.HeaderDeadline), x.conn.SetWriteDeadline(r.HeaderDeadline), x.conn.setAckTimeout(ackTimeout)); err != nil {
		return x.failUnsent(err)
	}
	header := encodeHeader(r)
	if len(r.Body) <= maxInlineBodyBytes {
		if err := x.write(append(header, r.Body...)); err != nil {
			return err
		}
		close(x.written)
		return nil
	}
	if err := x.write(header); err != nil {
		return err
	}
	// The endpoint may read the body as late as it completes its response.
	if err := x.conn.SetWriteDeadline(time.Time{}); err != nil {
		return x.fail(Sending, err)
	}
	opened, written, unwritten := x.conn, x.written, x.unwritten
	go func() {
		// If the write fails, reading the response fails too, unless the end of the connection ends it.
		if _, err := opened.Write(r.Body); err != nil {
			close(unwritten)
			return
		}
		close(written)
	}()
	return nil
}

// write writes b, and closes the exchange if that fails.
func (x *Exchange) write(b []byte) error {
	n, err := x.conn.Write(b)
	switch {
	case err == nil:
		return nil
	case n == 0:
		return x.failUnsent(err)
	}
	return x.fail(Sending, err)
}

func encodeHeader(r Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// Writes to a bytes.Buffer do not fail.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHeader skips informational responses and responses to other calls, and reads the header
// of the call's own response.
func (x *Exchange) readHeader(r Request) error {
	x.conn.limitHead()
	start := x.conn.consumed()
	for x.skipped <= maxSkippedResponses && x.conn.consumed()-start <= maxAllSkippedBytes {
		response, err := x.conn.heads.ReadResponse(x.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return framingError(err)
		}
		switch {
		case response.StatusCode < http.StatusOK:
			continue
		case r.MatchResponse(response.StatusCode, response.Header):
			x.response = response
			x.conn.unlimitHead()
			x.conn.raiseAckTimeout(r.AckTimeout)
			return nil
		}
		// Closing the body would read it to its end, which may never come.
		x.conn.unlimitHead()
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes))
		if err == nil && n == maxSkippedBytes {
			err = errSkippedTooLarge
		}
		if err != nil {
			return err
		}
		x.conn.limitHead()
		x.skipped++
	}
	return errTooManySkipped
}

// failUnsent closes the exchange and returns an Error for a call of which the endpoint has
// certainly received nothing.
func (x *Exchange) failUnsent(err error) error {
	x.Close()
	return &Error{Stage: Sending, Timeout: isTimeout(err), Connection: x.usage, Err: err}
}

// fail closes the exchange and returns an Error for a call that the endpoint may have received.
func (x *Exchange) fail(stage Stage, err error) error {
	if errors.Is(err, ErrMalformed) {
		x.buffer.fail()
	}
	x.Close()
	return &Error{Stage: stage, MaybeSent: true, Timeout: isTimeout(err), AliveAt: x.conn.aliveAt, Connection: x.usage, Skipped: x.skipped, Err: err}
}

// Status returns the status code of the response.
func (x *Exchange) Status() int { return x.response.StatusCode }

// Unframed reports whether the response has neither a length nor chunks, so that only the end of the
// connection ends it. Such an end does not tell a complete response from a crash.
func (x *Exchange) Unframed() bool {
	return x.response.ContentLength < 0 && len(x.response.TransferEncoding) == 0
}

// MediaType returns the media type of the response in small letters and without parameters, "" if it
// names none.
func (x *Exchange) MediaType() string {
	mediaType, _, _ := strings.Cut(x.response.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(mediaType))
}

// Header returns the header of the response.
func (x *Exchange) Header() http.Header { return x.response.Header }

// ReadAll returns the whole body. It fails if the body is longer than limit bytes or has not
// arrived by the deadline.
func (x *Exchange) ReadAll(limit int64, deadline time.Time) ([]byte, error) {
	if err := x.conn.SetReadDeadline(deadline); err != nil {
		return nil, x.fail(ReadingAnswer, err)
	}
	body, err := x.readBody(limit, deadline)
	if err == nil {
		err = x.checkEnd()
	}
	if err != nil {
		return nil, x.fail(ReadingAnswer, err)
	}
	x.complete = true
	return body, nil
}

// checkEnd returns an error if the end of a body is not that of a whole response: its trailer is malformed, or the
// connection has ended a response without a length while the call was still being written. The write then gets the
// error of a connection that was reset, which the system reports once, and the read finds its end.
func (x *Exchange) checkEnd() error {
	if x.Unframed() && !x.waitWritten() {
		return errUnwritten
	}
	if err := bluebellhead.CheckFields(x.response.Trailer); err != nil {
		return framingError(err)
	}
	return nil
}

// Discard reads the rest of a response that is not needed, so that the connection can be reused. It
// fails like ReadAll, and does not extend the deadline.
func (x *Exchange) Discard(limit int64, deadline time.Time) error {
	x.conn.extendDeadline = nil
	_, err := x.ReadAll(limit, deadline)
	return err
}

// Event is one server-sent event of a stream.
type Event struct {
	// Text is the event as received, with the blank line at its end.
	Text []byte
	// ID is "" if the event has no id field.
	ID string
	// HasData is set if the event has a data field; comments, for example, have none.
	HasData bool
}

// NextEvent returns the next event. It fails if the event has not arrived by the deadline or if other
// text comes in its place, and returns io.EOF at the end of a complete stream.
func (x *Exchange) NextEvent(deadline time.Time) (Event, error) {
	if err := x.conn.SetReadDeadline(deadline); err != nil {
		return Event{}, x.fail(ReadingAnswer, err)
	}
	if x.eventReader == nil {
		x.eventReader = bufio.NewReader(x.response.Body)
	}
	x.buffer.release()
	var e Event
	lineStart := 0
	for counted := uncountedEventBytes; ; {
		if len(e.Text) > counted {
			if err := x.buffer.grow(bufferStep, deadline); err != nil {
				return Event{}, x.fail(ReadingAnswer, err)
			}
			counted += bufferStep
		}
		piece, err := x.eventReader.ReadSlice('\n')
		e.Text = append(e.Text, piece...)
		x.streamed += int64(len(piece))
		switch {
		case errors.Is(err, io.EOF) && len(e.Text) == 0:
			if err := x.checkEnd(); err != nil {
				return Event{}, x.fail(ReadingAnswer, err)
			}
			x.complete = true
			return Event{}, io.EOF
		case errors.Is(err, io.EOF):
			return Event{}, x.fail(ReadingAnswer, ErrTruncated)
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return Event{}, x.fail(ReadingAnswer, framingError(err))
		}
		switch {
		case len(e.Text) > maxEventBytes:
			return Event{}, x.fail(ReadingAnswer, errEventTooLarge)
		case x.streamed > x.maxStreamBytes:
			return Event{}, x.fail(ReadingAnswer, errStreamTooLarge)
		}
		if err != nil {
			continue
		}
		line := bytes.TrimRight(e.Text[lineStart:], "\r\n")
		first := lineStart == 0
		lineStart = len(e.Text)
		switch {
		case len(line) > 0 && !e.addLine(line):
			return Event{}, x.fail(ReadingAnswer, errNotEvent)
		case len(line) > 0:
		case !first:
			return e, nil
		}
	}
}

// addLine sets the fields that a line of the event contains. It reports whether the line belongs to an
// event: it is a comment, or has the name of a field and a colon.
func (e *Event) addLine(line []byte) bool {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isFieldName(name) {
		return false
	}
	switch string(name) {
	case "id":
		e.ID = string(bytes.TrimSpace(value))
	case "data":
		e.HasData = true
	}
	return true
}

// isFieldName reports whether a field of an event may have a name. The name of a comment is empty.
func isFieldName(name []byte) bool {
	return len(bytes.Trim(name, "abcdefghijklmnopqrstuvwxyz-")) == 0
}

// waitWritten reports whether the whole call has been written within writeDoneTimeout. The
// endpoint may read the call and respond before the writing goroutine is scheduled again to
// close written.
func (x *Exchange) waitWritten() bool {
	select {
	case <-x.written:
		return true
	case <-x.unwritten:
	case <-time.After(writeDoneTimeout):
	}
	return false
}

// Close ends the exchange. If the response was read in full and the connection can be reused, it
// is kept idle; otherwise it is closed, which cancels the call at the endpoint.
func (x *Exchange) Close() {
	if x.closed {
		return
	}
	x.closed = true
	x.buffer.close()
	x.conn.extendDeadline = nil
	x.conn.unlimitHead()
	cancelled := !x.stopCancel()
	if x.complete && x.conn.reader.Buffered() > 0 {
		x.client.cfg.OnUnread(x.conn.address)
	}
	reusable := !cancelled && !x.singleUse && x.complete && len(x.conn.callIDs) < maxCallsPerConnection && !x.response.Close && x.conn.reader.Buffered() == 0 &&
		!x.Unframed() && x.waitWritten()
	if !reusable || errors.Join(x.conn.SetDeadline(time.Time{}), x.conn.setAckTimeout(defaultAckTimeout)) != nil {
		_ = x.conn.Close()
		return
	}
	x.client.pushIdle(x.conn, idleTimeout(x.response.Header))
}
