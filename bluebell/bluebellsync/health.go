package bluebellsync

import (
	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// healthTable keeps the newest report on each endpoint, and numbers the changes
// so that each follower is sent only what is new to it.
type healthTable struct {
	latest map[string]healthRow
	cursor uint64
}

type healthRow struct {
	health *pb.EndpointHealth
	cursor uint64
}

// merge takes in reports and tells whether any was news.
func (t *healthTable) merge(reports []*pb.EndpointHealth) bool {
	news := false
	for _, r := range reports {
		old := t.latest[r.Endpoint].health
		if old != nil && old.ObservedAt >= r.ObservedAt {
			continue
		}
		t.cursor++
		t.latest[r.Endpoint] = healthRow{r, t.cursor}
		news = true
	}
	return news
}

func (t *healthTable) since(cursor uint64) []*pb.EndpointHealth {
	if cursor >= t.cursor {
		return nil
	}
	var news []*pb.EndpointHealth
	for _, row := range t.latest {
		if row.cursor > cursor {
			news = append(news, row.health)
		}
	}
	return news
}
