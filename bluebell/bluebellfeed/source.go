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
// Entries also report their calls in flight with each poll, and receive those of the other
// entries.
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
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// maxWait is the longest time that a poll is held. A registration that only shows that
	// an endpoint is alive does not end a poll early, so followers receive it at this
	// interval.
	maxWait = 500 * time.Millisecond
	// entryWait is the longest time that a poll of an entry is held. Entries exchange their
	// calls in flight with each poll, so it is about as long as a call takes.
	entryWait = 200 * time.Millisecond
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
	// Cores returns the peer addresses of the known core processes.
	Cores func() []string
	// Now returns the time of a monotonic clock. After is time.After, or a fake in tests.
	Now   func() time.Duration
	After func(d time.Duration) <-chan time.Time
}

// entry is the last poll of one entry: when it was received and the uses it reported.
type entry struct {
	receivedAt time.Duration
	uses       []*pb.EndpointUse
}

// answeredAgo returns how long before now the endpoint of a use last answered the entry. It
// returns nil if the entry reported no recent answer.
func (e entry) answeredAgo(u *pb.EndpointUse, now time.Duration) *durationpb.Duration {
	if u.AnsweredAgo == nil {
		return nil
	}
	return durationpb.New(u.AnsweredAgo.AsDuration() + now - e.receivedAt)
}

// waited returns the total time that the calls of a use have waited until now. The entry
// reported it as of its poll, so the time since then is added once for each call.
func (e entry) waited(u *pb.EndpointUse, now time.Duration) time.Duration {
	if u.Waited == nil {
		return 0
	}
	return u.Waited.AsDuration() + time.Duration(u.Calls)*(now-e.receivedAt)
}

// shorter returns the shorter of two durations. A nil duration is ignored.
func shorter(a, b *durationpb.Duration) *durationpb.Duration {
	if a == nil || b != nil && b.AsDuration() < a.AsDuration() {
		return b
	}
	return a
}

// Source answers the polls of followers. It is safe for concurrent use.
type Source struct {
	cfg SourceConfig

	mu         sync.Mutex
	revision   uint64
	deployment *pb.Deployment
	loading    []string
	entries    map[string]entry
	// changed is closed and replaced when the deployment or loading changes.
	changed chan struct{}
}

// NewSource returns a source without a deployment.
func NewSource(cfg SourceConfig) *Source {
	return &Source{cfg: cfg, entries: map[string]entry{}, changed: make(chan struct{})}
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
	s.recordEntry(r)
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
	if r.Entry && s.cfg.Directory.MaxPending(r.DirectoryCursor) >= maxReplyBlocks {
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
	endpoints, next := s.cfg.Registry.ChangesSince(cursor)
	reply := &pb.FollowReply{Epoch: s.cfg.Epoch, Cursor: next, Cores: s.cfg.Cores()}
	for _, e := range endpoints {
		reply.Registrations = append(reply.Registrations, bluebellfleet.ToMessage(e, now))
	}
	if r.Entry {
		s.addDirectory(reply, directoryCursor, now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Entry {
		reply.Uses = s.usesExcept(r.Process, now)
	}
	reply.Entries = s.liveEntries(now)
	reply.Loading = s.loading
	reply.Revision = s.revision
	if s.revision > r.Revision {
		reply.Deployment = s.deployment
	}
	return reply
}

// recordEntry records the uses that an entry reports with a poll.
func (s *Source) recordEntry(r *pb.FollowRequest) {
	if !r.Entry {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[r.Process] = entry{receivedAt: s.cfg.Now(), uses: r.Uses}
}

// usesExcept sums, for each endpoint, the calls in flight and the failures that all entries
// except one have reported. s.mu must be held.
func (s *Source) usesExcept(process string, now time.Duration) []*pb.EndpointUse {
	sums := map[string]*pb.EndpointUse{}
	for address, e := range s.entries {
		if address == process {
			continue
		}
		for _, u := range e.uses {
			sum := sums[u.Endpoint]
			if sum == nil {
				sum = &pb.EndpointUse{Endpoint: u.Endpoint}
				sums[u.Endpoint] = sum
			}
			sum.Calls += u.Calls
			sum.Tokens += u.Tokens
			sum.Unread += u.Unread
			sum.Failing += u.Failing
			if waited := e.waited(u, now); waited > 0 {
				sum.Waited = durationpb.New(sum.Waited.AsDuration() + waited)
			}
			sum.AnsweredAgo = shorter(sum.AnsweredAgo, e.answeredAgo(u, now))
		}
	}
	return slices.Collect(maps.Values(sums))
}

// addDirectory adds the states of the stores and one page of directory changes to a reply.
// The states are read before the changes, so that the blocks are never older than the states
// of their stores.
func (s *Source) addDirectory(reply *pb.FollowReply, cursor uint64, now time.Duration) {
	for _, state := range s.cfg.Directory.StoreStates() {
		m := &pb.StoreState{Address: state.Address, UsedTokens: uint64(max(state.UsedTokens, 0))}
		if state.Following {
			m.FollowedFor = durationpb.New(now - state.FollowedSince)
		}
		reply.Stores = append(reply.Stores, m)
	}
	changes, next := s.cfg.Directory.ChangesSince(cursor, maxReplyBlocks)
	reply.DirectoryCursor = next
	reply.DirectoryMore = len(changes) == maxReplyBlocks
	for _, c := range changes {
		reply.Blocks = append(reply.Blocks, &pb.StoredBlock{
			Store: c.Store, Scope: c.Scope, ID: c.ID, Tokens: uint32(c.Tokens), Gone: c.Gone,
		})
	}
}

// liveEntries returns the sorted addresses of the entries that have polled within
// entryTimeout, and deletes the others. s.mu must be held.
func (s *Source) liveEntries(now time.Duration) []string {
	var live []string
	for address, e := range s.entries {
		if now-e.receivedAt > entryTimeout {
			delete(s.entries, address)
			continue
		}
		live = append(live, address)
	}
	slices.Sort(live)
	return live
}
