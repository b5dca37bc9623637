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
	electionTimeout = time.Second
	heartbeatEvery  = 100 * time.Millisecond
	evidenceEvery   = 200 * time.Millisecond
	// drainFor bounds the time that running streams get at a planned stop.
	drainFor    = 5 * time.Minute
	shutdownFor = 5 * time.Second
)

// Config sets up a Node.
type Config struct {
	Settings *pb.ProcessSettings
	Secret   []byte
	// Bootstrap lets an empty data folder start as one of the first voters.
	Bootstrap bool
	// BalancerDelay is how long the listener stays after the entry says that it is
	// not ready.
	BalancerDelay time.Duration
	FS            bluebellwal.FS
	// Dial opens connections to other processes and endpoints; the system's if
	// nil.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Logger *log.Logger
}

// Node is one entry process.
type Node struct {
	cfg      Config
	vm       string
	started  time.Time
	peers    *peers
	hub      *bluebellsync.Hub
	follower *bluebellsync.Follower
	voter    *bluebellvoter.Voter
	outboxes *bluebellpeer.Outboxes
	router   *bluebellroute.Router
	ledger   *bluebellmove.OutcomeCounter
	brake    *bluebellmove.VersionBreaker
	upstream *bluebellupstream.Client
	dispatch *bluebelldispatch.Dispatcher
	front    *bluebellfrontend.Front
	records  *recordRing
	metrics  *metrics
}

