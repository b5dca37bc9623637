package bluebellcorenode

import (
	"context"
	"slices"
	"time"

	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
)

// A registration is soft state, which the endpoint renews. Its last ones are not renewed: that it drains, and that
// it is gone. They are in the replicated log before they are acknowledged.

// versionTimeout bounds the agreement on a command version.
const versionTimeout = time.Second

// applyCoreState applies the departures that were recorded to the registry. The voter calls it with each new core
// state.
func (n *Node) applyCoreState(core *pb.CoreState) {
	n.mu.Lock()
	before := n.core
	n.core = core
	n.mu.Unlock()
	for _, d := range core.GetDepartures() {
		if slices.Contains(before.GetDepartures(), d) {
			continue
		}
		e := bluebellfleet.FromMessage(d.Registration, n.now())
		if e.State != bluebellfleet.Gone || e.StartUnixMillis == 0 {
			n.registry.Merge(e)
			continue
		}
		n.registry.MarkGone(e.ID, e.StartUnixMillis)
	}
}

// coreState returns the latest core state that this process has applied.
func (n *Node) coreState() *pb.CoreState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core
}

// recordDeparture records in the replicated log that an endpoint is draining or gone. While core processes of
// earlier releases run, which do not know the command, the registry alone holds it.
func (n *Node) recordDeparture(ctx context.Context, e bluebellfleet.Endpoint) error {
	r := bluebellfleet.ToMessage(e, n.now())
	r.ColdLeft, r.HeardAgo = nil, nil
	core := n.coreState()
	if core.GetCommandVersion() < 1 || bluebellstate.HasDeparture(core, r) {
		return nil
	}
	result, err := n.propose(ctx, &pb.Command{Body: &pb.Command_RecordDeparture{RecordDeparture: &pb.RecordDeparture{Registration: r}}})
	if err == nil {
		n.cfg.Logger.Info("departure recorded", "ID", e.ID, "State", e.State, "Born", e.StartUnixMillis, "Verdict", result.Verdict)
	}
	return err
}

// agreeCommandVersion makes the version of the commands in the log the highest that all core processes can apply.
// It does not raise it while that is not known of a member. It is called while this process leads.
func (n *Node) agreeCommandVersion(ctx context.Context) {
	members := n.voter.Status().Members
	version := uint32(bluebellstate.CommandVersion)
	n.mu.Lock()
	agreed := n.core.GetCommandVersion()
	for _, id := range slices.Concat(members.GetVoters(), members.GetLearners()) {
		if _, known := n.commandVersions[id]; !known {
			version = min(version, agreed)
		}
	}
	for _, v := range n.commandVersions {
		version = min(version, v)
	}
	n.mu.Unlock()
	if version == agreed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	_, err := n.voter.Propose(ctx, &pb.Command{Body: &pb.Command_SetCommandVersion{SetCommandVersion: &pb.SetCommandVersion{Version: version}}})
	n.cfg.Logger.Info("command version changed", "Version", version, "Before", agreed, "Error", err)
}
