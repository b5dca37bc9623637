package bluebellcorenode

import (
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/bluebellcore/internal/bluebellduty"
	"bluebellhaven.org/bluebellcore/internal/bluebellorder"
)

// newHolder returns the holder of the duties of this process: orders to endpoints and calls to the
// provider. It proposes to this process's voter only, since a barrier that another leader has
// agreed does not prove that this process leads.
func (n *Node) newHolder(s *pb.CoreSettings) *bluebellduty.Holder {
	return bluebellduty.New(bluebellduty.Config{
		Holder: n.address, Lease: millis(s.GetBounds().GetOrderLeaseMillis()), LongestCall: bluebellorder.CallTimeout,
		Leadership: n.leadership, Propose: n.voter.Propose, Uptime: bluebellprocess.Uptime,
		Count: func(name string) { n.metrics.Scope.Counter(name).Inc(1) }, Logger: n.cfg.Logger,
	})
}

// leadership reports whether this process regards itself as the leader, and the term.
func (n *Node) leadership() (term uint64, leads bool) {
	status := n.voter.Status()
	return status.Term, status.Leader == n.id
}
