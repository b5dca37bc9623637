// Package bluebellcorenode puts the parts of a core process together: a voter of the
// log, the registry of endpoints, the source that entries follow, the control
// interface, and on the leader the membership and the orders to endpoints.
//
// # Usage
//
//	keeper, err := bluebellcorenode.New(bluebellcorenode.Config{Settings: settings.Current, Logger: logger})
//	err = keeper.Run(ctx)
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
	"bluebellhaven.org/bluebell/bluebellvoter"
	"bluebellhaven.org/bluebell/bluebellwal"
	"bluebellhaven.org/bluebellcore/internal/bluebellcontrol"
	"bluebellhaven.org/bluebellcore/internal/bluebellinventory"
	"bluebellhaven.org/bluebellcore/internal/bluebellorder"
)

const (
	// electionTimeout is several round trips and syncs of a slow disk (150 ms).
	electionTimeout = time.Second
	heartbeatEvery  = 100 * time.Millisecond
	// keepEntries bounds the entries in memory: documents of 100 KB each.
	keepEntries = 64
	// announceEvery is a quarter of the time for which a process counts as alive.
	announceEvery   = bluebellmember.AliveFor / 4
	announceTimeout = 400 * time.Millisecond
	membersEvery    = 200 * time.Millisecond
	membersTimeout  = 2 * time.Second
	// coreRetention is how long a silent core process is named to followers.
	coreRetention = 30 * time.Second
	// maxCores bounds the other core processes that one follows.
	maxCores = 16
)

// Config sets up a Keeper.
type Config struct {
	// Settings returns the latest settings.
	Settings func() *pb.CoreSettings
	// Dial opens connections to other processes and endpoints; the system's if nil.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Logger *log.Logger
}

// Keeper is one core process.
type Keeper struct {
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
	orderer  *bluebellorder.Orderer
	stock    *bluebellinventory.Stock
	control  *bluebellcontrol.Server
	metrics  *bluebellmetrics.Metrics

	mu        sync.Mutex
	processes map[string]bluebellmember.Process
	// leadingSince is 0 while this process does not lead.
	leadingSince time.Duration
}

