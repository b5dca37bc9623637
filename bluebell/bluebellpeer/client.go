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
	// maxIdleConns is the maximum number of idle connections that a client keeps.
	maxIdleConns = 4
	// firstConnectTimeout limits the time to open a connection, including its handshake. The
	// first packet to a VM that is just starting is lost, and TCP sends it again only after a
	// second; a new attempt is faster. The timeout doubles after each attempt that times out,
	// up to lastConnectTimeout, which is long enough for one retransmission. The attempt after
	// that uses firstConnectTimeout again, since the peer may have been down and may be
	// starting now.
	firstConnectTimeout = 300 * time.Millisecond
	lastConnectTimeout  = 2400 * time.Millisecond
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the IP address and port of the peer.
	Address string
	// Peer is the name that the peer must authenticate with.
	Peer string
	// Name is the name of the calling process.
	Name   string
	Secret []byte
	// Dial opens a connection. If it is nil, net.Dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls one peer. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig

	mu   sync.Mutex
	idle []*peerConn
	// Connections opened before reuseOpenedSince are closed instead of reused.
	reuseOpenedSince time.Time
	closed           bool
	connectTimeout   time.Duration
}

type peerConn struct {
	*drpcconn.Conn
	openedAt time.Time
}

// NewClient returns a client that connects on its first call.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	return &Client{cfg: cfg, connectTimeout: firstConnectTimeout}
}

// Raft sends a batch of Raft messages.
func (c *Client) Raft(ctx context.Context, in *pb.RaftBatch) error {
	_, err := call(ctx, c, in, pb.DRPCPeerClient.Raft)
	return err
}

// Propose asks the peer to add a command to the replicated log.
func (c *Client) Propose(ctx context.Context, in *pb.ProposeRequest) (*pb.ProposeReply, error) {
	return call(ctx, c, in, pb.DRPCPeerClient.Propose)
}

// Watch long-polls the peer for a newer view (the agreed state) and endpoint health.
func (c *Client) Watch(ctx context.Context, in *pb.WatchRequest) (*pb.WatchReply, error) {
	return call(ctx, c, in, pb.DRPCPeerClient.Watch)
}

// Status returns the peer's status.
func (c *Client) Status(ctx context.Context, in *pb.StatusRequest) (*pb.StatusReply, error) {
	return call(ctx, c, in, pb.DRPCPeerClient.Status)
}

// Follow long-polls the peer for changes of the deployment and its endpoints.
func (c *Client) Follow(ctx context.Context, in *pb.FollowRequest) (*pb.FollowReply, error) {
	return call(ctx, c, in, pb.DRPCPeerClient.Follow)
}

// Announce announces a process that has a disk to the peer.
func (c *Client) Announce(ctx context.Context, in *pb.AnnounceRequest) (*pb.AnnounceReply, error) {
	return call(ctx, c, in, pb.DRPCPeerClient.Announce)
}

// CollectUsage asks a core process for what entries have reported to it of some usage windows.
func (c *Client) CollectUsage(ctx context.Context, in *pb.CollectUsageRequest) (*pb.CollectUsageReply, error) {
	return call(ctx, c, in, pb.DRPCPeerClient.CollectUsage)
}

// Close closes all idle connections. Connections in use are closed when their calls end.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.closeIdle()
}

// call makes one call. The context must have a deadline.
func call[In, Out any](ctx context.Context, c *Client, in In, method func(pb.DRPCPeerClient, context.Context, In) (Out, error)) (Out, error) {
	var none Out
	if _, ok := ctx.Deadline(); !ok {
		return none, fmt.Errorf("call to %s has no deadline", c.cfg.Peer)
	}
	conn, err := c.acquire(ctx)
	if err != nil {
		return none, fmt.Errorf("peer %s at %s: %w", c.cfg.Peer, c.cfg.Address, err)
	}
	out, err := method(pb.NewDRPCPeerClient(conn), ctx, in)
	if err != nil {
		c.discard(conn)
		return none, fmt.Errorf("peer %s at %s: %w", c.cfg.Peer, c.cfg.Address, err)
	}
	c.release(conn)
	return out, nil
}

// acquire returns an open idle connection, or else a new one.
func (c *Client) acquire(ctx context.Context) (*peerConn, error) {
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

// connect opens and authenticates a connection.
func (c *Client) connect(ctx context.Context) (*peerConn, error) {
	c.mu.Lock()
	ctx, cancel := context.WithTimeout(ctx, c.connectTimeout)
	c.mu.Unlock()
	defer cancel()
	netConn, err := c.cfg.Dial(ctx, "tcp", c.cfg.Address)
	if err != nil {
		return nil, err
	}
	name, err := handshake(ctx, netConn, c.cfg.Secret, c.cfg.Name, clientSide)
	if err == nil && name != c.cfg.Peer {
		err = fmt.Errorf("%w: peer has name %q", ErrUnauthenticated, name)
	}
	if err != nil {
		_ = netConn.Close()
		return nil, err
	}
	conn := drpcconn.NewWithOptions(netConn, drpcconn.Options{Manager: managerOptions()})
	return &peerConn{Conn: conn, openedAt: time.Now()}, nil
}

// adaptConnectTimeout sets the timeout of the next attempt to connect from the result of
// this one.
func (c *Client) adaptConnectTimeout(err error) {
	var netErr net.Error
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.connectTimeout = firstConnectTimeout
	case errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout():
		c.connectTimeout *= 2
		if c.connectTimeout > lastConnectTimeout {
			c.connectTimeout = firstConnectTimeout
		}
	}
}

// release makes a connection idle after a successful call, or closes it.
func (c *Client) release(conn *peerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle) >= maxIdleConns || conn.openedAt.Before(c.reuseOpenedSince) {
		_ = conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// discard closes a failed connection and all idle connections that were opened no later.
func (c *Client) discard(conn *peerConn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.openedAt.After(c.reuseOpenedSince) {
		c.reuseOpenedSince = conn.openedAt.Add(1)
	}
	var kept []*peerConn
	for _, other := range c.idle {
		if other.openedAt.Before(c.reuseOpenedSince) {
			_ = other.Close()
			continue
		}
		kept = append(kept, other)
	}
	c.idle = kept
}

// closeIdle closes all idle connections. The caller holds c.mu.
func (c *Client) closeIdle() {
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}
