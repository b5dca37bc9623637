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
)

const (
	connectTimeout = 500 * time.Millisecond
	writeTimeout   = 2 * time.Second
	readBufferSize = 16 << 10
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
)

// ClientConfig sets up a Client.
type ClientConfig struct {
	// Dial opens a connection; net.Dialer's if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client makes exchanges. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	limited *headerLimit
}

// Request is what is sent.
type Request struct {
	Address string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	// FirstByteTimeout bounds the time until the header of the answer.
	FirstByteTimeout time.Duration
	// IdleTimeout bounds the time between two reads of the answer.
	IdleTimeout time.Duration
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	return &Client{cfg: cfg}
}

// Do sends a request and reads the header of the answer. The end of ctx closes
// the connection. The caller must Close the exchange.
func (c *Client) Do(ctx context.Context, r Request) (*Exchange, error) {
	opened, err := c.open(ctx, r.Address)
	if err != nil {
		return nil, &Error{Stage: Connecting, Timeout: isTimeout(err), Err: err}
	}
	x := &Exchange{conn: opened, silentFor: r.IdleTimeout}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = opened.Close() })
	if err := x.write(r); err != nil {
		return nil, x.fail(Writing, err)
	}
	if err := x.readHeader(r); err != nil {
		return nil, x.fail(AwaitingAnswer, err)
	}
	return x, nil
}

func (c *Client) open(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := c.cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	limited := &headerLimit{reader: raw}
	return &conn{Conn: raw, limited: limited, reader: bufio.NewReaderSize(limited, readBufferSize)}, nil
}

// Exchange is one request and its answer.
type Exchange struct {
	conn       *conn
	response   *http.Response
	silentFor  time.Duration
	stopCancel func() bool
	closed     bool
}

// headerLimit bounds what is read until the header of an answer is complete.
type headerLimit struct {
	reader io.Reader
	left   int
	on     bool
	// ended is set when the other end has closed the connection.
	ended bool
}

func (l *headerLimit) Read(b []byte) (int, error) {
	if l.on && l.left <= 0 {
		return 0, errors.New("the header of the answer is too large")
	}
	n, err := l.reader.Read(b)
	l.left -= n
	l.ended = l.ended || errors.Is(err, io.EOF)
	return n, err
}

// write sends the request. The header and body go out together.
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

func (x *Exchange) readHeader(r Request) error {
	if err := x.conn.SetDeadline(time.Now().Add(r.FirstByteTimeout)); err != nil {
		return err
	}
	x.conn.limited.on, x.conn.limited.left = true, maxHeaderBytes
	response, err := http.ReadResponse(x.conn.reader, nil)
	x.conn.limited.on = false
	if err != nil {
		return err
	}
	x.response = response
	return nil
}

// fail closes the connection and makes the error.
func (x *Exchange) fail(stage Stage, err error) error {
	x.stopCancel()
	_ = x.conn.Close()
	x.closed = true
	e := &Error{
		Stage: stage, MaybeSent: true, Timeout: isTimeout(err),
		BrokenOff: stage == AwaitingAnswer && x.conn.limited.ended || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrTruncated) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE),
		Err:       err,
	}
	return e
}

// Status returns the status code of the answer.
func (x *Exchange) Status() int { return x.response.StatusCode }

// Header returns the header of the answer.
func (x *Exchange) Header() http.Header { return x.response.Header }

// ReadAll returns the whole body, which may have up to limit bytes.
func (x *Exchange) ReadAll(limit int64) ([]byte, error) {
	if x.response.ContentLength < 0 && len(x.response.TransferEncoding) == 0 {
		// Its end could not be told from a broken connection.
		return nil, x.fail(ReadingAnswer, errors.New("the answer has neither a length nor chunks"))
	}
	body, err := io.ReadAll(io.LimitReader(bodyReader{x}, limit+1))
	switch {
	case err != nil:
		return nil, x.fail(ReadingAnswer, err)
	case int64(len(body)) > limit:
		return nil, x.fail(ReadingAnswer, errors.New("the answer is too large"))
	}
	return body, nil
}

// Events returns the answer as a stream of server-sent events.
func (x *Exchange) Events() *EventReader {
	return &EventReader{exchange: x, reader: bufio.NewReader(bodyReader{x})}
}

// bodyReader renews the deadline before each read.
type bodyReader struct{ x *Exchange }

func (b bodyReader) Read(p []byte) (int, error) {
	if err := b.x.conn.SetReadDeadline(time.Now().Add(b.x.silentFor)); err != nil {
		return 0, err
	}
	return b.x.response.Body.Read(p)
}

// Close ends the exchange. An answer that was not read to its end is cancelled by
// that.
func (x *Exchange) Close() {
	if x.closed {
		return
	}
	x.closed = true
	x.stopCancel()
	_ = x.conn.Close()
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
