package bluebellnode

import (
	"sync"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// maxRecords is the number of routing records in a ring.
const maxRecords = 4096

// recordRing holds the latest routing records. It is safe for concurrent use.
type recordRing struct {
	mu      sync.Mutex
	records []*pb.RoutingRecord
	next    int
}

func newRecordRing() *recordRing { return &recordRing{records: make([]*pb.RoutingRecord, maxRecords)} }

func (r *recordRing) add(record *pb.RoutingRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[r.next] = record
	r.next = (r.next + 1) % maxRecords
}

// find returns the records of a request, oldest first. If requestID is empty, it returns
// all records.
func (r *recordRing) find(requestID string) []*pb.RoutingRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*pb.RoutingRecord
	for i := range maxRecords {
		record := r.records[(r.next+i)%maxRecords]
		if record != nil && (requestID == "" || record.RequestID == requestID) {
			found = append(found, record)
		}
	}
	return found
}

// recordDecision stores a routing record and logs it.
func (n *Node) recordDecision(r *pb.RoutingRecord) {
	n.records.add(r)
	n.cfg.Logger.Info("routed", "RequestID", r.RequestID, "Customer", r.Customer, "Target", r.Target, "Version", r.Version,
		"Endpoint", r.Endpoint, "Owner", r.Owner, "Home", r.Home, "Reason", r.Reason, "Blocks", r.Blocks,
		"CachedBlocks", r.CachedBlocks, "Candidates", r.Candidates, "Expected", r.Expected.AsDuration(), "Outcome", r.Outcome)
}
