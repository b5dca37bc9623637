package bluebellsync

import (
	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// healthTable holds the newest health report on each endpoint. Each change gets a number,
// the cursor, so that a follower is sent only the reports that it does not have yet.
type healthTable struct {
	// latest has the newest report by endpoint name.
	latest map[string]healthRow
	// cursor is the number of the latest change.
	cursor uint64
}

// healthRow is a health report with the number of the change that stored it.
type healthRow struct {
	health *pb.EndpointHealth
	cursor uint64
}

// merge stores the reports that are newer than the stored ones, and reports whether there
// were any.
func (t *healthTable) merge(reports []*pb.EndpointHealth) bool {
	changed := false
	for _, r := range reports {
		old := t.latest[r.Endpoint].health
		if old != nil && old.ObservedAt >= r.ObservedAt {
			continue
		}
		t.cursor++
		t.latest[r.Endpoint] = healthRow{r, t.cursor}
		changed = true
	}
	return changed
}

// since returns the reports stored by changes after the given cursor.
func (t *healthTable) since(cursor uint64) []*pb.EndpointHealth {
	if cursor >= t.cursor {
		return nil
	}
	var newer []*pb.EndpointHealth
	for _, row := range t.latest {
		if row.cursor > cursor {
			newer = append(newer, row.health)
		}
	}
	return newer
}
