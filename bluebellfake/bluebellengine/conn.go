package bluebellengine

import (
	"net"
	"sync"
)

// faultyListener keeps track of its connections, so that they can be cut or
// silenced.
type faultyListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*faultyConn]bool
	dead  bool
}

func newFaultyListener(l net.Listener) *faultyListener {
	return &faultyListener{Listener: l, conns: map[*faultyConn]bool{}}
}

// Accept returns the next connection; while the endpoint is dead, connections
// are closed at once.
func (l *faultyListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &faultyConn{Conn: raw, listener: l, silenced: make(chan struct{}), closed: make(chan struct{})}
		l.mu.Lock()
		dead := l.dead
		if !dead {
			l.conns[c] = true
		}
		l.mu.Unlock()
		if !dead {
			return c, nil
		}
		_ = raw.Close()
	}
}

func (l *faultyListener) open() []*faultyConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []*faultyConn
	for c := range l.conns {
		open = append(open, c)
	}
	return open
}

func (l *faultyListener) setDead(dead bool) {
	l.mu.Lock()
	l.dead = dead
	l.mu.Unlock()
	if dead {
		for _, c := range l.open() {
			_ = c.Conn.Close()
		}
	}
}

func (l *faultyListener) silence() {
	for _, c := range l.open() {
		c.silence()
	}
}

// faultyConn drops what it is given once it is silenced.
type faultyConn struct {
	net.Conn
	listener *faultyListener
	once     sync.Once
	silenced chan struct{}
	closing  sync.Once
	closed   chan struct{}
}

func (c *faultyConn) silence() { c.once.Do(func() { close(c.silenced) }) }

// Read blocks for good on a silenced connection.
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

// Write loses what is written to a silenced connection.
func (c *faultyConn) Write(b []byte) (int, error) {
	select {
	case <-c.silenced:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

// end lets a blocked read return.
func (c *faultyConn) end() {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.closing.Do(func() { close(c.closed) })
}

// Close ends the connection; a silenced one stays open towards its peer.
func (c *faultyConn) Close() error {
	c.end()
	select {
	case <-c.silenced:
		return nil
	default:
		return c.Conn.Close()
	}
}
