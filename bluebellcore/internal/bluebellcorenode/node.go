// Package bluebellcorenode assembles a core process: a member of the replicated log, the
// registry of endpoints, the source of state that entries follow, the inventory of cache
// stores, and the control interface. The leader also changes the members of the log and
// orders endpoints to load weights.
//
// # Usage
//
//	node, err := bluebellcorenode.New(bluebellcorenode.Config{Settings: settings.Current, Logger: logger})
//	err = node.Run(ctx)
package bluebellcorenode

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc/pool"

	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebellmember"
	"bluebellhaven.org/bluebell/bluebellmetrics"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellpeer"
	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/bluebell/bluebellquarantine"
	"bluebellhaven.org/bluebell/bluebellstate"
	"bluebellhaven.org/bluebell/bluebellusage"
	"bluebellhaven.org/bluebell/bluebellvoter"
	"bluebellhaven.org/bluebell/bluebellwal"
	"bluebellhaven.org/bluebellcore/internal/bluebellcloser"
	"bluebellhaven.org/bluebellcore/internal/bluebellcontrol"
	"bluebellhaven.org/bluebellcore/internal/bluebellduty"
	"bluebellhaven.org/bluebellcore/internal/bluebellinventory"
	"bluebellhaven.org/bluebellcore/internal/bluebelljudge"
	"bluebellhaven.org/bluebellcore/internal/bluebellorder"
	"bluebellhaven.org/bluebellcore/internal/bluebellscaler"
	"bluebellhaven.org/bluebellcore/internal/bluebellsender"
)

const (
	// electionTimeout covers several round trips and syncs of a slow disk (150 ms).
	electionTimeout   = time.Second
	heartbeatInterval = 100 * time.Millisecond
	// keepEntries is the number of log entries that stay in memory although a snapshot
	// covers them. It is small because an entry can hold a document of 100 KB.
	keepEntries = 64
	// announceInterval is a quarter of the time for which a process counts as alive after
	// an announcement.
	announceInterval = bluebellmember.AliveTimeout / 4
	announceTimeout  = 400 * time.Millisecond
	membersInterval  = 200 * time.Millisecond
	membersTimeout   = 2 * time.Second
	// coresInterval is how often the list of core processes for followers is made at most.
	coresInterval = 200 * time.Millisecond
	// coreRetention is how long followers receive the address of a core process after its
	// last announcement.
	coreRetention = 30 * time.Second
	// maxCores bounds the other core processes that a core process follows.
	maxCores = 16
)

// Config sets up a Node.
type Config struct {
	// Settings returns the current settings.
	Settings func() *pb.CoreSettings
	// Dial opens connections to other processes and endpoints. If nil, the system's dialer
	// is used.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Logger *log.Logger
}

// Node is a core process.
type Node struct {
	cfg      Config
	id       string
	address  string
	started  time.Time
	pool     *bluebellpeer.Pool
	voter    *bluebellvoter.Voter
	outboxes *bluebellpeer.Outboxes
	registry *bluebellfleet.Registry
	source   *bluebellfeed.Source
	follower *bluebellfeed.Follower
	duty     *bluebellduty.Holder
	orderer  *bluebellorder.Orderer
	// sender is nil if the deployment has no provider.
	sender    *bluebellsender.Sender
	inventory *bluebellinventory.Inventory
	control   *bluebellcontrol.Server
	metrics   *bluebellmetrics.Metrics
	judge     *bluebelljudge.Judge
	scaler    *bluebellscaler.Scaler
	declared  *declaredDeployment
	// usage holds the totals that entries have reported, and closer decides windows. Both are nil if usage is not
	// reported. clock is the time of day.
	usage  *bluebellusage.Totals
	closer *bluebellcloser.Closer
	clock  *bluebellusage.Clock

	mu        sync.Mutex
	processes map[string]bluebellmember.Process
	// domains holds the failure domain of each core process by address.
	domains map[string]string
	// commandVersions holds, by ID, the version of the commands that each core process in processes can apply.
	commandVersions map[string]uint32
	// core is the latest core state of the replicated log.
	core *pb.CoreState
	// coreList is the list of core processes as of coresListedAt.
	coreList      []string
	coresListedAt time.Duration
	// leaderSince is when this process began to lead, or 0 while it does not lead.
	leaderSince time.Duration
}

