package bluebellsync

import (
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// childTimeout is how long a follower that says nothing is still known.
const childTimeout = 5 * time.Second

// evidenceKey names what is counted.
type evidenceKey struct {
	target, version, route string
}

// childKey names what one follower has counted.
type childKey struct {
	vm string
	evidenceKey
}

// evidenceSums adds up the counts of this VM and of those that follow it, so that
// what goes upwards does not grow with the number of VMs.
//
// Invariant: gained never shrinks while a move runs.
type evidenceSums struct {
	own    map[evidenceKey]*pb.Evidence
	gained map[evidenceKey]*pb.Evidence
	// seen are the latest counts of each follower, and polledAt when it asked last.
	seen     map[childKey]*pb.Evidence
	polledAt map[string]int64
}

func newEvidenceSums() evidenceSums {
	return evidenceSums{
		own: map[evidenceKey]*pb.Evidence{}, gained: map[evidenceKey]*pb.Evidence{},
		seen: map[childKey]*pb.Evidence{}, polledAt: map[string]int64{},
	}
}

// keep forgets what is not part of a move.
func (s *evidenceSums) keep(moving func(target string) bool) {
	for _, counts := range []map[evidenceKey]*pb.Evidence{s.own, s.gained} {
		for k := range counts {
			if !moving(k.target) {
				delete(counts, k)
			}
		}
	}
	for k := range s.seen {
		if !moving(k.target) {
			delete(s.seen, k)
		}
	}
}

// setOwn replaces this VM's own counts.
func (s *evidenceSums) setOwn(counts []*pb.Evidence) {
	for _, e := range counts {
		s.own[evidenceKey{e.Target, e.Version, e.Route}] = e
	}
}

// take adds what a follower has counted since its last poll. What a follower brings
// along that has just come here was added up elsewhere already.
func (s *evidenceSums) take(vm string, now int64, counts []*pb.Evidence) {
	known := now-s.polledAt[vm] < int64(childTimeout)
	s.polledAt[vm] = now
	for _, e := range counts {
		k := evidenceKey{e.Target, e.Version, e.Route}
		old := s.seen[childKey{vm, k}]
		s.seen[childKey{vm, k}] = e
		if old == nil && !known {
			continue
		}
		if old == nil || old.StartedAt != e.StartedAt {
			old = &pb.Evidence{}
		}
		sum := s.gained[k]
		if sum == nil {
			sum = &pb.Evidence{}
		}
		s.gained[k] = &pb.Evidence{
			Good:   sum.Good + e.Good - min(old.Good, e.Good),
			Failed: sum.Failed + e.Failed - min(old.Failed, e.Failed),
			Slow:   sum.Slow + e.Slow - min(old.Slow, e.Slow),
		}
	}
}

// total returns the sums under this VM's name.
func (s *evidenceSums) total(vm string, startedAt int64) []*pb.Evidence {
	keys := map[evidenceKey]bool{}
	for k := range s.own {
		keys[k] = true
	}
	for k := range s.gained {
		keys[k] = true
	}
	var all []*pb.Evidence
	for k := range keys {
		own, gained := s.own[k], s.gained[k]
		all = append(all, &pb.Evidence{
			VM: vm, StartedAt: startedAt + own.GetStartedAt(), Target: k.target, Version: k.version, Route: k.route,
			Good: own.GetGood() + gained.GetGood(), Failed: own.GetFailed() + gained.GetFailed(), Slow: own.GetSlow() + gained.GetSlow(),
		})
	}
	return all
}
