package bluebellscenario_test

import (
	"context"
	"net"
	"sync"
)

// network connects the processes of one cluster, and can cut failure domains off.
type network struct {
	mu sync.Mutex
	// domains by IP address
	domains map[string]string
	cut     map[string]bool
	conns   map[*cutConn]bool
}

func newNetwork() *network {
	return &network{domains: map[string]string{}, cut: map[string]bool{}, conns: map[*cutConn]bool{}}
}

func (n *network) severed(a, b string) bool { return a != b && (n.cut[a] || n.cut[b]) }

// setCut cuts a failure domain off or heals it. Connections that are open when it
// is cut off stay silent for good.
func (n *network) setCut(domain string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[domain] = cut
	for c := range n.conns {
		if n.severed(c.from, c.to) {
			c.silence()
		}
	}
}

// dialer returns the dial function of one failure domain.
func (n *network) dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		to := n.domains[host]
		severed := n.severed(from, to)
		n.mu.Unlock()
		if severed {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &cutConn{Conn: raw, network: n, from: from, to: to, silent: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[c] = true
		return c, nil
	}
}

// cutConn loses what passes over it once it is silent.
type cutConn struct {
	net.Conn
	network  *network
	from, to string
	once     sync.Once
	silent   chan struct{}
}

func (c *cutConn) silence() { c.once.Do(func() { close(c.silent) }) }

func (c *cutConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *cutConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

func (c *cutConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *cutConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