// New returns a node and opens its log in the data folder.
func New(cfg Config) (*Node, error) {
	s := cfg.Settings()
	n := &Node{
		cfg: cfg, address: bluebellprocess.HostPort(s.Address, s.PeerPort), started: time.Now(),
		processes: map[string]bluebellmember.Process{}, domains: map[string]string{}, commandVersions: map[string]uint32{},
		metrics: bluebellmetrics.New(bluebellmetrics.Config{Prefix: "bluebell_core", Logger: cfg.Logger}),
		clock:   bluebellusage.NewClock(),
	}
	n.openUsage(s.GetBounds())
	n.pool = bluebellpeer.NewPool(bluebellpeer.PoolConfig{Name: n.address, Secret: []byte(s.Secret), Dial: cfg.Dial})
	n.registry = bluebellfleet.NewRegistry(bluebellfleet.Config{Now: n.now, MaxEndpoints: bluebellcontrol.MaxEndpoints, DeclaredOnly: true})
	directory := bluebelldirectory.New()
	declared := &declaredDeployment{deployment: func() (*pb.Deployment, uint64) { return n.source.Deployment() }}
	n.declared = declared
	suspects := bluebellquarantine.NewLedger(bluebellquarantine.LedgerConfig{Registered: n.registeredIncarnations})
	n.source = bluebellfeed.NewSource(bluebellfeed.SourceConfig{
		Registry: n.registry, Directory: directory, Epoch: rand.Uint64(), Cores: n.recentCores, Domain: n.domainOf,
		PeerLoads: func() []bluebellfeed.PeerLoads { return n.follower.PeerLoads() }, Suspects: suspects, Now: n.now, After: time.After,
		HasLeader: func() bool { return n.voter.Status().Leader != "" }, Objective: declared.shortestObjective,
		CurrentAgo: n.currentAgo, Settled: n.settled,
		RecordUsage: n.recordUsage, WallClock: n.statedClock(),
	})
	if err := n.openVoter(s); err != nil {
		return nil, err
	}
	n.follower = bluebellfeed.NewFollower(bluebellfeed.FollowerConfig{
		Process: n.address, ShareLoads: true, Objective: declared.shortestObjective, Seeds: n.otherCores, MaxSources: maxCores, Registry: n.registry,
		Poll: func(ctx context.Context, source string, r *pb.FollowRequest) (*pb.FollowReply, error) {
			return n.pool.Client(source).Follow(ctx, r)
		},
		OnTime:           n.clock.Observe,
		OnPeerSuspicions: func(core string, list []bluebellquarantine.Suspect) { suspects.RecordPeer(core, n.now(), list) },
		Now:              n.now, Logger: cfg.Logger,
	})
	n.judge = bluebelljudge.New(bluebelljudge.Config{
		Ledger: suspects, Deployment: n.source.Deployment, IsLeader: n.isLeader, Propose: n.propose, Now: n.now, WallClock: time.Now, Logger: cfg.Logger,
	})
	n.duty = n.newHolder(s)
	n.orderer = bluebellorder.New(bluebellorder.Config{
		Holder: n.address, Duty: n.duty, Lease: millis(s.GetBounds().GetOrderLeaseMillis()),
		Registry: n.registry, Deployment: n.source.Deployment, SetLoading: n.source.SetLoading,
		IsLeader: n.isLeader, Propose: n.propose, Dial: cfg.Dial, Now: n.now, Logger: cfg.Logger,
		IncrementCounter: func(name string) { n.metrics.Scope.Counter(name).Inc(1) },
	})
	n.sender = n.newSender(s)
	retirement := &weightsRetirement{registry: n.registry, deployment: n.source.Deployment, now: n.now, completeSince: map[string]time.Duration{}}
	n.scaler = n.newScaler(declared)
	n.inventory = bluebellinventory.New(bluebellinventory.Config{
		Directory: directory, Stores: declared.stores, IsLeader: n.isLeader, RetiredVersion: retirement.retiredVersion,
		Dial: cfg.Dial, Now: n.now, Logger: cfg.Logger,
	})
	n.control = bluebellcontrol.New(bluebellcontrol.Config{
		Registry: n.registry, Deployment: n.source.Deployment, Propose: n.propose, Now: n.now, WallClock: time.Now, Logger: cfg.Logger,
		AppliedIndex: func() uint64 { return n.voter.Status().AppliedIndex }, ProposeAfter: n.proposeAfter, RecordDeparture: n.recordDeparture, Uptime: bluebellprocess.Uptime,
		ObserveCall: func(verb string, status int, d time.Duration) {
			scope := n.metrics.Scope.Tagged(map[string]string{"verb": verb, "status": fmt.Sprint(status)})
			scope.Counter("control_calls").Inc(1)
			scope.Timer("control_seconds").Record(d)
		},
	})
	return n, nil
}

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func (n *Node) now() time.Duration { return time.Since(n.started) }

