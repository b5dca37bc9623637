// Package bluebellgateway assembles an entry, the process that takes calls, of a deployment
// whose endpoints are discovered through registrations. It connects the follower of the core
// processes, which hold the registrations and the declaration; the placer, which selects
// endpoints; the relay, which sends calls to them; and the frontend, which serves callers.
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
	"math"
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

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebelllink"
	"bluebellhaven.org/bluebell/bluebellmetrics"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellpeer"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/bluebell/bluebellquarantine"
	"bluebellhaven.org/bluebell/bluebelltier"
	"bluebellhaven.org/bluebell/bluebellusage"
	"bluebellhaven.org/bluebellgate/internal/bluebellfrontend"
	"bluebellhaven.org/bluebellgate/internal/bluebellhandover"
	"bluebellhaven.org/bluebellgate/internal/bluebellrelay"
	"bluebellhaven.org/bluebellgate/internal/bluebelltransport"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// maxSources limits the core processes that one entry follows at once. With 3, one may
	// be partitioned and one down.
	maxSources = 3
	// sourceSettleTime is how long a new entry looks for a second core process to follow
	// before it becomes ready with one alone.
	sourceSettleTime = 3 * time.Second
	// refreshInterval is how often the placer is updated even if no registration changes,
	// because some of its data depends on time alone.
	refreshInterval = 100 * time.Millisecond
	// registrationStaleAfter is the age from which a registration is stale: three
	// heartbeats and their delivery, at the heartbeat interval of either user of this
	// software.
	registrationStaleAfter = 4500 * time.Millisecond
	// weightsMargin is subtracted from the time during which calls may begin on older
	// weights. A new version becomes known only at the next poll, and the clocks of a call
	// and its answer differ.
	weightsMargin = 1500 * time.Millisecond
)

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	// Settings returns the latest settings.
	Settings func() *pb.GateSettings
	// Dial opens connections to core processes and endpoints. If nil, the system's dialer
	// is used.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Logger *log.Logger
}

// Gateway is one entry process.
type Gateway struct {
	cfg          Config
	address      string
	started      time.Time
	pool         *bluebellpeer.Pool
	registry     *bluebellfleet.Registry
	follower     *bluebellfeed.Follower
	placer       *bluebellplacement.Placer
	cachePlanner *bluebelltier.Planner
	guard        *bluebellquarantine.Guard
	client       *bluebelltransport.Client
	// usage counts the calls of customers, nil if usage is not reported. clock is the time of day.
	usage *bluebellusage.Counter
	clock *bluebellusage.Clock
	// links holds the state of the links to endpoints. helpers are the entries to which calls are
	// handed over while links are lost, and entries the client for them.
	links    *bluebelllink.Tracker
	helpers  *bluebellhandover.Helpers
	entries  *bluebelltransport.Client
	frontend *bluebellfrontend.Frontend
	metrics  *bluebellmetrics.Metrics

	// routing holds the declaration and the deployment revision in force.
	routing atomic.Pointer[bluebellfrontend.Routing]
	// otherFetches holds the fetches of other entries in flight, by cache store.
	otherFetches atomic.Pointer[map[string]bluebelltier.Load]
	// loadsReceived gets an element when the loads of other entries have arrived.
	loadsReceived chan struct{}
	relay         *bluebellrelay.Relay
	// usesKnown is set once the uses of the other entries have been known.
	usesKnown atomic.Bool

	mu         sync.Mutex
	deployment *pb.Deployment
	// namedVersions holds the versions named for each model, the current one last.
	namedVersions map[string][]bluebellplacement.NamedVersion
	// ranks holds the ranks of calls of the deployment in force, by target.
	ranks map[string][]bluebellplacement.Rank
}

