package bluebellnode

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc/pool"

	"bluebellhaven.org/bluebell/bluebellconfig"
	"bluebellhaven.org/bluebell/bluebellmove"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellpeer"
	"bluebellhaven.org/bluebell/bluebellroute"
	"bluebellhaven.org/bluebell/bluebellstate"
	"bluebellhaven.org/bluebell/bluebellsync"
	"bluebellhaven.org/bluebell/bluebellvoter"
	"bluebellhaven.org/bluebell/bluebellwal"
	"bluebellhaven.org/bluebellentry/internal/bluebelldispatch"
	"bluebellhaven.org/bluebellentry/internal/bluebellfrontend"
	"bluebellhaven.org/bluebellentry/internal/bluebellmover"
	"bluebellhaven.org/bluebellentry/internal/bluebellprobe"
	"bluebellhaven.org/bluebellentry/internal/bluebellupstream"
)

const (
	// electionTimeout is also the longest lease of a leader.
	electionTimeout = time.Second
	// heartbeatInterval is the time between two heartbeats of the leader to a voter.
	heartbeatInterval = 100 * time.Millisecond
	// evidenceInterval is the time between two publications of the outcome counts.
	evidenceInterval = 200 * time.Millisecond
	// drainTimeout limits the time for which a graceful stop waits for running streams.
	drainTimeout = 5 * time.Minute
	// shutdownTimeout limits the time for which closing the frontend may take.
	shutdownTimeout = 5 * time.Second
)

// Config is the configuration of a Node.
type Config struct {
	Settings *pb.ProcessSettings
	// Secret is the secret that the processes and endpoints of the system share.
	Secret []byte
	// Bootstrap lets a VM with an empty data folder start as one of the first voters.
	Bootstrap bool
	// BalancerDelay is the time for which a stopping entry still accepts requests after
	// it reports that it is not ready. Load balancers notice the report within it.
	BalancerDelay time.Duration
	FS            bluebellwal.FS
	// Dial opens connections to other processes and endpoints. If nil, the network of
	// the operating system is used.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Logger *log.Logger
}

// Node is one entry process.
type Node struct {
	cfg        Config
	vm         string
	started    time.Time
	peers      *peerSet
	hub        *bluebellsync.Hub
	follower   *bluebellsync.Follower
	voter      *bluebellvoter.Voter
	outboxes   *bluebellpeer.Outboxes
	router     *bluebellroute.Router
	outcomes   *bluebellmove.OutcomeCounter
	breaker    *bluebellmove.VersionBreaker
	upstream   *bluebellupstream.Client
	dispatcher *bluebelldispatch.Dispatcher
	frontend   *bluebellfrontend.Server
	records    *recordRing
	metrics    *metrics
}

