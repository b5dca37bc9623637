package bluebellnode

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/sourcegraph/conc"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// ownStatus returns the status of this process as it sends it to its peers.
func (n *Node) ownStatus() *pb.StatusReply {
	reply := &pb.StatusReply{VM: n.vm, Revision: n.hub.View().Revision, Standings: n.hub.Standings()}
	if n.voter != nil {
		s := n.voter.Status()
		reply.Leader, reply.Term, reply.CommitIndex, reply.Members = s.Leader, s.Term, s.CommitIndex, s.Members
	}
	return reply
}

// operatorStatus combines the state of this VM with the statuses of the voters that
// answer. Of several reports on the revision in force at a VM it uses the newest.
func (n *Node) operatorStatus(ctx context.Context) *pb.OperatorStatus {
	view := n.hub.View()
	status := &pb.OperatorStatus{
		VM: n.vm, Revision: view.Revision, DeclaredRevision: view.DeclaredRevision,
		FailureDomainsOut: view.FailureDomainsOut, EndpointsDrained: view.EndpointsDrained,
		Moves: view.Moves, Versions: view.Versions, PoisonedRequests: uint32(len(view.PoisonDigests)),
	}
	newest := map[string]*pb.Standing{}
	addStandings := func(standings []*pb.Standing) {
		for _, s := range standings {
			if old := newest[s.VM]; old == nil || old.UnixNanos < s.UnixNanos {
				newest[s.VM] = s
			}
		}
	}
	addStandings(n.hub.Standings())
	for _, reply := range n.voterStatuses(ctx) {
		status.Voters = append(status.Voters, reply)
		addStandings(reply.Standings)
	}
	for _, s := range newest {
		status.Standings = append(status.Standings, s)
	}
	slices.SortFunc(status.Standings, func(a, b *pb.Standing) int { return cmp.Compare(a.VM, b.VM) })
	slices.SortFunc(status.Voters, func(a, b *pb.StatusReply) int { return cmp.Compare(a.VM, b.VM) })
	for _, e := range n.router.Table().Endpoints() {
		running, waiting, slots := n.dispatcher.Use(e.Name)
		status.Endpoints = append(status.Endpoints, &pb.EndpointStatus{
			Name: e.Name, FailureDomain: e.FailureDomain, Usable: e.Usable, Why: e.UnusableReason, Versions: e.Versions, Owners: e.Owners,
			Running: uint32(running), Waiting: uint32(waiting), Slots: uint32(slots),
		})
	}
	slices.SortFunc(status.Endpoints, func(a, b *pb.EndpointStatus) int { return cmp.Compare(a.Name, b.Name) })
	return status
}

// voterStatuses asks all voters for their status and returns the replies that arrive
// within statusCallTimeout.
func (n *Node) voterStatuses(ctx context.Context) []*pb.StatusReply {
	ctx, cancel := context.WithTimeout(ctx, statusCallTimeout)
	defer cancel()
	var mu sync.Mutex
	var replies []*pb.StatusReply
	var group conc.WaitGroup
	for _, vm := range n.voterNames() {
		group.Go(func() {
			client, err := n.peers.client(vm)
			if err != nil {
				return
			}
			reply, err := client.Status(ctx, &pb.StatusRequest{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	group.Wait()
	return replies
}
