package bluebellfrontend

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// lingerFor and lingerBytes bound what is read of a request after it was
	// refused.
	lingerFor   = 2 * time.Second
	lingerBytes = 64 << 20
)

// lingerListener lets a caller that is still sending read its refusal: closing a
// connection with unread data would reset it, and the answer would be lost.
type lingerListener struct{ net.Listener }

// Accept returns the next connection.
func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: c}, nil
}

type lingerConn struct {
	net.Conn
	lingers atomic.Bool
}

// lingerOn marks a connection whose request was not read to its end.
func lingerOn(c net.Conn) {
	if lc, ok := c.(*lingerConn); ok {
		lc.lingers.Store(true)
	}
}

// Close ends the connection, after reading for a while if it is marked.
func (c *lingerConn) Close() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if c.lingers.Load() && ok && tcp.CloseWrite() == nil && tcp.SetReadDeadline(time.Now().Add(lingerFor)) == nil {
		_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
	}
	return c.Conn.Close()
}
