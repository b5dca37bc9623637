// Package bluebellfeed distributes the declared deployment, the registrations of endpoints
// and the directory of cached blocks from core processes to each other and to entries, the
// processes that accept calls.
//
// Every core process has a Source. A Follower polls several sources with long polls: a source
// holds a poll until it has a change or the wait of the poll ends. The revision of the
// deployment increases with the replicated log, so a follower uses the highest revision
// from any source. Package bluebellfleet defines the order of registrations. A follower keeps
// its deployment and registrations while no source answers.
//
// # Loads
//
// Entries report their calls in flight, and receive the sums over all other entries. An entry
// reports to one source, its primary, if possible one in its own failure domain, and gets the
// sums, the list of entries and the directory from it. Its other sources send it changes of
// the deployment and of registrations only. Core processes exchange the sums of their entries.
// What an entry receives thus grows with the endpoints in use, and little of it crosses
// failure domains. In the same way, each entry learns to which targets others have lost their links.
//
// # Usage reports
//
// An entry reports the calls that it has counted (bluebellusage) to all its sources, and learns the time of day
// of each.
//
// # Usage
//
// A core process answers polls:
//
//	source := bluebellfeed.NewSource(bluebellfeed.SourceConfig{...})
//	source.SetDeployment(revision, deployment)
//	reply := source.Answer(ctx, request)
//
// A follower runs one loop for each source:
//
//	follower := bluebellfeed.NewFollower(bluebellfeed.FollowerConfig{...})
//	follower.Run(ctx)
package bluebellfeed

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellquarantine"
)

const (
	// maxWait is the longest time that a poll is held. A registration that only shows that
	// an endpoint is alive does not end a poll early, so core processes receive it at this
	// interval at the latest.
	maxWait = 500 * time.Millisecond
	// entryWait is the longest time that an entry's poll of its primary source is held. It
	// exchanges calls in flight with each poll, so it is about as long as a call takes.
	entryWait = 200 * time.Millisecond
	// loadsWait is the longest time that a poll of a core process that shares its loads is
	// held. It adds to the age of what entries know of each other.
	loadsWait = 100 * time.Millisecond
	// SilentAfter is the age of a registration from which entries are told of it: two
	// heartbeats and their delivery.
	SilentAfter = 3 * time.Second
	// entryTimeout is how long after its last poll an entry counts as one that shares
	// limits: two polls and a retry.
	entryTimeout = 2 * time.Second
	// maxReplyBlocks is the highest number of blocks in one reply: about 30 KB, or 25 ms on
	// the slowest specified link (10 Mbit/s). A reply with a whole directory would exceed
	// the timeout of a poll there, and the follower would request it again and again.
	maxReplyBlocks = 500
)

// SourceConfig holds the settings of a Source.
type SourceConfig struct {
	Registry  *bluebellfleet.Registry
	Directory *bluebelldirectory.Directory
	// Epoch identifies this run of the process: it differs after a restart. Cursors are
	// valid within one epoch.
	Epoch uint64
	// Cores returns the peer addresses of the known core processes. Domain returns the
	// failure domain of one, "" if unknown; it may be nil.
	Cores  func() []string
	Domain func(core string) string
	// PeerLoads returns what the other core processes have summed. It may be nil.
	PeerLoads func() []PeerLoads
	// Suspects receives what entries report of calls that may crash endpoints. It may be nil.
	Suspects *bluebellquarantine.Ledger
	// RecordUsage is called with the usage report of each poll of an entry that has one. It may be nil.
	RecordUsage func(entry string, r *pb.UsageReport)
	// WallClock returns the time of day, which followers are told. If it is nil, they are not.
	WallClock func() time.Time
	// HasLeader reports whether a leader of the core processes is known. It may be nil.
	HasLeader func() bool
	// CurrentAgo returns the time since this process is known to have had all that the core processes have agreed on,
	// and whether there was such a time. It may be nil.
	CurrentAgo func() (age time.Duration, known bool)
	// Settled returns the time since this process was a voter whose log held no declaration and no change of members that
	// it had not applied, and whether there was such a time; and the voters. It may be nil.
	Settled func() (age time.Duration, known bool, voters []string)
	// Objective is that of FollowerConfig.
	Objective func() time.Duration
	// Now returns the time of a monotonic clock. After is time.After, or a fake in tests.
	Now   func() time.Duration
	After func(d time.Duration) <-chan time.Time
}

