package bluebellstate

import (
	"cmp"
	"slices"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// quarantineTerm is how long the first quarantine of a subject lasts. Each further one lasts
	// twice as long, up to maxQuarantineTerm.
	quarantineTerm    = 10 * time.Minute
	maxQuarantineTerm = 8 * time.Hour
	// quarantineRetention is how long an ended quarantine is remembered.
	quarantineRetention = 24 * time.Hour
	// maxQuarantines bounds the quarantines that are kept, ended ones included.
	maxQuarantines = 256
)

// setQuarantine sets or lifts a quarantine. A new one is refused if too many are in force: then
// something else crashes the endpoints.
func (m *Machine) setQuarantine(s *pb.SetQuarantine) *pb.Result {
	old := quarantineOf(m.view.GetDeployment(), s.Key)
	active := old != nil && m.now < old.Until
	if active != s.Lifted {
		return m.accepted()
	}
	next := &pb.Quarantine{Key: s.Key, Depth: s.Depth, Since: m.now, Until: m.now, Lifted: s.Lifted, Reason: s.Reason}
	if s.Lifted {
		next.Depth, next.Since = old.Depth, old.Since
	} else {
		if old != nil && !old.Lifted {
			next.Count = old.Count
		}
		next.Until += int64(min(quarantineTerm<<min(next.Count, 16), maxQuarantineTerm))
		next.Count++
	}
	list := withQuarantine(m.view.GetDeployment().GetQuarantines(), next, m.now)
	if list == nil {
		return m.refuse("%d subjects are quarantined already", maxQuarantines)
	}
	m.publishDeployment(func(d *pb.Deployment) { d.Quarantines = list })
	return m.accepted()
}

// withQuarantine returns the list with next in place of an earlier quarantine of its subject, and
// without those that ended long ago or, if there are too many, first. It returns nil if there are
// too many in force.
func withQuarantine(list []*pb.Quarantine, next *pb.Quarantine, now int64) []*pb.Quarantine {
	list = slices.DeleteFunc(slices.Clone(list), func(q *pb.Quarantine) bool {
		return q.Key == next.Key || now-q.Until > int64(quarantineRetention)
	})
	slices.SortFunc(list, func(a, b *pb.Quarantine) int { return cmp.Or(cmp.Compare(a.Until, b.Until), cmp.Compare(a.Key, b.Key)) })
	if len(list) >= maxQuarantines {
		if now < list[0].Until {
			return nil
		}
		list = list[1:]
	}
	return append(list, next)
}

// quarantineOf returns the quarantine of the subject with a key, nil if there is none.
func quarantineOf(d *pb.Deployment, key uint64) *pb.Quarantine {
	for _, q := range d.GetQuarantines() {
		if q.Key == key {
			return q
		}
	}
	return nil
}