// New returns a Gateway that does not listen yet.
func New(cfg Config) *Gateway {
	s := cfg.Settings()
	g := &Gateway{
		cfg: cfg, address: bluebellprocess.HostPort(s.Address, s.PeerPort), started: time.Now(),
		guard: bluebellquarantine.NewGuard(), loadsReceived: make(chan struct{}, 1), namedVersions: map[string][]bluebellplacement.NamedVersion{},
		metrics: bluebellmetrics.New(bluebellmetrics.Config{Prefix: "bluebell_gate", Logger: cfg.Logger}),
	}
	g.routing.Store(&bluebellfrontend.Routing{})
	g.otherFetches.Store(&map[string]bluebelltier.Load{})
	g.pool = bluebellpeer.NewPool(bluebellpeer.PoolConfig{Name: g.address, Secret: []byte(s.Secret), Dial: cfg.Dial})
	g.registry = bluebellfleet.NewRegistry(bluebellfleet.Config{Now: g.now, DeclaredOnly: true})
	g.newLinks(s)
	followerConfig := bluebellfeed.FollowerConfig{
		Process: g.address, Entry: true, FailureDomain: s.FailureDomain, MaxSources: maxSources, Registry: g.registry,
		Seeds: func() []string {
			s := cfg.Settings()
			return bluebellprocess.PeerAddresses(s.Seeds, s.PeerPort)
		},
		OnDeployment: g.applyDeployment,
		Uses:         g.endpointUses,
		Demands:      g.demands,
		LostTargets:  g.links.Lost,
		Objective:    g.shortestObjective,
		OnLoads:      g.noteLoads,
		Suspicions:   func() []bluebellquarantine.Suspect { return g.guard.Report(g.now()) },
		OnSuspected:  g.guard.SetListed,
		Poll: func(ctx context.Context, source string, r *pb.FollowRequest) (*pb.FollowReply, error) {
			return g.pool.Client(source).Follow(ctx, r)
		},
		Now: g.now, Uptime: bluebellprocess.Uptime, Logger: cfg.Logger,
	}
	bounds := s.GetBounds()
	g.countUsage(bounds.GetUsageWindow().AsDuration(), &followerConfig)
	g.follower = bluebellfeed.NewFollower(followerConfig)
	// The settings have been validated; without a port, no address is one of an entry.
	_, callerPort, _ := net.SplitHostPort(s.CallerAddress)
	g.placer = bluebellplacement.New(bluebellplacement.Config{
		Self: g.address, FailureDomain: s.FailureDomain, CallerPort: callerPort, StaleAfter: registrationStaleAfter, SilentAfter: bluebellfeed.SilentAfter,
		OldWeightsGrace: milliseconds(bounds.GetWeightsMillis()) - weightsMargin,
		ColdFactor:      bounds.GetColdFactor(), ColdSlack: bounds.GetColdSlack(),
		HealthChanged: g.logSuspicion, HomeWeightChanged: g.logHomeWeight, Links: g.links.State,
	})
	g.cachePlanner = bluebelltier.New(bluebelltier.Config{
		Stores:    func() []bluebelldeployment.Store { return g.routing.Load().Deployment.Stores() },
		Directory: g.follower.Directory, OtherLoads: g.otherStoreLoads, Objective: g.shortestObjective, Now: g.now,
		OnSlowChange: func(store string, slow bool, l bluebelltier.Load) {
			cfg.Logger.Info("cache store slowness changed", "Store", store, "Slow", slow, "InFlight", l.LargeFetches, "Overdue", l.Overdue.Round(time.Millisecond))
		},
	})
	g.client = bluebelltransport.NewClient(bluebelltransport.Config{
		Dial: cfg.Dial, OnConnect: func(address string) {
			g.metrics.Scope.Counter("connections_opened").Inc(1)
			g.links.RecordOpened(g.now(), address)
		},
		OnUnread: func(string) { g.metrics.Scope.Counter("connections_unread").Inc(1) },
	})
	g.relay = g.newRelay(bounds)
	g.frontend = bluebellfrontend.New(bluebellfrontend.Config{
		Routing: func() bluebellfrontend.Routing { return *g.routing.Load() }, Relay: g.relay, Ready: g.ready, Stranded: g.stranded,
		Deployment: g.encodeDeployment, StopTimeout: bounds.GetStop().AsDuration(), Random: rand.Float64,
		CountStatus: func(status int) {
			g.metrics.Scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("answers").Inc(1)
		},
		Logger: cfg.Logger,
	})
	return g
}

