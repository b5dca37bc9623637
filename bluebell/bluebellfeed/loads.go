package bluebellfeed

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellplacement"
)

// A source sums what its entries report and adds the sums of the other core processes. The
// sums are updated with each report and encoded at intervals for all followers together:
// summing all reports again for each poll took a core process of 5 VMs with 295 entries more
// than its share of a processor.

const (
	// tableInterval is how often the sums are encoded at most.
	tableInterval = 30 * time.Millisecond
	// listInterval is how often the list of entries is made at most.
	listInterval = 200 * time.Millisecond
	// reportTimeout is how long a report counts: several polls of an entry. An entry that
	// changes its primary source counts at both for this long.
	reportTimeout = time.Second
	// maxNames bounds the names in one epoch: many times the endpoints that register in the
	// life of a process.
	maxNames = 1 << 16
)

// PeerLoads is what another core process has summed from the entries that report to it.
type PeerLoads struct {
	Uses []Use
	// Entries are the entries that follow it, with the targets that they have lost.
	Entries []EntryState
	// Demands are those of the same entries at the time DemandsAt.
	Demands   Demands
	DemandsAt time.Duration
}

// loadSum is the sum of the uses of one endpoint by the entries that report to this process.
type loadSum struct{ use Use }

// add adds a use, or removes it if sign is -1.
func (s *loadSum) add(u Use, sign int) {
	s.use.Calls += sign * u.Calls
	s.use.Tokens += sign * u.Tokens
	s.use.Unread += sign * u.Unread
	addSign(&s.use.UnreadByPriority, u.UnreadByPriority, sign)
	s.use.Failing += sign * u.Failing
	s.use.Waited += time.Duration(sign) * u.Waited
	s.use.AnsweredAt = max(s.use.AnsweredAt, u.AnsweredAt)
	s.use.Limit = s.use.Limit.Later(u.Limit)
	s.use.Brittle = s.use.Brittle.Later(u.Brittle)
	s.use.Report = s.use.Report.Later(u.Report)
	s.use.Speed.Total += int64(sign) * u.Speed.Total
	s.use.Speed.Calls += sign * u.Speed.Calls
}

// at returns the sum at the time now.
func (s *loadSum) at(now time.Duration) Use {
	u := s.use
	if now-u.AnsweredAt > answerRetention {
		u.AnsweredAt = 0
	}
	if now-u.Limit.At > limitRetention {
		u.Limit = bluebellplacement.RateLimit{}
	}
	if now-u.Brittle.At > limitRetention {
		u.Brittle = bluebellplacement.RateLimit{}
	}
	if !u.Report.IsFresh(now) {
		u.Report = bluebellplacement.LoadReport{}
	}
	return u
}

// limitRetention is how long what an endpoint said about its limit is passed on after the last
// report of it. Entries that have heard of a limit report it until it ends.
const limitRetention = time.Minute

// answerRetention is how long an answer is passed on. Followers decide by answers of the last
// few seconds.
const answerRetention = 10 * time.Second

// report is the latest report of one entry.
type report struct {
	receivedAt time.Duration
	number     uint64
	// numberBefore is the number of the latest report before this one that the tables
	// contain, if they do not contain this one.
	numberBefore uint64
	names        []int
	uses         []Use
	lostTargets  []string
	demands      Demands
}

// seenEntry is when an entry last polled, with or without a report, and its failure domain.
type seenEntry struct {
	at     time.Duration
	domain string
}

// loads sums reports. It is safe for concurrent use.
type loads struct {
	now       func() time.Duration
	peers     func() []PeerLoads
	objective func() time.Duration

	mu      sync.Mutex
	names   []string
	index   map[string]int
	sums    []loadSum
	reports map[string]*report
	seen    map[string]seenEntry

	// own holds the sums of this process, total those of all processes.
	own, total []byte
	// ownDemands and totalDemands are the same for the demands.
	ownDemands, totalDemands []*pb.TargetDemand
	builtAt                  time.Duration
	builds                   int
	ownList, totalList       entryList
	listedAt                 time.Duration
}

func newLoads(now func() time.Duration, peers func() []PeerLoads, objective func() time.Duration) *loads {
	if peers == nil {
		peers = func() []PeerLoads { return nil }
	}
	return &loads{
		now: now, peers: peers, objective: objective, index: map[string]int{}, reports: map[string]*report{}, seen: map[string]seenEntry{},
		builtAt: -time.Hour, listedAt: -time.Hour,
	}
}

// nameIndex returns the position of a name and adds the name if it is new. It returns -1 if
// there are too many names. l.mu must be held.
func (l *loads) nameIndex(name string) int {
	if i, known := l.index[name]; known {
		return i
	}
	if len(l.names) >= maxNames {
		return -1
	}
	l.index[name] = len(l.names)
	l.names = append(l.names, name)
	l.sums = append(l.sums, loadSum{})
	return len(l.names) - 1
}

// polled records that an entry polls.
func (l *loads) polled(process, domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen[process] = seenEntry{at: l.now(), domain: domain}
}

// record replaces the report of an entry.
func (l *loads) record(process string, number uint64, uses []*pb.EndpointUse, lostTargets []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	next := &report{receivedAt: now, number: number, lostTargets: lostTargets[:min(len(lostTargets), maxLostTargets)]}
	for _, m := range uses {
		if i := l.nameIndex(m.Endpoint); i >= 0 {
			u := decodeReport(m, now)
			next.names, next.uses = append(next.names, i), append(next.uses, u)
			l.sums[i].add(u, 1)
		}
	}
	if old := l.reports[process]; old != nil {
		l.subtract(old)
		next.numberBefore = l.included(old)
	}
	l.reports[process] = next
}

