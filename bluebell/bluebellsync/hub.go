package bluebellsync

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
)

// maxWait is the longest time that a long poll is held.
const maxWait = time.Second

// moveWait replaces maxWait while a move runs: the next poll carries evidence.
const moveWait = 200 * time.Millisecond

// standingTimeout is how long a VM that says nothing is still listed.
const standingTimeout = 10 * time.Second

// HubConfig sets up a Hub.
type HubConfig struct {
	VM string
	// WallClock gives the time of standings.
	WallClock func() time.Time
	// After is time.After, or a stand-in.
	After func(d time.Duration) <-chan time.Time
	// StaleFor tells how long ago this VM was last known to be up to date.
	StaleFor func() time.Duration
}

// Hub holds what one VM knows and hands it on. It is safe for concurrent use.
type Hub struct {
	cfg   HubConfig
	epoch int64

	mu      sync.Mutex
	view    *pb.View
	history history
	// patch is the latest one that was made, for its base.
	patch     *pb.ConfigurationPatch
	health    healthTable
	standings map[string]*pb.Standing
	evidence  evidenceSums
	changed   chan struct{}
}

// Snapshot is what a Hub knows at one time. The values must not be altered.
type Snapshot struct {
	View     *pb.View
	Health   map[string]*pb.EndpointHealth
	Evidence []*pb.Evidence
}

// NewHub returns a hub that knows nothing yet.
func NewHub(cfg HubConfig) *Hub {
	return &Hub{
		cfg: cfg, epoch: cfg.WallClock().UnixNano(), view: &pb.View{},
		health:    healthTable{latest: map[string]healthRow{}},
		standings: map[string]*pb.Standing{},
		evidence:  newEvidenceSums(),
		changed:   make(chan struct{}),
	}
}

// ApplyView takes in a view and tells whether it was newer. A view without a
// configuration is a delta to the one that this VM has.
func (h *Hub) ApplyView(v *pb.View) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.GetRevision() <= h.view.Revision {
		return false
	}
	if v.Configuration == nil && v.ConfigurationRevision > 0 {
		if v.ConfigurationRevision != h.view.ConfigurationRevision {
			return false
		}
		v = proto.CloneOf(v)
		v.Configuration = h.view.Configuration
	}
	h.take(v)
	return true
}

// ApplyViewPatch is Offer of a view whose configuration comes as a patch. An error means
// that the whole configuration is needed.
func (h *Hub) ApplyViewPatch(v *pb.View, p *pb.ConfigurationPatch) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.Revision <= h.view.Revision {
		return nil
	}
	if p.BaseRevision != h.view.ConfigurationRevision || h.view.Configuration == nil {
		return fmt.Errorf("the patch starts from revision %d, not %d", p.BaseRevision, h.view.ConfigurationRevision)
	}
	c, err := applyPatch(h.view.Configuration, p)
	if err != nil {
		return err
	}
	v = proto.CloneOf(v)
	v.Configuration = c
	h.take(v)
	return nil
}

// take makes a view the present one.
func (h *Hub) take(v *pb.View) {
	if v.ConfigurationRevision != h.view.ConfigurationRevision {
		h.patch = nil
	}
	h.view = v
	h.history.add(v.ConfigurationRevision, v.Configuration)
	h.wake()
}

// MergeHealth takes in health that this VM or others have seen.
func (h *Hub) MergeHealth(reports []*pb.EndpointHealth) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.health.merge(reports) {
		h.wake()
	}
}

// SetEvidence replaces this VM's own counts.
func (h *Hub) SetEvidence(counts []*pb.Evidence) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evidence.keep(h.moving)
	h.evidence.setOwn(counts)
}

// Snapshot returns what is known, and a channel that closes at the next change.
func (h *Hub) Snapshot() (Snapshot, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := Snapshot{View: h.view, Health: make(map[string]*pb.EndpointHealth, len(h.health.latest))}
	for name, row := range h.health.latest {
		n.Health[name] = row.health
	}
	n.Evidence = h.evidence.total(h.cfg.VM, h.epoch)
	return n, h.changed
}

// View returns the newest view.
func (h *Hub) View() *pb.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// Standings returns what is known of the revisions in force.
func (h *Hub) Standings() []*pb.Standing {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.liveStandings()
}

