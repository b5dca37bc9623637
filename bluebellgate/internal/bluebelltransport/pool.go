package bluebelltransport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// silentConnection is how long a connection may go without an acknowledgement
	// before the kernel gives it up, unless its call is to have longer.
	silentConnection = 2 * time.Second
	keepAliveEvery   = time.Second
	// maxIdlePerAddress bounds the kept connections to one endpoint.
	maxIdlePerAddress = 32
	// idleFor is how long a connection is kept when the endpoint does not say.
	idleFor = 8 * time.Second
	// idleMargin is taken off what the endpoint says.
	idleMargin     = 500 * time.Millisecond
	readBufferSize = 8 << 10
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 0x12
)

// Config sets up a Client.
type Config struct {
	// Dial opens connections; the system's if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnConnect is called for each new connection, if not nil.
	OnConnect func(address string)
}

// Client keeps connections to endpoints. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	reused  bool
	// silence is how long it may go without an acknowledgement.
	silence time.Duration
	// goOn is that of the present call's Request.
	goOn func() time.Time
	// usableUntil is when the endpoint may close it.
	usableUntil time.Time
}

// NewClient returns a client without connections.
func NewClient(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = dialer().DialContext
	}
	return &Client{cfg: cfg, idle: map[string][]*conn{}}
}

// dialer notices connections that have gone silent.
func dialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: keepAlive(silentConnection),
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, silentConnection) },
	}
}

func keepAlive(silence time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: keepAliveEvery, Interval: keepAliveEvery, Count: max(int(silence/keepAliveEvery), 1),
	}
}

func setUserTimeout(raw syscall.RawConn, silence time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
	})
	return errors.Join(err, setErr)
}

// tolerate sets how long the connection may go without an acknowledgement, in whole seconds.
func (c *conn) tolerate(silence time.Duration) error {
	silence = max(silence.Truncate(time.Second), silentConnection)
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || silence == c.silence {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	if err := errors.Join(tcp.SetKeepAliveConfig(keepAlive(silence)), setUserTimeout(raw, silence)); err != nil {
		return err
	}
	c.silence = silence
	return nil
}

// open returns a kept connection that is quiet, or a new one.
func (c *Client) open(ctx context.Context, address string, within time.Duration) (*conn, error) {
	for {
		kept := c.take(address)
		if kept == nil {
			break
		}
		if time.Now().Before(kept.usableUntil) && kept.quiet() {
			kept.reused = true
			return kept, nil
		}
		_ = kept.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	raw, err := c.cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.cfg.OnConnect != nil {
		c.cfg.OnConnect(address)
	}
	opened := &conn{Conn: raw, address: address, silence: silentConnection}
	opened.reader = bufio.NewReaderSize(opened, readBufferSize)
	return opened, nil
}

// Read reads on after a deadline for as long as the present call has the patience.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.goOn == nil {
			return n, err
		}
		until := c.goOn()
		if !time.Now().Before(until) {
			return n, err
		}
		if err := c.SetReadDeadline(until); err != nil {
			return 0, err
		}
	}
}

// take returns the connection that was used last, so that others fall idle.
func (c *Client) take(address string) *conn {
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

func (c *Client) keep(one *conn, h http.Header) {
	one.usableUntil = time.Now().Add(keepFor(h))
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[one.address]
	if len(list) >= maxIdlePerAddress {
		_ = one.Close()
		return
	}
	c.idle[one.address] = append(list, one)
}

// keepFor returns how long the endpoint keeps an idle connection.
func keepFor(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return idleFor
}

// PruneIdle closes the idle connections to all other addresses, and those that their
// endpoints are about to close.
func (c *Client) PruneIdle(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for address, list := range c.idle {
		var kept []*conn
		for _, one := range list {
			if addresses[address] && now.Before(one.usableUntil) {
				kept = append(kept, one)
				continue
			}
			_ = one.Close()
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

// tolerateLonger does so for an answer that has begun. A connection that has ended behind the
// answer allows no change, and needs none: the answer is read from what has come.
func (c *conn) tolerateLonger(silence time.Duration) {
	_ = c.tolerate(silence)
}

// quiet tells whether nothing has come on an idle connection, neither bytes nor
// its end.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

var _ io.Closer = (*conn)(nil)
