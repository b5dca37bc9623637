package bluebellchaos

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats connections and the data on them.
type mode int

const (
	// modePass forwards all data.
	modePass mode = iota
	// modeDelay forwards each chunk of data after forwardDelay.
	modeDelay
	// modeDropAll reads data and drops it in both directions; connections stay open.
	modeDropAll
	// modeDropAnswers forwards data of clients and drops data of servers.
	modeDropAnswers
	// modeReset resets open and new connections.
	modeReset
	// modeHold keeps data back until another mode is set, and loses none.
	modeHold
)

func (m mode) String() string {
	return [...]string{"passing", "delaying", "silencing", "deaf", "refusing", "holding"}[m]
}

const (
	// forwardDelay is how long modeDelay holds back each chunk of data.
	forwardDelay = 150 * time.Millisecond
	// readPollInterval bounds one read, after which the pipe reads again.
	readPollInterval = 50 * time.Millisecond
	// holdPollInterval is the interval at which held data looks whether it may go on.
	holdPollInterval = 5 * time.Millisecond
	bufferBytes      = 32 << 10
)

// proxy is a TCP proxy in front of one address that can impair its connections.
type proxy struct {
	goroutines sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	target   string
	mode     mode
	// conns holds the open connections to clients and to the server.
	conns map[net.Conn]bool
	// stalled holds connections on which data may have been dropped. They carry no data again,
	// since the byte stream would have a gap; only modeDropAnswers still forwards data of clients.
	stalled map[net.Conn]bool
}

// newProxy starts a proxy that listens on one address and connects to another.
func newProxy(listen, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}, stalled: map[net.Conn]bool{}}
	p.goroutines.Go(func() { p.accept(listener) })
	return p, nil
}

// refuse closes the listener, so that new connections are refused as if the server were not running.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
}

// listenAgain ends the effect of refuse.
func (p *proxy) listenAgain() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	listener, err := net.Listen("tcp", p.listener.Addr().String())
	if err != nil {
		return fmt.Errorf("proxy: %w", err)
	}
	p.listener = listener
	p.goroutines.Go(func() { p.accept(listener) })
	return nil
}

// retarget resets all connections and connects new ones to another address.
func (p *proxy) retarget(target string) {
	p.setMode(modeReset)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target, p.mode = target, modePass
}

// setMode changes the mode. modeReset resets the open connections; the modes that drop data
// mark them as stalled.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for conn := range p.conns {
		switch m {
		case modeReset:
			reset(conn)
		case modeDropAll, modeDropAnswers:
			p.stalled[conn] = true
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// close stops listening, resets all connections and waits for their goroutines.
func (p *proxy) close() {
	p.refuse()
	p.setMode(modeReset)
	p.goroutines.Wait()
}

func (p *proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.handle(client) })
	}
}

// state returns the mode and whether conn is stalled.
func (p *proxy) state(conn net.Conn) (mode, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.stalled[conn]
}

// setTracked adds conn to the open connections or removes it.
func (p *proxy) setTracked(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = true
		return
	}
	delete(p.conns, conn)
	delete(p.stalled, conn)
}

// handle connects a client connection to the target and copies data in both directions.
func (p *proxy) handle(client net.Conn) {
	p.setTracked(client, true)
	defer p.setTracked(client, false)
	defer func() { _ = client.Close() }()
	if m, _ := p.state(client); m == modeReset {
		reset(client)
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		reset(client)
		return
	}
	p.setTracked(server, true)
	defer p.setTracked(server, false)
	defer func() { _ = server.Close() }()
	var pipes sync.WaitGroup
	pipes.Go(func() { p.pipe(server, client, client, true) })
	pipes.Go(func() { p.pipe(client, server, client, false) })
	pipes.Wait()
}

// pipe copies data in one direction until either connection closes.
func (p *proxy) pipe(to, from, client net.Conn, toServer bool) {
	buffer := make([]byte, bufferBytes)
	defer func() {
		// Closing both connections ends the other direction too, as when a process dies.
		_ = to.Close()
		_ = from.Close()
	}()
	for {
		if err := from.SetReadDeadline(time.Now().Add(readPollInterval)); err != nil {
			return
		}
		n, err := from.Read(buffer)
		if n > 0 && !p.relay(to, client, buffer[:n], toServer) {
			return
		}
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			continue
		}
		if err != nil {
			return
		}
	}
}

// relay writes data to a connection, or delays or drops it as the mode demands. It reports whether
// the pipe can go on. client is the client connection of the pair; toServer is the direction.
func (p *proxy) relay(to, client net.Conn, data []byte, toServer bool) bool {
	m, stalled := p.state(client)
	for ; m == modeHold; m, stalled = p.state(client) {
		time.Sleep(holdPollInterval)
	}
	switch {
	case m == modeDropAll, m == modeDropAnswers && !toServer, stalled && (m != modeDropAnswers || !toServer):
		p.mu.Lock()
		p.stalled[client] = true
		p.mu.Unlock()
		return true
	case m == modeDelay:
		time.Sleep(forwardDelay)
	}
	_, err := to.Write(data)
	return err == nil || errors.Is(err, io.ErrShortWrite)
}
