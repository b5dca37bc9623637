package bluebelltransport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"
)

// An endpoint in trouble may send bytes without end in any part of a response. Every part is
// therefore read with a limit, and the responses that all calls buffer have a common one, see buffers.

const (
	// maxHeadBytes limits the status line, header and trailers of one response, with the
	// informational responses before it and the framing of its chunks.
	maxHeadBytes = 64 << 10
	// maxFramingBytes limits the framing of a buffered body, in addition to half of its payload: an
	// endpoint may send chunks of a few bytes without end.
	maxFramingBytes = 64 << 10
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 256 << 10
	// maxSkippedBytes limits the bytes read and dropped of one response to another call.
	maxSkippedBytes = 1 << 20
	// maxAllSkippedBytes limits those of all responses to other calls that one call skips.
	maxAllSkippedBytes = 4 << 20
	// defaultMaxStreamBytes limits one stream if Request sets no limit.
	defaultMaxStreamBytes = 8 << 20
	// bufferStep is the number of bytes by which a buffered response grows, firstBufferStep
	// that with which one of unknown length begins: most are below a kilobyte.
	bufferStep      = 32 << 10
	firstBufferStep = 2 << 10
	// uncountedEventBytes is the size up to which an event is not counted as a buffered response.
	uncountedEventBytes = 4 << 10
)

// ErrMalformed is wrapped by the errors of responses that exceed a limit or have a wrong framing, which those of a
// sound endpoint never do.
var ErrMalformed = errors.New("response is malformed")

// Errors of responses. ErrBufferFull says nothing about the endpoint.
var (
	errHeadTooLarge     = fmt.Errorf("%w: its header is too large", ErrMalformed)
	errBodyTooLarge     = fmt.Errorf("%w: its body is larger than the limit", ErrMalformed)
	errFramingTooLarge  = fmt.Errorf("%w: its body consists of too small chunks", ErrMalformed)
	errEventTooLarge    = fmt.Errorf("%w: an event is larger than 256 KiB", ErrMalformed)
	errStreamTooLarge   = fmt.Errorf("%w: the stream is larger than the limit", ErrMalformed)
	errSkippedTooLarge  = fmt.Errorf("%w: it answers another call", ErrMalformed)
	errTooManySkipped   = fmt.Errorf("%w: too many responses to other calls", ErrMalformed)
	errSiblingMalformed = fmt.Errorf("%w: another one of the endpoint was", ErrMalformed)
	errUnwritten        = fmt.Errorf("%w: the response ended before the call was written", io.ErrUnexpectedEOF)
	errNotEvent         = errors.New("stream has a line that belongs to no event")
	ErrBufferFull       = errors.New("buffered responses exceed the limit of this process")
)

// limitHead makes reads fail once more than maxHeadBytes have been read.
func (c *conn) limitHead() { c.headLeft.Store(maxHeadBytes + readBufferSize) }

// unlimitHead ends the effect of limitHead.
func (c *conn) unlimitHead() { c.headLeft.Store(0) }

// countHead counts bytes that were read towards the limit on a header, if there is one.
func (c *conn) countHead(n int) error {
	if c.headLeft.Load() == 0 {
		return nil
	}
	if left := c.headLeft.Add(-int64(n)); left <= 0 {
		c.headLeft.Store(1) // The next read fails too.
		return errHeadTooLarge
	}
	return nil
}

// consumed returns the number of bytes that have been read from the connection and are not buffered.
func (c *conn) consumed() int64 { return c.received - int64(c.reader.Buffered()) }

// readBody reads a body of at most limit bytes into memory that it reserves. The body is read
// in pieces that are joined at its end, since a buffer that grows takes several times as much.
func (x *Exchange) readBody(limit int64, deadline time.Time) ([]byte, error) {
	var pieces [][]byte
	step := int64(firstBufferStep)
	if length := x.response.ContentLength; length >= 0 {
		step = min(length+1, bufferStep)
	}
	start := x.conn.consumed()
	for size := int64(0); ; step = bufferStep {
		if err := x.buffer.grow(step, deadline); err != nil {
			return nil, err
		}
		piece := make([]byte, step)
		n, err := fill(x.response.Body, piece)
		pieces, size = append(pieces, piece[:n]), size+int64(n)
		switch {
		case size > limit:
			return nil, errBodyTooLarge
		case x.conn.consumed()-start-size > maxFramingBytes+size/2:
			return nil, errFramingTooLarge
		case errors.Is(err, io.EOF):
			x.buffer.finish()
			return slices.Concat(pieces...), nil
		case err != nil:
			return nil, framingError(err)
		}
	}
}

// framingError returns the error of reading a response. One that comes neither from the connection nor from its end
// is of the framing.
func framingError(err error) error {
	var fromConn net.Error
	if errors.As(err, &fromConn) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, ErrMalformed) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// fill reads until piece is full or a read fails. Unlike io.ReadFull it returns the error of
// the reader as it is, which tells the end of a body from one that is cut off.
func fill(r io.Reader, piece []byte) (int, error) {
	n := 0
	for n < len(piece) {
		read, err := r.Read(piece[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
