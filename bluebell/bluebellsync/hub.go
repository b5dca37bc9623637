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

// maxPollWait is the maximum time that a source waits for changes before it answers a long
// poll.
const maxPollWait = time.Second

// activeMovePollWait replaces maxPollWait while a move (a change of a target's version) is
// active, since each poll transfers new evidence.
const activeMovePollWait = 200 * time.Millisecond

// standingTimeout is the age at which the standing of a VM, its report of the revision in
// force there, is removed.
const standingTimeout = 10 * time.Second

// HubConfig configures a Hub.
type HubConfig struct {
	// VM is the name of this VM.
	VM string
	// WallClock returns the time that is written into standings.
	WallClock func() time.Time
	// After is time.After, or a replacement in tests.
	After func(d time.Duration) <-chan time.Time
	// StaleFor returns the time since this VM's state was last known to be up to date.
	StaleFor func() time.Duration
}

// Hub holds the shared state that one VM has, and serves it to the VM's followers. It is safe
// for concurrent use.
type Hub struct {
	cfg HubConfig
	// epoch is the start time of this hub in Unix nanoseconds. Health cursors are valid only
	// within one epoch.
	epoch int64

	mu      sync.Mutex
	view    *pb.View
	history history
	// patch is the latest patch made to the current configuration, or nil. It is reused for
	// followers with the same base revision.
	patch  *pb.ConfigurationPatch
	health healthTable
	// standings has, by VM, the revision in force there and the time of that report.
	standings map[string]*pb.Standing
	evidence  evidenceSums
	// changed is closed and replaced at each change of the view or of health.
	changed chan struct{}
}

// Snapshot is the state of a Hub at one time. The values must not be modified.
type Snapshot struct {
	View     *pb.View
	Health   map[string]*pb.EndpointHealth
	Evidence []*pb.Evidence
}

// NewHub returns a hub with an empty view at revision 0.
func NewHub(cfg HubConfig) *Hub {
	return &Hub{
		cfg: cfg, epoch: cfg.WallClock().UnixNano(), view: &pb.View{},
		health:    healthTable{latest: map[string]healthRow{}},
		standings: map[string]*pb.Standing{},
		evidence:  newEvidenceSums(),
		changed:   make(chan struct{}),
	}
}

// ApplyView replaces the view if v has a higher revision, and reports whether it did. A view
// without a configuration, but with a configuration revision, keeps the current
// configuration. It is not applied if the current configuration has another revision.
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
	h.setView(v)
	return true
}

// ApplyViewPatch replaces the view if v has a higher revision. The configuration of the new
// view results from applying p to the current one. If p cannot be applied, the view stays
// unchanged and an error is returned. The caller then needs the full configuration.
func (h *Hub) ApplyViewPatch(v *pb.View, p *pb.ConfigurationPatch) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.Revision <= h.view.Revision {
		return nil
	}
	if p.BaseRevision != h.view.ConfigurationRevision || h.view.Configuration == nil {
		return fmt.Errorf("the patch has base revision %d, but the current configuration has revision %d", p.BaseRevision, h.view.ConfigurationRevision)
	}
	c, err := applyPatch(h.view.Configuration, p)
	if err != nil {
		return err
	}
	v = proto.CloneOf(v)
	v.Configuration = c
	h.setView(v)
	return nil
}

// setView sets the current view and wakes the waiting calls. The caller holds h.mu.
func (h *Hub) setView(v *pb.View) {
	if v.ConfigurationRevision != h.view.ConfigurationRevision {
		h.patch = nil
	}
	h.view = v
	h.history.add(v.ConfigurationRevision, v.Configuration)
	h.notify()
}

// MergeHealth stores health reports of this VM or of others that are newer than the stored
// ones.
func (h *Hub) MergeHealth(reports []*pb.EndpointHealth) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.health.merge(reports) {
		h.notify()
	}
}

// SetEvidence replaces this VM's own counts for the targets, versions and routes in counts.
// Counts of targets without an active move are deleted.
func (h *Hub) SetEvidence(counts []*pb.Evidence) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evidence.deleteInactive(h.hasActiveMove)
	h.evidence.setOwn(counts)
}

