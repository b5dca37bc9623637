package bluebellcorenode

import (
	"cmp"
	"context"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellusage"
	"bluebellhaven.org/bluebellcore/internal/bluebellcloser"
)

// openUsage sets up the totals of usage and the closing of windows. It does nothing if the settings name no window.
func (n *Node) openUsage(bounds *pb.Bounds) {
	window := bounds.GetUsageWindow().AsDuration()
	if window <= 0 {
		return
	}
	n.usage = bluebellusage.NewTotals(window)
	n.closer = bluebellcloser.New(bluebellcloser.Config{
		Window: window, Due: cmp.Or(bounds.GetUsageDue().AsDuration(), bluebellusage.DefaultDue), Totals: n.usage, Core: n.coreState, IsLeader: n.isLeader,
		Entries: func() []string { return n.source.Entries() },
		Peers:   n.otherCores,
		Collect: func(ctx context.Context, core string, r *pb.CollectUsageRequest) (*pb.CollectUsageReply, error) {
			return n.pool.Client(core).CollectUsage(ctx, r)
		},
		Propose: n.propose, Now: n.now, TimeOfDay: n.timeOfDay,
		AddCount: func(name string, by uint64) { n.metrics.Scope.Counter(name).Inc(int64(by)) },
		SetGauge: func(name string, value float64) { n.metrics.Scope.Gauge(name).Update(value) },
		Logger:   n.cfg.Logger,
	})
}

// recordUsage records the usage report of an entry.
func (n *Node) recordUsage(entry string, r *pb.UsageReport) {
	if n.usage != nil {
		n.usage.Record(n.timeOfDay(), entry, r)
		n.metrics.Scope.Gauge("clock_ahead_seconds").Update(n.clock.OwnAhead().Seconds())
	}
}

// timeOfDay returns the time of day on which this process and the other core processes agree.
func (n *Node) timeOfDay() time.Time { return n.clock.Now(n.now(), time.Now()) }

// statedClock returns the clock whose time followers are told, or nil if usage is not reported.
func (n *Node) statedClock() func() time.Time {
	if n.usage == nil {
		return nil
	}
	return time.Now
}
