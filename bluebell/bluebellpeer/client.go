package bluebellpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// maxIdle is the number of idle connections that a client keeps.
	maxIdle = 4
	// firstConnectTimeout bounds the opening of a connection with its handshake. The first
	// packet to a VM that is just starting is lost and sent again after a second: another
	// attempt comes sooner. After each that ran out of time the next one has twice as long, up
	// to lastConnectTimeout, which allows for a packet that is sent again, and then the first
	// time again: the peer may have been down, and be starting.
	firstConnectTimeout = 300 * time.Millisecond
	lastConnectTimeout  = 2400 * time.Millisecond
)

// ClientConfig sets up a Client.
type ClientConfig struct {
	// Address of the peer, IP and port, and its expected name.
	Address string
	Peer    string
	// Name of the calling process.
	Name   string
	Secret []byte
	// Dial opens a connection; net.Dialer's if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls one peer. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig

	mu   sync.Mutex
	idle []*peerConn
	// Connections opened before this time are not used again.
	distrustBefore time.Time
	closed         bool
	connectTimeout time.Duration
}

type peerConn struct {
	*drpcconn.Conn
	openedAt time.Time
}

// NewClient returns a client that connects at its first call.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	return &Client{cfg: cfg, connectTimeout: firstConnectTimeout}
}

// Raft sends messages of the consensus protocol.
func (c *Client) Raft(ctx context.Context, in *pb.RaftBatch) error {
	_, err := call(ctx, c, in, pb.DRPCPeerClient.Raft)
	return err
}

// Propose asks for a command to be agreed on.
func (c *Client) Propose(ctx context.Context, in *pb.ProposeRequest) (*pb.ProposeReply, error) {
	return call(ctx, c, in, pb.DRPCPeerClient.Propose)
}

// Watch waits for a newer view.
func (c *Client) Watch(ctx context.Context, in *pb.WatchRequest) (*pb.WatchReply, error) {
	return call(ctx, c, in, pb.DRPCPeerClient.Watch)
}

// Status asks what the peer knows.
func (c *Client) Status(ctx context.Context, in *pb.StatusRequest) (*pb.StatusReply, error) {
	return call(ctx, c, in, pb.DRPCPeerClient.Status)
}

// Follow waits for news of the deployment and its endpoints.
func (c *Client) Follow(ctx context.Context, in *pb.FollowRequest) (*pb.FollowReply, error) {
	return call(ctx, c, in, pb.DRPCPeerClient.Follow)
}

// Announce makes a process with a disk known to the peer.
func (c *Client) Announce(ctx context.Context, in *pb.AnnounceRequest) (*pb.AnnounceReply, error) {
	return call(ctx, c, in, pb.DRPCPeerClient.Announce)
}

// Close ends all idle connections; those in use end with their calls.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.dropIdle()
}

// call makes one call under the deadline of ctx, which must have one.
func call[In, Out any](ctx context.Context, c *Client, in In, method func(pb.DRPCPeerClient, context.Context, In) (Out, error)) (Out, error) {
	var none Out
	if _, ok := ctx.Deadline(); !ok {
		return none, fmt.Errorf("call to %s has no deadline", c.cfg.Peer)
	}
	conn, err := c.take(ctx)
	if err != nil {
		return none, fmt.Errorf("peer %s at %s: %w", c.cfg.Peer, c.cfg.Address, err)
	}
	out, err := method(pb.NewDRPCPeerClient(conn), ctx, in)
	if err != nil {
		c.distrust(conn)
		return none, fmt.Errorf("peer %s at %s: %w", c.cfg.Peer, c.cfg.Address, err)
	}
	c.put(conn)
	return out, nil
}

func (c *Client) take(ctx context.Context) (*peerConn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		select {
		case <-conn.Closed():
			continue
		default:
		}
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	conn, err := c.connect(ctx)
	c.adaptConnectTimeout(err)
	return conn, err
}

// connect opens a connection.
func (c *Client) connect(ctx context.Context) (*peerConn, error) {
	c.mu.Lock()
	ctx, cancel := context.WithTimeout(ctx, c.connectTimeout)
	c.mu.Unlock()
	defer cancel()
	raw, err := c.cfg.Dial(ctx, "tcp", c.cfg.Address)
	if err != nil {
		return nil, err
	}
	name, err := handshake(ctx, raw, c.cfg.Secret, c.cfg.Name, clientSide)
	if err == nil && name != c.cfg.Peer {
		err = fmt.Errorf("%w: it is %s", ErrUnauthenticated, name)
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	conn := drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
	return &peerConn{Conn: conn, openedAt: time.Now()}, nil
}

// adaptConnectTimeout gives the next attempt longer if this one ran out of time.
func (c *Client) adaptConnectTimeout(err error) {
	var ne net.Error
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.connectTimeout = firstConnectTimeout
	case errors.Is(err, context.DeadlineExceeded) || errors.As(err, &ne) && ne.Timeout():
		c.connectTimeout *= 2
		if c.connectTimeout > lastConnectTimeout {
			c.connectTimeout = firstConnectTimeout
		}
	}
}

func (c *Client) put(conn *peerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle) >= maxIdle || conn.openedAt.Before(c.distrustBefore) {
		_ = conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// distrust closes a failed connection and all idle ones that are no younger.
func (c *Client) distrust(conn *peerConn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.openedAt.After(c.distrustBefore) {
		c.distrustBefore = conn.openedAt.Add(1)
	}
	var kept []*peerConn
	for _, other := range c.idle {
		if other.openedAt.Before(c.distrustBefore) {
			_ = other.Close()
			continue
		}
		kept = append(kept, other)
	}
	c.idle = kept
}

func (c *Client) dropIdle() {
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}
