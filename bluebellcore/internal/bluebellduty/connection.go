package bluebellduty

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which the syscall package lacks.
const tcpUserTimeout = 0x12

// DiscardOnClose makes the system discard what it has not delivered of a call when its connection is closed, and when it
// has not been acknowledged for the time timeout. Otherwise a call that was given up arrives once the link is back,
// perhaps behind that of the next holder.
func DiscardOnClose(conn net.Conn, timeout time.Duration) {
	c, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = c.SetLinger(0)
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
	}
}
