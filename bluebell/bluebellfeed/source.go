// Package bluebellfeed spreads the declared deployment and the registrations of
// its endpoints from the core processes to each other and to the entries.
//
// Every follower asks several sources by long polls. The deployment has a
// revision that grows with the log, so the highest one wins wherever it comes
// from. Registrations are ordered by bluebellfleet. A follower that has lost all
// its sources keeps what it knows.
//
// # Usage
//
// A core process answers:
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
	// maxWait is the longest time that a poll is held. It is also how often
	// followers hear that endpoints are alive.
	maxWait = 500 * time.Millisecond
	// entryWait is the same for entries, which tell each other what they have in
	// flight: about as long as a call takes.
	entryWait = 200 * time.Millisecond
	// entryTimeout is how long an entry that no longer polls counts as one that
	// shares limits: two polls and a retry.
	entryTimeout = 2 * time.Second
	// directoryPage is the number of blocks in one reply, about 30 KB: 25 ms on the slowest
	// link of the users' sheets (10 Mbit/s). A whole directory took longer there than a
	// poll may, and was asked for again and again.
	directoryPage = 500
)

// SourceConfig sets up a Source.
type SourceConfig struct {
	Registry  *bluebellfleet.Registry
	Directory *bluebelldirectory.Directory
	// Epoch differs between two starts of this process.
	Epoch uint64
	// Cores returns the peer addresses of the core processes that are known.
	Cores func() []string
	// Now is monotonic; After is time.After, or a stand-in.
	Now   func() time.Duration
	After func(d time.Duration) <-chan time.Time
}

// entry is what is known of one entry.
type entry struct {
	at   time.Duration
	uses []*pb.EndpointUse
}

// answeredAgo returns how long ago an endpoint answered the entry; nil if not lately.
func (e entry) answeredAgo(u *pb.EndpointUse, now time.Duration) *durationpb.Duration {
	if u.AnsweredAgo == nil {
		return nil
	}
	return durationpb.New(u.AnsweredAgo.AsDuration() + now - e.at)
}

// waited returns how long the calls of a use have waited by now.
func (e entry) waited(u *pb.EndpointUse, now time.Duration) time.Duration {
	if u.Waited == nil {
		return 0
	}
	return u.Waited.AsDuration() + time.Duration(u.Calls)*(now-e.at)
}

func sooner(a, b *durationpb.Duration) *durationpb.Duration {
	if a == nil || b != nil && b.AsDuration() < a.AsDuration() {
		return b
	}
	return a
}

// Source answers followers. It is safe for concurrent use.
type Source struct {
	cfg SourceConfig

	mu         sync.Mutex
	revision   uint64
	deployment *pb.Deployment
	loading    []string
	entries    map[string]entry
	changed    chan struct{}
}

// NewSource returns a source without a deployment.
func NewSource(cfg SourceConfig) *Source {
	return &Source{cfg: cfg, entries: map[string]entry{}, changed: make(chan struct{})}
}

// SetDeployment takes in what is agreed.
func (s *Source) SetDeployment(revision uint64, d *pb.Deployment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d == nil || revision <= s.revision {
		return
	}
	s.revision, s.deployment = revision, d
	s.wake()
}

// SetLoading names the endpoints that are about to load other weights.
func (s *Source) SetLoading(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.loading, ids) {
		return
	}
	s.loading = ids
	s.wake()
}

// Deployment returns what is agreed, and its revision; nil before the first.
func (s *Source) Deployment() (*pb.Deployment, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deployment, s.revision
}

func (s *Source) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Answer serves a follower: at once if calls have to go other ways than the
// follower knows, otherwise after the wait.
func (s *Source) Answer(ctx context.Context, r *pb.FollowRequest) *pb.FollowReply {
	// A follower that comes from another source, or that has nothing yet, is not
	// made to wait.
	s.noteEntry(r)
	if r.Epoch != s.cfg.Epoch || r.Revision < s.currentRevision() {
		return s.reply(r)
	}
	own := s.changes()
	changedAt, fleet := s.cfg.Registry.LastRoutingChange()
	if r.Revision < s.currentRevision() || r.Cursor < changedAt {
		return s.reply(r)
	}
	if r.Entry && s.cfg.Directory.MaxPending(r.DirectoryCursor) >= directoryPage {
		return s.reply(r)
	}
	select {
	case <-own:
	case <-fleet:
	case <-s.cfg.After(min(r.Wait.AsDuration(), maxWait)):
	case <-ctx.Done():
	}
	return s.reply(r)
}

func (s *Source) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *Source) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *Source) reply(r *pb.FollowRequest) *pb.FollowReply {
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
		reply.Uses = s.usesWithout(r.Process, now)
	}
	reply.Entries = s.liveEntries(now)
	reply.Loading = s.loading
	reply.Revision = s.revision
	if s.revision > r.Revision {
		reply.Deployment = s.deployment
	}
	return reply
}

func (s *Source) noteEntry(r *pb.FollowRequest) {
	if !r.Entry {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[r.Process] = entry{at: s.cfg.Now(), uses: r.Uses}
}

// usesWithout adds up what all entries but one have in flight and have met.
func (s *Source) usesWithout(process string, now time.Duration) []*pb.EndpointUse {
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
			sum.AnsweredAgo = sooner(sum.AnsweredAgo, e.answeredAgo(u, now))
		}
	}
	return slices.Collect(maps.Values(sums))
}

// addDirectory adds what changed in the directory of stores. The states come first,
// so that a block is never newer than what is said of its store.
func (s *Source) addDirectory(reply *pb.FollowReply, cursor uint64, now time.Duration) {
	for _, state := range s.cfg.Directory.StoreStates() {
		m := &pb.StoreState{Address: state.Address, UsedTokens: uint64(max(state.UsedTokens, 0))}
		if state.Following {
			m.FollowedFor = durationpb.New(now - state.FollowedSince)
		}
		reply.Stores = append(reply.Stores, m)
	}
	changes, next := s.cfg.Directory.ChangesSince(cursor, directoryPage)
	reply.DirectoryCursor = next
	reply.DirectoryMore = len(changes) == directoryPage
	for _, c := range changes {
		reply.Blocks = append(reply.Blocks, &pb.StoredBlock{
			Store: c.Store, Scope: c.Scope, ID: c.ID, Tokens: uint32(c.Tokens), Gone: c.Gone,
		})
	}
}

func (s *Source) liveEntries(now time.Duration) []string {
	var live []string
	for address, e := range s.entries {
		if now-e.at > entryTimeout {
			delete(s.entries, address)
			continue
		}
		live = append(live, address)
	}
	slices.Sort(live)
	return live
}