// newRelay returns the relay, which records its metrics by target.
func (g *Gateway) newRelay(bounds *pb.Bounds) *bluebellrelay.Relay {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)
	scoped := func(target string) tally.Scope { return g.metrics.Scope.Tagged(map[string]string{"target": target}) }
	return bluebellrelay.New(bluebellrelay.Config{
		Placer: g.placer, Client: g.client, CachePlanner: g.cachePlanner, Guard: g.guard, Now: g.now, Random: rand.Float64, Logger: g.cfg.Logger,
		Deployment: func() *bluebelldeployment.Deployment { return g.routing.Load().Deployment }, KnowsSharing: g.declarationCurrent,
		Usage: bluebellrelay.UsageConfig{Counter: g.usage, Now: g.timeOfDay},
		Links: g.links, Handover: bluebellrelay.HandoverConfig{Helpers: g.helpers, Client: g.entries},
		RetryLimits: bluebellrelay.RetryLimits{
			Ratio: bounds.GetRetryRatio(), Window: bounds.GetRetryWindow().AsDuration(), Slack: bounds.GetRetrySlack(),
		},
		OtherDemand: g.otherDemand,
		RecordWait:  func(target string, d time.Duration) { scoped(target).Histogram("waited", buckets).RecordDuration(d) },
		CountEvent:  func(name, target string) { scoped(target).Counter(name).Inc(1) },
		RecordFirstEvent: func(target string, d time.Duration) {
			scoped(target).Histogram("first_event", buckets).RecordDuration(d)
		},
	})
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// now returns the time since the gateway was created, on a monotonic clock.
func (g *Gateway) now() time.Duration { return time.Since(g.started) }

// Run serves until ctx is canceled and all accepted calls have been answered.
func (g *Gateway) Run(ctx context.Context) error {
	s := g.cfg.Settings()
	callers, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	health, err := net.Listen("tcp", s.ReadyAddress)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for health checks: %w", err), callers.Close())
	}
	peers, err := net.Listen("tcp", g.address)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for other entries: %w", err), callers.Close(), health.Close())
	}
	g.cfg.Logger.Info("started", "Name", s.Name, "FailureDomain", s.FailureDomain, "Callers", s.CallerAddress, "Seeds", s.Seeds)
	// The components outlive ctx, because accepted calls are answered during a planned stop.
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	components := pool.New().WithContext(componentsCtx).WithCancelOnError().WithFirstError()
	components.Go(func(ctx context.Context) error { g.follower.Run(ctx); return nil })
	components.Go(func(ctx context.Context) error { g.refreshPlacer(ctx); return nil })
	components.Go(func(ctx context.Context) error { g.askEntries(ctx); return nil })
	components.Go(func(ctx context.Context) error {
		return bluebellprocess.ServeMetrics(ctx, s.Address, s.MetricsPort, g.metrics.Handler(), g.cfg.Logger)
	})
	components.Go(func(context.Context) error {
		return g.frontend.ServePeers(bluebellpeer.NewListener(peers, []byte(s.Secret), g.address))
	})
	components.Go(func(context.Context) error {
		defer stopComponents()
		err := g.frontend.Serve(ctx, callers, health)
		g.flushUsage()
		return err
	})
	err = components.Wait()
	g.pool.Close()
	err = errors.Join(err, g.metrics.Close())
	g.cfg.Logger.Info("stopped", "Name", s.Name, "Error", err)
	return err
}

// applyDeployment puts a newer deployment into force.
func (g *Gateway) applyDeployment(revision uint64, d *pb.Deployment) {
	old := g.routing.Load()
	next := &bluebellfrontend.Routing{Deployment: old.Deployment, Revision: revision}
	if d.Version > 0 && d.Version != old.Deployment.Version() {
		declared, err := bluebellplatform.DecodeDeclaration(d.Document)
		if err != nil {
			// The core processes validated the document before they agreed on it, but
			// perhaps with another release.
			g.cfg.Logger.Error("declaration not applied", "Revision", revision, "Version", d.Version, "Error", err)
			return
		}
		next.Deployment = declared
	}
	ranks := map[string][]bluebellplacement.Rank{}
	if next.Deployment != nil {
		ranks = bluebellrelay.Ranks(next.Deployment)
	}
	g.mu.Lock()
	g.deployment, g.ranks = d, ranks
	for _, w := range d.Weights {
		g.namedVersions[w.Model] = g.namedVersions[w.Model][:0:0]
		for _, n := range append(slices.Clone(w.Earlier), &pb.NamedVersion{Version: w.Version, NamedAt: w.NamedAt}) {
			g.namedVersions[w.Model] = append(g.namedVersions[w.Model], bluebellplacement.NamedVersion{Version: n.Version, Since: g.sinceUnixNanos(n.NamedAt)})
		}
	}
	g.mu.Unlock()
	g.applyQuarantines(d.Quarantines)
	g.routing.Store(next)
	for _, e := range g.registry.SetTargets(next.Deployment.TargetNames()) {
		g.cfg.Logger.Info("endpoint registration changed", "ID", e.ID, "Target", e.Target, "Address", e.Address, "State", e.State, "Source", "declaration")
	}
	g.updatePlacer()
	g.cfg.Logger.Info("deployment in force", "Revision", revision, "Version", d.Version, "DomainsOut", d.DomainsOut, "Weights", d.Weights)
}

