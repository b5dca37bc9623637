package bluebellfeed

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhaven.org/bluebell/bluebelldirectory"
	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// An entry exchanges loads with one source only, its primary. Entries of a failure domain share
// its core processes, so that no core process serves all entries and little is sent between
// domains.

const (
	// settledAfter is how long a source in the entry's failure domain must answer before the
	// entry leaves a working primary source for it: a change makes it load the directory.
	settledAfter = 3 * time.Second
	// nearGrace is how long a new entry waits for a source in its failure domain to answer
	// before it chooses another one: a connection and a reply.
	nearGrace = 300 * time.Millisecond
	// keptReports is the number of reports that are kept to be subtracted from sums: those
	// of over a second.
	keptReports = 64
	// entriesInterval is how often the list of entries is made at most.
	entriesInterval = 500 * time.Millisecond
)

// isNear reports whether a core process is in the follower's failure domain. f.mu must be held.
func (f *Follower) isNear(address string) bool {
	return f.cfg.FailureDomain != "" && f.coreDomains[address] == f.cfg.FailureDomain
}

// rank returns the sort key of a source for this entry. Entries rank sources differently.
func (f *Follower) rank(address string) uint64 {
	return xxhash.Sum64String(f.cfg.Process + "\x00" + address)
}

// nearCores returns the named core processes in an entry's failure domain, by rank. f.mu must
// be held.
func (f *Follower) nearCores() []string {
	if !f.cfg.Entry {
		return nil
	}
	var near []string
	for address := range f.coreNamedAt {
		if f.isNear(address) {
			near = append(near, address)
		}
	}
	slices.SortFunc(near, f.compareRank)
	return near
}

func (f *Follower) compareRank(a, b string) int {
	if f.rank(a) < f.rank(b) {
		return -1
	}
	return 1
}

