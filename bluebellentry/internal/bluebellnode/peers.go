package bluebellnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellpeer"
	"bluebellhaven.org/bluebell/bluebellraft"
	"bluebellhaven.org/bluebell/bluebellvoter"
)

const (
	// proposeCallTimeout limits one call that proposes a command to a voter.
	proposeCallTimeout = 1500 * time.Millisecond
	// proposeRetryInterval is the pause between two rounds of attempts.
	proposeRetryInterval = 50 * time.Millisecond
	// statusCallTimeout limits the status calls to the voters.
	statusCallTimeout = 500 * time.Millisecond
)

// peerSet holds the addresses of all known VMs and a client for each VM that was called.
// It is safe for concurrent use.
type peerSet struct {
	vm     string
	secret []byte
	dial   func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	vms     map[string]*pb.VM
	clients map[string]*bluebellpeer.Client
	// leader is the VM that accepted the last command, or that a voter named as leader
	// since then. It is empty if no leader is known.
	leader string
}

// newPeerSet returns a set with the VMs of the given lists. Dial may be nil.
func newPeerSet(vm string, secret []byte, dial func(ctx context.Context, network, address string) (net.Conn, error), initial ...[]*pb.VM) *peerSet {
	p := &peerSet{vm: vm, secret: secret, dial: dial, vms: map[string]*pb.VM{}, clients: map[string]*bluebellpeer.Client{}}
	for _, list := range initial {
		p.update(list)
	}
	return p
}

// update sets the addresses of VMs. It closes the client of a VM whose address or port
// has changed, so that the next call opens a new one.
func (p *peerSet) update(vms []*pb.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range vms {
		old := p.vms[v.Name]
		if old != nil && old.Address == v.Address && old.PeerPort == v.PeerPort && old.CallerPort == v.CallerPort {
			continue
		}
		p.vms[v.Name] = v
		if c := p.clients[v.Name]; c != nil {
			c.Close()
			delete(p.clients, v.Name)
		}
	}
}

// client returns the client of a VM and creates it if there is none.
func (p *peerSet) client(vm string) (*bluebellpeer.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[vm]; c != nil {
		return c, nil
	}
	v := p.vms[vm]
	if v == nil {
		return nil, fmt.Errorf("VM %q is not known", vm)
	}
	c := bluebellpeer.NewClient(bluebellpeer.ClientConfig{
		Address: hostPort(v.Address, v.PeerPort), Peer: vm, Name: p.vm, Secret: p.secret, Dial: p.dial,
	})
	p.clients[vm] = c
	return c, nil
}

// callerAddress returns the address at which a VM accepts calls, or "" if the VM is not
// known.
func (p *peerSet) callerAddress(vm string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.vms[vm]
	if v == nil {
		return ""
	}
	return hostPort(v.Address, v.CallerPort)
}

func hostPort(address string, port uint32) string {
	return net.JoinHostPort(address, strconv.FormatUint(uint64(port), 10))
}

func (p *peerSet) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}

// propose sends a command to the voters until the leader answers that it is agreed, and
// returns the result. It stops when ctx is done; ctx must have a deadline. The first round ends
// as soon as a voter other than the one just asked is known as the leader. Later rounds
// ask all voters, the known leader first.
func (p *peerSet) propose(ctx context.Context, voters []string, c *pb.Command) (*pb.Result, error) {
	if _, ok := ctx.Deadline(); !ok {
		return nil, errors.New("proposal has no deadline")
	}
	err := errors.New("no voter is known")
	for round := 0; ; round++ {
		for _, vm := range p.leaderFirst(voters) {
			var reply *pb.ProposeReply
			reply, err = p.proposeTo(ctx, vm, c)
			if err == nil && !reply.NotTaken {
				p.setLeader(vm)
				return reply.Result, nil
			}
			if err == nil {
				p.setLeader(bluebellvoter.VMOf(reply.Leader))
				err = fmt.Errorf("voter %s does not lead", vm)
			}
			if ctx.Err() != nil {
				return nil, fmt.Errorf("not agreed in time: %w", err)
			}
			if p.currentLeader() != vm && p.currentLeader() != "" && round == 0 {
				break
			}
		}
		select {
		case <-time.After(proposeRetryInterval):
		case <-ctx.Done():
			return nil, fmt.Errorf("not agreed in time: %w", err)
		}
	}
}

// proposeTo sends a command to one voter, with a timeout of proposeCallTimeout.
func (p *peerSet) proposeTo(ctx context.Context, vm string, c *pb.Command) (*pb.ProposeReply, error) {
	client, err := p.client(vm)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeCallTimeout)
	defer cancel()
	return client.Propose(ctx, &pb.ProposeRequest{Command: c})
}

// leaderFirst returns the voters with the known leader in front.
func (p *peerSet) leaderFirst(voters []string) []string {
	leader := p.currentLeader()
	var ordered []string
	for _, v := range voters {
		if v == leader {
			ordered = append([]string{v}, ordered...)
			continue
		}
		ordered = append(ordered, v)
	}
	return ordered
}

func (p *peerSet) currentLeader() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leader
}

func (p *peerSet) setLeader(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader = vm
}

// peerHandler answers the calls of other processes on the peer port.
type peerHandler struct {
	// The calls that are not implemented here belong to discovered deployments, whose
	// processes call bluebellcore.
	*pb.DRPCPeerUnimplementedServer
	node *Node
}

var _ pb.DRPCPeerServer = peerHandler{}

// Raft passes messages of the consensus protocol to the voter.
func (h peerHandler) Raft(ctx context.Context, in *pb.RaftBatch) (*pb.Empty, error) {
	if h.node.voter == nil {
		return nil, errors.New("this VM does not vote")
	}
	return &pb.Empty{}, h.node.voter.Step(ctx, in.Messages)
}

// Propose proposes a command if this voter leads and replies with the result. Otherwise the
// reply says NotTaken and names the leader, if one is known.
func (h peerHandler) Propose(ctx context.Context, in *pb.ProposeRequest) (*pb.ProposeReply, error) {
	if h.node.voter == nil {
		return &pb.ProposeReply{NotTaken: true}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeCallTimeout)
	defer cancel()
	result, err := h.node.voter.Propose(ctx, in.Command)
	if errors.Is(err, bluebellraft.ErrNotLeader) || errors.Is(err, bluebellvoter.ErrLeaderChanged) {
		return &pb.ProposeReply{NotTaken: true, Leader: h.node.voter.Status().Leader}, nil
	}
	if err != nil {
		return nil, err
	}
	return &pb.ProposeReply{Result: result}, nil
}

// Watch answers the poll of a VM that follows this one.
func (h peerHandler) Watch(ctx context.Context, in *pb.WatchRequest) (*pb.WatchReply, error) {
	return h.node.hub.HandleWatch(ctx, in), nil
}

// Status returns the status of this process.
func (h peerHandler) Status(context.Context, *pb.StatusRequest) (*pb.StatusReply, error) {
	return h.node.ownStatus(), nil
}
