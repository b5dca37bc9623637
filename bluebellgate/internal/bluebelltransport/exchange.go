package bluebelltransport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxEventBytes bounds one event, and maxSkipped the answer to another call.
	maxEventBytes = 1 << 20
	maxSkipped    = 1 << 20
	// maxForeign is the number of answers to other calls that are skipped.
	maxForeign = 3
	// inlineBody is the size up to which a body is sent before the answer is read: it
	// fits the smallest window of a connection together with the header.
	inlineBody = 4 << 10
	// writerGrace is many times what a runnable goroutine waits for a turn on an entry
	// with a share of a core.
	writerGrace = 50 * time.Millisecond
)

// Request is one call to an endpoint.
type Request struct {
	Address string
	Method  string
	// URI is the path with the query, sent as it is.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// MatchResponse tells from its header whether an answer belongs to this call.
	MatchResponse func(status int, h http.Header) bool
	// ConnectTimeout bounds the time until a new connection is open.
	ConnectTimeout time.Duration
	// AckTimeout is how long the endpoint may acknowledge nothing before its connection counts
	// as lost, 2 s at the least. A kept connection that has not shown to live since has 2 s:
	// it may have gone silent for good.
	AckTimeout time.Duration
	// HeaderDeadline is when the header of the answer must have come.
	HeaderDeadline time.Time
	// ExtendDeadline is asked whenever nothing came by a time while the answer or its first event is
	// awaited, and returns until when to go on waiting, or a time that has passed. It may be
	// nil.
	ExtendDeadline func() time.Time
}

// Exchange is a call whose answer has begun.
type Exchange struct {
	client     *Client
	conn       *conn
	response   *http.Response
	stopCancel func() bool
	// written is closed once the whole call has been written.
	written chan struct{}
	events  *bufio.Reader
	// whole is set once the answer has been read to its end.
	whole  bool
	closed bool
}

// Do sends a call and reads the header of its answer. The end of ctx closes the
// connection, which tells the endpoint to stop. The caller must Close the exchange.
func (c *Client) Do(ctx context.Context, r Request) (*Exchange, error) {
	opened, err := c.open(ctx, r.Address, r.ConnectTimeout)
	if err != nil {
		return nil, &Error{Stage: Connecting, Timeout: isTimeout(err), Err: err}
	}
	opened.goOn = r.ExtendDeadline
	x := &Exchange{client: c, conn: opened, written: make(chan struct{})}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = opened.Close() })
	if err := x.send(r); err != nil {
		return nil, err
	}
	if err := x.readHeader(r); err != nil {
		return nil, x.fail(AwaitingAnswer, err)
	}
	return x, nil
}

// Reused tells whether the connection had carried another call before.
func (x *Exchange) Reused() bool { return x.conn.reused }

// send writes the call. A long body goes out while the answer is awaited, since an
// endpoint may answer before it has read it.
func (x *Exchange) send(r Request) error {
	silence := silentConnection
	if !x.conn.reused {
		silence = r.AckTimeout
	}
	if err := errors.Join(x.conn.SetDeadline(r.HeaderDeadline), x.conn.tolerate(silence)); err != nil {
		return x.unsent(err)
	}
	head := encodeHead(r)
	if len(r.Body) <= inlineBody {
		n, err := x.conn.Write(append(head, r.Body...))
		if err != nil && n == 0 {
			return x.unsent(err)
		}
		if err != nil {
			return x.fail(Sending, err)
		}
		close(x.written)
		return nil
	}
	if n, err := x.conn.Write(head); err != nil && n == 0 {
		return x.unsent(err)
	}
	opened, written := x.conn, x.written
	go func() {
		// A failure shows when the answer is read.
		if _, err := opened.Write(r.Body); err == nil {
			close(written)
		}
	}()
	return nil
}

