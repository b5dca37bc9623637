package bluebellstate

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// UsageVersion is the command version from which DecideUsage and RecordUsageSent are proposed.
	UsageVersion = 2
	// MaxUsageWindows bounds the decided usage windows that are kept: over 10 minutes of windows of 5 s.
	MaxUsageWindows = 128
	// maxUsageCustomers bounds the customers of one usage window: many times those that deployments declare.
	maxUsageCustomers = 4096
)

// decideUsage decides the usage of a window. The first decision of a window stands; the result contains it.
// Windows are decided in ascending order: a window that was skipped or is no longer kept is refused, since it may
// have been decided before.
func (m *Machine) decideUsage(d *pb.DecideUsage) *pb.Result {
	if i := usageIndex(m.core, d.Window); i >= 0 {
		return m.usageResult(m.core.Usage[i].Usage)
	}
	if last, decided := LastUsageWindow(m.core); decided && d.Window < last {
		return m.refuse("window %d is older than the last decided one, %d", d.Window, last)
	}
	switch {
	case len(d.Customers) != len(d.Counts):
		return m.refuse("window %d has %d customers and %d counts", d.Window, len(d.Customers), len(d.Counts))
	case len(d.Customers) > maxUsageCustomers:
		return m.refuse("window %d has %d customers, at most %d are accepted", d.Window, len(d.Customers), maxUsageCustomers)
	}
	for i := 1; i < len(d.Customers); i++ {
		if d.Customers[i-1] >= d.Customers[i] {
			return m.refuse("the customers of window %d are not in ascending order", d.Window)
		}
	}
	decision := &pb.UsageDecision{Usage: proto.CloneOf(d)}
	m.editCore(func(next *pb.CoreState) {
		if len(next.Usage) >= MaxUsageWindows {
			oldestSent := slices.IndexFunc(next.Usage, (*pb.UsageDecision).GetSent)
			dropped := max(oldestSent, 0)
			next.Usage = slices.Delete(next.Usage, dropped, dropped+1)
		}
		next.Usage = append(next.Usage, decision)
	})
	return m.usageResult(decision.Usage)
}

// recordUsageSent records that the provider has accepted the report of a window. A window that is not kept is
// ignored.
func (m *Machine) recordUsageSent(s *pb.RecordUsageSent) *pb.Result {
	if i := usageIndex(m.core, s.Window); i >= 0 && !m.core.Usage[i].Sent {
		m.editCore(func(next *pb.CoreState) {
			next.Usage[i] = &pb.UsageDecision{Usage: next.Usage[i].Usage, Sent: true}
		})
	}
	return m.accepted()
}

// usageResult returns an accepting result with the decision that is in force.
func (m *Machine) usageResult(d *pb.DecideUsage) *pb.Result {
	r := m.accepted()
	r.Usage = d
	return r
}

// usageIndex returns the position of a decided window, or -1.
func usageIndex(core *pb.CoreState, window int64) int {
	return slices.IndexFunc(core.GetUsage(), func(d *pb.UsageDecision) bool { return d.Usage.Window == window })
}

// LastUsageWindow returns the latest decided usage window. It reports false if none has been decided.
func LastUsageWindow(core *pb.CoreState) (window int64, decided bool) {
	list := core.GetUsage()
	if len(list) == 0 {
		return 0, false
	}
	return list[len(list)-1].Usage.Window, true
}

// UsageOf returns the decision of a window, or nil if it is not kept.
func UsageOf(core *pb.CoreState, window int64) *pb.DecideUsage {
	if i := usageIndex(core, window); i >= 0 {
		return core.Usage[i].Usage
	}
	return nil
}
