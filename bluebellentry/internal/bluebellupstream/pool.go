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
	"sync"
	"syscall"
	"time"
)

const (
	connectTimeout = 500 * time.Millisecond
	writeTimeout   = 2 * time.Second
	// reuseWithin is how long an idle connection is trusted.
	reuseWithin    = 2 * time.Second
	maxIdlePerPeer = 32
	readBufferSize = 16 << 10
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
)

// PoolConfig sets up a Pool.
type PoolConfig struct {
	// Dial opens a connection; net.Dialer's if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Now  func() time.Time
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	cfg   PoolConfig
	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	idle []*conn
	// Connections opened before this time are not used again.
	distrustBefore time.Time
}

type conn struct {
	net.Conn
	reader   *bufio.Reader
	limited  *headerLimit
	openedAt time.Time
	usedAt   time.Time
	reused   bool
}

// Request is what is sent.
type Request struct {
	Address string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	// Fresh asks for a new connection, so that a failure to connect proves that
	// nothing was sent.
	Fresh bool
	// FirstByteWithin bounds the time until the header of the answer.
	FirstByteWithin time.Duration
	// SilentFor bounds the time between two reads of the answer.
	SilentFor time.Duration
}

// NewPool returns an empty pool.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Pool{cfg: cfg, peers: map[string]*peer{}}
}

// Do sends a request and reads the header of the answer. The end of ctx closes
// the connection. The caller must Close the exchange.
func (p *Pool) Do(ctx context.Context, r Request) (*Exchange, error) {
	c, err := p.take(ctx, r)
	if err != nil {
		return nil, &Error{Stage: Connecting, Timeout: isTimeout(err), Err: err}
	}
	x := &Exchange{pool: p, conn: c, address: r.Address, silentFor: r.SilentFor}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := x.write(r); err != nil {
		return nil, x.fail(Writing, err)
	}
	if err := x.readHeader(r); err != nil {
		return nil, x.fail(AwaitingAnswer, err)
	}
	return x, nil
}

func (p *Pool) take(ctx context.Context, r Request) (*conn, error) {
	if !r.Fresh {
		if c := p.takeIdle(r.Address); c != nil {
			return c, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := p.cfg.Dial(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	limited := &headerLimit{reader: raw}
	return &conn{
		Conn: raw, limited: limited, reader: bufio.NewReaderSize(limited, readBufferSize),
		openedAt: p.cfg.Now(),
	}, nil
}

func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.peers[address]
	if pr == nil {
		return nil
	}
	now := p.cfg.Now()
	for len(pr.idle) > 0 {
		c := pr.idle[len(pr.idle)-1]
		pr.idle = pr.idle[:len(pr.idle)-1]
		if now.Sub(c.usedAt) <= reuseWithin && !c.openedAt.Before(pr.distrustBefore) && c.stillOpen() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
	return nil
}

// stillOpen looks for a close or stray bytes that came while the connection was
// idle: either makes it unfit for use.
func (c *conn) stillOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

func (p *Pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.peerOf(address)
	if len(pr.idle) >= maxIdlePerPeer || c.openedAt.Before(pr.distrustBefore) {
		_ = c.Close()
		return
	}
	c.usedAt = p.cfg.Now()
	pr.idle = append(pr.idle, c)
}

// distrust closes all idle connections to an address that are no younger.
func (p *Pool) distrust(address string, openedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.peerOf(address)
	if !openedAt.Before(pr.distrustBefore) {
		pr.distrustBefore = openedAt.Add(1)
	}
	var kept []*conn
	for _, c := range pr.idle {
		if c.openedAt.Before(pr.distrustBefore) {
			_ = c.Close()
			continue
		}
		kept = append(kept, c)
	}
	pr.idle = kept
}

func (p *Pool) peerOf(address string) *peer {
	pr := p.peers[address]
	if pr == nil {
		pr = &peer{}
		p.peers[address] = pr
	}
	return pr
}

// Close ends all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pr := range p.peers {
		for _, c := range pr.idle {
			_ = c.Close()
		}
		pr.idle = nil
	}
}

// Exchange is one request and its answer.
type Exchange struct {
	pool       *Pool
	conn       *conn
	address    string
	response   *http.Response
	silentFor  time.Duration
	stopCancel func() bool
	complete   bool
	closed     bool
}

// headerLimit bounds what is read until the header of an answer is complete.
type headerLimit struct {
	reader io.Reader
	left   int
	on     bool
}

func (l *headerLimit) Read(b []byte) (int, error) {
	if l.on && l.left <= 0 {
		return 0, errors.New("the header of the answer is too large")
	}
	n, err := l.reader.Read(b)
	l.left -= n
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
	w := bufio.NewWriterSize(x.conn, readBufferSize)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

func (x *Exchange) readHeader(r Request) error {
	if err := x.conn.SetDeadline(time.Now().Add(r.FirstByteWithin)); err != nil {
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
		Stage: stage, Sent: true, Timeout: isTimeout(err), Reused: x.conn.reused,
		BrokenOff: errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrTruncated) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE),
		Err:       err,
	}
	if e.Timeout {
		x.pool.distrust(x.address, x.conn.openedAt)
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
	x.complete = true
	return body, nil
}

// Events returns the answer as a stream of server-sent events.
func (x *Exchange) Events() *Events {
	return &Events{exchange: x, reader: bufio.NewReader(bodyReader{x})}
}

// bodyReader renews the deadline before each read.
type bodyReader struct{ x *Exchange }

func (b bodyReader) Read(p []byte) (int, error) {
	if err := b.x.conn.SetReadDeadline(time.Now().Add(b.x.silentFor)); err != nil {
		return 0, err
	}
	return b.x.response.Body.Read(p)
}

// Close gives the connection back if the answer was read to its end, and closes
// it otherwise.
func (x *Exchange) Close() {
	if x.closed {
		return
	}
	x.closed = true
	cancelled := !x.stopCancel()
	if cancelled || !x.complete || x.response.Close {
		_ = x.conn.Close()
		return
	}
	if err := x.conn.SetDeadline(time.Time{}); err != nil {
		_ = x.conn.Close()
		return
	}
	x.pool.put(x.address, x.conn)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