// openVoter opens the log. A seed that is set up with Bootstrap starts with all seeds as the
// voters; any other process starts without members and joins as a learner. At later starts the
// members are those of the data folder.
func (n *Node) openVoter(s *pb.CoreSettings) error {
	seeds := bluebellprocess.PeerAddresses(s.Seeds, s.PeerPort)
	slices.Sort(seeds)
	seeds = slices.Compact(seeds)
	fs := bluebellwal.OS()
	identity, err := bluebellvoter.LoadOrCreateIdentity(bluebellvoter.IdentityConfig{
		FS: fs, Folder: s.DataFolder, VM: n.address, Bootstrap: s.Bootstrap && slices.Contains(seeds, n.address), Voters: seeds,
		Unrecorded: assumedVoters(seeds, n.address, int(s.TolerateLostVMs)+1),
	})
	if err != nil {
		return err
	}
	n.id = identity.ID
	n.outboxes = bluebellpeer.NewOutboxes(bluebellpeer.OutboxConfig{
		Client: func(member string) (*bluebellpeer.Client, error) {
			return n.pool.Client(bluebellvoter.VMOf(member)), nil
		},
	})
	n.voter, err = bluebellvoter.New(bluebellvoter.Config{
		ID: identity.ID, Members: identity.Members, FS: fs, Folder: filepath.Join(s.DataFolder, "log"),
		Send: n.outboxes.Send, Publish: n.applyView, PublishCore: n.applyCoreState,
		Now: n.now, Uptime: bluebellprocess.Uptime, WallClock: time.Now, Rand: rand.Int64N,
		ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, KeepEntries: keepEntries, Logger: n.cfg.Logger,
	})
	return err
}

// applyView passes a new deployment to the followers and its targets to the registry. The voter calls it with each new
// view.
func (n *Node) applyView(v *pb.View) {
	n.source.SetDeployment(v.Revision, v.Deployment)
	for _, e := range n.registry.SetTargets(n.declared.current().TargetNames()) {
		n.cfg.Logger.Info("endpoint registration changed", "ID", e.ID, "Target", e.Target, "Address", e.Address, "State", e.State, "Source", "declaration")
	}
}

// assumedVoters returns the first voters of the log as far as present seeds show them, for a voter whose data folder
// does not record them. Seeds may lack VMs that were down when they were written, also this one. It returns nil if
// they are fewer than a quorum, since this process could otherwise agree with itself alone.
func assumedVoters(seeds []string, self string, quorum int) []string {
	voters := slices.Clone(seeds)
	if !slices.Contains(voters, self) {
		voters = append(voters, self)
	}
	if len(voters) < quorum {
		return nil
	}
	slices.Sort(voters)
	return voters
}

