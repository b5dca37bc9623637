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
	// pollSlack is the time that a poll may take in addition to its wait: a few round trips
	// and the retransmission of a lost packet.
	pollSlack = 400 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed poll. The delay doubles
	// with each failure.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// sourceRetention is how long a source that is not a seed is still polled after its last
	// reply if no other source names it.
	sourceRetention = 30 * time.Second
	// entryRetention is how long an entry counts as one that shares limits after a source
	// last named it: several times the expected network partitions of a few seconds. An
	// entry that is counted too long leaves a part of a limit unused.
	entryRetention = time.Minute
	// maxReplyAge is how long the last reply of a source is used: a poll and its retry.
	maxReplyAge = 1500 * time.Millisecond
)

// FollowerConfig holds the settings of a Follower.
type FollowerConfig struct {
	// Process is the follower's own peer address, which it does not poll.
	Process string
	// Entry is set in a process that accepts calls, and unset in a core process.
	Entry bool
	// Seeds returns the addresses of the first sources. They are polled again whenever all
	// other sources fail.
	Seeds func() []string
	// MaxSources is the highest number of sources that are followed at once. Sources that
	// do not answer are not counted.
	MaxSources int
	// Registry receives the registrations.
	Registry *bluebellfleet.Registry
	// OnDeployment is called with each newer deployment, in order of revision. It is nil in
	// processes that get the deployment from the replicated log.
	OnDeployment func(revision uint64, d *pb.Deployment)
	// Uses returns, for each endpoint, the calls that this entry has in flight and the
	// failures that it has seen. It is nil in other processes.
	Uses func() []*pb.EndpointUse
	// Poll sends a request to a source and returns its reply.
	Poll func(ctx context.Context, source string, r *pb.FollowRequest) (*pb.FollowReply, error)
	// Now returns the time of a monotonic clock.
	Now    func() time.Duration
	Logger *log.Logger
}

// source is the state of one core process that is polled.
type source struct {
	cancel context.CancelFunc
	// lastReplyAt is 0 before the first reply.
	lastReplyAt time.Duration
	startedAt   time.Duration
	// loading and uses are copied from the last reply.
	loading   []string
	uses      []*pb.EndpointUse
	directory *bluebelldirectory.View
}

// Follower keeps a registry, the deployment and, in entries, the directory of cached blocks up
// to date by polling sources. It is safe for concurrent use.
type Follower struct {
	cfg FollowerConfig
	// deploymentMu serializes calls of OnDeployment, so that revisions increase. It is
	// locked before mu.
	deploymentMu sync.Mutex

	mu      sync.Mutex
	sources map[string]*source
	// coreNamedAt holds, by address, when a source last named a core process.
	coreNamedAt map[string]time.Duration
	// entryNamedAt holds, by address, when a source last named an entry.
	entryNamedAt map[string]time.Duration
	revision     uint64
}

// NewFollower returns a follower without sources. Run starts polling.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{cfg: cfg, sources: map[string]*source{}, coreNamedAt: map[string]time.Duration{}, entryNamedAt: map[string]time.Duration{}}
}

// Sources returns the sorted addresses of the sources that are polled.
func (f *Follower) Sources() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.sources))
}

// FreshSources returns the number of sources that have answered within maxReplyAge.
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

// Revision returns the revision of the last deployment that was passed to OnDeployment.
func (f *Follower) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// pollRevision returns the revision to send in polls: sources send only newer deployments.
// It is the highest possible one in processes that get the deployment from the replicated
// log, so that they receive none.
func (f *Follower) pollRevision() uint64 {
	if f.cfg.OnDeployment == nil {
		return math.MaxUint64
	}
	return f.Revision()
}

func (f *Follower) pollWait() time.Duration {
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

// UsesOfOthers returns the sums of the uses of all other entries, for each endpoint, from the
// most recent reply of any source, and when that reply was received. It returns nil if no
// source has answered within maxReplyAge.
func (f *Follower) UsesOfOthers() ([]*pb.EndpointUse, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var latest *source
	for _, s := range f.sources {
		if f.isFresh(s) && (latest == nil || s.lastReplyAt > latest.lastReplyAt) {
			latest = s
		}
	}
	if latest == nil {
		return nil, 0
	}
	return latest.uses, latest.lastReplyAt
}

// Entries returns the sorted addresses of the entries that a source has named within
// entryRetention. During a network partition, both sides therefore still count the entries
// of the other side.
func (f *Follower) Entries() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	for name, at := range f.entryNamedAt {
		if now-at > entryRetention {
			delete(f.entryNamedAt, name)
		}
	}
	return slices.Sorted(maps.Keys(f.entryNamedAt))
}

// Directory returns the view of the directory of the first source, in the order of addresses,
// that has answered within maxReplyAge, or nil. The views of several sources are not merged,
// since the blocks of each are consistent with the store states of the same source only.
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

// applyDirectory applies the store states and directory changes of a reply to the view of
// its source. If reset is true, the blocks of the view are removed first. It does nothing in
// core processes.
func (f *Follower) applyDirectory(address string, reply *pb.FollowReply, reset bool) {
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
	s.directory.Apply(states, changes, reset, reply.DirectoryMore, now)
}

// Loading returns the sorted IDs of the endpoints that are about to load other weights.
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

