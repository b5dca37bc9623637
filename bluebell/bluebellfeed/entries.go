package bluebellfeed

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// Entries learn of each other which targets they have lost, since an entry that can reach endpoints
// can run the calls of one that cannot. The list of entries is long and seldom changes; which of
// them have lost a target is a few bytes and is part of each reply.

const (
	// maxLostTargets bounds the targets that one entry reports as lost: more than deployments
	// declare.
	maxLostTargets = 256
	// otherRetention is how long an entry is known to others after a source last named it: a
	// source that has restarted names few until all have polled it again.
	otherRetention = 5 * time.Second
)

// EntryState is what is known of another entry.
type EntryState struct {
	Address string
	// FailureDomain is "" if it is unknown.
	FailureDomain string
	// LostTargets are the targets to whose endpoints the entry can open no connection.
	LostTargets []string
}

// Lost reports whether the entry can open no connection to the endpoints of a target.
func (e EntryState) Lost(target string) bool { return slices.Contains(e.LostTargets, target) }

// entryList is a sorted list of entries with a version, which is a hash, and what they have lost.
type entryList struct {
	addresses   []string
	domainNames []string
	// domains holds for each entry the position of its domain in domainNames plus 1, 0 if unknown.
	domains []uint32
	version uint64
	lost    []*pb.LostTarget
}

// newEntryList returns the list of entries with the given failure domains.
func newEntryList(domainByEntry map[string]string) entryList {
	list := entryList{addresses: slices.Sorted(maps.Keys(domainByEntry))}
	hash := xxhash.New()
	for _, address := range list.addresses {
		domain := domainByEntry[address]
		// Writes to a hash do not fail.
		_, _ = hash.WriteString(address + "\x00" + domain + "\n")
		position := uint32(0)
		if domain != "" {
			at := slices.Index(list.domainNames, domain)
			if at < 0 {
				at, list.domainNames = len(list.domainNames), append(list.domainNames, domain)
			}
			position = uint32(at) + 1
		}
		list.domains = append(list.domains, position)
	}
	list.version = hash.Sum64()
	return list
}

// withLost returns the list with what its entries have lost, by target.
func (l entryList) withLost(entriesByTarget map[string][]string) entryList {
	l.lost = nil
	for _, target := range slices.Sorted(maps.Keys(entriesByTarget)) {
		bits := make([]byte, (len(l.addresses)+7)/8)
		for _, entry := range entriesByTarget[target] {
			if i, listed := slices.BinarySearch(l.addresses, entry); listed {
				bits[i/8] |= 1 << (i % 8)
			}
		}
		l.lost = append(l.lost, &pb.LostTarget{Target: target, Entries: bits})
	}
	return l
}

// buildLists lists the entries of this process and of all. l.mu must be held.
func (l *loads) buildLists(peers []PeerLoads) {
	own := make(map[string]string, len(l.seen))
	for process, s := range l.seen {
		own[process] = s.domain
	}
	all := maps.Clone(own)
	for _, p := range peers {
		for _, e := range p.Entries {
			if all[e.Address] == "" {
				all[e.Address] = e.FailureDomain
			}
		}
	}
	l.ownList, l.totalList = newEntryList(own), newEntryList(all)
}

// markLost sets which entries have lost targets in the lists. l.mu must be held.
func (l *loads) markLost(peers []PeerLoads) {
	own := map[string][]string{}
	for process, r := range l.reports {
		for _, target := range r.lostTargets {
			own[target] = append(own[target], process)
		}
	}
	all := map[string][]string{}
	for target, entries := range own {
		all[target] = slices.Clone(entries)
	}
	for _, p := range peers {
		for _, e := range p.Entries {
			for _, target := range e.LostTargets {
				all[target] = append(all[target], e.Address)
			}
		}
	}
	l.ownList, l.totalList = l.ownList.withLost(own), l.totalList.withLost(all)
}

// decodeEntries returns the entries of a reply. Those of a reply without a list are the ones that the
// source has sent before.
func decodeEntries(reply *pb.FollowReply, before []EntryState) []EntryState {
	list := slices.Clone(before)
	if len(reply.Entries) > 0 {
		list = make([]EntryState, len(reply.Entries))
		for i, address := range reply.Entries {
			list[i].Address = address
			if i < len(reply.EntryDomains) && int(reply.EntryDomains[i]) <= len(reply.EntryDomainNames) && reply.EntryDomains[i] > 0 {
				list[i].FailureDomain = strings.Clone(reply.EntryDomainNames[reply.EntryDomains[i]-1])
			}
		}
	}
	for i := range list {
		list[i].LostTargets = nil
		for _, lost := range reply.LostTargets {
			if i/8 < len(lost.Entries) && lost.Entries[i/8]&(1<<(i%8)) != 0 {
				list[i].LostTargets = append(list[i].LostTargets, lost.Target)
			}
		}
	}
	return list
}

// knownEntry is the state of another entry and when a source last named it.
type knownEntry struct {
	EntryState
	namedAt time.Duration
}

// recordOthers records the states of the other entries. f.mu must be held.
func (f *Follower) recordOthers(entries []EntryState, now time.Duration) {
	for _, e := range entries {
		if e.Address != f.cfg.Process {
			f.known[e.Address] = knownEntry{EntryState: e, namedAt: now}
		}
	}
	f.others = make([]EntryState, 0, len(f.known))
	for _, address := range slices.Sorted(maps.Keys(f.known)) {
		k := f.known[address]
		if now-k.namedAt > otherRetention {
			delete(f.known, address)
			continue
		}
		f.others = append(f.others, k.EntryState)
	}
}

// OtherEntries returns the states of the other entries, by the last reply of a primary source. The
// result must not be modified.
func (f *Follower) OtherEntries() []EntryState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.others
}
