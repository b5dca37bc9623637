package bluebellpeer

import (
	"context"
	"fmt"
	"net"
	"sync"

	"bluebellhaven.org/bluebell/bluebelllistener"
)

// maxHandshakes limits the connections whose handshakes are in progress or that wait to be accepted.
const maxHandshakes = 256

// Authenticate performs the handshake of a client on a new connection to the peer with the given name.
// It must finish before the deadline of ctx. The connection can then carry any protocol.
func Authenticate(ctx context.Context, conn net.Conn, secret []byte, name, peer string) error {
	got, err := handshake(ctx, conn, secret, name, clientSide)
	if err == nil && got != peer {
		err = fmt.Errorf("%w: peer has name %q", ErrUnauthenticated, got)
	}
	return err
}

// Listener accepts connections of authenticated peers, which can then carry any protocol.
type Listener struct {
	net.Listener
	secret []byte
	name   string

	accepted chan net.Conn
	slots    chan struct{}
	// failed is closed when the listener has been closed, and err says so.
	failed chan struct{}
	err    error
	ctx    context.Context
	cancel context.CancelFunc
	start  sync.Once
}

// NewListener returns a listener that authenticates the connections of another one as the process
// with the given name. Connections that fail the handshake are closed.
func NewListener(listener net.Listener, secret []byte, name string) *Listener {
	ctx, cancel := context.WithCancel(context.Background())
	return &Listener{
		Listener: bluebelllistener.New(bluebelllistener.Config{Listener: listener}), secret: secret, name: name, accepted: make(chan net.Conn), slots: make(chan struct{}, maxHandshakes),
		failed: make(chan struct{}), ctx: ctx, cancel: cancel,
	}
}

// Accept returns the next authenticated connection.
func (l *Listener) Accept() (net.Conn, error) {
	l.start.Do(func() { go l.run() })
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.failed:
		return nil, l.err
	}
}

// Close closes the listener and the connections that have not been accepted.
func (l *Listener) Close() error {
	l.cancel()
	return l.Listener.Close()
}

// run accepts connections and authenticates them side by side, since a handshake may hang.
func (l *Listener) run() {
	defer close(l.failed)
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			l.err = err
			return
		}
		select {
		case l.slots <- struct{}{}:
			go l.authenticate(conn)
		default:
			_ = conn.Close()
		}
	}
}

func (l *Listener) authenticate(conn net.Conn) {
	defer func() { <-l.slots }()
	stop := context.AfterFunc(l.ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := handshake(l.ctx, conn, l.secret, l.name, serverSide); err != nil {
		_ = conn.Close()
		return
	}
	select {
	case l.accepted <- conn:
	case <-l.ctx.Done():
		_ = conn.Close()
	}
}
