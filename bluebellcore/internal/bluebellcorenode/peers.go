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
	// forwardTimeout bounds one call to a leader: a round trip and a few disk syncs.
	forwardTimeout    = 600 * time.Millisecond
	proposeRetryDelay = 30 * time.Millisecond
)

// propose sends a command to the current leader, retries until it is agreed or ctx ends, and
// waits until this process has applied the result. A retry may commit a command twice, which
// the commands of discovered deployments tolerate.
func (n *Node) propose(ctx context.Context, c *pb.Command) (*pb.Result, error) {
	return n.proposeAfter(ctx, c, 0)
}

// proposeAfter is like propose, but the command is appended only as bluebellvoter.Voter.ProposeAfter allows, unless
// after is 0.
func (n *Node) proposeAfter(ctx context.Context, c *pb.Command, after uint64) (*pb.Result, error) {
	var lastErr error
	for ctx.Err() == nil {
		result, err := n.proposeOnce(ctx, c, after)
		if err == nil {
			return result, n.awaitRevision(ctx, result.Revision)
		}
		lastErr = err
		bluebellprocess.Sleep(ctx, proposeRetryDelay)
	}
	return nil, fmt.Errorf("not agreed in time: %w", lastErr)
}

func (n *Node) proposeOnce(ctx context.Context, c *pb.Command, after uint64) (*pb.Result, error) {
	leader := n.voter.Status().Leader
	switch leader {
	case "":
		return nil, errors.New("no leader is known")
	case n.id:
		return n.voter.ProposeAfter(ctx, c, after)
	}
	callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply, err := n.pool.Client(bluebellvoter.VMOf(leader)).Propose(callCtx, &pb.ProposeRequest{Command: c, Forwarded: true, After: after})
	if err != nil {
		return nil, err
	}
	if reply.NotTaken {
		return nil, fmt.Errorf("%s does not lead", leader)
	}
	return reply.Result, nil
}

// awaitRevision waits until this process publishes the given revision or a later one.
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

// handler serves the calls of other processes.
type handler struct {
	*pb.DRPCPeerUnimplementedServer
	node *Node
}

var _ pb.DRPCPeerServer = handler{}

// Raft processes messages of the consensus protocol.
func (h handler) Raft(ctx context.Context, in *pb.RaftBatch) (*pb.Empty, error) {
	return &pb.Empty{}, h.node.voter.Step(ctx, in.Messages)
}

// Propose commits a command if this process leads. If it does not lead, or loses leadership
// before the commit, the reply has NotTaken set and names the leader that this process knows.
func (h handler) Propose(ctx context.Context, in *pb.ProposeRequest) (*pb.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	result, err := h.node.voter.ProposeAfter(ctx, in.Command, in.After)
	if errors.Is(err, bluebellraft.ErrNotLeader) || errors.Is(err, bluebellvoter.ErrLeaderChanged) {
		return &pb.ProposeReply{NotTaken: true, Leader: h.node.voter.Status().Leader}, nil
	}
	if err != nil {
		return nil, err
	}
	return &pb.ProposeReply{Result: result}, nil
}

// Follow returns the changes that a follower lacks.
func (h handler) Follow(ctx context.Context, in *pb.FollowRequest) (*pb.FollowReply, error) {
	return h.node.source.Answer(ctx, in), nil
}

// CollectUsage returns what entries have reported of some usage windows.
func (h handler) CollectUsage(_ context.Context, in *pb.CollectUsageRequest) (*pb.CollectUsageReply, error) {
	if h.node.usage == nil {
		return &pb.CollectUsageReply{}, nil
	}
	return &pb.CollectUsageReply{Entries: h.node.usage.Collect(in.Windows)}, nil
}

// Announce records another core process and returns all known ones.
func (h handler) Announce(_ context.Context, in *pb.AnnounceRequest) (*pb.AnnounceReply, error) {
	if in.ID == "" || bluebellvoter.VMOf(in.ID) != in.Address {
		return nil, fmt.Errorf("identity %q does not belong to address %q", in.ID, in.Address)
	}
	h.node.recordAnnouncement(in)
	return &pb.AnnounceReply{Cores: slices.Clone(h.node.cores())}, nil
}