// Source answers the polls of followers. It is safe for concurrent use.
type Source struct {
	cfg   SourceConfig
	loads *loads

	mu         sync.Mutex
	revision   uint64
	deployment *pb.Deployment
	loading    []string
	// changed is closed and replaced when the deployment or loading changes.
	changed chan struct{}
}

// NewSource returns a source without a deployment.
func NewSource(cfg SourceConfig) *Source {
	return &Source{cfg: cfg, loads: newLoads(cfg.Now, cfg.PeerLoads, cfg.Objective), changed: make(chan struct{})}
}

// SetDeployment sets the deployment that the core processes have agreed on. It does nothing if
// d is nil or revision is not higher than the current one.
func (s *Source) SetDeployment(revision uint64, d *pb.Deployment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d == nil || revision <= s.revision {
		return
	}
	s.revision, s.deployment = revision, d
	s.notify()
}

// SetLoading sets the IDs of the endpoints that are about to load other weights.
func (s *Source) SetLoading(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.loading, ids) {
		return
	}
	s.loading = ids
	s.notify()
}

// Deployment returns the current deployment and its revision. It returns nil before the first
// call of SetDeployment.
func (s *Source) Deployment() (*pb.Deployment, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deployment, s.revision
}

// notify ends the polls that are held. s.mu must be held.
func (s *Source) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Answer answers a poll. It returns at once if the follower lacks a change that affects
// routing or a full page of directory changes. Otherwise it returns at the next change that
// affects routing, or after the wait that the follower requested, but at most maxWait.
func (s *Source) Answer(ctx context.Context, r *pb.FollowRequest) *pb.FollowReply {
	s.recordPoll(r)
	// A follower that has not polled this run of the process before, or that has an older
	// deployment, gets a reply without waiting.
	if r.Epoch != s.cfg.Epoch || r.Revision < s.currentRevision() {
		return s.buildReply(r)
	}
	changed := s.changedChannel()
	routingCursor, routingChanged := s.cfg.Registry.LastRoutingChange()
	if r.Revision < s.currentRevision() || r.Cursor < routingCursor {
		return s.buildReply(r)
	}
	if r.Entry && r.Primary && s.cfg.Directory.MaxPending(r.DirectoryCursor) >= maxReplyBlocks {
		return s.buildReply(r)
	}
	select {
	case <-changed:
	case <-routingChanged:
	case <-s.cfg.After(min(r.Wait.AsDuration(), maxWait)):
	case <-ctx.Done():
	}
	return s.buildReply(r)
}

