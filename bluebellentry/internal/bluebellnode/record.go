package bluebellnode

import (
	"sync"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// recordsKept is the number of routing decisions that can be looked up.
const recordsKept = 4096

// recordRing keeps the latest routing decisions.
type recordRing struct {
	mu      sync.Mutex
	records []*pb.RoutingRecord
	next    int
}

func newRecordRing() *recordRing { return &recordRing{records: make([]*pb.RoutingRecord, recordsKept)} }

func (r *recordRing) add(record *pb.RoutingRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[r.next] = record
	r.next = (r.next + 1) % recordsKept
}

// find returns the decisions on a request, oldest first; all of them without an
// ID.
func (r *recordRing) find(requestID string) []*pb.RoutingRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*pb.RoutingRecord
	for i := range recordsKept {
		record := r.records[(r.next+i)%recordsKept]
		if record != nil && (requestID == "" || record.RequestID == requestID) {
			found = append(found, record)
		}
	}
	return found
}

// record keeps a decision and writes its line.
func (n *Node) record(r *pb.RoutingRecord) {
	n.records.add(r)
	n.cfg.Logger.Info("routed", "RequestID", r.RequestID, "Customer", r.Customer, "Target", r.Target, "Version", r.Version,
		"Endpoint", r.Endpoint, "Owner", r.Owner, "Home", r.Home, "Reason", r.Reason, "Blocks", r.Blocks,
		"CachedBlocks", r.CachedBlocks, "Candidates", r.Candidates, "Expected", r.Expected.AsDuration(), "Outcome", r.Outcome)
}