// New returns a Node that is ready to run. It reads the data folder, if the VM has one.
func New(cfg Config) (*Node, error) {
	s := cfg.Settings
	n := &Node{
		cfg: cfg, vm: s.VM.Name, started: time.Now(),
		peers:    newPeerSet(s.VM.Name, cfg.Secret, cfg.Dial, s.Voters, s.Neighbours, []*pb.VM{s.VM}),
		router:   bluebellroute.NewRouter(bluebellroute.Config{VM: s.VM.Name, LoadBound: 1.25}),
		outcomes: bluebellmove.NewOutcomeCounter(s.VM.Name, time.Now().UnixNano()),
		breaker:  bluebellmove.NewVersionBreaker(),
		upstream: bluebellupstream.NewClient(bluebellupstream.ClientConfig{Dial: cfg.Dial}),
		records:  newRecordRing(), metrics: newMetrics(cfg.Logger),
	}
	n.hub = bluebellsync.NewHub(bluebellsync.HubConfig{VM: n.vm, WallClock: time.Now, After: time.After, StaleFor: n.staleness})
	if err := n.openVoter(); err != nil {
		return nil, err
	}
	n.follower = bluebellsync.NewFollower(bluebellsync.FollowerConfig{
		Hub: n.hub, Sources: n.watchSources, Watch: n.watchSource, AcceptsViews: func() bool { return !n.isVoter() },
		Now: n.now, Sleep: sleep, Logger: cfg.Logger,
	})
	n.dispatcher = bluebelldispatch.New(bluebelldispatch.Config{
		VM: n.vm, Router: n.router, Upstream: n.upstream, Outcomes: n.outcomes, Propose: n.propose, View: n.hub.View, AwaitView: n.awaitView,
		VMAddress: n.peers.callerAddress,
		Sign: func(hop *pb.Hop, body []byte) (string, string, error) {
			return bluebellfrontend.SignHop(cfg.Secret, hop, body)
		},
		Now: n.now, WallClock: time.Now, After: time.After, NewID: newID,
		Record: n.recordDecision, Metrics: n.metrics.dispatchMetrics(), Logger: cfg.Logger,
	})
	n.frontend = bluebellfrontend.New(bluebellfrontend.Config{
		VM: n.vm, Dispatcher: n.dispatcher, View: n.hub.View, Operators: s.Operators, Secret: cfg.Secret,
		Propose: n.propose, Status: n.operatorStatus, ChangeMembers: n.changeMembers, Records: n.records.find, Ready: n.ready,
		Metrics: n.metrics.Handler(), CountError: n.metrics.countRefusal, Now: n.now, WallClock: time.Now, NewID: newID, Logger: cfg.Logger,
	})
	return n, nil
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

// now returns the time since the node was created.
func (n *Node) now() time.Duration { return time.Since(n.started) }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// openVoter opens the data folder and creates the voter. It does nothing on a VM without a
// data folder.
func (n *Node) openVoter() error {
	s := n.cfg.Settings
	if s.VM.DataFolder == "" {
		return nil
	}
	voters := vmNames(s.Voters)
	unrecorded := voters
	if !slices.Contains(voters, n.vm) {
		unrecorded = nil
	}
	identity, err := bluebellvoter.LoadOrCreateIdentity(bluebellvoter.IdentityConfig{
		FS: n.cfg.FS, Folder: s.VM.DataFolder, VM: n.vm, Bootstrap: n.cfg.Bootstrap, Voters: voters, Unrecorded: unrecorded,
	})
	if err != nil {
		return err
	}
	id, initial := identity.ID, identity.Members
	if !slices.Contains(initial.Voters, id) {
		// The disk was replaced, or the VM is kept in reserve. The voter gets the members
		// from the leader once operators have added it.
		initial = &pb.Members{}
		n.cfg.Logger.Warn("VM has no vote until operators add its identity to the members", "VM", n.vm, "ID", id)
	}
	n.outboxes = bluebellpeer.NewOutboxes(bluebellpeer.OutboxConfig{
		Client: func(member string) (*bluebellpeer.Client, error) { return n.peers.client(bluebellvoter.VMOf(member)) },
	})
	n.voter, err = bluebellvoter.New(bluebellvoter.Config{
		ID: id, Members: initial, FS: n.cfg.FS, Folder: filepath.Join(s.VM.DataFolder, "log"),
		Send: n.outboxes.Send, Publish: func(v *pb.View) { n.hub.ApplyView(v) },
		Now: n.now, WallClock: time.Now, Rand: rand.Int64N,
		ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, Logger: n.cfg.Logger,
	})
	return err
}

// staleness returns the time since this VM was last known to be up to date. It is 0 on a
// leader with a valid lease.
func (n *Node) staleness() time.Duration {
	stale := 24 * time.Hour
	if n.follower != nil {
		stale = n.follower.StaleFor()
	}
	if n.voter != nil {
		s := n.voter.Status()
		if n.now() < s.LeaseUntil {
			return 0
		}
		if s.LeaderLastKnownAt > 0 {
			stale = min(stale, n.now()-s.LeaderLastKnownAt)
		}
	}
	return stale
}

// watchSources returns the VMs to follow, best first. A voter follows the leader, other VMs
// their sources in the distribution tree.
func (n *Node) watchSources() []string {
	if n.isVoter() {
		leader := bluebellvoter.VMOf(n.voter.Status().Leader)
		if leader == "" || leader == n.vm {
			return nil
		}
		return []string{leader}
	}
	return bluebellsync.Sources(n.vm, vmNames(n.cfg.Settings.Neighbours), n.voterNames())
}

// isVoter reports whether this VM is a voter now. A VM whose disk was replaced is not a
// voter until operators have added its new identity to the voters.
func (n *Node) isVoter() bool {
	if n.voter == nil {
		return false
	}
	for _, v := range n.voter.Status().Members.GetVoters() {
		if bluebellvoter.VMOf(v) == n.vm {
			return true
		}
	}
	return false
}

// voterNames returns the voters of the configuration in force, nearest first. Before there
// is a configuration it returns those of the settings.
func (n *Node) voterNames() []string {
	if c := n.hub.View().Configuration; c != nil {
		return vmNames(bluebellconfig.NearestVoters(c, n.cfg.Settings.VM.FailureDomain))
	}
	return vmNames(n.cfg.Settings.Voters)
}

func vmNames(vms []*pb.VM) []string {
	list := make([]string, len(vms))
	for i, v := range vms {
		list[i] = v.Name
	}
	return list
}

func (n *Node) watchSource(ctx context.Context, source string, r *pb.WatchRequest) (*pb.WatchReply, error) {
	client, err := n.peers.client(source)
	if err != nil {
		return nil, err
	}
	return client.Watch(ctx, r)
}

func (n *Node) propose(ctx context.Context, c *pb.Command) (*pb.Result, error) {
	return n.peers.propose(ctx, n.voterNames(), c)
}

func (n *Node) changeMembers(ctx context.Context, m *pb.Members) error {
	if n.voter == nil {
		return errors.New("this VM does not vote; ask the leader")
	}
	return n.voter.ChangeMembers(ctx, m)
}

// Run serves calls until ctx is done, then stops gracefully. It returns early with an error
// if a component fails.
func (n *Node) Run(ctx context.Context) error {
	s := n.cfg.Settings.VM
	callerListener, err := net.Listen("tcp", hostPort(s.Address, s.CallerPort))
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	peerListener, err := net.Listen("tcp", hostPort(s.Address, s.PeerPort))
	if err != nil {
		return errors.Join(fmt.Errorf("listen for peers: %w", err), callerListener.Close())
	}
	return n.RunOnListeners(ctx, callerListener, peerListener)
}

// RunOnListeners is like Run but uses listeners that its caller has opened.
func (n *Node) RunOnListeners(ctx context.Context, callerListener, peerListener net.Listener) error {
	// The components outlive ctx so that a graceful stop can complete running calls.
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	components := pool.New().WithContext(componentsCtx).WithCancelOnError().WithFirstError()
	if n.voter != nil {
		n.outboxes.Start(componentsCtx)
		components.Go(n.voter.Run)
	}
	components.Go(func(ctx context.Context) error {
		return bluebellpeer.Serve(ctx, bluebellpeer.ServerConfig{
			Listener: peerListener, Secret: n.cfg.Secret, Name: n.vm, Handler: peerHandler{node: n}, OnPanic: n.logPeerPanic,
		})
	})
	components.Go(func(ctx context.Context) error { n.follower.Run(ctx); return nil })
	components.Go(func(ctx context.Context) error { n.applyChanges(ctx); return nil })
	components.Go(func(ctx context.Context) error { n.publishEvidence(ctx); return nil })
	components.Go(func(ctx context.Context) error { n.newProber().Run(ctx); return nil })
	if n.voter != nil {
		components.Go(func(ctx context.Context) error { n.newMover().Run(ctx); return nil })
	}
	components.Go(func(context.Context) error { return n.frontend.Serve(callerListener) })
	components.Go(func(poolCtx context.Context) error {
		select {
		case <-poolCtx.Done():
		case <-ctx.Done():
			n.stopGracefully()
		}
		stopComponents()
		return n.stopFrontend()
	})
	n.cfg.Logger.Info("started", "VM", n.vm, "FailureDomain", n.cfg.Settings.VM.FailureDomain, "Votes", n.voter != nil)
	err := components.Wait()
	if n.outboxes != nil {
		n.outboxes.Wait()
	}
	n.peers.close()
	err = errors.Join(err, n.metrics.Close())
	n.cfg.Logger.Info("stopped", "VM", n.vm, "Error", err)
	return err
}

// ready reports whether some endpoint is usable. This requires a configuration in force and
// a health report on the endpoint.
func (n *Node) ready() bool {
	for _, e := range n.router.Table().Endpoints() {
		if e.Usable {
			return true
		}
	}
	return false
}

// stopGracefully reports to load balancers that the entry is not ready, waits
// BalancerDelay and then waits until running requests have ended and the outcomes of
// claims are agreed, each for a limited time.
func (n *Node) stopGracefully() {
	n.cfg.Logger.Info("stopping", "VM", n.vm)
	n.frontend.SetNotReady()
	time.Sleep(n.cfg.BalancerDelay)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	n.frontend.Drain(ctx)
	n.dispatcher.Drain()
}

// stopFrontend closes the listener and the connections of the frontend.
func (n *Node) stopFrontend() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return n.frontend.Stop(ctx)
}