// New puts a node together. It reads the data folder, if there is one.
func New(cfg Config) (*Node, error) {
	s := cfg.Settings
	n := &Node{
		cfg: cfg, vm: s.VM.Name, started: time.Now(),
		peers:    newPeers(s.VM.Name, cfg.Secret, cfg.Dial, s.Voters, s.Neighbours, []*pb.VM{s.VM}),
		router:   bluebellroute.NewRouter(bluebellroute.Config{VM: s.VM.Name, LoadBound: 1.25}),
		ledger:   bluebellmove.NewOutcomeCounter(s.VM.Name, time.Now().UnixNano()),
		brake:    bluebellmove.NewVersionBreaker(),
		upstream: bluebellupstream.NewClient(bluebellupstream.ClientConfig{Dial: cfg.Dial}),
		records:  newRecordRing(), metrics: newMetrics(cfg.Logger),
	}
	n.hub = bluebellsync.NewHub(bluebellsync.HubConfig{VM: n.vm, WallClock: time.Now, After: time.After, StaleFor: n.staleFor})
	if err := n.openVoter(); err != nil {
		return nil, err
	}
	n.follower = bluebellsync.NewFollower(bluebellsync.FollowerConfig{
		Hub: n.hub, Sources: n.sources, Watch: n.watch, AcceptsViews: func() bool { return !n.isVoter() },
		Now: n.now, Sleep: sleep, Logger: cfg.Logger,
	})
	n.dispatch = bluebelldispatch.New(bluebelldispatch.Config{
		VM: n.vm, Router: n.router, Upstream: n.upstream, Ledger: n.ledger, Propose: n.propose, View: n.hub.View, AwaitView: n.awaitView,
		VMAddress: n.peers.callerAddress,
		Sign: func(hop *pb.Hop, body []byte) (string, string, error) {
			return bluebellfrontend.SignHop(cfg.Secret, hop, body)
		},
		Now: n.now, Wall: time.Now, After: time.After, NewID: newID,
		Record: n.record, Count: n.metrics.counters(), Logger: cfg.Logger,
	})
	n.front = bluebellfrontend.New(bluebellfrontend.Config{
		VM: n.vm, Dispatcher: n.dispatch, View: n.hub.View, Operators: s.Operators, Secret: cfg.Secret,
		Propose: n.propose, Status: n.status, ChangeMembers: n.changeMembers, Records: n.records.find, Ready: n.ready,
		Metrics: n.metrics.Handler(), Refused: n.metrics.refused, Now: n.now, Wall: time.Now, NewID: newID, Logger: cfg.Logger,
	})
	return n, nil
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

func (n *Node) now() time.Duration { return time.Since(n.started) }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// openVoter opens the data folder of a VM that has one.
func (n *Node) openVoter() error {
	s := n.cfg.Settings
	if s.VM.DataFolder == "" {
		return nil
	}
	id, err := bluebellvoter.LoadOrCreateIdentity(n.cfg.FS, s.VM.DataFolder, n.vm, n.cfg.Bootstrap)
	if err != nil {
		return err
	}
	first := &pb.Members{}
	for _, v := range s.Voters {
		first.Voters = append(first.Voters, v.Name)
	}
	if !slices.Contains(first.Voters, id) {
		// A replaced disk, or a VM that is kept in reserve: it learns its members
		// from the leader once operators have added it.
		first = &pb.Members{}
		n.cfg.Logger.Warn("no vote here until operators add this identity", "VM", n.vm, "ID", id)
	}
	n.outboxes = bluebellpeer.NewOutboxes(bluebellpeer.OutboxConfig{
		Client: func(member string) (*bluebellpeer.Client, error) { return n.peers.client(bluebellvoter.VMOf(member)) },
	})
	n.voter, err = bluebellvoter.New(bluebellvoter.Config{
		ID: id, Members: first, FS: n.cfg.FS, Folder: filepath.Join(s.VM.DataFolder, "log"),
		Send: n.outboxes.Send, Publish: func(v *pb.View) { n.hub.ApplyView(v) },
		Now: n.now, WallClock: time.Now, Rand: rand.Int64N,
		ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatEvery, Logger: n.cfg.Logger,
	})
	return err
}

// staleFor tells how long ago this VM was last known to be up to date.
func (n *Node) staleFor() time.Duration {
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

// sources returns whom to follow: the leader for voters, else the tree.
func (n *Node) sources() []string {
	if n.isVoter() {
		leader := bluebellvoter.VMOf(n.voter.Status().Leader)
		if leader == "" || leader == n.vm {
			return nil
		}
		return []string{leader}
	}
	return bluebellsync.Sources(n.vm, names(n.cfg.Settings.Neighbours), n.voterNames())
}

// isVoter tells whether this VM has a vote now. One whose disk was replaced has
// none until operators have made it a voter.
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

// voterNames returns the voters of the configuration in force, or those of the
// settings before there is one; the nearest first.
func (n *Node) voterNames() []string {
	if c := n.hub.View().Configuration; c != nil {
		return names(bluebellconfig.NearestVoters(c, n.cfg.Settings.VM.FailureDomain))
	}
	return names(n.cfg.Settings.Voters)
}

func names(vms []*pb.VM) []string {
	list := make([]string, len(vms))
	for i, v := range vms {
		list[i] = v.Name
	}
	return list
}

func (n *Node) watch(ctx context.Context, source string, r *pb.WatchRequest) (*pb.WatchReply, error) {
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

// Run serves until ctx ends and all that runs has ended.
func (n *Node) Run(ctx context.Context) error {
	s := n.cfg.Settings.VM
	callers, err := net.Listen("tcp", hostPort(s.Address, s.CallerPort))
	if err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	peerListener, err := net.Listen("tcp", hostPort(s.Address, s.PeerPort))
	if err != nil {
		return errors.Join(fmt.Errorf("peers: %w", err), callers.Close())
	}
	return n.RunOn(ctx, callers, peerListener)
}

// RunOn is Run on listeners that the caller has opened.
func (n *Node) RunOn(ctx context.Context, callers, peerListener net.Listener) error {
	// The parts outlive ctx: a planned stop lets what runs come to its end.
	partsCtx, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	parts := pool.New().WithContext(partsCtx).WithCancelOnError().WithFirstError()
	if n.voter != nil {
		n.outboxes.Start(partsCtx)
		parts.Go(n.voter.Run)
	}
	parts.Go(func(ctx context.Context) error {
		return bluebellpeer.Serve(ctx, peerListener, n.cfg.Secret, n.vm, handler{node: n})
	})
	parts.Go(func(ctx context.Context) error { n.follower.Run(ctx); return nil })
	parts.Go(func(ctx context.Context) error { n.watchNews(ctx); return nil })
	parts.Go(func(ctx context.Context) error { n.countEvidence(ctx); return nil })
	parts.Go(func(ctx context.Context) error { n.prober().Run(ctx); return nil })
	if n.voter != nil {
		parts.Go(func(ctx context.Context) error { n.mover().Run(ctx); return nil })
	}
	parts.Go(func(context.Context) error { return n.front.Serve(callers) })
	parts.Go(func(parts context.Context) error {
		select {
		case <-parts.Done():
		case <-ctx.Done():
			n.stop()
		}
		stopParts()
		return n.shutdown()
	})
	n.cfg.Logger.Info("started", "VM", n.vm, "FailureDomain", n.cfg.Settings.VM.FailureDomain, "Votes", n.voter != nil)
	err := parts.Wait()
	if n.outboxes != nil {
		n.outboxes.Wait()
	}
	n.peers.close()
	err = errors.Join(err, n.metrics.Close())
	n.cfg.Logger.Info("stopped", "VM", n.vm, "Error", err)
	return err
}

// ready tells whether calls could be served: a configuration is in force and the
// health of some endpoint is known.
func (n *Node) ready() bool {
	for _, e := range n.router.Table().Endpoints() {
		if e.Usable {
			return true
		}
	}
	return false
}

// stop is a planned stop: it cuts nothing that runs.
func (n *Node) stop() {
	n.cfg.Logger.Info("stopping", "VM", n.vm)
	n.front.StopAccepting()
	time.Sleep(n.cfg.BalancerDelay)
	ctx, cancel := context.WithTimeout(context.Background(), drainFor)
	defer cancel()
	n.front.Drain(ctx)
	n.dispatch.Drain()
}

func (n *Node) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownFor)
	defer cancel()
	return n.front.Stop(ctx)
}

// watchNews puts each change of the view or of health in force.
func (n *Node) watchNews(ctx context.Context) {
	for ctx.Err() == nil {
		news, changed := n.hub.Snapshot()
		n.peers.learn(news.View.Configuration.GetVMs())
		n.putInForce(news)
		var again <-chan time.Time
		if wait := bluebelldispatch.HandoverLeft(news.View.OwnersChangedAt, time.Now()); wait > 0 {
			again = time.After(wait)
		}
		select {
		case <-changed:
		case <-again:
		case <-ctx.Done():
		}
	}
}

func (n *Node) putInForce(news bluebellsync.Snapshot) {
	policy := news.View.Configuration.GetPolicy()
	table := bluebellroute.BuildTable(bluebellroute.TableInput{View: news.View, Health: news.Health, VersionStopped: n.brake.Stopped})
	n.dispatch.SetTable(table, policy, news.View.OwnersChangedAt)
}

// countEvidence publishes this VM's counts, and brakes a version on them.
func (n *Node) countEvidence(ctx context.Context) {
	ticker := time.NewTicker(evidenceEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.showUse()
		news, _ := n.hub.Snapshot()
		own := n.ledger.Evidence(news.View.Moves)
		n.hub.SetEvidence(own)
		for _, m := range news.View.Moves {
			if !bluebellstate.MoveActive(m) {
				continue
			}
			if why, stopped := n.brake.Check(m, own, news.View.Configuration.GetPolicy()); stopped {
				n.cfg.Logger.Warn("version stopped here", "Target", m.Target, "ToVersion", m.ToVersion, "Why", why)
				n.putInForce(news)
			}
		}
	}
}

// awaitView waits until a revision is in force here.
func (n *Node) awaitView(ctx context.Context, revision uint64) error {
	for {
		news, changed := n.hub.Snapshot()
		if news.View.Revision >= revision {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("revision %d is in force, %d is awaited", news.View.Revision, revision)
		}
	}
}

// showUse publishes the use of the endpoints that this VM owns.
func (n *Node) showUse() {
	for name, e := range n.router.Table().Endpoints() {
		if e.SlotShare(n.vm, e.Slots) > 0 {
			running, waiting, slots := n.dispatch.Use(name)
			n.metrics.use(name, running, waiting, slots)
		}
	}
}

func (n *Node) prober() *bluebellprobe.Prober {
	return bluebellprobe.New(bluebellprobe.Config{
		VM: n.vm, Upstream: n.upstream, Table: n.router.Table,
		Known:  func(endpoint string) *pb.EndpointHealth { return n.hub.Health(endpoint) },
		Report: n.hub.MergeHealth, Wall: time.Now, Logger: n.cfg.Logger,
	})
}

func (n *Node) mover() *bluebellmover.Mover {
	return bluebellmover.New(bluebellmover.Config{
		VM: n.vm, Upstream: n.upstream, Secret: n.cfg.Secret, Table: n.router.Table, View: n.hub.View,
		Evidence: func() []*pb.Evidence {
			news, _ := n.hub.Snapshot()
			return news.Evidence
		},
		Leads: func() (bool, uint64) {
			s := n.voter.Status()
			return n.now() < s.LeaseUntil, s.Term
		},
		Propose: n.propose, LeaseLength: electionTimeout, Now: n.now, Wall: time.Now, Logger: n.cfg.Logger,
	})
}
