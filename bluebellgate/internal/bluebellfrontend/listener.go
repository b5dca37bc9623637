package bluebellfrontend

import (
	"errors"
	"net"
	"time"

	"github.com/charmbracelet/log"
)

// acceptRetryDelay is the pause after an error of Accept.
const acceptRetryDelay = 20 * time.Millisecond

// retryingListener accepts connections until it is closed. The HTTP server stops for good at errors
// such as ENOBUFS, which concern one connection or a moment.
type retryingListener struct {
	net.Listener
	logger *log.Logger
}

func (l retryingListener) Accept() (net.Conn, error) {
	logged := false
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if !logged {
			l.logger.Warn("failed to accept a connection", "Address", l.Addr(), "Error", err)
			logged = true
		}
		time.Sleep(acceptRetryDelay)
	}
}
