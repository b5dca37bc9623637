// Package bluebellgateway puts the parts of an entry of a discovered deployment
// together: the follower of the core processes, the placer, the relay and the
// front.
//
// # Usage
//
//	gateway, err := bluebellgateway.New(bluebellgateway.Config{Settings: settings.Current, Logger: logger})
//	err = gateway.Run(ctx)
package bluebellgateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc/pool"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/types/known/durationpb"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebellmetrics"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellpeer"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/bluebell/bluebelltier"
	"bluebellhaven.org/bluebellgate/internal/bluebellfrontend"
	"bluebellhaven.org/bluebellgate/internal/bluebellrelay"
	"bluebellhaven.org/bluebellgate/internal/bluebelltransport"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// maxSources bounds the core processes that one entry follows: enough for one to
	// be cut off and one to be down.
	maxSources = 3
	// settleFor is how long a new entry looks for a second source before it takes
	// the word of one alone.
	settleFor = 3 * time.Second
	// refreshEvery is how often beliefs that depend on time alone are renewed.
	refreshEvery = 100 * time.Millisecond
	// silentAfter is the age of a registration from which on it is in doubt: three
	// heartbeats of either user and their way.
	silentAfter = 4500 * time.Millisecond
	// weightsMargin is kept from the time in which calls may begin on older weights:
	// the news of them takes a poll, and the clocks of a call and its answer differ.
	weightsMargin = 1500 * time.Millisecond
)

// Config sets up a Gateway.
type Config struct {
	// Settings returns the latest settings.
	Settings func() *pb.GateSettings
	// Dial opens connections to core processes and endpoints; the system's if nil.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Logger *log.Logger
}

// Gateway is one entry process.
type Gateway struct {
	cfg      Config
	address  string
	started  time.Time
	pool     *bluebellpeer.Pool
	registry *bluebellfleet.Registry
	follower *bluebellfeed.Follower
	placer   *bluebellplacement.Placer
	tier     *bluebelltier.Planner
	link     *bluebelltransport.Client
	front    *bluebellfrontend.Frontend
	metrics  *bluebellmetrics.Metrics

	state        atomic.Pointer[bluebellfrontend.Routing]
	otherFetches atomic.Pointer[map[string]bluebelltier.Load]
	changed      chan struct{}

	mu         sync.Mutex
	deployment *pb.Deployment
	named      map[string][]bluebellplacement.NamedVersion
}

// New puts a gateway together.
func New(cfg Config) *Gateway {
	s := cfg.Settings()
	g := &Gateway{
		cfg: cfg, address: bluebellprocess.HostPort(s.Address, s.PeerPort), started: time.Now(),
		changed: make(chan struct{}, 1), named: map[string][]bluebellplacement.NamedVersion{},
		metrics: bluebellmetrics.New(bluebellmetrics.Config{Prefix: "bluebell_gate", Logger: cfg.Logger}),
	}
	g.state.Store(&bluebellfrontend.Routing{})
	g.otherFetches.Store(&map[string]bluebelltier.Load{})
	g.pool = bluebellpeer.NewPool(bluebellpeer.PoolConfig{Name: g.address, Secret: []byte(s.Secret), Dial: cfg.Dial})
	g.registry = bluebellfleet.NewRegistry(bluebellfleet.Config{Now: g.now})
	g.follower = bluebellfeed.NewFollower(bluebellfeed.FollowerConfig{
		Process: g.address, Entry: true, MaxSources: maxSources, Registry: g.registry,
		Seeds: func() []string {
			s := cfg.Settings()
			return bluebellprocess.PeerAddresses(s.Seeds, s.PeerPort)
		},
		TakeDeployment: g.takeDeployment,
		Uses:           g.uses,
		Ask: func(ctx context.Context, source string, r *pb.FollowRequest) (*pb.FollowReply, error) {
			return g.pool.Client(source).Follow(ctx, r)
		},
		Now: g.now, Logger: cfg.Logger,
	})
	bounds := s.GetBounds()
	g.placer = bluebellplacement.New(bluebellplacement.Config{
		Self: g.address, FailureDomain: s.FailureDomain, StaleAfter: silentAfter,
		OldWeightsGrace: millis(bounds.GetWeightsMillis()) - weightsMargin,
		ColdFactor:      bounds.GetColdFactor(), ColdSlack: float64(bounds.GetColdSlack()),
		HealthChanged: g.believed,
	})
	g.tier = bluebelltier.New(bluebelltier.Config{
		Stores:    func() []bluebelldeployment.Store { return g.state.Load().Plan.Stores() },
		Directory: g.follower.Directory, OtherLoads: g.fetches, Now: g.now,
		OnSlowChange: func(store string, slow bool, l bluebelltier.Load) {
			cfg.Logger.Info("store", "Store", store, "Slow", slow, "InFlight", l.Calls, "Waited", l.Waited.Round(time.Millisecond))
		},
	})
	g.link = bluebelltransport.NewClient(bluebelltransport.Config{
		Dial: cfg.Dial, OnConnect: func(string) { g.metrics.Scope.Counter("connections_opened").Inc(1) },
	})
	g.front = bluebellfrontend.New(bluebellfrontend.Config{
		Routing: func() bluebellfrontend.Routing { return *g.state.Load() }, Relay: g.newRelay(bounds), Ready: g.ready,
		StopTimeout: bounds.GetStop().AsDuration(), Random: rand.Float64,
		CountStatus: func(status int) {
			g.metrics.Scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("answers").Inc(1)
		},
		Logger: cfg.Logger,
	})
	return g
}

