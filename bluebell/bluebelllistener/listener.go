// Package bluebelllistener keeps servers accepting connections. Servers end at errors of accept(2)
// that concern one connection or a moment, such as a lack of descriptors or buffers, and a process
// whose server has ended serves nobody until it is restarted. It also closes connections so that an answer sent on them
// arrives.
//
// # Usage
//
//	listener = bluebelllistener.New(bluebelllistener.Config{Listener: listener, OnError: logError})
//	err := server.Serve(listener)
package bluebelllistener

import (
	"errors"
	"net"
	"time"
)

// retryDelay is the pause after an error.
const retryDelay = 20 * time.Millisecond

// Config configures a Listener.
type Config struct {
	Listener net.Listener
	// OnError is called with the first of several errors in a row. It may be nil.
	OnError func(err error)
}

// Listener is a net.Listener whose Accept fails only with net.ErrClosed.
type Listener struct {
	net.Listener
	onError func(err error)
}

var _ net.Listener = (*Listener)(nil)

// New returns a Listener that accepts the connections of another one.
func New(cfg Config) *Listener { return &Listener{Listener: cfg.Listener, onError: cfg.OnError} }

// Accept waits for the next connection. It returns net.ErrClosed once the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for n := 0; ; n++ {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if n == 0 && l.onError != nil {
			l.onError(err)
		}
		time.Sleep(retryDelay)
	}
}