// HandleWatch serves a follower: at once if there is news, otherwise when there is or
// when the wait is over.
func (h *Hub) HandleWatch(ctx context.Context, r *pb.WatchRequest) *pb.WatchReply {
	h.takeIn(r)
	wait := min(r.Wait.AsDuration(), maxWait)
	timeout := h.cfg.After(wait)
	for {
		reply, changed := h.reply(r)
		if wait <= 0 || reply.View != nil || len(reply.Health) > 0 {
			return reply
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-ctx.Done():
			wait = 0
		}
	}
}

// takeIn merges what a follower reports.
func (h *Hub) takeIn(r *pb.WatchRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range r.Standings {
		if old := h.standings[s.VM]; old == nil || old.UnixNanos < s.UnixNanos {
			h.standings[s.VM] = s
		}
	}
	h.evidence.keep(h.moving)
	h.evidence.take(r.VM, h.cfg.WallClock().UnixNano(), r.Evidence)
	if h.health.merge(r.Health) {
		h.wake()
	}
}

// moving tells whether a target has a move that runs; evidence on others is not
// spread.
func (h *Hub) moving(target string) bool {
	m := bluebellstate.MoveOf(h.view, target)
	return m != nil && bluebellstate.MoveActive(m)
}

func (h *Hub) reply(r *pb.WatchRequest) (*pb.WatchReply, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := &pb.WatchReply{
		HealthCursor: h.health.cursor, HealthEpoch: h.epoch,
		StaleFor: durationpb.New(h.cfg.StaleFor()),
	}
	cursor := r.HealthCursor
	if r.HealthEpoch != h.epoch {
		cursor = 0
	}
	reply.Health = h.health.since(cursor)
	if h.view.Revision <= r.Revision {
		return reply, h.changed
	}
	reply.View = h.view
	if h.view.ConfigurationRevision == r.ConfigurationRevision {
		reply.View = withoutConfiguration(h.view)
	} else if p := h.patchFrom(r.ConfigurationRevision); p != nil {
		reply.View, reply.Patch = withoutConfiguration(h.view), p
	}
	return reply, h.changed
}

// patchFrom returns the patch from an earlier configuration, or nil if that is not
// kept.
func (h *Hub) patchFrom(revision uint64) *pb.ConfigurationPatch {
	if h.patch != nil && h.patch.BaseRevision == revision {
		return h.patch
	}
	from := h.history.find(revision)
	if from == nil {
		return nil
	}
	h.patch = makePatch(revision, from, h.view.Configuration)
	return h.patch
}

// withoutConfiguration leaves the configuration out for a follower that has it.
func withoutConfiguration(v *pb.View) *pb.View {
	return &pb.View{
		Revision: v.Revision, ConfigurationRevision: v.ConfigurationRevision,
		FailureDomainsOut: v.FailureDomainsOut, EndpointsDrained: v.EndpointsDrained,
		Moves: v.Moves, PoisonDigests: v.PoisonDigests, Versions: v.Versions,
		DeclaredRevision: v.DeclaredRevision, DeclaredBy: v.DeclaredBy, DeclaredChange: v.DeclaredChange,
		OwnersChangedAt: v.OwnersChangedAt,
	}
}

// pollFor returns how long the next poll may be held.
func (h *Hub) pollFor() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.view.Revision == 0:
		return 0
	case slices.ContainsFunc(h.view.Moves, bluebellstate.MoveActive):
		return moveWait
	}
	return maxWait
}

// request makes the next request to a source.
func (h *Hub) request(cursor, sent uint64, epoch int64, wait time.Duration) (*pb.WatchRequest, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &pb.WatchRequest{
		VM: h.cfg.VM, Revision: h.view.Revision, ConfigurationRevision: h.view.ConfigurationRevision,
		Standings: h.liveStandings(), Health: h.health.since(sent),
		HealthCursor: cursor, HealthEpoch: epoch, Wait: durationpb.New(wait),
	}
	r.Evidence = h.evidence.total(h.cfg.VM, h.epoch)
	return r, h.health.cursor
}

// liveStandings lists this VM and those that reported lately.
func (h *Hub) liveStandings() []*pb.Standing {
	now := h.cfg.WallClock().UnixNano()
	h.standings[h.cfg.VM] = &pb.Standing{VM: h.cfg.VM, RevisionInForce: h.view.Revision, UnixNanos: now}
	var live []*pb.Standing
	for vm, s := range h.standings {
		if now-s.UnixNanos > int64(standingTimeout) {
			delete(h.standings, vm)
			continue
		}
		live = append(live, s)
	}
	return live
}

func (h *Hub) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Health returns the newest report on an endpoint, or nil.
func (h *Hub) Health(endpoint string) *pb.EndpointHealth {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.health.latest[endpoint].health
}
