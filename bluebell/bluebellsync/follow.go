package bluebellsync

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// fanout is the maximum number of children of a node in the tree.
	fanout = 8
	// staleAfter is the staleness of a source at which a follower tries other sources.
	staleAfter = 2 * time.Second
	// firstViewGrace is the time after a start during which a node without a view accepts
	// none from a stale source.
	firstViewGrace = 5 * time.Second
	// retryInterval is the pause after all sources have failed or were stale.
	retryInterval = 100 * time.Millisecond
	// callSlack is the time that a call may take beyond the requested wait.
	callSlack = 300 * time.Millisecond
	// deprioritizeFor is the time for which a source that failed or was stale is tried
	// after all others.
	deprioritizeFor = 3 * time.Second
)

// Sources returns the VMs that a node may follow, in order of preference: its ancestors in
// the tree, the voters, and then the VMs before it in its failure domain. The neighbours
// are the VMs of its failure domain in the order of the generated settings, including vm.
func Sources(vm string, neighbours, voters []string) []string {
	var sources []string
	add := func(name string) {
		if name == vm {
			return
		}
		for _, s := range sources {
			if s == name {
				return
			}
		}
		sources = append(sources, name)
	}
	own := 0
	for i, n := range neighbours {
		if n == vm {
			own = i
		}
	}
	for i := own; i > 0; {
		i = (i - 1) / fanout
		add(neighbours[i])
	}
	for _, v := range voters {
		add(v)
	}
	// These VMs may have newer state when the ancestors and the voters cannot be reached.
	for i, n := range neighbours {
		if i < own {
			add(n)
		}
	}
	return sources
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Hub *Hub
	// Sources returns the sources in order of preference. It is called before each pass over
	// the sources.
	Sources func() []string
	// Watch sends a long poll to one source.
	Watch func(ctx context.Context, source string, r *pb.WatchRequest) (*pb.WatchReply, error)
	// AcceptsViews reports whether this VM applies views from sources. Voters do not: they get
	// their view from the replicated log, and must not publish a view that a restart could
	// replace by an earlier one.
	AcceptsViews func() bool
	// Now returns the time on a monotonic clock.
	Now    func() time.Duration
	Sleep  func(ctx context.Context, d time.Duration)
	Logger *log.Logger
}

// Follower keeps a hub up to date from its sources.
type Follower struct {
	cfg FollowerConfig
	// freshAt is the latest time, by Now, at which the hub was known to be up to date.
	freshAt   atomic.Int64
	startedAt time.Duration
	// source is the source that was polled last. The fields cursor, epoch and sentCursor
	// belong to it.
	source string
	// deprioritizedUntil has, by source, the time until which it is tried last.
	deprioritizedUntil map[string]time.Duration
	// cursor is the health cursor of the latest reply.
	cursor uint64
	// sentCursor is the cursor of this hub's health up to which the source has all reports.
	sentCursor uint64
	// needsFullConfiguration is true after a patch that could not be applied.
	needsFullConfiguration bool
	// epoch is the health epoch of the latest reply.
	epoch int64
}

// NewFollower returns a follower that has not polled any source yet.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg, startedAt: cfg.Now(), deprioritizedUntil: map[string]time.Duration{}}
	f.freshAt.Store(int64(f.startedAt - time.Hour))
	return f
}

// StaleFor returns the time since the hub was last known to be up to date. It is more than an
// hour before the first reply of an up-to-date source.
func (f *Follower) StaleFor() time.Duration {
	return f.cfg.Now() - time.Duration(f.freshAt.Load())
}

// Run polls sources until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sources := f.cfg.Sources()
		isFresh := false
		for _, source := range f.prioritize(sources) {
			if ctx.Err() != nil {
				return
			}
			if f.pollSource(ctx, source, source == sources[0]) {
				isFresh = true
				break
			}
			f.deprioritizedUntil[source] = f.cfg.Now() + deprioritizeFor
		}
		if !isFresh {
			f.cfg.Sleep(ctx, retryInterval)
		}
	}
}

// prioritize returns the sources with the recently failed or stale ones at the end.
func (f *Follower) prioritize(sources []string) []string {
	var first, last []string
	now := f.cfg.Now()
	for _, s := range sources {
		if now < f.deprioritizedUntil[s] {
			last = append(last, s)
			continue
		}
		first = append(first, s)
	}
	return append(first, last...)
}

// pollSource polls one source. It polls the preferred source until a poll fails or the
// source is stale, and then returns false. It polls any other source only once, and reports
// whether the reply was up to date.
func (f *Follower) pollSource(ctx context.Context, source string, preferred bool) bool {
	if source != f.source {
		f.source, f.cursor, f.sentCursor, f.epoch = source, 0, 0, 0
	}
	for {
		wait := f.cfg.Hub.pollWait()
		if !f.pollOnce(ctx, source, wait) {
			return false
		}
		if !preferred {
			// Run tries the preferred sources again.
			return true
		}
	}
}

// pollOnce sends one poll and applies the reply. It reports whether the source answered and was
// up to date.
func (f *Follower) pollOnce(ctx context.Context, source string, wait time.Duration) bool {
	r, sentCursor := f.cfg.Hub.newRequest(f.cursor, f.sentCursor, f.epoch, wait)
	if f.needsFullConfiguration {
		r.ConfigurationRevision = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	polledAt := f.cfg.Now()
	reply, err := f.cfg.Watch(callCtx, source, r)
	if err != nil {
		if ctx.Err() == nil {
			f.cfg.Logger.Debug("poll of source failed", "Source", source, "Error", err)
		}
		return false
	}
	if reply.HealthEpoch != f.epoch {
		// The source has restarted and lost the health reports that were sent before.
		sentCursor = 0
	}
	f.cursor, f.epoch, f.sentCursor = reply.HealthCursor, reply.HealthEpoch, sentCursor
	f.cfg.Hub.MergeHealth(reply.Health)
	stale := reply.StaleFor.AsDuration()
	fresh := stale < staleAfter
	if f.cfg.AcceptsViews() && reply.View != nil && f.mayApply(fresh) {
		f.applyView(source, reply)
	}
	if fresh {
		f.freshAt.Store(max(f.freshAt.Load(), int64(polledAt-stale)))
	}
	return fresh
}

// applyView applies the view of a reply to the hub. After a patch that cannot be applied, the
// next poll requests the full configuration.
func (f *Follower) applyView(source string, reply *pb.WatchReply) {
	f.needsFullConfiguration = false
	if reply.Patch == nil {
		f.cfg.Hub.ApplyView(reply.View)
		return
	}
	if err := f.cfg.Hub.ApplyViewPatch(reply.View, reply.Patch); err != nil {
		f.needsFullConfiguration = true
		f.cfg.Logger.Warn("failed to apply configuration patch", "Source", source, "Revision", reply.View.Revision, "Error", err)
	}
}

// mayApply reports whether a view may be applied. A node that has no view yet accepts a stale
// one only after firstViewGrace, since that view may be older than the one in force on this
// VM before its restart.
func (f *Follower) mayApply(fresh bool) bool {
	return fresh || f.cfg.Hub.View().Revision > 0 || f.cfg.Now()-f.startedAt > firstViewGrace
}