func (g *Gateway) newRelay(bounds *pb.Bounds) *bluebellrelay.Relay {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)
	scoped := func(target string) tally.Scope { return g.metrics.Scope.Tagged(map[string]string{"target": target}) }
	return bluebellrelay.New(bluebellrelay.Config{
		Placer: g.placer, Link: g.link, Tier: g.tier, Now: g.now, Draw: rand.Float64, Logger: g.cfg.Logger,
		Budget: bluebellrelay.Budget{
			Ratio: bounds.GetRetryRatio(), Window: bounds.GetRetryWindow().AsDuration(), Slack: float64(bounds.GetRetrySlack()),
		},
		Waited: func(target string, d time.Duration) { scoped(target).Histogram("waited", buckets).RecordDuration(d) },
		Count:  func(name, target string) { scoped(target).Counter(name).Inc(1) },
		FirstEvent: func(target string, d time.Duration) {
			scoped(target).Histogram("first_event", buckets).RecordDuration(d)
		},
	})
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func (g *Gateway) now() time.Duration { return time.Since(g.started) }

// Run serves until ctx ends and all calls that were taken have been answered.
func (g *Gateway) Run(ctx context.Context) error {
	s := g.cfg.Settings()
	callers, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	health, err := net.Listen("tcp", s.ReadyAddress)
	if err != nil {
		return errors.Join(fmt.Errorf("health checks: %w", err), callers.Close())
	}
	g.cfg.Logger.Info("started", "Name", s.Name, "FailureDomain", s.FailureDomain, "Callers", s.CallerAddress, "Seeds", s.Seeds)
	// The parts outlive ctx: a planned stop answers what was taken.
	partsCtx, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	parts := pool.New().WithContext(partsCtx).WithCancelOnError().WithFirstError()
	parts.Go(func(ctx context.Context) error { g.follower.Run(ctx); return nil })
	parts.Go(func(ctx context.Context) error { g.refresh(ctx); return nil })
	parts.Go(func(ctx context.Context) error {
		return bluebellprocess.ServeMetrics(ctx, s.Address, s.MetricsPort, g.metrics.Handler())
	})
	parts.Go(func(context.Context) error {
		defer stopParts()
		return g.front.Serve(ctx, callers, health)
	})
	err = parts.Wait()
	g.pool.Close()
	err = errors.Join(err, g.metrics.Close())
	g.cfg.Logger.Info("stopped", "Name", s.Name, "Error", err)
	return err
}

// takeDeployment puts what is declared in force.
func (g *Gateway) takeDeployment(revision uint64, d *pb.Deployment) {
	old := g.state.Load()
	next := &bluebellfrontend.Routing{Plan: old.Plan, Revision: revision}
	if d.Version > 0 && d.Version != old.Plan.Version() {
		plan, err := bluebellplatform.DecodeDeclaration(d.Document)
		if err != nil {
			// It was checked before it was agreed, by another release perhaps.
			g.cfg.Logger.Error("declaration not taken", "Revision", revision, "Version", d.Version, "Error", err)
			return
		}
		next.Plan = plan
	}
	g.mu.Lock()
	g.deployment = d
	for _, w := range d.Weights {
		g.named[w.Model] = g.named[w.Model][:0:0]
		for _, n := range append(slices.Clone(w.Earlier), &pb.NamedVersion{Version: w.Version, NamedAt: w.NamedAt}) {
			g.named[w.Model] = append(g.named[w.Model], bluebellplacement.NamedVersion{Version: n.Version, Since: g.since(n.NamedAt)})
		}
	}
	g.mu.Unlock()
	g.state.Store(next)
	g.update()
	g.cfg.Logger.Info("deployment in force", "Revision", revision, "Version", d.Version, "DomainsOut", d.DomainsOut, "Weights", d.Weights)
}