// applyChanges applies each change of the agreed view or of endpoint health on this VM. It
// applies the present snapshot again when a handover of slots between owners is over.
func (n *Node) applyChanges(ctx context.Context) {
	for ctx.Err() == nil {
		snapshot, changed := n.hub.Snapshot()
		n.peers.update(snapshot.View.Configuration.GetVMs())
		n.applySnapshot(snapshot)
		var handoverEnd <-chan time.Time
		if wait := bluebelldispatch.HandoverRemaining(snapshot.View.OwnersChangedAt, time.Now()); wait > 0 {
			handoverEnd = time.After(wait)
		}
		select {
		case <-changed:
		case <-handoverEnd:
		case <-ctx.Done():
		}
	}
}

// applySnapshot builds the routing table from a snapshot of the hub and passes it to the
// dispatcher.
func (n *Node) applySnapshot(snapshot bluebellsync.Snapshot) {
	policy := snapshot.View.Configuration.GetPolicy()
	table := bluebellroute.BuildTable(bluebellroute.TableInput{View: snapshot.View, Health: snapshot.Health, VersionStopped: n.breaker.Stopped})
	n.dispatcher.SetTable(table, policy, snapshot.View.OwnersChangedAt)
}

// publishEvidence publishes the outcome counts of this VM at each interval. It stops the new
// version of a move on this VM if the counts are bad.
func (n *Node) publishEvidence(ctx context.Context) {
	ticker := time.NewTicker(evidenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.updateUseMetrics()
		snapshot, _ := n.hub.Snapshot()
		own := n.outcomes.Evidence(snapshot.View.Moves)
		n.hub.SetEvidence(own)
		for _, m := range snapshot.View.Moves {
			if !bluebellstate.MoveActive(m) {
				continue
			}
			if why, stopped := n.breaker.Check(m, own, snapshot.View.Configuration.GetPolicy()); stopped {
				n.cfg.Logger.Warn("version stopped on this VM", "Target", m.Target, "ToVersion", m.ToVersion, "Why", why)
				n.applySnapshot(snapshot)
			}
		}
	}
}

