package bluebellfeed

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/types/known/durationpb"

	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// callSlack is what a poll may take beyond its wait: a few round trips, and a
	// lost packet sent again.
	callSlack = 400 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed poll.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
	// sourceRetention is how long a source that fails and is named by no other is
	// still asked.
	sourceRetention = 30 * time.Second
	// entryRetention is how long an entry that no source names any more still counts as
	// one that shares limits: several times the cuts of a few seconds that the users
	// describe. Counting one too many leaves a part of a limit unused.
	entryRetention = time.Minute
	// freshFor is how long the word of a source counts: a poll and its retry.
	freshFor = 1500 * time.Millisecond
)

// FollowerConfig sets up a Follower.
type FollowerConfig struct {
	// Process is the follower's own peer address, which it does not follow.
	Process string
	Entry   bool
	// Seeds are the first sources; they are asked again whenever all others fail.
	Seeds func() []string
	// MaxSources bounds the sources that are followed at once.
	MaxSources int
	Registry   *bluebellfleet.Registry
	// OnDeployment is called with each newer deployment, in order. It is nil for
	// processes that have theirs from the log.
	OnDeployment func(revision uint64, d *pb.Deployment)
	// Uses returns what this entry has in flight; nil for other processes.
	Uses func() []*pb.EndpointUse
	Poll func(ctx context.Context, source string, r *pb.FollowRequest) (*pb.FollowReply, error)
	// Now is monotonic.
	Now    func() time.Duration
	Logger *log.Logger
}

// source is what is known of one core process.
type source struct {
	cancel context.CancelFunc
	// lastReply is 0 before the first.
	lastReply time.Duration
	startedAt time.Duration
	loading   []string
	others    []*pb.EndpointUse
	directory *bluebelldirectory.View
}

// Follower keeps a registry and the deployment up to date. It is safe for
// concurrent use.
type Follower struct {
	cfg FollowerConfig
	// taking keeps deployments in order; it is taken before mu.
	taking sync.Mutex

	mu      sync.Mutex
	sources map[string]*source
	// named tells when a source last named a core process.
	named map[string]time.Duration
	// entries tells when a source last named an entry.
	entries  map[string]time.Duration
	revision uint64
}

// NewFollower returns a follower that has heard nothing yet.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{cfg: cfg, sources: map[string]*source{}, named: map[string]time.Duration{}, entries: map[string]time.Duration{}}
}

// Sources returns the processes that are followed.
func (f *Follower) Sources() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.sources))
}

// FreshSources returns the number of sources that have answered lately.
func (f *Follower) FreshSources() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := 0
	for _, s := range f.sources {
		if f.isFresh(s) {
			fresh++
		}
	}
	return fresh
}

// Revision returns the revision of the deployment that was taken last.
func (f *Follower) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// heldRevision is the revision to ask from: processes that have the deployment from
// the log want none.
func (f *Follower) heldRevision() uint64 {
	if f.cfg.OnDeployment == nil {
		return math.MaxUint64
	}
	return f.Revision()
}

func (f *Follower) wait() time.Duration {
	if f.cfg.Entry {
		return entryWait
	}
	return maxWait
}

func (f *Follower) uses() []*pb.EndpointUse {
	if f.cfg.Uses == nil {
		return nil
	}
	return f.cfg.Uses()
}

// UsesOfOthers returns what all other entries have in flight and have met, as the source that
// has answered last knows it, and when it answered; nil without a live source.
func (f *Follower) UsesOfOthers() ([]*pb.EndpointUse, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var latest *source
	for _, s := range f.sources {
		if f.isFresh(s) && (latest == nil || s.lastReply > latest.lastReply) {
			latest = s
		}
	}
	if latest == nil {
		return nil, 0
	}
	return latest.others, latest.lastReply
}

// Entries returns the entries that follow any source, or did so a while ago, in order:
// while the deployment is cut in two, both halves count with all of them.
func (f *Follower) Entries() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	for name, at := range f.entries {
		if now-at > entryRetention {
			delete(f.entries, name)
		}
	}
	return slices.Sorted(maps.Keys(f.entries))
}

// Directory returns what the first source that has answered lately knows of cache
// stores, or nil. The views of several sources are not mixed: each is consistent
// with the states of the stores that it names.
func (f *Follower) Directory() *bluebelldirectory.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range slices.Sorted(maps.Keys(f.sources)) {
		if s := f.sources[address]; f.isFresh(s) {
			return s.directory
		}
	}
	return nil
}

// takeDirectory takes in what changed in a source's directory.
func (f *Follower) takeDirectory(address string, reply *pb.FollowReply, anew bool) {
	f.mu.Lock()
	s := f.sources[address]
	f.mu.Unlock()
	if s == nil || !f.cfg.Entry {
		return
	}
	now := f.cfg.Now()
	var states []bluebelldirectory.StoreState
	for _, m := range reply.Stores {
		states = append(states, bluebelldirectory.StoreState{
			Address: m.Address, UsedTokens: int(m.UsedTokens),
			Following: m.FollowedFor != nil, FollowedSince: now - m.FollowedFor.AsDuration(),
		})
	}
	var changes []bluebelldirectory.Change
	for _, m := range reply.Blocks {
		block := bluebelldirectory.Block{Key: bluebelldirectory.Key{Scope: m.Scope, ID: m.ID}, Tokens: int(m.Tokens)}
		changes = append(changes, bluebelldirectory.Change{Store: m.Store, Block: block, Gone: m.Gone})
	}
	s.directory.Apply(states, changes, anew, reply.DirectoryMore, now)
}

