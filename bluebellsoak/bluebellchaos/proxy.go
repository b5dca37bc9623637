package bluebellchaos

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to connections.
type mode int

const (
	passing mode = iota
	// delaying holds each piece back for a while.
	delaying
	// silencing takes bytes and hands none on; connections stay open.
	silencing
	// deaf hands on what clients send, and no answers.
	deaf
	// refusing resets connections.
	refusing
)

func (m mode) String() string {
	return [...]string{"passing", "delaying", "silencing", "deaf", "refusing"}[m]
}

const (
	proxyDelay   = 150 * time.Millisecond
	proxyPatient = 50 * time.Millisecond
	proxyBuffer  = 32 << 10
)

// proxy forwards connections to one address.
type proxy struct {
	listener net.Listener
	to       string
	group    sync.WaitGroup

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
	// stuck connections were open while bytes were lost: nothing passes on them again.
	stuck map[net.Conn]bool
}

func newProxy(listen, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &proxy{listener: listener, to: to, conns: map[net.Conn]bool{}, stuck: map[net.Conn]bool{}}
	p.group.Go(p.accept)
	return p, nil
}

// set changes the mode. Resetting ends what is open.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for conn := range p.conns {
		switch m {
		case refusing:
			reset(conn)
		case silencing, deaf:
			p.stuck[conn] = true
		}
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(refusing)
	p.group.Wait()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.carry(client) })
	}
}

func (p *proxy) current(conn net.Conn) (mode, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.stuck[conn]
}

func (p *proxy) track(conn net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.conns[conn] = true
		return
	}
	delete(p.conns, conn)
	delete(p.stuck, conn)
}

func (p *proxy) carry(client net.Conn) {
	p.track(client, true)
	defer p.track(client, false)
	defer func() { _ = client.Close() }()
	if m, _ := p.current(client); m == refusing {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		reset(client)
		return
	}
	p.track(server, true)
	defer p.track(server, false)
	defer func() { _ = server.Close() }()
	var pipes sync.WaitGroup
	pipes.Go(func() { p.pipe(server, client, client, true) })
	pipes.Go(func() { p.pipe(client, server, client, false) })
	pipes.Wait()
}

// pipe copies one way until an end closes.
func (p *proxy) pipe(to, from, client net.Conn, forward bool) {
	buffer := make([]byte, proxyBuffer)
	defer func() {
		// The other way ends too, as it does when a process dies.
		_ = to.Close()
		_ = from.Close()
	}()
	for {
		if err := from.SetReadDeadline(time.Now().Add(proxyPatient)); err != nil {
			return
		}
		n, err := from.Read(buffer)
		if n > 0 && !p.forward(to, client, buffer[:n], forward) {
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

func (p *proxy) forward(to, client net.Conn, data []byte, forward bool) bool {
	m, stuck := p.current(client)
	switch {
	case m == silencing, m == deaf && !forward, stuck && (m != deaf || !forward):
		p.mu.Lock()
		p.stuck[client] = true
		p.mu.Unlock()
		return true
	case m == delaying:
		time.Sleep(proxyDelay)
	}
	_, err := to.Write(data)
	return err == nil || errors.Is(err, io.ErrShortWrite)
}