// Run runs the node until ctx ends or one of its tasks fails, such as the log's storage.
func (n *Node) Run(ctx context.Context) error {
	s := n.cfg.Settings()
	control, err := net.Listen("tcp", s.ControlAddress)
	if err != nil {
		return fmt.Errorf("listen for control calls: %w", err)
	}
	peers, err := net.Listen("tcp", cmp.Or(s.PeerListen, n.address))
	if err != nil {
		return errors.Join(fmt.Errorf("listen for peers: %w", err), control.Close())
	}
	n.cfg.Logger.Info("started", "Name", s.Name, "ID", n.id, "FailureDomain", s.FailureDomain, "Control", s.ControlAddress, "Bootstrap", s.Bootstrap)
	tasks := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	tasks.Go(func(ctx context.Context) error {
		n.outboxes.Start(ctx)
		return n.voter.Run(ctx)
	})
	tasks.Go(func(ctx context.Context) error {
		return bluebellpeer.Serve(ctx, bluebellpeer.ServerConfig{
			Listener: peers, Secret: []byte(s.Secret), Name: n.address, Handler: handler{node: n}, OnPanic: n.logPeerPanic,
		})
	})
	tasks.Go(func(ctx context.Context) error { n.follower.Run(ctx); return nil })
	tasks.Go(func(ctx context.Context) error { n.announcePeriodically(ctx); return nil })
	tasks.Go(func(ctx context.Context) error { n.maintainMembers(ctx); return nil })
	tasks.Go(func(ctx context.Context) error { n.judge.Run(ctx); return nil })
	tasks.Go(func(ctx context.Context) error { n.orderer.Run(ctx); return nil })
	tasks.Go(func(ctx context.Context) error { n.scaler.Run(ctx); return nil })
	if n.closer != nil {
		tasks.Go(func(ctx context.Context) error { n.closer.Run(ctx); return nil })
	}
	if n.sender != nil {
		tasks.Go(func(ctx context.Context) error { n.sender.Run(ctx); return nil })
	}
	tasks.Go(func(ctx context.Context) error { n.inventory.Run(ctx); return nil })
	tasks.Go(func(ctx context.Context) error { return n.control.Serve(ctx, control) })
	tasks.Go(func(ctx context.Context) error {
		return bluebellprocess.ServeMetrics(ctx, s.Address, s.MetricsPort, n.metrics.Handler(), n.cfg.Logger)
	})
	err = tasks.Wait()
	n.outboxes.Wait()
	n.pool.Close()
	err = errors.Join(err, n.metrics.Close())
	n.cfg.Logger.Info("stopped", "Name", s.Name, "Error", err)
	return err
}

// logPeerPanic logs a panic in the handler of a peer's call.
func (n *Node) logPeerPanic(method string, value any, stack []byte) {
	n.metrics.Scope.Counter("peer_panics").Inc(1)
	n.cfg.Logger.Error("handler of a peer's call panicked", "Method", method, "Panic", value, "Stack", string(stack))
}

// currentAgo returns the time since this process is known to have applied all that was agreed on, and whether there was
// such a time.
func (n *Node) currentAgo() (time.Duration, bool) {
	at := n.voter.Status().CurrentAt
	return bluebellprocess.Uptime() - at, at > 0
}

// settled returns the time since this process was a voter without declarations or changes of members in its log that it
// had not applied, whether there was such a time, and the voters.
func (n *Node) settled() (age time.Duration, known bool, voters []string) {
	status := n.voter.Status()
	return bluebellprocess.Uptime() - status.SettledAt, status.SettledAt > 0, status.Members.GetVoters()
}

// isLeader reports whether this process regards itself as the leader. Another process may
// already have been elected.
func (n *Node) isLeader() bool { return n.voter.Status().Leader == n.id }

// registeredIncarnations returns when the incarnations of the endpoints that are not gone last registered.
func (n *Node) registeredIncarnations() map[uint64]time.Duration {
	endpoints := n.registry.Endpoints()
	at := make(map[uint64]time.Duration, len(endpoints))
	for _, e := range endpoints {
		at[bluebellquarantine.Incarnation(e.ID, e.StartUnixMillis)] = e.ReceivedAt
	}
	return at
}

// cores returns the addresses of all known core processes, including this one.
func (n *Node) cores() []string {
	return append(n.otherCores(), n.address)
}

// recentCores returns what cores returned within coresInterval: it is part of each reply to a
// follower.
func (n *Node) recentCores() []string {
	now := n.now()
	n.mu.Lock()
	list, listedAt := n.coreList, n.coresListedAt
	n.mu.Unlock()
	if list != nil && now-listedAt < coresInterval {
		return list
	}
	list = n.cores()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.coreList, n.coresListedAt = list, now
	return list
}

// domainOf returns the failure domain of a core process, "" if it has not announced itself.
func (n *Node) domainOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.domains[address]
}