// awaitView waits until a revision is in force on this VM.
func (n *Node) awaitView(ctx context.Context, revision uint64) error {
	for {
		snapshot, changed := n.hub.Snapshot()
		if snapshot.View.Revision >= revision {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("revision %d is in force, %d is awaited", snapshot.View.Revision, revision)
		}
	}
}

// updateUseMetrics sets the use metrics of the endpoints of which this VM owns slots.
func (n *Node) updateUseMetrics() {
	for name, e := range n.router.Table().Endpoints() {
		if e.SlotShare(n.vm, e.Slots) > 0 {
			running, waiting, slots := n.dispatcher.Use(name)
			n.metrics.setEndpointUse(name, running, waiting, slots)
		}
	}
}

func (n *Node) newProber() *bluebellprobe.Prober {
	return bluebellprobe.New(bluebellprobe.Config{
		VM: n.vm, Upstream: n.upstream, Table: n.router.Table,
		LastReport: func(endpoint string) *pb.EndpointHealth { return n.hub.Health(endpoint) },
		Report:     n.hub.MergeHealth, WallClock: time.Now, Logger: n.cfg.Logger,
	})
}

func (n *Node) newMover() *bluebellmover.Mover {
	return bluebellmover.New(bluebellmover.Config{
		VM: n.vm, Upstream: n.upstream, Secret: n.cfg.Secret, Table: n.router.Table, View: n.hub.View,
		Evidence: func() []*pb.Evidence {
			snapshot, _ := n.hub.Snapshot()
			return snapshot.Evidence
		},
		Leadership: func() (bool, uint64) {
			s := n.voter.Status()
			return n.now() < s.LeaseUntil, s.Term
		},
		Propose: n.propose, LeaseDuration: electionTimeout, Now: n.now, WallClock: time.Now, Logger: n.cfg.Logger,
	})
}

// logPeerPanic logs a panic in the handler of a peer's call.
func (n *Node) logPeerPanic(method string, value any, stack []byte) {
	n.cfg.Logger.Error("handler of a peer's call panicked", "Method", method, "Panic", value, "Stack", string(stack))
}