// Loading returns the endpoints that are about to load other weights, in order.
func (f *Follower) Loading() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]bool{}
	for _, s := range f.sources {
		if !f.isFresh(s) {
			continue
		}
		for _, name := range s.loading {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

func (f *Follower) isFresh(s *source) bool {
	return s.lastReply > 0 && f.cfg.Now()-s.lastReply < freshFor
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var loops conc.WaitGroup
	defer loops.Wait()
	for ctx.Err() == nil {
		for _, address := range f.missing() {
			sourceCtx, cancel := context.WithCancel(ctx)
			f.mu.Lock()
			f.sources[address] = &source{cancel: cancel, startedAt: f.cfg.Now(), directory: bluebelldirectory.NewView()}
			f.mu.Unlock()
			loops.Go(func() { f.follow(sourceCtx, address) })
		}
		f.dropForgotten()
		sleep(ctx, lastRetry)
	}
}

// missing returns the seeds and the named processes that are not followed although
// there is room: sources that do not answer take none.
func (f *Follower) missing() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	room := f.cfg.MaxSources
	for _, s := range f.sources {
		if f.isFresh(s) || now-s.startedAt < freshFor {
			room--
		}
	}
	var missing []string
	for _, address := range append(slices.Clone(f.cfg.Seeds()), slices.Sorted(maps.Keys(f.named))...) {
		if room <= 0 {
			break
		}
		if address == f.cfg.Process || f.sources[address] != nil || slices.Contains(missing, address) {
			continue
		}
		missing = append(missing, address)
		room--
	}
	return missing
}

// dropForgotten ends the loops of sources that fail and that no other names.
func (f *Follower) dropForgotten() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	for address, at := range f.named {
		if now-at > sourceRetention {
			delete(f.named, address)
		}
	}
	seeds := f.cfg.Seeds()
	for address, s := range f.sources {
		_, named := f.named[address]
		if named || slices.Contains(seeds, address) || now-max(s.startedAt, s.lastReply) < sourceRetention {
			continue
		}
		s.cancel()
		delete(f.sources, address)
		f.cfg.Logger.Info("source forgotten", "Source", address)
	}
}

// follow polls one source.
func (f *Follower) follow(ctx context.Context, address string) {
	var epoch, cursor, directoryCursor uint64
	pause := firstRetry
	lost := true
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, maxWait+callSlack)
		reply, err := f.cfg.Poll(callCtx, address, &pb.FollowRequest{
			Uses:    f.uses(),
			Process: f.cfg.Process, Entry: f.cfg.Entry, Epoch: epoch, Cursor: cursor,
			Revision: f.heldRevision(), Wait: durationpb.New(f.wait()), DirectoryCursor: directoryCursor,
		})
		cancel()
		if err != nil {
			if !lost && ctx.Err() == nil {
				f.cfg.Logger.Warn("source lost", "Source", address, "Error", err)
			}
			lost = true
			sleep(ctx, pause)
			pause = min(2*pause, lastRetry)
			continue
		}
		if lost {
			f.cfg.Logger.Info("source followed", "Source", address, "Revision", reply.Revision)
		}
		lost, pause = false, firstRetry
		anew := reply.Epoch != epoch
		epoch, cursor, directoryCursor = reply.Epoch, reply.Cursor, reply.DirectoryCursor
		f.takeDirectory(address, reply, anew)
		f.take(ctx, address, reply)
	}
}

func (f *Follower) take(ctx context.Context, address string, reply *pb.FollowReply) {
	now := f.cfg.Now()
	for _, m := range reply.Registrations {
		e := bluebellfleet.FromMessage(m, now)
		if f.cfg.Registry.Merge(e) == bluebellfleet.Changed {
			f.cfg.Logger.Info("endpoint", "ID", e.ID, "Target", e.Target, "Address", e.Address, "State", e.State,
				"Born", e.StartUnixMillis, "Sequence", e.Sequence, "Cold", e.ColdUntil > now, "Source", address)
		}
	}
	if f.note(ctx, address, reply, now) {
		f.takeDeployment(reply)
	}
}

// note takes in what a source says besides registrations, and tells whether the
// source is still followed.
func (f *Follower) note(ctx context.Context, address string, reply *pb.FollowReply, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	if s == nil || ctx.Err() != nil {
		return false
	}
	s.lastReply, s.loading, s.others = now, reply.Loading, reply.Uses
	for _, name := range reply.Entries {
		f.entries[name] = now
	}
	for _, core := range reply.Cores {
		f.named[core] = now
	}
	return true
}

// takeDeployment hands on a newer deployment. Its receiver may ask the follower.
func (f *Follower) takeDeployment(reply *pb.FollowReply) {
	if f.cfg.OnDeployment == nil || reply.Deployment == nil {
		return
	}
	f.taking.Lock()
	defer f.taking.Unlock()
	if reply.Revision <= f.Revision() {
		return
	}
	f.cfg.OnDeployment(reply.Revision, reply.Deployment)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = reply.Revision
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
