package bluebellpeer

import (
	"context"
	"net"
	"sync"
)

// PoolConfig sets up a Pool.
type PoolConfig struct {
	// Name of this process: its own peer address.
	Name   string
	Secret []byte
	// Dial opens connections; the system's if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds one client for each process that is known by its address, which is
// also its name. It is safe for concurrent use.
type Pool struct {
	cfg PoolConfig

	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns a pool without clients.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg, clients: map[string]*Client{}}
}

// Client returns the client of a process.
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

// Close ends all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}
