package bluebelltransport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhaven.org/bluebell/bluebellhead"
)

const (
	// defaultAckTimeout is how long sent TCP data may stay unacknowledged before the kernel closes
	// the connection, unless the call sets a longer AckTimeout.
	defaultAckTimeout = 2 * time.Second
	keepAliveInterval = time.Second
	// maxIdlePerAddress limits the idle connections to one endpoint.
	maxIdlePerAddress = 32
	// maxCallsPerConnection limits the calls with an ID that a connection carries, and so the memory
	// for their IDs to 2 KiB.
	maxCallsPerConnection = 256
	// defaultIdleTimeout is how long a connection is kept idle if the endpoint's response has no
	// Keep-Alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// unusedIdleTimeout is the same for a connection that has carried no call yet, so that the
	// endpoint's timeout is not known.
	unusedIdleTimeout = 2 * time.Second
	// idleMargin is subtracted from the endpoint's Keep-Alive timeout, so that the endpoint does
	// not close a connection that is being reused.
	idleMargin     = 500 * time.Millisecond
	readBufferSize = 8 << 10
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which the syscall package lacks.
	tcpUserTimeout = 0x12
)

// Config configures a Client.
type Config struct {
	// Dial opens connections. If nil, a net.Dialer with keep-alive and user timeout is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Authenticate is called with each new connection before its first call. It may be nil.
	Authenticate func(ctx context.Context, conn net.Conn, address string) error
	// OnConnect is called after each new connection. It may be nil.
	OnConnect func(address string)
	// OnUnread is called when a connection is not reused because bytes have arrived on it that
	// belong to no call. It may be nil.
	OnUnread func(address string)
	// MaxBuffered limits the bytes of all responses that are buffered at once. If 0, it is
	// 24 MiB.
	MaxBuffered int64
}

// Client sends calls to endpoints and keeps idle connections to them. It is safe for concurrent
// use.
type Client struct {
	cfg     Config
	buffers *buffers

	// opened is the number of connections that were opened.
	opened atomic.Uint64

	mu sync.Mutex
	// idle holds the idle connections by address, the last used one last.
	idle map[string][]*conn
}

// ConnectionUse is the use of a connection before a call.
type ConnectionUse struct {
	// Number identifies the connection within its Client.
	Number uint64
	// Calls is the number of earlier calls.
	Calls int
	// Dropped is the number of idle connections that were closed for the call because they had
	// carried one with the same ID.
	Dropped int
}

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	number  uint64
	reused  bool
	// calls is the number of calls, and callIDs the hashes of their IDs. An endpoint may write a
	// response once more, which the ID does not tell from the response to a second call with it.
	calls   int
	callIDs []uint64
	// dropped is ConnectionUse.Dropped of the current call.
	dropped int
	// ackTimeout is how long sent data may now stay unacknowledged.
	ackTimeout time.Duration
	// extendDeadline is ExtendDeadline of the current call's Request, or nil.
	extendDeadline func() time.Time
	// headLeft is the number of bytes that may still be read while headers are, 0 while there
	// is no limit.
	headLeft atomic.Int64
	// received is the number of bytes that have been read.
	received int64
	// heads checks the heads of responses.
	heads bluebellhead.Recorder
	// aliveAt is when the connection was opened, or when bytes were last read.
	aliveAt time.Time
	// usableUntil is the time after which the endpoint may close the idle connection.
	usableUntil time.Time
}

// NewClient returns a client that has no connections yet.
func NewClient(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = dialer().DialContext
	}
	if cfg.MaxBuffered <= 0 {
		cfg.MaxBuffered = defaultMaxBuffered
	}
	if cfg.OnUnread == nil {
		cfg.OnUnread = func(string) {}
	}
	return &Client{cfg: cfg, buffers: newBuffers(cfg.MaxBuffered), idle: map[string][]*conn{}}
}

// dialer returns a dialer whose connections fail when sent data or keep-alive probes stay
// unacknowledged for defaultAckTimeout.
func dialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: keepAliveConfig(defaultAckTimeout),
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, defaultAckTimeout) },
	}
}

func keepAliveConfig(ackTimeout time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: max(int(ackTimeout/keepAliveInterval), 1),
	}
}

func setUserTimeout(raw syscall.RawConn, ackTimeout time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
}