// otherCores returns the addresses of the seeds, the members, and the processes that have
// announced themselves within coreRetention, except this process.
func (n *Node) otherCores() []string {
	s := n.cfg.Settings()
	addresses := map[string]bool{}
	for _, address := range bluebellprocess.PeerAddresses(s.Seeds, s.PeerPort) {
		addresses[address] = true
	}
	members := n.voter.Status().Members
	for _, id := range slices.Concat(members.GetVoters(), members.GetLearners()) {
		addresses[bluebellvoter.VMOf(id)] = true
	}
	now := n.now()
	n.mu.Lock()
	for _, p := range n.processes {
		if now-p.LastSeen < coreRetention {
			addresses[p.Address] = true
		}
	}
	n.mu.Unlock()
	delete(addresses, n.address)
	return slices.Sorted(maps.Keys(addresses))
}

// announcePeriodically announces this process to all other core processes every
// announceInterval until ctx ends.
func (n *Node) announcePeriodically(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		announcement := &pb.AnnounceRequest{ID: n.id, Address: n.address, FailureDomain: n.cfg.Settings().FailureDomain, CommandVersion: bluebellstate.CommandVersion}
		calls := pool.New()
		for _, address := range n.otherCores() {
			calls.Go(func() {
				callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
				defer cancel()
				// The next round retries a process that is not reachable.
				_, _ = n.pool.Client(address).Announce(callCtx, announcement)
			})
		}
		calls.Wait()
		n.recordAnnouncement(announcement)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// recordAnnouncement records that a core process is alive, and deletes processes without recent
// announcements.
func (n *Node) recordAnnouncement(r *pb.AnnounceRequest) {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	p, known := n.processes[r.ID]
	if !known {
		p.FirstSeen = now
		n.cfg.Logger.Info("core process discovered", "ID", r.ID, "Address", r.Address)
	}
	p.ID, p.Address, p.FailureDomain, p.LastSeen = r.ID, r.Address, r.FailureDomain, now
	n.processes[r.ID] = p
	n.domains[r.Address] = r.FailureDomain
	n.commandVersions[r.ID] = r.CommandVersion
	for id, other := range n.processes {
		if now-other.LastSeen > 2*coreRetention {
			delete(n.processes, id)
			delete(n.commandVersions, id)
			if n.domains[other.Address] == other.FailureDomain {
				delete(n.domains, other.Address)
			}
		}
	}
}

// maintainMembers changes the members of the log as needed while this process leads.
func (n *Node) maintainMembers(ctx context.Context) {
	ticker := time.NewTicker(membersInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !n.isLeader() {
			n.leaderSince = 0
			continue
		}
		if n.leaderSince == 0 {
			n.leaderSince = n.now()
		}
		n.recordMembers(ctx)
		n.agreeCommandVersion(ctx)
		// The steps of one replacement follow each other without a pause: between them there
		// are too few voters to tolerate the configured number of lost VMs.
		for n.changeMembers(ctx) {
		}
	}
}

// recordMembers writes the members to the log if no entry holds them, so that all members restart with the same ones,
// also those whose data folder does not record them.
func (n *Node) recordMembers(ctx context.Context) {
	status := n.voter.Status()
	if status.MembersIndex > 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	err := n.voter.ChangeMembers(callCtx, status.Members)
	n.cfg.Logger.Info("members written to the log", "Voters", status.Members.GetVoters(), "Error", err)
}

// changeMembers proposes at most one change of members and reports whether it was agreed.
func (n *Node) changeMembers(ctx context.Context) bool {
	n.mu.Lock()
	processes := slices.Collect(maps.Values(n.processes))
	n.mu.Unlock()
	slices.SortFunc(processes, func(a, b bluebellmember.Process) int { return int(a.FirstSeen - b.FirstSeen) })
	status := n.voter.Status()
	next, reason := bluebellmember.Decide(bluebellmember.Input{
		Self: n.id, Members: status.Members, Processes: processes,
		CaughtUp:    func(id string) bool { return slices.Contains(status.CaughtUpLearners, id) },
		LeaderSince: n.leaderSince, VoterCount: int(2*n.cfg.Settings().TolerateLostVMs + 1), Now: n.now(),
	})
	if next == nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	err := n.voter.ChangeMembers(callCtx, next)
	n.cfg.Logger.Info("member change finished", "Reason", reason, "Voters", next.Voters, "Learners", next.Learners, "Error", err)
	return err == nil
}
