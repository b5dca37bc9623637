package bluebellsync

import (
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// childTimeout is the time after its last poll for which a VM counts as a current follower.
const childTimeout = 5 * time.Second

// evidenceKey identifies one set of counts: those of one version of a target on one route.
type evidenceKey struct {
	target, version, route string
}

// childKey identifies one set of counts of one follower.
type childKey struct {
	vm string
	evidenceKey
}

// evidenceSums adds up the counts of call outcomes of this VM and of its followers, so
// that the size of a request to the source does not grow with the number of VMs.
//
// Invariant: the sums in the map followers do not decrease while a move is active.
type evidenceSums struct {
	own map[evidenceKey]*pb.Evidence
	// followers has the sums of all counts that followers have added.
	followers map[evidenceKey]*pb.Evidence
	// latest has the counts from the latest poll of each follower.
	latest map[childKey]*pb.Evidence
	// polledAt has the time of each follower's latest poll, in Unix nanoseconds.
	polledAt map[string]int64
}

func newEvidenceSums() evidenceSums {
	return evidenceSums{
		own: map[evidenceKey]*pb.Evidence{}, followers: map[evidenceKey]*pb.Evidence{},
		latest: map[childKey]*pb.Evidence{}, polledAt: map[string]int64{},
	}
}

// deleteInactive deletes the counts of targets that have no active move.
func (s *evidenceSums) deleteInactive(hasActiveMove func(target string) bool) {
	for _, counts := range []map[evidenceKey]*pb.Evidence{s.own, s.followers} {
		for k := range counts {
			if !hasActiveMove(k.target) {
				delete(counts, k)
			}
		}
	}
	for k := range s.latest {
		if !hasActiveMove(k.target) {
			delete(s.latest, k)
		}
	}
}

// setOwn replaces this VM's own counts for the given keys.
func (s *evidenceSums) setOwn(counts []*pb.Evidence) {
	for _, e := range counts {
		s.own[evidenceKey{e.Target, e.Version, e.Route}] = e
	}
}

// add adds the increase of a follower's counts since its last poll. The first counts
// for a key are not added if vm was not a current follower before this poll: the VM that
// it followed until then has already added them. If StartedAt differs from that of the
// latest counts, the follower has restarted, and its counts are added in full.
func (s *evidenceSums) add(vm string, now int64, counts []*pb.Evidence) {
	isCurrent := now-s.polledAt[vm] < int64(childTimeout)
	s.polledAt[vm] = now
	for _, e := range counts {
		k := evidenceKey{e.Target, e.Version, e.Route}
		old := s.latest[childKey{vm, k}]
		s.latest[childKey{vm, k}] = e
		if old == nil && !isCurrent {
			continue
		}
		if old == nil || old.StartedAt != e.StartedAt {
			old = &pb.Evidence{}
		}
		sum := s.followers[k]
		if sum == nil {
			sum = &pb.Evidence{}
		}
		s.followers[k] = &pb.Evidence{
			Good:   sum.Good + e.Good - min(old.Good, e.Good),
			Failed: sum.Failed + e.Failed - min(old.Failed, e.Failed),
			Slow:   sum.Slow + e.Slow - min(old.Slow, e.Slow),
		}
	}
}

// total returns the sums of this VM's own counts and its followers' counts, with the name of
// this VM.
func (s *evidenceSums) total(vm string, startedAt int64) []*pb.Evidence {
	keys := map[evidenceKey]bool{}
	for k := range s.own {
		keys[k] = true
	}
	for k := range s.followers {
		keys[k] = true
	}
	var all []*pb.Evidence
	for k := range keys {
		own, followers := s.own[k], s.followers[k]
		all = append(all, &pb.Evidence{
			VM: vm, StartedAt: startedAt + own.GetStartedAt(), Target: k.target, Version: k.version, Route: k.route,
			Good: own.GetGood() + followers.GetGood(), Failed: own.GetFailed() + followers.GetFailed(), Slow: own.GetSlow() + followers.GetSlow(),
		})
	}
	return all
}
