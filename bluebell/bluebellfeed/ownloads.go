package bluebellfeed

import (
	"cmp"
	"slices"
)

// OwnLoads returns the sums of what entries report to this process, and the entries that follow it. Together with
// Follower.PeerLoads it is what all core processes know. The targets that entries have lost are not included.
func (s *Source) OwnLoads() PeerLoads { return s.loads.ownLoads() }

func (l *loads) ownLoads() PeerLoads {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.expire(now)
	var own PeerLoads
	for i := range l.sums {
		u := l.sums[i].at(now)
		if u == (Use{}) {
			continue
		}
		u.Endpoint = l.names[i]
		own.Uses = append(own.Uses, u)
	}
	for address, e := range l.seen {
		own.Entries = append(own.Entries, EntryState{Address: address, FailureDomain: e.domain})
	}
	slices.SortFunc(own.Entries, func(a, b EntryState) int { return cmp.Compare(a.Address, b.Address) })
	return own
}