// included returns the number of the entry's report that the tables contain, given its latest
// one. l.mu must be held.
func (l *loads) included(r *report) uint64 {
	if r.receivedAt <= l.builtAt {
		return r.number
	}
	return r.numberBefore
}

// subtract removes a report from the sums. l.mu must be held.
func (l *loads) subtract(r *report) {
	for at, i := range r.names {
		l.sums[i].add(r.uses[at], -1)
	}
}

// expire removes old reports and entries. l.mu must be held.
func (l *loads) expire(now time.Duration) {
	for process, r := range l.reports {
		if now-r.receivedAt > reportTimeout {
			l.subtract(r)
			delete(l.reports, process)
		}
	}
	for process, s := range l.seen {
		if now-s.at > entryTimeout {
			delete(l.seen, process)
		}
	}
}

// addTo adds the sums to a reply to a primary follower: those of all core processes for an
// entry, and those of this process for a core process.
func (l *loads) addTo(reply *pb.FollowReply, r *pb.FollowRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.build(l.now())
	list := l.ownList
	reply.Uses, reply.Demands = l.own, l.ownDemands
	if r.Entry {
		list, reply.Uses, reply.Demands = l.totalList, l.total, l.totalDemands
	}
	if own := l.reports[r.Process]; own != nil && r.Entry {
		reply.ReportIncluded = l.included(own)
	}
	known := int(r.KnownNames)
	if r.Epoch != reply.Epoch {
		known = 0
	}
	reply.Names = l.names[min(known, len(l.names)):]
	reply.EntriesVersion = list.version
	reply.LostTargets = list.lost
	if r.EntriesVersion != list.version || r.Epoch != reply.Epoch {
		reply.Entries, reply.EntryDomainNames, reply.EntryDomains = list.addresses, list.domainNames, list.domains
	}
}

// build encodes the sums and lists the entries, if they are due. l.mu must be held.
func (l *loads) build(now time.Duration) {
	if now-l.builtAt < intervalsFor(l.objective, len(l.totalList.addresses)).Table {
		return
	}
	l.expire(now)
	uses := make([]Use, len(l.sums), len(l.sums)+64)
	for i := range l.sums {
		uses[i] = l.sums[i].at(now)
	}
	l.own = l.encode(uses, now, true)
	peers := l.peers()
	for _, p := range peers {
		for _, u := range p.Uses {
			i := l.nameIndex(u.Endpoint)
			if i < 0 {
				continue
			}
			for len(uses) <= i {
				uses = append(uses, Use{})
			}
			sum := &uses[i]
			sum.Calls += u.Calls
			sum.Tokens += u.Tokens
			sum.Unread += u.Unread
			addSign(&sum.UnreadByPriority, u.UnreadByPriority, 1)
			sum.Failing += u.Failing
			sum.Waited += u.Waited
			sum.AnsweredAt = max(sum.AnsweredAt, u.AnsweredAt)
			sum.Limit = sum.Limit.Later(u.Limit)
			sum.Brittle = sum.Brittle.Later(u.Brittle)
			sum.Report = sum.Report.Later(u.Report)
			sum.Speed = sum.Speed.Add(u.Speed)
		}
	}
	l.builds++
	l.total = l.encode(uses, now, l.builds%speedTables == 0)
	l.buildDemands(peers, now)
	l.builtAt = now
	if now-l.listedAt >= listInterval {
		l.listedAt = now
		l.buildLists(peers)
	}
	l.markLost(peers)
}

// encode encodes the sums that are not 0, with or without the speeds. l.mu must be held.
func (l *loads) encode(uses []Use, now time.Duration, speeds bool) []byte {
	t := &pb.UseTable{}
	var limits, brittle limitColumns
	var priorities []bluebellplacement.TokensByPriority
	for i, u := range uses {
		if u.Endpoint = ""; u == (Use{}) {
			continue
		}
		answered := uint32(0)
		if u.AnsweredAt > 0 {
			answered = uint32(max(now-u.AnsweredAt, 0).Milliseconds()) + 1
		}
		t.Names, t.Calls, t.Failing = append(t.Names, uint32(i)), append(t.Calls, uint32(max(u.Calls, 0))), append(t.Failing, uint32(max(u.Failing, 0)))
		t.Tokens, t.Unread = append(t.Tokens, uint64(max(u.Tokens, 0))), append(t.Unread, uint64(max(u.Unread, 0)))
		t.AnsweredMillis, t.WaitedMillis = append(t.AnsweredMillis, answered), append(t.WaitedMillis, uint64(max(u.Waited, 0).Milliseconds()))
		priorities = append(priorities, u.UnreadByPriority)
		limits.add(len(t.Names)-1, u.Limit, now)
		brittle.add(len(t.Names)-1, u.Brittle, now)
		addLoadReport(t, len(t.Names)-1, u.Report, now)
		if speeds {
			addSpeed(t, len(t.Names)-1, u.Speed)
		}
	}
	encodePriorityColumns(t, priorities)
	t.LimitRows, t.LimitThousandths, t.LimitMillis = limits.rows, limits.thousandths, limits.millis
	t.BrittleRows, t.BrittleThousandths, t.BrittleMillis = brittle.rows, brittle.thousandths, brittle.millis
	encoded, err := proto.Marshal(t)
	if err != nil {
		// Marshal fails only for strings that are not UTF-8, and the table has none.
		return nil
	}
	return encoded
}