// applyQuarantines passes the quarantines that are in force to the guard.
func (g *Gateway) applyQuarantines(quarantines []*pb.Quarantine) {
	now := g.now()
	var verdicts []bluebellquarantine.Verdict
	for _, q := range quarantines {
		verdicts = append(verdicts, bluebellquarantine.Verdict{
			Subject: bluebellquarantine.Subject{Key: bluebellquarantine.Key(q.Key), Depth: int(q.Depth)}, Until: now + time.Until(time.Unix(0, q.Until)),
		})
	}
	for _, v := range g.guard.SetVerdicts(now, verdicts) {
		g.cfg.Logger.Warn("quarantine in force", "Key", v.Key, "Depth", v.Depth, "For", (v.Until - now).Round(time.Millisecond))
	}
}

// sinceUnixNanos converts a time of day to this entry's monotonic clock. The clocks of VMs
// differ: a time in the future counts as now.
func (g *Gateway) sinceUnixNanos(unixNanos int64) time.Duration {
	return g.now() - max(time.Since(time.Unix(0, unixNanos)), 0)
}

// refreshPlacer updates the placer when registrations change and at intervals, until ctx is
// canceled.
func (g *Gateway) refreshPlacer(ctx context.Context) {
	for {
		_, changed := g.registry.LastRoutingChange()
		g.updatePlacer()
		g.links.Advance(g.now())
		select {
		case <-changed:
		case <-g.loadsReceived:
		case <-time.After(refreshInterval):
		case <-ctx.Done():
			return
		}
	}
}

// noteLoads makes refreshPlacer use loads that have arrived, where they are exchanged more often than it does so anyway.
func (g *Gateway) noteLoads() {
	if bluebellfeed.IntervalsFor(g.shortestObjective(), len(g.follower.Entries())).EntryWait >= refreshInterval {
		return
	}
	select {
	case g.loadsReceived <- struct{}{}:
	default:
	}
}

// updatePlacer passes the current state of the fleet to the placer, and closes idle
// connections to endpoints that are gone or leave.
func (g *Gateway) updatePlacer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	endpoints := g.registry.Endpoints()
	fleet := bluebellplacement.Fleet{
		At: g.now(), Endpoints: endpoints, DomainsOut: g.deployment.GetDomainsOut(), Loading: g.follower.Loading(),
		NamedVersions: make(map[string][]bluebellplacement.NamedVersion, len(g.namedVersions)), Entries: g.follower.Entries(),
		ColdRates: map[string]float64{}, TokenCapacity: map[string]int{}, UseByOthers: g.updateOtherUses(), RegistrationsLive: g.follower.FreshSources() > 0,
		SilentSince: g.follower.SilentSince(), UsePending: g.usePending(), Ranks: g.ranks,
	}
	for model, named := range g.namedVersions {
		fleet.NamedVersions[model] = named
	}
	if deployment := g.routing.Load().Deployment; deployment != nil {
		for _, t := range deployment.Targets() {
			fleet.ColdRates[t.Name] = t.ColdRate
			if t.Engine != nil {
				fleet.TokenCapacity[t.Name] = t.Engine.Tokens
			}
		}
	}
	g.placer.Update(fleet)
	g.updateLinks()
	g.guard.SetAlone(!g.follower.KnowsLeader())
	addresses := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		addresses[e.Address] = !g.placer.IsLeaving(e)
	}
	g.client.PruneIdle(addresses)
}