func encodeHead(r Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// Writes to a buffer do not fail.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHeader reads up to the header of this call's own answer.
func (x *Exchange) readHeader(r Request) error {
	for range maxForeign + 1 {
		response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		switch {
		case response.StatusCode < http.StatusOK:
			continue
		case r.MatchResponse(response.StatusCode, response.Header):
			x.response = response
			x.conn.tolerateLonger(r.AckTimeout)
			return nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkipped)); err != nil {
			return err
		}
		_ = response.Body.Close()
	}
	return errors.New("the connection carries answers to other calls")
}

// unsent ends an exchange of which certainly nothing has reached the endpoint.
func (x *Exchange) unsent(err error) error {
	x.Close()
	return &Error{Stage: Sending, Timeout: isTimeout(err), Err: err}
}

func (x *Exchange) fail(stage Stage, err error) error {
	x.Close()
	return &Error{Stage: stage, MaybeSent: true, Timeout: isTimeout(err), Err: err}
}

// Status returns the status code of the answer.
func (x *Exchange) Status() int { return x.response.StatusCode }

// Header returns the header of the answer.
func (x *Exchange) Header() http.Header { return x.response.Header }

// ReadAll returns the whole body of up to limit bytes, which must have come by a
// time.
func (x *Exchange) ReadAll(limit int64, by time.Time) ([]byte, error) {
	if err := x.conn.SetReadDeadline(by); err != nil {
		return nil, x.fail(ReadingAnswer, err)
	}
	body, err := io.ReadAll(io.LimitReader(x.response.Body, limit+1))
	switch {
	case err != nil:
		return nil, x.fail(ReadingAnswer, err)
	case int64(len(body)) > limit:
		return nil, x.fail(ReadingAnswer, errors.New("the answer is too large"))
	}
	x.whole = true
	return body, nil
}

// Event is one event of a stream, as it came.
type Event struct {
	// Text has the blank line at the end.
	Text []byte
	// ID is "" if the event has none.
	ID string
	// HasData is unset for comments and the like.
	HasData bool
}

// NextEvent returns the next event, which must have come by a time. It returns io.EOF at
// the end of a whole stream.
func (x *Exchange) NextEvent(by time.Time) (Event, error) {
	if err := x.conn.SetReadDeadline(by); err != nil {
		return Event{}, x.fail(ReadingAnswer, err)
	}
	if x.events == nil {
		x.events = bufio.NewReader(x.response.Body)
	}
	var e Event
	for {
		line, err := x.events.ReadSlice('\n')
		e.Text = append(e.Text, line...)
		switch {
		case errors.Is(err, io.EOF) && len(e.Text) == 0:
			x.whole = true
			return Event{}, io.EOF
		case errors.Is(err, io.EOF):
			return Event{}, x.fail(ReadingAnswer, ErrTruncated)
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return Event{}, x.fail(ReadingAnswer, err)
		}
		if len(e.Text) > maxEventBytes {
			return Event{}, x.fail(ReadingAnswer, errors.New("an event is too large"))
		}
		if err != nil {
			continue
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.ID = string(bytes.TrimSpace(id))
		}
		e.HasData = e.HasData || bytes.HasPrefix(line, []byte("data:"))
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(e.Text) > len(line) {
			x.conn.goOn = nil
			return e, nil
		}
	}
}

// isWritten tells whether the whole call has been written. An endpoint that has read
// the call may answer before its writer is scheduled again, so that gets a moment.
func (x *Exchange) isWritten() bool {
	select {
	case <-x.written:
		return true
	case <-time.After(writerGrace):
		return false
	}
}

// Close ends the exchange. The connection is kept after a whole answer; otherwise
// closing it cancels the call.
func (x *Exchange) Close() {
	if x.closed {
		return
	}
	x.closed = true
	x.conn.goOn = nil
	cancelled := !x.stopCancel()
	reusable := !cancelled && x.whole && !x.response.Close && x.conn.reader.Buffered() == 0 &&
		(x.response.ContentLength >= 0 || len(x.response.TransferEncoding) > 0) && x.isWritten()
	if !reusable || errors.Join(x.conn.SetDeadline(time.Time{}), x.conn.tolerate(silentConnection)) != nil {
		_ = x.conn.Close()
		return
	}
	x.client.keep(x.conn, x.response.Header)
}
