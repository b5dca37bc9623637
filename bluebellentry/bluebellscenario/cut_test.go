package bluebellscenario_test

import (
	"context"
	"net"
	"sync"
)

// network provides the connections of the entry processes inside the test process. It can
// isolate a failure domain from all others.
type network struct {
	mu sync.Mutex
	// domains holds the failure domain of each IP address.
	domains  map[string]string
	isolated map[string]bool
	conns    map[*interruptibleConn]bool
}

func newNetwork() *network {
	return &network{domains: map[string]string{}, isolated: map[string]bool{}, conns: map[*interruptibleConn]bool{}}
}

// separated reports whether two failure domains differ and one of them is isolated.
func (n *network) separated(a, b string) bool { return a != b && (n.isolated[a] || n.isolated[b]) }

// setIsolated isolates a failure domain or ends its isolation. Connections that are open
// when it is isolated pass no more data, also after the isolation ends.
func (n *network) setIsolated(domain string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[domain] = isolated
	for c := range n.conns {
		if n.separated(c.from, c.to) {
			c.silence()
		}
	}
}

// dialer returns the dial function for processes in one failure domain. Dialing an address
// from which the domain is separated blocks until ctx is done.
func (n *network) dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		to := n.domains[host]
		separated := n.separated(from, to)
		n.mu.Unlock()
		if separated {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &interruptibleConn{Conn: raw, network: n, from: from, to: to, silenced: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[c] = true
		return c, nil
	}
}

// interruptibleConn is a connection that discards all data once it is silenced. Reads then
// block and writes succeed.
type interruptibleConn struct {
	net.Conn
	network  *network
	from, to string
	once     sync.Once
	silenced chan struct{}
}

func (c *interruptibleConn) silence() { c.once.Do(func() { close(c.silenced) }) }

func (c *interruptibleConn) isSilenced() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

func (c *interruptibleConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isSilenced() {
			return n, err
		}
	}
}

func (c *interruptibleConn) Write(b []byte) (int, error) {
	if c.isSilenced() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *interruptibleConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
