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
	proposeCall  = 1500 * time.Millisecond
	proposeRetry = 50 * time.Millisecond
	statusCall   = 500 * time.Millisecond
)

// peers are the clients of all VMs that this process knows.
type peers struct {
	vm     string
	secret []byte
	dial   func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	vms     map[string]*pb.VM
	clients map[string]*bluebellpeer.Client
	// leader is the voter that last took a command.
	leader string
}

func newPeers(vm string, secret []byte, dial func(ctx context.Context, network, address string) (net.Conn, error), known ...[]*pb.VM) *peers {
	p := &peers{vm: vm, secret: secret, dial: dial, vms: map[string]*pb.VM{}, clients: map[string]*bluebellpeer.Client{}}
	for _, list := range known {
		p.learn(list)
	}
	return p
}

// learn takes in addresses; a VM whose address has changed gets a new client.
func (p *peers) learn(vms []*pb.VM) {
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

func (p *peers) client(vm string) (*bluebellpeer.Client, error) {
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

// callerAddress returns where a VM takes calls.
func (p *peers) callerAddress(vm string) string {
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

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}

// propose has a command agreed by whichever voter leads, until ctx ends.
func (p *peers) propose(ctx context.Context, voters []string, c *pb.Command) (*pb.Result, error) {
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
		case <-time.After(proposeRetry):
		case <-ctx.Done():
			return nil, fmt.Errorf("not agreed in time: %w", err)
		}
	}
}

func (p *peers) proposeTo(ctx context.Context, vm string, c *pb.Command) (*pb.ProposeReply, error) {
	client, err := p.client(vm)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeCall)
	defer cancel()
	return client.Propose(ctx, &pb.ProposeRequest{Command: c})
}

func (p *peers) leaderFirst(voters []string) []string {
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

func (p *peers) currentLeader() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leader
}

func (p *peers) setLeader(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader = vm
}

// handler answers the calls of other processes.
type handler struct {
	// Calls of discovered deployments are for bluebellcore.
	*pb.DRPCPeerUnimplementedServer
	node *Node
}

var _ pb.DRPCPeerServer = handler{}

// Raft takes in messages of the consensus protocol.
func (h handler) Raft(ctx context.Context, in *pb.RaftBatch) (*pb.Empty, error) {
	if h.node.voter == nil {
		return nil, errors.New("this VM does not vote")
	}
	return &pb.Empty{}, h.node.voter.Step(ctx, in.Messages)
}

// Propose has a command agreed if this voter leads.
func (h handler) Propose(ctx context.Context, in *pb.ProposeRequest) (*pb.ProposeReply, error) {
	if h.node.voter == nil {
		return &pb.ProposeReply{NotTaken: true}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeCall)
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

// Watch answers a follower.
func (h handler) Watch(ctx context.Context, in *pb.WatchRequest) (*pb.WatchReply, error) {
	return h.node.hub.HandleWatch(ctx, in), nil
}

// Status tells what this process knows.
func (h handler) Status(context.Context, *pb.StatusRequest) (*pb.StatusReply, error) {
	return h.node.ownStatus(), nil
}
