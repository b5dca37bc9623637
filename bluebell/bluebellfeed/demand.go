package bluebellfeed

import (
	"maps"
	"slices"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellpressure"
)

// Entries report the calls that wait and those that were told to return with the calls in flight, and
// get the sums over all entries in the same way.

// maxDemands bounds the targets that one process reports: many times those of a declaration that rank
// their calls.
const maxDemands = 256

// Demands is the demand for each target.
type Demands map[string]bluebellpressure.Demand

// demandReport is what an entry reported at a time.
type demandReport struct {
	demands Demands
	at      time.Duration
}

// add adds demands that were known at an earlier time.
func (d Demands) add(other Demands, age time.Duration) {
	for target, demand := range other {
		d[target] = d[target].Add(demand.After(age))
	}
}

// sub returns the demands without a part of them that was known at an earlier time.
func (d Demands) sub(part Demands, age time.Duration) Demands {
	for target, own := range part {
		if sum, reported := d[target]; reported {
			d[target] = sum.Sub(own.After(age))
		}
	}
	return d
}

// encodeDemands encodes the demands of at most maxDemands targets, in order of their names.
func encodeDemands(d Demands) []*pb.TargetDemand {
	var list []*pb.TargetDemand
	for _, target := range slices.Sorted(maps.Keys(d)) {
		demand := d[target]
		if demand == (bluebellpressure.Demand{}) || len(list) >= maxDemands {
			continue
		}
		m := &pb.TargetDemand{Target: target, WaitingTokens: encodePriorities(demand.Tokens)}
		for _, n := range encodePriorities(demand.Waiting) {
			m.Waiting = append(m.Waiting, uint32(n))
		}
		last := len(demand.Returning)
		for last > 0 && demand.Returning[last-1] <= 0 {
			last--
		}
		for _, n := range demand.Returning[:last] {
			m.Returning = append(m.Returning, uint32(max(n, 0)))
		}
		list = append(list, m)
	}
	return list
}

// decodeDemands decodes the result of encodeDemands. It ignores what is beyond the known priorities and
// steps.
func decodeDemands(list []*pb.TargetDemand) Demands {
	demands := Demands{}
	for _, m := range list[:min(len(list), maxDemands)] {
		var demand bluebellpressure.Demand
		for i, n := range m.Waiting[:min(len(m.Waiting), len(demand.Waiting))] {
			demand.Waiting[i] = int(n)
		}
		demand.Tokens = decodePriorities(m.WaitingTokens)
		for i, n := range m.Returning[:min(len(m.Returning), len(demand.Returning))] {
			demand.Returning[i] = int(n)
		}
		demands[m.Target] = demands[m.Target].Add(demand)
	}
	return demands
}

// recordDemands adds the demands to the latest report of an entry.
func (l *loads) recordDemands(process string, list []*pb.TargetDemand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.reports[process]; r != nil && len(list) > 0 {
		r.demands = decodeDemands(list)
	}
}

// buildDemands sums the demands of the reports, and adds those of the other core processes. l.mu must be
// held.
func (l *loads) buildDemands(peers []PeerLoads, now time.Duration) {
	sums := Demands{}
	for _, r := range l.reports {
		sums.add(r.demands, now-r.receivedAt)
	}
	l.ownDemands = encodeDemands(sums)
	for _, p := range peers {
		sums.add(p.Demands, max(now-p.DemandsAt, 0))
	}
	l.totalDemands = encodeDemands(sums)
}

// DemandsOfOthers returns the sums of the demands of all other entries, from the last reply of the
// primary source, and the time of that on the follower's clock. It returns nil if the source has not
// answered within maxReplyAge.
func (f *Follower) DemandsOfOthers() (Demands, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.primarySource(); s != nil {
		return s.demands, s.demandsAt
	}
	return nil, 0
}
