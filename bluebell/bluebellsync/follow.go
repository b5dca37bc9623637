package bluebellsync

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// fanout is the number of children of a node in the tree.
	fanout = 8
	// staleAfter is when a follower looks for a better source.
	staleAfter = 2 * time.Second
	// firstViewGrace is how long a restarted node looks for an up-to-date source.
	firstViewGrace = 5 * time.Second
	retryEvery     = 100 * time.Millisecond
	callSlack      = 300 * time.Millisecond
	// avoidFor is how long a source that was of no use is asked last.
	avoidFor = 3 * time.Second
)

// Sources returns the VMs that a node may follow, best first. The neighbours are
// the VMs of its failure domain in the generated order, with itself among them.
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
	// A sibling's word is better than none when all others are out of reach.
	for i, n := range neighbours {
		if i < own {
			add(n)
		}
	}
	return sources
}

// FollowerConfig sets up Follow.
type FollowerConfig struct {
	Hub *Hub
	// Sources returns the sources in order of preference; it is asked each time.
	Sources func() []string
	// Watch asks one source.
	Watch func(ctx context.Context, source string, r *pb.WatchRequest) (*pb.WatchReply, error)
	// AcceptsViews tells whether this VM follows views. Voters do not: they have
	// theirs from the log, and show none that a restart could take back.
	AcceptsViews func() bool
	Now          func() time.Duration
	Sleep        func(ctx context.Context, d time.Duration)
	Logger       *log.Logger
}

// Follower keeps a hub up to date from its sources.
type Follower struct {
	cfg FollowerConfig
	// freshAt is when a source was last known to be up to date, by Now.
	freshAt   atomic.Int64
	startedAt time.Duration
	source    string
	avoid     map[string]time.Duration
	cursor    uint64
	sent      uint64
	// whole is set after a patch that did not fit.
	whole bool
	epoch int64
}

// NewFollower returns a follower that has heard nothing yet.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg, startedAt: cfg.Now(), avoid: map[string]time.Duration{}}
	f.freshAt.Store(int64(f.startedAt - time.Hour))
	return f
}

// StaleFor tells how long ago the hub was last known to be up to date.
func (f *Follower) StaleFor() time.Duration {
	return f.cfg.Now() - time.Duration(f.freshAt.Load())
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sources := f.cfg.Sources()
		served := false
		for _, source := range f.usefulFirst(sources) {
			if ctx.Err() != nil {
				return
			}
			if f.followOne(ctx, source, source == sources[0]) {
				served = true
				break
			}
			f.avoid[source] = f.cfg.Now() + avoidFor
		}
		if !served {
			f.cfg.Sleep(ctx, retryEvery)
		}
	}
}

// usefulFirst puts the sources last that were of no use a short time ago.
func (f *Follower) usefulFirst(sources []string) []string {
	var first, last []string
	now := f.cfg.Now()
	for _, s := range sources {
		if now < f.avoid[s] {
			last = append(last, s)
			continue
		}
		first = append(first, s)
	}
	return append(first, last...)
}

// followOne asks one source, and again while it is of use. It tells whether the
// source gave an answer that is up to date.
func (f *Follower) followOne(ctx context.Context, source string, preferred bool) bool {
	if source != f.source {
		f.source, f.cursor, f.sent, f.epoch = source, 0, 0, 0
	}
	for {
		wait := f.cfg.Hub.pollFor()
		if !f.askOnce(ctx, source, wait) {
			return false
		}
		if !preferred {
			// Looks at better sources again.
			return true
		}
	}
}

func (f *Follower) askOnce(ctx context.Context, source string, wait time.Duration) bool {
	r, sent := f.cfg.Hub.request(f.cursor, f.sent, f.epoch, wait)
	if f.whole {
		r.ConfigurationRevision = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	askedAt := f.cfg.Now()
	reply, err := f.cfg.Watch(callCtx, source, r)
	if err != nil {
		if ctx.Err() == nil {
			f.cfg.Logger.Debug("source failed", "Source", source, "Error", err)
		}
		return false
	}
	if reply.HealthEpoch != f.epoch {
		// The source has restarted and lacks what was sent before.
		sent = 0
	}
	f.cursor, f.epoch, f.sent = reply.HealthCursor, reply.HealthEpoch, sent
	f.cfg.Hub.MergeHealth(reply.Health)
	stale := reply.StaleFor.AsDuration()
	fresh := stale < staleAfter
	if f.cfg.AcceptsViews() && reply.View != nil && f.mayTake(fresh) {
		f.take(source, reply)
	}
	if fresh {
		f.freshAt.Store(max(f.freshAt.Load(), int64(askedAt-stale)))
	}
	return fresh
}

// take offers a view to the hub. After a patch that does not fit, the next request
// asks for the whole configuration.
func (f *Follower) take(source string, reply *pb.WatchReply) {
	f.whole = false
	if reply.Patch == nil {
		f.cfg.Hub.ApplyView(reply.View)
		return
	}
	if err := f.cfg.Hub.ApplyViewPatch(reply.View, reply.Patch); err != nil {
		f.whole = true
		f.cfg.Logger.Warn("patch does not fit", "Source", source, "Revision", reply.View.Revision, "Error", err)
	}
}

// mayTake refuses a stale view for a while after a start without a view: it may
// be older than what was in force here before.
func (f *Follower) mayTake(fresh bool) bool {
	return fresh || f.cfg.Hub.View().Revision > 0 || f.cfg.Now()-f.startedAt > firstViewGrace
}
