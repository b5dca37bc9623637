package bluebellupstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"bluebellhaven.org/bluebell/bluebellbody"
	"bluebellhaven.org/bluebell/bluebellhead"
)

const (
	// connectTimeout bounds the time to open a connection.
	connectTimeout = 500 * time.Millisecond
	// writeTimeout bounds the sending of a request.
	writeTimeout = 2 * time.Second
	// readBufferSize is the size of the read and write buffers in bytes.
	readBufferSize = 16 << 10
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// maxHeldBytes bounds the answers that are being read at the same time.
	maxHeldBytes = 48 << 20
)

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	// Dial opens a connection. If it is nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends requests, each over a new connection. It is safe for concurrent use.
type Client struct {
	cfg     ClientConfig
	answers *bluebellbody.Pool
}

// conn is a connection whose reads go through a buffer and a headerLimitReader.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	headerLimit *headerLimitReader
}

// Request is a request with its timeouts.
type Request struct {
	// Address is the host and port to connect to.
	Address string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	// FirstByteTimeout bounds the time from the end of sending until the whole header of the
	// answer was read.
	FirstByteTimeout time.Duration
	// IdleTimeout bounds each read of the body of the answer.
	IdleTimeout time.Duration
}

// NewClient returns a Client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	return &Client{cfg: cfg, answers: bluebellbody.NewPool(maxHeldBytes)}
}

// Do sends a request and reads the header of the answer. When ctx ends, the connection is
// closed. The caller must Close the exchange.
func (c *Client) Do(ctx context.Context, r Request) (*Exchange, error) {
	connection, err := c.connect(ctx, r.Address)
	if err != nil {
		return nil, &Error{Stage: Connecting, Timeout: isTimeout(err), Err: err}
	}
	x := &Exchange{conn: connection, idleTimeout: r.IdleTimeout, answers: c.answers}
	x.stopClosing = context.AfterFunc(ctx, func() { _ = connection.Close() })
	if err := x.write(r); err != nil {
		return nil, x.fail(Writing, err)
	}
	if err := x.readHeader(r); err != nil {
		return nil, x.fail(AwaitingAnswer, err)
	}
	return x, nil
}

// connect opens a connection within connectTimeout.
func (c *Client) connect(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := c.cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	headerLimit := &headerLimitReader{reader: raw}
	return &conn{Conn: raw, headerLimit: headerLimit, reader: bufio.NewReaderSize(headerLimit, readBufferSize)}, nil
}

// Exchange is one request and its answer.
type Exchange struct {
	conn        *conn
	response    *http.Response
	idleTimeout time.Duration
	// stopClosing ends the watch on the context of Do.
	stopClosing func() bool
	closed      bool
	answers     *bluebellbody.Pool
}

// headerLimitReader limits the number of bytes that are read while the header of an answer
// is incomplete.
type headerLimitReader struct {
	reader io.Reader
	heads  bluebellhead.Recorder
	// remaining is how many bytes may still be read while the limit is enabled.
	remaining int
	enabled   bool
	// eof is set when the peer has closed the connection.
	eof bool
}

func (l *headerLimitReader) Read(b []byte) (int, error) {
	if l.enabled && l.remaining <= 0 {
		return 0, errors.New("the header of the answer is too large")
	}
	n, err := l.reader.Read(b)
	l.heads.Record(b[:n])
	l.remaining -= n
	l.eof = l.eof || errors.Is(err, io.EOF)
	return n, err
}

// write sends the request. It buffers the header and the body, so that a small request goes
// out in one write.
func (x *Exchange) write(r Request) error {
	if err := x.conn.SetDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	req, err := http.NewRequest(r.Method, "http://"+r.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return err
	}
	if r.Header != nil {
		req.Header = r.Header
	}
	req.Close = true
	w := bufio.NewWriterSize(x.conn, readBufferSize)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// readHeader reads the header of the answer, and skips informational responses before it, within
// r.FirstByteTimeout.
func (x *Exchange) readHeader(r Request) error {
	if err := x.conn.SetDeadline(time.Now().Add(r.FirstByteTimeout)); err != nil {
		return err
	}
	x.conn.headerLimit.enabled, x.conn.headerLimit.remaining = true, maxHeaderBytes
	defer func() { x.conn.headerLimit.enabled = false }()
	for {
		response, err := x.conn.headerLimit.heads.ReadResponse(x.conn.reader, nil)
		if err != nil {
			return err
		}
		if response.StatusCode >= http.StatusOK {
			x.response = response
			return nil
		}
	}
}

// fail closes the connection and returns the error of the exchange.
func (x *Exchange) fail(stage Stage, err error) error {
	x.stopClosing()
	_ = x.conn.Close()
	x.closed = true
	e := &Error{
		Stage: stage, MaybeSent: true, Timeout: isTimeout(err),
		BrokenOff: stage == AwaitingAnswer && x.conn.headerLimit.eof || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrTruncated) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE),
		Err:       err,
	}
	return e
}

// Status returns the status code of the answer.
func (x *Exchange) Status() int { return x.response.StatusCode }

// Header returns the header of the answer.
func (x *Exchange) Header() http.Header { return x.response.Header }

// ReadAll returns the whole body. It returns an error if the body is longer than limit bytes, or if it is much longer
// than another one that finds no room beside it.
func (x *Exchange) ReadAll(limit int64) ([]byte, error) {
	if x.response.ContentLength < 0 && len(x.response.TransferEncoding) == 0 {
		// The end of such a body can't be distinguished from a broken connection.
		return nil, x.fail(ReadingAnswer, errors.New("the answer has neither a length nor chunks"))
	}
	// An error means that the connection is closed already.
	held := x.answers.Open(func() { _ = x.conn.Close() })
	defer held.Release()
	body, err := held.Read(io.LimitReader(bodyReader{x}, limit+1))
	switch {
	case err != nil:
		return nil, x.fail(ReadingAnswer, err)
	case int64(len(body)) > limit:
		return nil, x.fail(ReadingAnswer, errors.New("the answer is too large"))
	}
	return body, nil
}

// Events returns a reader of the answer as a stream of server-sent events.
func (x *Exchange) Events() *EventReader {
	return &EventReader{exchange: x, reader: bufio.NewReader(bodyReader{x})}
}

// bodyReader reads the body of an answer and sets a new deadline before each read.
type bodyReader struct{ x *Exchange }

func (b bodyReader) Read(p []byte) (int, error) {
	if err := b.x.conn.SetReadDeadline(time.Now().Add(b.x.idleTimeout)); err != nil {
		return 0, err
	}
	return b.x.response.Body.Read(p)
}

// Close closes the connection. That cancels an answer that was not read to its end.
func (x *Exchange) Close() {
	if x.closed {
		return
	}
	x.closed = true
	x.stopClosing()
	_ = x.conn.Close()
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