// logSuspicion logs that the placer has begun or ceased to suspect an endpoint or a failure
// domain, with the evidence.
func (g *Gateway) logSuspicion(change bluebellplacement.HealthChange) {
	g.cfg.Logger.Info("suspicion changed", "Endpoint", change.Endpoint, "FailureDomain", change.FailureDomain, "Suspected", change.Suspected, "Failing", change.Failing,
		"HeardAgo", change.RegistrationAge.Round(time.Millisecond), "AnsweredAgo", change.LastAnswerAge.Round(time.Millisecond))
}

// logHomeWeight logs that an engine is to be the home of more or fewer prompts than before.
func (g *Gateway) logHomeWeight(endpoint string, weight, tokensPerSecond float64) {
	g.metrics.Scope.Counter("home_weight_changes").Inc(1)
	g.cfg.Logger.Info("home weight changed", "Endpoint", endpoint, "Weight", math.Round(100*weight)/100, "TokensPerSecond", math.Round(tokensPerSecond))
}

// endpointUses returns what this entry has in flight, for the other entries.
func (g *Gateway) endpointUses() []bluebellfeed.Use {
	var list []bluebellfeed.Use
	for id, u := range g.placer.Uses(g.now()) {
		list = append(list, bluebellfeed.Use{
			Endpoint: id, Calls: u.Calls, Tokens: u.Tokens, Unread: u.PrefillTokens, Failing: u.Failing, AnsweredAt: u.AnsweredAt, Limit: u.Limit, Brittle: u.Brittle,
			UnreadByPriority: u.UnreadByPriority,
			Report:           u.Report, Speed: u.Speed,
		})
	}
	// Fetches from cache stores are reported in the same way, with the address of the store
	// as the endpoint and the number of large fetches as the calls.
	for store, l := range g.cachePlanner.InFlight() {
		list = append(list, bluebellfeed.Use{Endpoint: store, Unread: l.Tokens, Calls: l.LargeFetches, Waited: l.Overdue})
	}
	return list
}

// shortestObjective returns the shortest objective of the declared streams, 0 if there is none.
func (g *Gateway) shortestObjective() time.Duration {
	return g.routing.Load().Deployment.ShortestObjective()
}

// otherStoreLoads returns the fetches of other entries in flight, by cache store.
func (g *Gateway) otherStoreLoads() map[string]bluebelltier.Load { return *g.otherFetches.Load() }

// updateOtherUses returns what other entries have in flight, by endpoint, and stores their
// fetches for otherStoreLoads.
func (g *Gateway) updateOtherUses() map[string]bluebellplacement.EndpointUse {
	uses, fetches := map[string]bluebellplacement.EndpointUse{}, map[string]bluebelltier.Load{}
	for _, u := range g.follower.UsesOfOthers() {
		fetches[u.Endpoint] = bluebelltier.Load{Tokens: u.Unread, LargeFetches: u.Calls, Overdue: u.Waited}
		uses[u.Endpoint] = bluebellplacement.EndpointUse{
			Calls: u.Calls, Tokens: u.Tokens, PrefillTokens: u.Unread, Failing: u.Failing, AnsweredAt: u.AnsweredAt, Limit: u.Limit, Brittle: u.Brittle,
			UnreadByPriority: u.UnreadByPriority,
			Report:           u.Report, Speed: u.Speed,
		}
	}
	g.otherFetches.Store(&fetches)
	return uses
}

// usePending reports whether this entry has just started and does not know yet how the others use the
// endpoints. It does not wait for that longer than sourceSettleTime.
func (g *Gateway) usePending() bool {
	if g.usesKnown.Load() {
		return false
	}
	known := g.follower.UsesOfOthers() != nil || g.now() > sourceSettleTime
	g.usesKnown.Store(known)
	return !known
}

// ready reports whether calls can be served. This needs a declaration in force, a serving
// endpoint that can be reached from here or from another entry, the uses of the other entries, and data
// from more than one core process; one is enough after sourceSettleTime.
func (g *Gateway) ready() bool {
	return g.routing.Load().Deployment != nil && g.placer.HasServing() && !g.stranded() && g.usesKnown.Load() &&
		(g.follower.FreshSources() > 1 || g.now() > sourceSettleTime)
}
