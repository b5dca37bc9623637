package bluebelltransport

import (
	"errors"
	"io"
	"slices"
	"sync/atomic"
)

// An endpoint in trouble may send bytes without end in any part of a response. Every part is
// therefore read with a limit, and the responses that all calls buffer have a common one.

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
	// defaultMaxBuffered is the limit on the bytes of all buffered responses together if
	// Config sets none: a third of the heap of the smallest specified entry VM.
	defaultMaxBuffered = 24 << 20
	// bufferStep is the number of bytes by which a buffered response grows, firstBufferStep
	// that with which one of unknown length begins: most are below a kilobyte.
	bufferStep      = 32 << 10
	firstBufferStep = 2 << 10
)

// Errors of responses that exceed a limit. ErrBufferFull says nothing about the endpoint.
var (
	errHeadTooLarge    = errors.New("header of the response is too large")
	errBodyTooLarge    = errors.New("response body is larger than the limit")
	errFramingTooLarge = errors.New("response body consists of too small chunks")
	errEventTooLarge   = errors.New("event is larger than 256 KiB")
	errNotEvent        = errors.New("stream has a line that belongs to no event")
	errSkippedTooLarge = errors.New("response to another call is too large")
	ErrBufferFull      = errors.New("buffered responses exceed the limit of this process")
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

// buffered counts the bytes of all buffered responses.
type buffered struct {
	limit int64
	bytes atomic.Int64
}

// reserve adds n bytes unless they exceed the limit.
func (b *buffered) reserve(n int64) bool {
	if b.bytes.Add(n) > b.limit {
		b.bytes.Add(-n)
		return false
	}
	return true
}

func (b *buffered) release(n int64) { b.bytes.Add(-n) }

// readBody reads a body of at most limit bytes into memory that it reserves. The body is read
// in pieces that are joined at its end, since a buffer that grows takes several times as much.
func (x *Exchange) readBody(limit int64) ([]byte, error) {
	var pieces [][]byte
	step := int64(firstBufferStep)
	if length := x.response.ContentLength; length >= 0 {
		step = min(length+1, bufferStep)
	}
	start := x.conn.consumed()
	for size := int64(0); ; step = bufferStep {
		if !x.client.buffered.reserve(step) {
			return nil, ErrBufferFull
		}
		x.reserved += step
		piece := make([]byte, step)
		n, err := fill(x.response.Body, piece)
		pieces, size = append(pieces, piece[:n]), size+int64(n)
		switch {
		case size > limit:
			return nil, errBodyTooLarge
		case x.conn.consumed()-start-size > maxFramingBytes+size/2:
			return nil, errFramingTooLarge
		case errors.Is(err, io.EOF):
			return slices.Concat(pieces...), nil
		case err != nil:
			return nil, err
		}
	}
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
