package bluebellscaler

import (
	"cmp"
	"slices"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// ScaleOrder is the agreed number of endpoints of a target in a failure domain.
type ScaleOrder struct {
	Target        string
	FailureDomain string
	Endpoints     int
}

// AgreedScales returns the agreed numbers in a core state, ordered by target and failure domain.
func AgreedScales(core *pb.CoreState) []ScaleOrder {
	orders := make([]ScaleOrder, 0, len(core.GetScales()))
	for _, o := range core.GetScales() {
		orders = append(orders, ScaleOrder{Target: o.Target, FailureDomain: o.FailureDomain, Endpoints: int(o.Endpoints)})
	}
	slices.SortFunc(orders, func(a, b ScaleOrder) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
	return orders
}
