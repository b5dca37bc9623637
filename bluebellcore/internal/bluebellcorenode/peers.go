package bluebellcorenode

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/bluebell/bluebellraft"
	"bluebellhaven.org/bluebell/bluebellvoter"
)

const (
	// forwardTimeout bounds one call to a leader: a round trip and a few syncs.
	forwardTimeout    = 600 * time.Millisecond
	proposeRetryDelay = 30 * time.Millisecond
)

// propose has a command agreed by whichever process leads, until ctx ends, and
// waits until its result can be seen here. The commands of discovered deployments
// may be agreed on twice.
func (n *Node) propose(ctx context.Context, c *pb.Command) (*pb.Result, error) {
	var lastErr error
	for ctx.Err() == nil {
		result, err := n.proposeOnce(ctx, c)
		if err == nil {
			return result, n.awaitRevision(ctx, result.Revision)
		}
		lastErr = err
		bluebellprocess.Sleep(ctx, proposeRetryDelay)
	}
	return nil, fmt.Errorf("not agreed in time: %w", lastErr)
}

func (n *Node) proposeOnce(ctx context.Context, c *pb.Command) (*pb.Result, error) {
	leader := n.voter.Status().Leader
	switch leader {
	case "":
		return nil, errors.New("no leader is known")
	case n.id:
		return n.voter.Propose(ctx, c)
	}
	callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply, err := n.pool.Client(bluebellvoter.VMOf(leader)).Propose(callCtx, &pb.ProposeRequest{Command: c, Forwarded: true})
	if err != nil {
		return nil, err
	}
	if reply.NotTaken {
		return nil, fmt.Errorf("%s does not lead", leader)
	}
	return reply.Result, nil
}

// awaitRevision waits until what is agreed shows here.
func (n *Node) awaitRevision(ctx context.Context, revision uint64) error {
	for {
		deployment, current := n.source.Deployment()
		if current >= revision || deployment == nil && revision == 0 {
			return nil
		}
		bluebellprocess.Sleep(ctx, proposeRetryDelay/10)
		if ctx.Err() != nil {
			return fmt.Errorf("revision %d shows here, %d is awaited", current, revision)
		}
	}
}

// handler answers the calls of other processes.
type handler struct {
	*pb.DRPCPeerUnimplementedServer
	node *Node
}

var _ pb.DRPCPeerServer = handler{}

// Raft takes in messages of the consensus protocol.
func (h handler) Raft(ctx context.Context, in *pb.RaftBatch) (*pb.Empty, error) {
	return &pb.Empty{}, h.node.voter.Step(ctx, in.Messages)
}

// Propose has a command agreed if this process leads.
func (h handler) Propose(ctx context.Context, in *pb.ProposeRequest) (*pb.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	result, err := h.node.voter.Propose(ctx, in.Command)
	if errors.Is(err, bluebellraft.ErrNotLeader) || errors.Is(err, bluebellvoter.ErrLost) {
		return &pb.ProposeReply{NotTaken: true, Leader: h.node.voter.Status().Leader}, nil
	}
	if err != nil {
		return nil, err
	}
	return &pb.ProposeReply{Result: result}, nil
}

// Follow answers a follower.
func (h handler) Follow(ctx context.Context, in *pb.FollowRequest) (*pb.FollowReply, error) {
	return h.node.source.Answer(ctx, in), nil
}

// Announce notes another core process.
func (h handler) Announce(_ context.Context, in *pb.AnnounceRequest) (*pb.AnnounceReply, error) {
	if in.ID == "" || bluebellvoter.VMOf(in.ID) != in.Address {
		return nil, fmt.Errorf("identity %q does not belong to address %q", in.ID, in.Address)
	}
	h.node.recordAnnouncement(in)
	return &pb.AnnounceReply{Cores: slices.Clone(h.node.cores())}, nil
}