func (s *Source) changedChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *Source) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *Source) buildReply(r *pb.FollowRequest) *pb.FollowReply {
	cursor, directoryCursor := r.Cursor, r.DirectoryCursor
	if r.Epoch != s.cfg.Epoch {
		cursor, directoryCursor = 0, 0
	}
	now := s.cfg.Now()
	reply := &pb.FollowReply{Epoch: s.cfg.Epoch, Cores: s.cfg.Cores()}
	s.addEvidence(reply)
	reply.Leaderless = s.cfg.HasLeader != nil && !s.cfg.HasLeader()
	if s.cfg.WallClock != nil {
		reply.UnixNanos = s.cfg.WallClock().UnixNano()
	}
	s.addRegistrations(reply, r, cursor, now)
	s.addCoreDomains(reply)
	if r.Entry && r.Primary {
		s.addDirectory(reply, directoryCursor, now)
	}
	if r.Primary {
		s.loads.addTo(reply, r)
		s.addSuspicions(reply, r, now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Loading = s.loading
	reply.Revision = s.revision
	if s.revision > r.Revision {
		reply.Deployment = s.deployment
	}
	return reply
}

// addEvidence adds how recent the deployment is. It is called before the revision is read, so that the reply has at least
// what was agreed on then.
func (s *Source) addEvidence(reply *pb.FollowReply) {
	if s.cfg.CurrentAgo != nil {
		if age, known := s.cfg.CurrentAgo(); known {
			reply.CurrentAgo = durationpb.New(age)
		}
	}
	if s.cfg.Settled == nil {
		return
	}
	if age, known, voters := s.cfg.Settled(); known {
		reply.SettledAgo, reply.Voters = durationpb.New(age), uint32(len(voters))
		reply.VoterSet = xxhash.Sum64String(strings.Join(slices.Sorted(slices.Values(voters)), "\x00"))
	}
}

// addSuspicions adds what the entries of this source have observed to the reply to a core process,
// and the subjects that are suspect to that to an entry.
func (s *Source) addSuspicions(reply *pb.FollowReply, r *pb.FollowRequest, now time.Duration) {
	switch {
	case s.cfg.Suspects == nil:
	case r.Entry:
		for _, key := range s.cfg.Suspects.Listed(now) {
			reply.Suspected = append(reply.Suspected, uint64(key))
		}
	default:
		reply.Suspicions = encodeSuspicions(s.cfg.Suspects.Own(now), now)
	}
}

// recordPoll records that an entry polls, and what it reports to its primary source.
func (s *Source) recordPoll(r *pb.FollowRequest) {
	if !r.Entry {
		return
	}
	s.loads.polled(r.Process, r.FailureDomain)
	if r.Usage != nil && s.cfg.RecordUsage != nil {
		s.cfg.RecordUsage(r.Process, r.Usage)
	}
	if r.Primary {
		s.loads.record(r.Process, r.Report, r.Uses, r.LostTargets)
		s.loads.recordDemands(r.Process, r.Demands)
		if now := s.cfg.Now(); s.cfg.Suspects != nil {
			s.cfg.Suspects.Record(r.Process, now, bluebellquarantine.Report{Number: r.Report, Suspects: decodeSuspicions(r.Suspicions, now)})
		}
	}
}

// addRegistrations adds the registrations that a follower lacks: all of them for a core
// process, and for an entry those that affect routing.
func (s *Source) addRegistrations(reply *pb.FollowReply, r *pb.FollowRequest, cursor uint64, now time.Duration) {
	changesSince := s.cfg.Registry.ChangesSince
	if r.Entry {
		changesSince = s.cfg.Registry.RoutingChangesSince
		reply.Ages = s.registrationAges(r, now)
	}
	var endpoints []bluebellfleet.Endpoint
	endpoints, reply.Cursor = changesSince(cursor)
	for _, e := range endpoints {
		reply.Registrations = append(reply.Registrations, bluebellfleet.ToMessage(e, now))
	}
}

// registrationAges returns the ages of the registrations that are old, and of those of the
// endpoints that a follower reports as failing: they may have been restarted.
func (s *Source) registrationAges(r *pb.FollowRequest, now time.Duration) []*pb.RegistrationAge {
	listed := s.cfg.Registry.Silent(SilentAfter)
	for _, u := range r.Uses {
		if u.Failing == 0 {
			continue
		}
		if e, known := s.cfg.Registry.Endpoint(u.Endpoint); known && e.State != bluebellfleet.Gone && now-e.ReceivedAt <= SilentAfter {
			listed = append(listed, e)
		}
	}
	ages := make([]*pb.RegistrationAge, 0, len(listed))
	for _, e := range listed {
		ages = append(ages, &pb.RegistrationAge{ID: e.ID, Millis: uint32(max(now-e.ReceivedAt, 0).Milliseconds())})
	}
	return ages
}

// addCoreDomains adds the failure domains of the core processes in a reply.
func (s *Source) addCoreDomains(reply *pb.FollowReply) {
	if s.cfg.Domain == nil {
		return
	}
	for _, core := range reply.Cores {
		reply.CoreDomains = append(reply.CoreDomains, s.cfg.Domain(core))
	}
}

// addDirectory adds the changed states of the stores and one page of directory changes to a
// reply.
func (s *Source) addDirectory(reply *pb.FollowReply, cursor uint64, now time.Duration) {
	states, changes, next := s.cfg.Directory.StateChangesSince(cursor, maxReplyBlocks)
	for _, state := range states {
		m := &pb.StoreState{Address: state.Address, UsedTokens: uint64(max(state.UsedTokens, 0)), Removed: state.Removed}
		if state.Following {
			m.FollowedFor = durationpb.New(now - state.FollowedSince)
		}
		reply.Stores = append(reply.Stores, m)
	}
	reply.DirectoryCursor = next
	reply.DirectoryMore = len(changes) == maxReplyBlocks
	for _, c := range changes {
		reply.Blocks = append(reply.Blocks, &pb.StoredBlock{
			Store: c.Store, Scope: c.Scope, ID: c.ID, Tokens: uint32(c.Tokens), Gone: c.Gone,
		})
	}
}