// setAckTimeout sets how long sent data may stay unacknowledged. The time is rounded down to whole
// seconds and is at least defaultAckTimeout.
func (c *conn) setAckTimeout(ackTimeout time.Duration) error {
	ackTimeout = max(ackTimeout.Truncate(time.Second), defaultAckTimeout)
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || ackTimeout == c.ackTimeout {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	if err := errors.Join(tcp.SetKeepAliveConfig(keepAliveConfig(ackTimeout)), setUserTimeout(raw, ackTimeout)); err != nil {
		return err
	}
	c.ackTimeout = ackTimeout
	return nil
}

// connect returns an idle connection that can be reused and has not carried the call, or a new one. A
// connection that has carried the call is closed, since the endpoint may accept no further one beside it.
func (c *Client) connect(ctx context.Context, r Request) (*conn, error) {
	dropped := 0
	for !r.NewConnection && !r.singleUse() {
		idle := c.popIdle(r.Address)
		if idle == nil {
			break
		}
		switch {
		case idle.hasUnread():
			c.cfg.OnUnread(r.Address)
		case !time.Now().Before(idle.usableUntil) || !idle.isReusable():
		case idle.hasCarried(r.CallID):
			dropped++
		default:
			idle.reused, idle.dropped = true, dropped
			return idle, nil
		}
		_ = idle.Close()
	}
	opened, err := c.open(ctx, r.Address, r.ConnectTimeout)
	if err != nil {
		return nil, err
	}
	opened.dropped = dropped
	return opened, nil
}

// Open opens a connection without a call and keeps it idle.
func (c *Client) Open(ctx context.Context, address string, timeout time.Duration) error {
	opened, err := c.open(ctx, address, timeout)
	if err != nil {
		return err
	}
	c.pushIdle(opened, unusedIdleTimeout)
	return nil
}

// open opens a new connection.
func (c *Client) open(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw, err := c.cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.cfg.Authenticate != nil {
		if err := c.cfg.Authenticate(ctx, raw, address); err != nil {
			_ = raw.Close()
			return nil, err
		}
	}
	if c.cfg.OnConnect != nil {
		c.cfg.OnConnect(address)
	}
	opened := &conn{Conn: raw, address: address, number: c.opened.Add(1), ackTimeout: defaultAckTimeout, aliveAt: time.Now()}
	opened.reader = bufio.NewReaderSize(opened, readBufferSize)
	return opened, nil
}

// Read reads from the connection. When the read deadline expires, it continues for as long as
// extendDeadline returns a deadline in the future.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 && err == nil {
			c.received += int64(n)
			c.heads.Record(b[:n])
			c.aliveAt = time.Now()
			err = c.countHead(n)
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.extendDeadline == nil {
			return n, err
		}
		until := c.extendDeadline()
		if !time.Now().Before(until) {
			return n, err
		}
		if err := c.SetReadDeadline(until); err != nil {
			return 0, err
		}
	}
}

// popIdle removes and returns the most recently used idle connection, or nil. The others stay idle
// and expire when fewer are needed.
func (c *Client) popIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return last
}

// pushIdle adds a connection to the idle ones, or closes it if there are maxIdlePerAddress already.
func (c *Client) pushIdle(added *conn, usableFor time.Duration) {
	added.usableUntil = time.Now().Add(usableFor)
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[added.address]
	if len(list) >= maxIdlePerAddress {
		_ = added.Close()
		return
	}
	c.idle[added.address] = append(list, added)
}

// idleTimeout returns how long a connection stays usable while idle, given the response header h.
func idleTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// PruneIdle closes the idle connections to addresses that are not in the given set, and those
// that their endpoints are about to close.
func (c *Client) PruneIdle(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for address, list := range c.idle {
		var kept []*conn
		for _, candidate := range list {
			if addresses[address] && now.Before(candidate.usableUntil) {
				kept = append(kept, candidate)
				continue
			}
			_ = candidate.Close()
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

// raiseAckTimeout calls setAckTimeout after the response has begun and ignores its error. If the
// endpoint closed the connection right after the response, socket options can no longer be set
// and are not needed: the response is read from the data that has arrived.
func (c *conn) raiseAckTimeout(ackTimeout time.Duration) {
	_ = c.setAckTimeout(ackTimeout)
}

// use records a call and returns the use of the connection before it.
func (c *conn) use(callID string) ConnectionUse {
	before := ConnectionUse{Number: c.number, Calls: c.calls, Dropped: c.dropped}
	c.calls++
	if callID != "" {
		c.callIDs = append(c.callIDs, xxhash.Sum64String(callID))
	}
	return before
}

// hasCarried reports whether the connection has carried a call with the ID. It may be wrong in rare
// cases if it has not.
func (c *conn) hasCarried(callID string) bool {
	return callID != "" && slices.Contains(c.callIDs, xxhash.Sum64String(callID))
}

// isReusable reports whether an idle connection has neither unread bytes nor been closed by the
// endpoint.
func (c *conn) isReusable() bool {
	n, err := c.peek()
	return n == 0 && errors.Is(err, syscall.EAGAIN)
}

// hasUnread reports whether bytes have arrived on an idle connection.
func (c *conn) hasUnread() bool {
	n, err := c.peek()
	return n > 0 && err == nil
}

// peek returns the number of bytes that can be read from an idle connection, at most 1 of those
// that are not buffered. The error is EAGAIN if there are none on an open connection.
func (c *conn) peek() (int, error) {
	if n := c.reader.Buffered(); n > 0 {
		return n, nil
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, peekErr := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return 0, err
	}
	return max(n, 0), peekErr
}

var _ io.Closer = (*conn)(nil)
