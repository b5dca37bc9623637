package bluebellfrontend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"bluebellhaven.org/bluebell/bluebellbody"
)

const (
	// maxHeldHeads is the limit on the headers of all calls together, without the first ownHeadBytes of each, for
	// which every connection has a buffer. A header takes several times as much memory while it is parsed.
	maxHeldHeads = 6 << 20
	ownHeadBytes = 4 << 10
)

// headListener accepts connections on which the headers of calls share the memory of a pool.
type headListener struct {
	net.Listener
	pool *bluebellbody.Pool
}

// Accept waits for the next connection.
func (l headListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &headConn{Conn: conn}
	// An error means that the connection is closed already.
	c.head = l.pool.Open(func() { _ = conn.Close() })
	c.inHead.Store(true)
	return c, nil
}

// headConn is a connection of a caller.
type headConn struct {
	net.Conn
	head *bluebellbody.Body
	// inHead is set until the header of a call has been read, and bytes the number of bytes until then.
	inHead atomic.Bool
	bytes  int64
}

// Read fails if there is no room for the header.
func (c *headConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || !c.inHead.Load() {
		return n, err
	}
	before := c.heldBytes()
	c.bytes += int64(n)
	if held := c.heldBytes(); held > before {
		if err := c.head.Reserve(held - before); err != nil {
			// The HTTP server answers other errors with status 400.
			return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
		}
	}
	return n, err
}

// heldBytes returns the bytes of the header that count.
func (c *headConn) heldBytes() int64 { return max(c.bytes-ownHeadBytes, 0) }

// CloseWrite makes the HTTP server send all of a response before it closes a connection with unread bytes. The server
// holds no header any more then, but the connection for a while.
func (c *headConn) CloseWrite() error {
	c.callEnded()
	c.inHead.Store(false)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// headRead records that the header of a call was read.
func (c *headConn) headRead() {
	c.inHead.Store(false)
	if held := c.heldBytes(); held > 0 {
		c.head.Settle(held)
	}
}

// callEnded frees the memory of the header.
func (c *headConn) callEnded() {
	if c.heldBytes() > 0 {
		c.head.Release()
	}
	c.bytes = 0
	c.inHead.Store(true)
}

type headConnKey struct{}

// withHeadConn is the ConnContext function of a server whose listener is a headListener.
func withHeadConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, headConnKey{}, conn)
}

// headRead records that the header of a call was read.
func headRead(r *http.Request) {
	if conn, ok := r.Context().Value(headConnKey{}).(*headConn); ok {
		conn.headRead()
	}
}

// trackHeads is a ConnState function like track.
func (c *connections) trackHeads(conn net.Conn, state http.ConnState) {
	c.track(conn, state)
	if held, ok := conn.(*headConn); ok && (state == http.StateIdle || state == http.StateClosed) {
		held.callEnded()
	}
}