// New opens the data folder.
func New(cfg Config) (*Keeper, error) {
	s := cfg.Settings()
	k := &Keeper{
		cfg: cfg, address: bluebellprocess.HostPort(s.Address, s.PeerPort), started: time.Now(),
		processes: map[string]bluebellmember.Process{},
		metrics:   bluebellmetrics.New(bluebellmetrics.Config{Prefix: "bluebell_core", Logger: cfg.Logger}),
	}
	k.pool = bluebellpeer.NewPool(bluebellpeer.PoolConfig{Name: k.address, Secret: []byte(s.Secret), Dial: cfg.Dial})
	k.registry = bluebellfleet.NewRegistry(bluebellfleet.Config{Now: k.now})
	directory := bluebelldirectory.New()
	k.source = bluebellfeed.NewSource(bluebellfeed.SourceConfig{
		Registry: k.registry, Directory: directory, Epoch: rand.Uint64(), Cores: k.cores, Now: k.now, After: time.After,
	})
	if err := k.openVoter(s); err != nil {
		return nil, err
	}
	k.follower = bluebellfeed.NewFollower(bluebellfeed.FollowerConfig{
		Process: k.address, Seeds: k.otherCores, MaxSources: maxCores, Registry: k.registry,
		Ask: func(ctx context.Context, source string, r *pb.FollowRequest) (*pb.FollowReply, error) {
			return k.pool.Client(source).Follow(ctx, r)
		},
		Now: k.now, Logger: cfg.Logger,
	})
	k.orderer = bluebellorder.New(bluebellorder.Config{
		Holder: k.address, Lease: millis(s.GetBounds().GetOrderLeaseMillis()),
		Registry: k.registry, Deployment: k.source.Deployment, SetLoading: k.source.SetLoading,
		Leads: k.leads, Propose: k.propose, Dial: cfg.Dial, Now: k.now, Logger: cfg.Logger,
		Count: func(name string) { k.metrics.Scope.Counter(name).Inc(1) },
	})
	retired := &retirement{registry: k.registry, deployment: k.source.Deployment, now: k.now, since: map[string]time.Duration{}}
	declared := &declaredStores{deployment: k.source.Deployment}
	k.stock = bluebellinventory.New(bluebellinventory.Config{
		Directory: directory, Stores: declared.stores, Leads: k.leads, Retired: retired.version,
		Dial: cfg.Dial, Now: k.now, Logger: cfg.Logger,
	})
	k.control = bluebellcontrol.New(bluebellcontrol.Config{
		Registry: k.registry, Deployment: k.source.Deployment, Propose: k.propose, Now: k.now, Logger: cfg.Logger,
		Observe: func(verb string, status int, d time.Duration) {
			scope := k.metrics.Scope.Tagged(map[string]string{"verb": verb, "status": fmt.Sprint(status)})
			scope.Counter("control_calls").Inc(1)
			scope.Timer("control_seconds").Record(d)
		},
	})
	return k, nil
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func (k *Keeper) now() time.Duration { return time.Since(k.started) }

// openVoter opens the log. The first processes of a new system are its members;
// any other one joins as a learner.
func (k *Keeper) openVoter(s *pb.CoreSettings) error {
	first := bluebellprocess.PeerAddresses(s.Seeds, s.PeerPort)
	slices.Sort(first)
	first = slices.Compact(first)
	founder := s.Bootstrap && slices.Contains(first, k.address)
	fs := bluebellwal.OS()
	id, err := bluebellvoter.Identity(fs, s.DataFolder, k.address, founder)
	if err != nil {
		return err
	}
	members := &pb.Members{}
	if id == k.address {
		members.Voters = first
	}
	k.id = id
	k.outboxes = bluebellpeer.NewOutboxes(bluebellpeer.OutboxConfig{
		Client: func(member string) (*bluebellpeer.Client, error) {
			return k.pool.Client(bluebellvoter.VMOf(member)), nil
		},
	})
	k.voter, err = bluebellvoter.New(bluebellvoter.Config{
		ID: id, Members: members, FS: fs, Folder: filepath.Join(s.DataFolder, "log"),
		Send:    k.outboxes.Send,
		Publish: func(v *pb.View) { k.source.SetDeployment(v.Revision, v.Deployment) },
		Now:     k.now, WallClock: time.Now, Rand: rand.Int64N,
		ElectionTimeout: electionTimeout, HeartbeatEvery: heartbeatEvery, KeepEntries: keepEntries, Logger: k.cfg.Logger,
	})
	return err
}

// Run serves until ctx ends or storage fails.
func (k *Keeper) Run(ctx context.Context) error {
	s := k.cfg.Settings()
	control, err := net.Listen("tcp", s.ControlAddress)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	peers, err := net.Listen("tcp", cmp.Or(s.PeerListen, k.address))
	if err != nil {
		return errors.Join(fmt.Errorf("peers: %w", err), control.Close())
	}
	k.cfg.Logger.Info("started", "Name", s.Name, "ID", k.id, "FailureDomain", s.FailureDomain, "Control", s.ControlAddress, "Bootstrap", s.Bootstrap)
	parts := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	parts.Go(func(ctx context.Context) error {
		k.outboxes.Start(ctx)
		return k.voter.Run(ctx)
	})
	parts.Go(func(ctx context.Context) error {
		return bluebellpeer.Serve(ctx, peers, []byte(s.Secret), k.address, handler{keeper: k})
	})
	parts.Go(func(ctx context.Context) error { k.follower.Run(ctx); return nil })
	parts.Go(func(ctx context.Context) error { k.announceAll(ctx); return nil })
	parts.Go(func(ctx context.Context) error { k.keepMembers(ctx); return nil })
	parts.Go(func(ctx context.Context) error { k.orderer.Run(ctx); return nil })
	parts.Go(func(ctx context.Context) error { k.stock.Run(ctx); return nil })
	parts.Go(func(ctx context.Context) error { return k.control.Serve(ctx, control) })
	parts.Go(func(ctx context.Context) error {
		return bluebellprocess.ServeMetrics(ctx, s.Address, s.MetricsPort, k.metrics.Handler())
	})
	err = parts.Wait()
	k.outboxes.Wait()
	k.pool.Close()
	err = errors.Join(err, k.metrics.Close())
	k.cfg.Logger.Info("stopped", "Name", s.Name, "Error", err)
	return err
}

// leads tells whether this process leads, as far as it knows.
func (k *Keeper) leads() bool { return k.voter.Status().Leader == k.id }

// cores returns the core processes that are known, this one among them.
func (k *Keeper) cores() []string {
	return append(k.otherCores(), k.address)
}

// otherCores returns the seeds, the members, and all that have announced
// themselves lately, without this process.
func (k *Keeper) otherCores() []string {
	s := k.cfg.Settings()
	all := map[string]bool{}
	for _, address := range bluebellprocess.PeerAddresses(s.Seeds, s.PeerPort) {
		all[address] = true
	}
	members := k.voter.Status().Members
	for _, id := range slices.Concat(members.GetVoters(), members.GetLearners()) {
		all[bluebellvoter.VMOf(id)] = true
	}
	now := k.now()
	k.mu.Lock()
	for _, p := range k.processes {
		if now-p.LastHeard < coreRetention {
			all[p.Address] = true
		}
	}
	k.mu.Unlock()
	delete(all, k.address)
	return slices.Sorted(maps.Keys(all))
}

// announceAll makes this process known to all others, over and over.
func (k *Keeper) announceAll(ctx context.Context) {
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		own := &pb.AnnounceRequest{ID: k.id, Address: k.address, FailureDomain: k.cfg.Settings().FailureDomain}
		calls := pool.New()
		for _, address := range k.otherCores() {
			calls.Go(func() {
				callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
				defer cancel()
				// One that cannot be reached is asked again the next time.
				_, _ = k.pool.Client(address).Announce(callCtx, own)
			})
		}
		calls.Wait()
		k.hear(own)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// hear notes that a core process is alive.
func (k *Keeper) hear(r *pb.AnnounceRequest) {
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	p, known := k.processes[r.ID]
	if !known {
		p.FirstHeard = now
		k.cfg.Logger.Info("core process known", "ID", r.ID, "Address", r.Address)
	}
	p.ID, p.Address, p.FailureDomain, p.LastHeard = r.ID, r.Address, r.FailureDomain, now
	k.processes[r.ID] = p
	for id, old := range k.processes {
		if now-old.LastHeard > 2*coreRetention {
			delete(k.processes, id)
		}
	}
}

// keepMembers changes the members of the log while this process leads.
func (k *Keeper) keepMembers(ctx context.Context) {
	ticker := time.NewTicker(membersEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !k.leads() {
			k.leadingSince = 0
			continue
		}
		if k.leadingSince == 0 {
			k.leadingSince = k.now()
		}
		// The steps of one replacement follow each other at once: between them the voters
		// are fewer than what has to be borne takes.
		for k.changeMembers(ctx) {
		}
	}
}

// changeMembers makes one change, and tells whether it is agreed.
func (k *Keeper) changeMembers(ctx context.Context) bool {
	k.mu.Lock()
	processes := slices.Collect(maps.Values(k.processes))
	k.mu.Unlock()
	slices.SortFunc(processes, func(a, b bluebellmember.Process) int { return int(a.FirstHeard - b.FirstHeard) })
	status := k.voter.Status()
	next, reason := bluebellmember.Decide(bluebellmember.Input{
		Self: k.id, Members: status.Members, Processes: processes,
		CaughtUp:     func(id string) bool { return slices.Contains(status.CaughtUp, id) },
		LeadingSince: k.leadingSince, Voters: int(2*k.cfg.Settings().TolerateLostVMs + 1), Now: k.now(),
	})
	if next == nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	err := k.voter.ChangeMembers(callCtx, next)
	k.cfg.Logger.Info("members", "Reason", reason, "Voters", next.Voters, "Learners", next.Learners, "Error", err)
	return err == nil
}
