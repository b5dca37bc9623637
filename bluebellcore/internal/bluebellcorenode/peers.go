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
	forwardTimeout = 600 * time.Millisecond
	proposePause   = 30 * time.Millisecond
)

// propose has a command agreed by whichever process leads, until ctx ends, and
// waits until its result can be seen here. The commands of discovered deployments
// may be agreed on twice.
func (k *Keeper) propose(ctx context.Context, c *pb.Command) (*pb.Result, error) {
	var failed error
	for ctx.Err() == nil {
		result, err := k.proposeOnce(ctx, c)
		if err == nil {
			return result, k.awaitRevision(ctx, result.Revision)
		}
		failed = err
		bluebellprocess.Sleep(ctx, proposePause)
	}
	return nil, fmt.Errorf("not agreed in time: %w", failed)
}

func (k *Keeper) proposeOnce(ctx context.Context, c *pb.Command) (*pb.Result, error) {
	leader := k.voter.Status().Leader
	switch leader {
	case "":
		return nil, errors.New("no leader is known")
	case k.id:
		return k.voter.Propose(ctx, c)
	}
	callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply, err := k.pool.Client(bluebellvoter.VMOf(leader)).Propose(callCtx, &pb.ProposeRequest{Command: c, Forwarded: true})
	if err != nil {
		return nil, err
	}
	if reply.NotTaken {
		return nil, fmt.Errorf("%s does not lead", leader)
	}
	return reply.Result, nil
}

// awaitRevision waits until what is agreed shows here.
func (k *Keeper) awaitRevision(ctx context.Context, revision uint64) error {
	for {
		deployment, own := k.source.Deployment()
		if own >= revision || deployment == nil && revision == 0 {
			return nil
		}
		bluebellprocess.Sleep(ctx, proposePause/10)
		if ctx.Err() != nil {
			return fmt.Errorf("revision %d shows here, %d is awaited", own, revision)
		}
	}
}

// handler answers the calls of other processes.
type handler struct {
	*pb.DRPCPeerUnimplementedServer
	keeper *Keeper
}

var _ pb.DRPCPeerServer = handler{}

// Raft takes in messages of the consensus protocol.
func (h handler) Raft(ctx context.Context, in *pb.RaftBatch) (*pb.Empty, error) {
	return &pb.Empty{}, h.keeper.voter.Step(ctx, in.Messages)
}

// Propose has a command agreed if this process leads.
func (h handler) Propose(ctx context.Context, in *pb.ProposeRequest) (*pb.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	result, err := h.keeper.voter.Propose(ctx, in.Command)
	if errors.Is(err, bluebellraft.ErrNotLeader) || errors.Is(err, bluebellvoter.ErrLost) {
		return &pb.ProposeReply{NotTaken: true, Leader: h.keeper.voter.Status().Leader}, nil
	}
	if err != nil {
		return nil, err
	}
	return &pb.ProposeReply{Result: result}, nil
}

// Follow answers a follower.
func (h handler) Follow(ctx context.Context, in *pb.FollowRequest) (*pb.FollowReply, error) {
	return h.keeper.source.Answer(ctx, in), nil
}

// Announce notes another core process.
func (h handler) Announce(_ context.Context, in *pb.AnnounceRequest) (*pb.AnnounceReply, error) {
	if in.ID == "" || bluebellvoter.VMOf(in.ID) != in.Address {
		return nil, fmt.Errorf("identity %q does not belong to address %q", in.ID, in.Address)
	}
	h.keeper.hear(in)
	return &pb.AnnounceReply{Cores: slices.Clone(h.keeper.cores())}, nil
}