// choosePrimary chooses an entry's primary source. The current one stays while it answers,
// unless it is in another failure domain and a source in the entry's own has settled.
func (f *Follower) choosePrimary() {
	if !f.cfg.Entry {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	answers := f.primarySource() != nil
	if answers && f.isNear(f.primary) {
		return
	}
	best := f.bestSource(answers)
	if best == "" || best == f.primary || f.mayWaitForNear(best) {
		return
	}
	f.cfg.Logger.Info("primary source changed", "Source", best, "Before", f.primary, "BeforeAnswers", answers, "Near", f.isNear(best))
	f.primary = best
}

// bestSource returns the first source by rank that answers, in the entry's failure domain if
// possible, or "" if there is none. If onlySettled is set, it must be in that domain and have
// settled. f.mu must be held.
func (f *Follower) bestSource(onlySettled bool) string {
	now := f.cfg.Now()
	best := ""
	for _, address := range slices.SortedFunc(maps.Keys(f.sources), f.compareRank) {
		s := f.sources[address]
		if !f.isFresh(s) || onlySettled && (!f.isNear(address) || now-s.answersSince < settledAfter) {
			continue
		}
		if best == "" || f.isNear(address) && !f.isNear(best) {
			best = address
		}
	}
	return best
}

// mayWaitForNear reports whether a new entry may wait for a source in its failure domain
// instead of taking another one. f.mu must be held.
func (f *Follower) mayWaitForNear(other string) bool {
	return f.primary == "" && !f.isNear(other) && len(f.nearCores()) > 0 && f.cfg.Now()-f.firstReplyAt < nearGrace
}

// primarySource returns an entry's primary source, or nil if it has not answered within
// maxReplyAge. f.mu must be held.
func (f *Follower) primarySource() *source {
	if s := f.sources[f.primary]; s != nil && f.isFresh(s) {
		return s
	}
	return nil
}

// recordLoads records the sums and the list of entries that a primary source has sent. f.mu
// must be held.
func (f *Follower) recordLoads(address string, s *source, request *pb.FollowRequest, reply *pb.FollowReply, now time.Duration) {
	if reply.Epoch != request.Epoch {
		s.names = nil
	}
	if len(s.names) == int(request.KnownNames) || reply.Epoch != request.Epoch {
		s.names = append(s.names, reply.Names...)
	}
	before := s.entries
	if reply.EntriesVersion != s.entriesVersion || reply.Epoch != request.Epoch {
		before = nil
	}
	s.entries, s.entriesVersion = decodeEntries(reply, before), reply.EntriesVersion
	if f.cfg.Entry {
		f.recordOthers(s.entries, now)
	}
	uses, err := decodeTable(reply.Uses, s.names, now)
	if err != nil {
		f.cfg.Logger.Warn("loads not applied", "Source", address, "Error", err)
		return
	}
	s.uses = subtractReport(uses, f.reports[reply.ReportIncluded])
	own := f.demandReports[reply.ReportIncluded]
	s.demands, s.demandsAt = decodeDemands(reply.Demands).sub(own.demands, now-own.at), now
}

// subtractReport returns the uses without a report that they include.
func subtractReport(uses, report []Use) []Use {
	if len(report) == 0 {
		return uses
	}
	own := make(map[string]Use, len(report))
	for _, u := range report {
		own[u.Endpoint] = u
	}
	for i, u := range uses {
		uses[i] = u.minus(own[u.Endpoint])
	}
	return uses
}

// UsesOfOthers returns the sums of the uses of all other entries, for each endpoint, from the
// last reply of the primary source. It returns nil if that has not answered within
// maxReplyAge.
func (f *Follower) UsesOfOthers() []Use {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.primarySource(); s != nil {
		return s.uses
	}
	return nil
}

// PeerLoads returns what the sources that have answered within maxReplyAge have summed, for
// a core process.
func (f *Follower) PeerLoads() []PeerLoads {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []PeerLoads
	for _, s := range f.sources {
		if f.isFresh(s) {
			all = append(all, PeerLoads{Uses: s.uses, Entries: s.entries, Demands: s.demands, DemandsAt: s.demandsAt})
		}
	}
	return all
}

// Directory returns the view of the directory of the primary source, or nil if that has not
// answered within maxReplyAge. Views of several sources are not merged, since the blocks of
// each are consistent with the store states of the same source only.
func (f *Follower) Directory() *bluebelldirectory.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.primarySource(); s != nil {
		return s.directory
	}
	return nil
}

// Entries returns the sorted addresses of the entries that a source has named within
// entryRetention. During a network partition, both sides therefore still count the entries
// of the other side.
func (f *Follower) Entries() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	s := f.primarySource()
	if f.entryList != nil && now-f.entriesListedAt < entriesInterval && (s == nil || len(s.entries) <= len(f.entryList)) {
		return f.entryList
	}
	if s != nil {
		for _, e := range s.entries {
			f.entryNamedAt[e.Address] = now
		}
	}
	for name, at := range f.entryNamedAt {
		if now-at > entryRetention {
			delete(f.entryNamedAt, name)
		}
	}
	f.entryList, f.entriesListedAt = slices.Sorted(maps.Keys(f.entryNamedAt)), now
	return f.entryList
}

// SilentSince returns, by ID, the endpoints whose registrations have stopped by the data of
// all sources that have answered within maxReplyAge, with the time of the last registration.
func (f *Follower) SilentSince() map[string]time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var silent map[string]time.Duration
	now := f.cfg.Now()
	for _, s := range f.sources {
		if !f.isFresh(s) {
			continue
		}
		if silent == nil {
			silent = map[string]time.Duration{}
			for id, at := range s.ages {
				if now-at > SilentAfter {
					silent[id] = at
				}
			}
			continue
		}
		for id, at := range silent {
			if latest, listed := s.ages[id]; !listed || now-latest <= SilentAfter {
				delete(silent, id)
			} else {
				silent[id] = max(at, latest)
			}
		}
	}
	return silent
}