// since returns when weights were named, on this entry's clock. The times of day of
// VMs differ: one that seems to lie ahead counts as now.
func (g *Gateway) since(unixNanos int64) time.Duration {
	return g.now() - max(time.Since(time.Unix(0, unixNanos)), 0)
}

// refresh hands what is known of the endpoints to the placer.
func (g *Gateway) refresh(ctx context.Context) {
	ticker := time.NewTicker(refreshEvery)
	defer ticker.Stop()
	for {
		_, changed := g.registry.Changes()
		g.update()
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gateway) update() {
	g.mu.Lock()
	defer g.mu.Unlock()
	endpoints := g.registry.Endpoints()
	fleet := bluebellplacement.Fleet{
		Endpoints: endpoints, DomainsOut: g.deployment.GetDomainsOut(), Loading: g.follower.Loading(),
		NamedVersions: make(map[string][]bluebellplacement.NamedVersion, len(g.named)), Entries: g.follower.Entries(),
		ColdRates: map[string]float64{}, TokenCapacity: map[string]int{}, UseByOthers: g.others(), RegistrationsLive: g.follower.Fresh() > 0,
	}
	for model, named := range g.named {
		fleet.NamedVersions[model] = named
	}
	if plan := g.state.Load().Plan; plan != nil {
		for _, t := range plan.Targets() {
			fleet.ColdRates[t.Name] = t.ColdRate
			if t.Engine != nil {
				fleet.TokenCapacity[t.Name] = t.Engine.Tokens
			}
		}
	}
	g.placer.Update(fleet)
	addresses := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		addresses[e.Address] = true
	}
	g.link.PruneIdle(addresses)
}

// believed writes down what the placer has begun or ceased to believe.
func (g *Gateway) believed(b bluebellplacement.HealthChange) {
	g.cfg.Logger.Info("belief", "Endpoint", b.Endpoint, "FailureDomain", b.FailureDomain, "Doubtful", b.Suspected, "Failing", b.Failing,
		"HeardAgo", b.RegistrationAge.Round(time.Millisecond), "AnsweredAgo", b.LastAnswerAge.Round(time.Millisecond))
}

// uses tells other entries what this one has in flight.
func (g *Gateway) uses() []*pb.EndpointUse {
	var list []*pb.EndpointUse
	now := g.now()
	for id, u := range g.placer.Uses(now) {
		m := &pb.EndpointUse{
			Endpoint: id, Calls: uint32(u.Calls), Tokens: uint64(max(u.Tokens, 0)), Unread: uint64(max(u.PrefillTokens, 0)),
			Failing: uint32(u.Failing),
		}
		if u.AnsweredAt > 0 {
			m.AnsweredAgo = durationpb.New(now - u.AnsweredAt)
		}
		list = append(list, m)
	}
	// Fetches are told in the same way, under the address of their store.
	for store, l := range g.tier.InFlight() {
		list = append(list, &pb.EndpointUse{
			Endpoint: store, Unread: uint64(max(l.Tokens, 0)), Calls: uint32(max(l.Calls, 0)), Waited: durationpb.New(l.Waited),
		})
	}
	return list
}

// fetches returns what other entries have in flight, by store.
func (g *Gateway) fetches() map[string]bluebelltier.Load { return *g.otherFetches.Load() }

// others returns what other entries have in flight.
func (g *Gateway) others() map[string]bluebellplacement.EndpointUse {
	uses, fetches := map[string]bluebellplacement.EndpointUse{}, map[string]bluebelltier.Load{}
	others, heardAt := g.follower.OtherUses()
	for _, u := range others {
		fetches[u.Endpoint] = bluebelltier.Load{Tokens: int(u.Unread), Calls: int(u.Calls), Waited: u.Waited.AsDuration()}
		use := bluebellplacement.EndpointUse{Calls: int(u.Calls), Tokens: int(u.Tokens), PrefillTokens: int(u.Unread), Failing: int(u.Failing)}
		if u.AnsweredAgo != nil {
			use.AnsweredAt = heardAt - u.AnsweredAgo.AsDuration()
		}
		uses[u.Endpoint] = use
	}
	g.otherFetches.Store(&fetches)
	return uses
}

// ready tells whether calls could be served: a declaration is in force, from more
// than one source unless there has been time to find another, and an endpoint is
// known.
func (g *Gateway) ready() bool {
	return g.state.Load().Plan != nil && g.placer.HasServing() &&
		(g.follower.Fresh() > 1 || g.now() > settleFor)
}