// isFresh reports whether a source has answered within maxReplyAge. f.mu must be held.
func (f *Follower) isFresh(s *source) bool {
	return s.lastReplyAt > 0 && f.cfg.Now()-s.lastReplyAt < maxReplyAge
}

// Run polls sources until the context ends, with one loop for each source.
func (f *Follower) Run(ctx context.Context) {
	var loops conc.WaitGroup
	defer loops.Wait()
	for ctx.Err() == nil {
		for _, address := range f.unfollowed() {
			sourceCtx, cancel := context.WithCancel(ctx)
			f.mu.Lock()
			f.sources[address] = &source{cancel: cancel, startedAt: f.cfg.Now(), directory: bluebelldirectory.NewView()}
			f.mu.Unlock()
			loops.Go(func() { f.pollSource(sourceCtx, address) })
		}
		f.dropStaleSources()
		sleep(ctx, maxRetryDelay)
	}
}

// unfollowed returns the seeds and then the named core processes that are not polled yet, as
// many as MaxSources allows. Sources that do not answer, except those just started, do not
// count towards MaxSources.
func (f *Follower) unfollowed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	room := f.cfg.MaxSources
	for _, s := range f.sources {
		if f.isFresh(s) || now-s.startedAt < maxReplyAge {
			room--
		}
	}
	var addresses []string
	for _, address := range append(slices.Clone(f.cfg.Seeds()), slices.Sorted(maps.Keys(f.coreNamedAt))...) {
		if room <= 0 {
			break
		}
		if address == f.cfg.Process || f.sources[address] != nil || slices.Contains(addresses, address) {
			continue
		}
		addresses = append(addresses, address)
		room--
	}
	return addresses
}

// dropStaleSources stops polling sources that have not answered for sourceRetention and that
// are neither seeds nor named by another source.
func (f *Follower) dropStaleSources() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	for address, at := range f.coreNamedAt {
		if now-at > sourceRetention {
			delete(f.coreNamedAt, address)
		}
	}
	seeds := f.cfg.Seeds()
	for address, s := range f.sources {
		_, named := f.coreNamedAt[address]
		if named || slices.Contains(seeds, address) || now-max(s.startedAt, s.lastReplyAt) < sourceRetention {
			continue
		}
		s.cancel()
		delete(f.sources, address)
		f.cfg.Logger.Info("unresponsive source dropped", "Source", address)
	}
}

// pollSource polls one source until the context ends.
func (f *Follower) pollSource(ctx context.Context, address string) {
	var epoch, cursor, directoryCursor uint64
	delay := minRetryDelay
	unreachable := true
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, maxWait+pollSlack)
		reply, err := f.cfg.Poll(callCtx, address, &pb.FollowRequest{
			Uses:    f.uses(),
			Process: f.cfg.Process, Entry: f.cfg.Entry, Epoch: epoch, Cursor: cursor,
			Revision: f.pollRevision(), Wait: durationpb.New(f.pollWait()), DirectoryCursor: directoryCursor,
		})
		cancel()
		if err != nil {
			if !unreachable && ctx.Err() == nil {
				f.cfg.Logger.Warn("source became unreachable", "Source", address, "Error", err)
			}
			unreachable = true
			sleep(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		if unreachable {
			f.cfg.Logger.Info("source became reachable", "Source", address, "Revision", reply.Revision)
		}
		unreachable, delay = false, minRetryDelay
		reset := reply.Epoch != epoch
		epoch, cursor, directoryCursor = reply.Epoch, reply.Cursor, reply.DirectoryCursor
		f.applyDirectory(address, reply, reset)
		f.applyReply(ctx, address, reply)
	}
}

// applyReply records the contents of a reply, except the directory.
func (f *Follower) applyReply(ctx context.Context, address string, reply *pb.FollowReply) {
	now := f.cfg.Now()
	for _, m := range reply.Registrations {
		e := bluebellfleet.FromMessage(m, now)
		if f.cfg.Registry.Merge(e) == bluebellfleet.Changed {
			f.cfg.Logger.Info("endpoint registration changed", "ID", e.ID, "Target", e.Target, "Address", e.Address, "State", e.State,
				"Born", e.StartUnixMillis, "Sequence", e.Sequence, "Cold", e.ColdUntil > now, "Source", address)
		}
	}
	if f.recordStatus(ctx, address, reply, now) {
		f.applyDeployment(reply)
	}
}

// recordStatus records the loading endpoints, uses, entries and core processes of a reply.
// It records nothing and returns false if the source is no longer polled.
func (f *Follower) recordStatus(ctx context.Context, address string, reply *pb.FollowReply, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	if s == nil || ctx.Err() != nil {
		return false
	}
	s.lastReplyAt, s.loading, s.uses = now, reply.Loading, reply.Uses
	for _, name := range reply.Entries {
		f.entryNamedAt[name] = now
	}
	for _, core := range reply.Cores {
		f.coreNamedAt[core] = now
	}
	return true
}

// applyDeployment passes the deployment of a reply to OnDeployment if it is newer. It does
// not hold f.mu during the call, so OnDeployment may call methods of the follower.
func (f *Follower) applyDeployment(reply *pb.FollowReply) {
	if f.cfg.OnDeployment == nil || reply.Deployment == nil {
		return
	}
	f.deploymentMu.Lock()
	defer f.deploymentMu.Unlock()
	if reply.Revision <= f.Revision() {
		return
	}
	f.cfg.OnDeployment(reply.Revision, reply.Deployment)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = reply.Revision
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