// Snapshot returns the current state, and a channel that is closed at the next change of the
// view or of health.
func (h *Hub) Snapshot() (Snapshot, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := Snapshot{View: h.view, Health: make(map[string]*pb.EndpointHealth, len(h.health.latest))}
	for name, row := range h.health.latest {
		s.Health[name] = row.health
	}
	s.Evidence = h.evidence.total(h.cfg.VM, h.epoch)
	return s, h.changed
}

// View returns the current view.
func (h *Hub) View() *pb.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// Standings returns the revision in force on this VM and on each VM with a report younger
// than standingTimeout.
func (h *Hub) Standings() []*pb.Standing {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.liveStandings()
}

// HandleWatch answers a follower's long poll. It answers immediately if the hub has a newer
// view or newer health reports than the follower. Otherwise it waits for them, until the
// requested wait (at most maxPollWait) ends or ctx is done.
func (h *Hub) HandleWatch(ctx context.Context, r *pb.WatchRequest) *pb.WatchReply {
	h.mergeRequest(r)
	wait := min(r.Wait.AsDuration(), maxPollWait)
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

// mergeRequest merges the standings, evidence and health that a follower sends.
func (h *Hub) mergeRequest(r *pb.WatchRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range r.Standings {
		if old := h.standings[s.VM]; old == nil || old.UnixNanos < s.UnixNanos {
			h.standings[s.VM] = s
		}
	}
	h.evidence.deleteInactive(h.hasActiveMove)
	h.evidence.add(r.VM, h.cfg.WallClock().UnixNano(), r.Evidence)
	if h.health.merge(r.Health) {
		h.notify()
	}
}

// hasActiveMove reports whether a target has an active move. Evidence on other targets is
// not kept. The caller holds h.mu.
func (h *Hub) hasActiveMove(target string) bool {
	m := bluebellstate.LatestMove(h.view, target)
	return m != nil && bluebellstate.MoveActive(m)
}

// reply returns the reply for the current state, and a channel that is closed at the next
// change. The reply has a view only if it is newer than the follower's.
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

// patchFrom returns the patch from the configuration with the given revision to the current
// one, or nil if that configuration is not in the history. The caller holds h.mu.
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

// withoutConfiguration returns a view without its configuration, for a follower that has the
// configuration or is sent a patch.
func withoutConfiguration(v *pb.View) *pb.View {
	return &pb.View{
		Revision: v.Revision, ConfigurationRevision: v.ConfigurationRevision,
		FailureDomainsOut: v.FailureDomainsOut, EndpointsDrained: v.EndpointsDrained,
		Moves: v.Moves, PoisonDigests: v.PoisonDigests, Versions: v.Versions,
		DeclaredRevision: v.DeclaredRevision, DeclaredBy: v.DeclaredBy, DeclaredChange: v.DeclaredChange,
		OwnersChangedAt: v.OwnersChangedAt,
	}
}

// pollWait returns the wait to request in the next poll. It is 0 without a view, so that the
// source answers immediately.
func (h *Hub) pollWait() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.view.Revision == 0:
		return 0
	case slices.ContainsFunc(h.view.Moves, bluebellstate.MoveActive):
		return activeMovePollWait
	}
	return maxPollWait
}

// newRequest returns the next request to a source, and the health cursor up to which it has
// this hub's reports. The request leaves out the reports up to sentCursor. The arguments
// cursor and epoch are the health cursor and epoch from the latest reply of the source.
func (h *Hub) newRequest(cursor, sentCursor uint64, epoch int64, wait time.Duration) (*pb.WatchRequest, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &pb.WatchRequest{
		VM: h.cfg.VM, Revision: h.view.Revision, ConfigurationRevision: h.view.ConfigurationRevision,
		Standings: h.liveStandings(), Health: h.health.since(sentCursor),
		HealthCursor: cursor, HealthEpoch: epoch, Wait: durationpb.New(wait),
	}
	r.Evidence = h.evidence.total(h.cfg.VM, h.epoch)
	return r, h.health.cursor
}

// liveStandings returns the standings of this VM and of the VMs with a report younger than
// standingTimeout, and deletes the others. The caller holds h.mu.
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

// notify closes the changed channel and replaces it. The caller holds h.mu.
func (h *Hub) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Health returns the newest health report on an endpoint, or nil.
func (h *Hub) Health(endpoint string) *pb.EndpointHealth {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.health.latest[endpoint].health
}
