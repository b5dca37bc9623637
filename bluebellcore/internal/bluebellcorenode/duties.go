package bluebellcorenode

import (
	"math/rand/v2"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/bluebell/bluebellprovider"
	"bluebellhaven.org/bluebell/bluebellusage"
	"bluebellhaven.org/bluebellcore/internal/bluebellduty"
	"bluebellhaven.org/bluebellcore/internal/bluebellorder"
	"bluebellhaven.org/bluebellcore/internal/bluebellsender"
	"bluebellhaven.org/platform/bluebellplatform"
)

// newHolder returns the holder of the duties of this process: orders to endpoints and calls to the
// provider. It proposes to this process's voter only, since a barrier that another leader has
// agreed does not prove that this process leads.
func (n *Node) newHolder(s *pb.CoreSettings) *bluebellduty.Holder {
	longestCall := bluebellorder.CallTimeout
	if s.Provider != nil {
		longestCall = max(longestCall, bluebellsender.CallTimeout)
	}
	return bluebellduty.New(bluebellduty.Config{
		Holder: n.address, Lease: millis(s.GetBounds().GetOrderLeaseMillis()), LongestCall: longestCall,
		Leadership: n.leadership, Propose: n.voter.Propose, Uptime: bluebellprocess.Uptime,
		Count: func(name string) { n.metrics.Scope.Counter(name).Inc(1) }, Logger: n.cfg.Logger,
	})
}

// leadership reports whether this process regards itself as the leader, and the term.
func (n *Node) leadership() (term uint64, leads bool) {
	status := n.voter.Status()
	return status.Term, status.Leader == n.id
}

// newSender returns the sender of the calls to the provider, nil if the settings name no provider.
func (n *Node) newSender(s *pb.CoreSettings) *bluebellsender.Sender {
	if s.Provider == nil {
		return nil
	}
	duties, unknown := bluebellplatform.DecodeDuties(s.Provider.Duties)
	if len(unknown) > 0 {
		n.cfg.Logger.Warn("duties of the settings are not known and not performed", "Duties", unknown)
	}
	cfg := bluebellsender.Config{
		Name: s.Name, Address: s.Provider.Address, CallsPerSecond: s.Provider.CallsPerSecond,
		UsageDue: s.GetBounds().GetUsageDue().AsDuration(), Duty: n.duty, Propose: n.propose,
		CommandVersion: func() uint32 { return n.coreState().GetCommandVersion() },
		Dial:           n.cfg.Dial, Now: n.now, Rand: rand.Float64,
		CountCall: func(duty, outcome string) {
			n.metrics.Scope.Tagged(map[string]string{"duty": duty, "outcome": outcome}).Counter("provider_calls").Inc(1)
		},
		SetGauge: func(name string, value float64) { n.metrics.Scope.Gauge(name).Update(value) }, Logger: n.cfg.Logger,
	}
	for _, duty := range duties {
		switch duty {
		case bluebellprovider.Usage:
			cfg.NextUsage = n.nextUsage(s.GetBounds())
		case bluebellprovider.Scale:
			cfg.Scales = n.scaleOrders
		}
	}
	return bluebellsender.New(cfg)
}

// nextUsage returns the function that selects the decided usage window to send, nil if the settings name no window.
func (n *Node) nextUsage(b *pb.Bounds) func(now time.Duration) (window int64, customers []string, counts []uint64, dueIn time.Duration, ok bool) {
	if b.GetUsageWindow().AsDuration() <= 0 {
		return nil
	}
	reporter := &bluebellusage.Reporter{Window: b.UsageWindow.AsDuration(), Due: b.UsageDue.AsDuration(), Core: n.coreState}
	return func(time.Duration) (int64, []string, []uint64, time.Duration, bool) {
		return reporter.Next(n.timeOfDay())
	}
}

// scaleOrders returns the agreed numbers of endpoints.
func (n *Node) scaleOrders() []bluebellprovider.ScaleOrder {
	var orders []bluebellprovider.ScaleOrder
	declared := n.declared.current()
	for _, s := range n.Scales() {
		// The number of a target that is no longer declared, or not scaled, is no longer ordered.
		if target := declared.Target(s.Target); target == nil || target.Scale == nil {
			continue
		}
		orders = append(orders, bluebellprovider.ScaleOrder{Target: s.Target, FailureDomain: s.FailureDomain, Endpoints: uint32(s.Endpoints)})
	}
	return orders
}
