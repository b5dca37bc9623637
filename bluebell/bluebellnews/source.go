// Package bluebellnews spreads the declared deployment and the registrations of
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
//	source := bluebellnews.NewSource(bluebellnews.SourceConfig{...})
//	source.SetDeployment(revision, deployment)
//	reply := source.Answer(ctx, request)
//
// A follower runs one loop for each source:
//
//	follower := bluebellnews.NewFollower(bluebellnews.FollowerConfig{...})
//	follower.Run(ctx)
package bluebellnews

import (
	"context"
	"slices"
	"sync"
	"time"

	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// maxWait is the longest time that a poll is held. It is also how often
	// followers hear that endpoints are alive.
	maxWait = 500 * time.Millisecond
	// entryTimeout is how long an entry that no longer polls counts as one that
	// shares limits: two polls and a retry.
	entryTimeout = 2 * time.Second
)

// SourceConfig sets up a Source.
type SourceConfig struct {
	Registry *bluebellfleet.Registry
	// Epoch differs between two starts of this process.
	Epoch uint64
	// Cores returns the peer addresses of the core processes that are known.
	Cores func() []string
	// Now is monotonic; After is time.After, or a stand-in.
	Now   func() time.Duration
	After func(d time.Duration) <-chan time.Time
}

// Source answers followers. It is safe for concurrent use.
type Source struct {
	cfg SourceConfig

	mu         sync.Mutex
	revision   uint64
	deployment *pb.Deployment
	loading    []string
	entries    map[string]time.Duration
	changed    chan struct{}
}

// NewSource returns a source without a deployment.
func NewSource(cfg SourceConfig) *Source {
	return &Source{cfg: cfg, entries: map[string]time.Duration{}, changed: make(chan struct{})}
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
	if r.Epoch != s.cfg.Epoch || r.Revision < s.currentRevision() {
		return s.reply(r)
	}
	own := s.changes()
	changedAt, fleet := s.cfg.Registry.Changes()
	if r.Revision < s.currentRevision() || r.Cursor < changedAt {
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
	cursor := r.Cursor
	if r.Epoch != s.cfg.Epoch {
		cursor = 0
	}
	now := s.cfg.Now()
	endpoints, next := s.cfg.Registry.Since(cursor)
	reply := &pb.FollowReply{Epoch: s.cfg.Epoch, Cursor: next, Cores: s.cfg.Cores()}
	for _, e := range endpoints {
		reply.Registrations = append(reply.Registrations, bluebellfleet.ToMessage(e, now))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Entry {
		s.entries[r.Process] = now
	}
	reply.Entries = s.liveEntries(now)
	reply.Loading = s.loading
	reply.Revision = s.revision
	if s.revision > r.Revision {
		reply.Deployment = s.deployment
	}
	return reply
}

func (s *Source) liveEntries(now time.Duration) []string {
	var live []string
	for address, at := range s.entries {
		if now-at > entryTimeout {
			delete(s.entries, address)
			continue
		}
		live = append(live, address)
	}
	slices.Sort(live)
	return live
}
