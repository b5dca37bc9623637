package bluebellpeer

import (
	"context"
	"net"
	"sync"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Name is the name of this process, which is its own peer address.
	Name   string
	Secret []byte
	// Dial opens a connection. If it is nil, net.Dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds one client for each peer process whose name is its peer address. It is
// safe for concurrent use.
type Pool struct {
	cfg PoolConfig

	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns a pool without clients.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg, clients: map[string]*Client{}}
}

// Client returns the client for the process at an address, and creates it if needed.
func (p *Pool) Client(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = NewClient(ClientConfig{
			Address: address, Peer: address, Name: p.cfg.Name, Secret: p.cfg.Secret, Dial: p.cfg.Dial,
		})
		p.clients[address] = c
	}
	return c
}

// Close closes all clients.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}
