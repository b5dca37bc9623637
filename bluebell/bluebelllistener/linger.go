package bluebelllistener

import (
	"io"
	"net"
	"time"
)

// Linger bounds what is read of a connection that is closed while its other side may still send. Closing a connection
// with unread data resets it, and the other side may lose the answer that was sent before.
type Linger struct {
	Timeout  time.Duration
	MaxBytes int64
}

// closeWriter is a connection whose sending side can be closed alone, such as a net.TCPConn.
type closeWriter interface{ CloseWrite() error }

// Close closes the sending side of a connection and drops what arrives until the other side closes, Timeout passes or
// MaxBytes are read. Then it closes the connection and returns the error of that.
func (l Linger) Close(conn net.Conn) error {
	if half, ok := conn.(closeWriter); ok && half.CloseWrite() == nil && conn.SetReadDeadline(time.Now().Add(l.Timeout)) == nil {
		_, _ = io.CopyN(io.Discard, conn, l.MaxBytes)
	}
	return conn.Close()
}
