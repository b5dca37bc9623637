package bluebellengine

import (
	"net"
	"sync"
)

// faultyListener keeps track of its open connections, so that all of them can be closed
// or silenced.
type faultyListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*faultyConn]bool
	down  bool // new connections are closed at once
}

func newFaultyListener(l net.Listener) *faultyListener {
	return &faultyListener{Listener: l, conns: map[*faultyConn]bool{}}
}

// Accept returns the next connection. While the listener is down, it closes new
// connections at once.
func (l *faultyListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &faultyConn{Conn: raw, listener: l, silenced: make(chan struct{}), closed: make(chan struct{})}
		l.mu.Lock()
		down := l.down
		if !down {
			l.conns[c] = true
		}
		l.mu.Unlock()
		if !down {
			return c, nil
		}
		_ = raw.Close()
	}
}

func (l *faultyListener) openConns() []*faultyConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var conns []*faultyConn
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// setDown sets whether new connections are refused, and closes all open connections if so.
func (l *faultyListener) setDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
	if down {
		for _, c := range l.openConns() {
			_ = c.Conn.Close()
		}
	}
}

// silence silences all connections that are open now.
func (l *faultyListener) silence() {
	for _, c := range l.openConns() {
		c.silence()
	}
}

// faultyConn is a connection that can be silenced: from then on it neither delivers nor
// sends data, while the peer sees it open.
type faultyConn struct {
	net.Conn
	listener    *faultyListener
	silenceOnce sync.Once
	silenced    chan struct{}
	closeOnce   sync.Once
	closed      chan struct{}
}

func (c *faultyConn) silence() { c.silenceOnce.Do(func() { close(c.silenced) }) }

// Read blocks on a silenced connection until the connection is closed.
func (c *faultyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.silenced:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write discards data written to a silenced connection and reports success.
func (c *faultyConn) Write(b []byte) (int, error) {
	select {
	case <-c.silenced:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

// release removes the connection from its listener and unblocks reads on a silenced
// connection.
func (c *faultyConn) release() {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.closeOnce.Do(func() { close(c.closed) })
}

// Close closes the connection. A silenced connection is released but stays open for the
// peer.
func (c *faultyConn) Close() error {
	c.release()
	select {
	case <-c.silenced:
		return nil
	default:
		return c.Conn.Close()
	}
}
