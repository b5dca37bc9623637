package bluebellstate

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// ScaleCommandVersion is the command version from which OrderScale may be proposed.
const ScaleCommandVersion = 2

// maxScales bounds the ordered numbers that are kept. A deployment has a few targets in at most ten failure
// domains; numbers of targets that are no longer declared are the first to be dropped.
const maxScales = 1024

// orderScale records the number of endpoints that is ordered for a target in a failure domain. A repeat of the
// recorded number changes nothing.
func (m *Machine) orderScale(o *pb.OrderScale) *pb.Result {
	if o.GetTarget() == "" || o.GetFailureDomain() == "" {
		return m.refuse("an order for a number of endpoints needs a target and a failure domain")
	}
	if o.Endpoints == 0 {
		return m.refuse("an order for no endpoints of target %s in failure domain %s", o.Target, o.FailureDomain)
	}
	if n, known := OrderedEndpoints(m.core, o.Target, o.FailureDomain); known && n == o.Endpoints {
		return m.accepted()
	}
	m.editCore(func(next *pb.CoreState) {
		next.Scales = slices.DeleteFunc(next.Scales, func(old *pb.OrderScale) bool {
			return old.Target == o.Target && old.FailureDomain == o.FailureDomain
		})
		if len(next.Scales) >= maxScales {
			next.Scales = slices.Delete(next.Scales, 0, 1)
		}
		next.Scales = append(next.Scales, proto.CloneOf(o))
	})
	return m.accepted()
}

// OrderedEndpoints returns the number of endpoints that was last ordered for a target in a failure domain, and
// whether one was.
func OrderedEndpoints(core *pb.CoreState, target, failureDomain string) (endpoints uint32, ok bool) {
	for _, o := range core.GetScales() {
		if o.Target == target && o.FailureDomain == failureDomain {
			return o.Endpoints, true
		}
	}
	return 0, false
}
