package bluebellfrontend

import (
	"net"
	"sync/atomic"
	"time"

	"bluebellhaven.org/bluebell/bluebelllistener"
)

// linger bounds what is read of a request after it was refused.
var linger = bluebelllistener.Linger{Timeout: 2 * time.Second, MaxBytes: 64 << 20}

// lingerListener accepts connections that can read on for a while before they close. A
// caller that is still sending its request can then read the refusal. Closing a connection
// with unread data would reset it, and the answer would be lost.
type lingerListener struct{ net.Listener }

// Accept returns the next connection.
func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: c}, nil
}

// lingerConn is a connection that a lingerListener accepted.
type lingerConn struct {
	net.Conn
	// lingerOnClose makes Close read the rest of the request first.
	lingerOnClose atomic.Bool
}

// enableLinger sets lingerOnClose, for a connection whose request was not read to its end.
func enableLinger(c net.Conn) {
	if lc, ok := c.(*lingerConn); ok {
		lc.lingerOnClose.Store(true)
	}
}

// Close closes the connection. If lingerOnClose is set, it lingers until the caller closes.
func (c *lingerConn) Close() error {
	if c.lingerOnClose.Load() {
		return linger.Close(c.Conn)
	}
	return c.Conn.Close()
}
