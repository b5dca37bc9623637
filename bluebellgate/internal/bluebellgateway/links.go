package bluebellgateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebell/bluebelllink"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellpeer"
	"bluebellhaven.org/bluebellgate/internal/bluebellhandover"
	"bluebellhaven.org/bluebellgate/internal/bluebelltransport"
)

const (
	// linkDialTimeout is how long a connection that shows whether links hold may take to open: the
	// longest time that calls allow.
	linkDialTimeout = 400 * time.Millisecond
	// maxEntryAnswers limits the bytes of all answers of other entries that are buffered.
	maxEntryAnswers = 16 << 20
)

// newLinks sets the fields for links to endpoints and to other entries.
func (g *Gateway) newLinks(s *pb.GateSettings) {
	g.links = bluebelllink.New(bluebelllink.Config{Dial: g.dialEndpoint, Random: rand.Float64, Changed: g.linksChanged})
	g.helpers = bluebellhandover.NewHelpers(bluebellhandover.HelpersConfig{
		Entries: func() []bluebellfeed.EntryState { return g.follower.OtherEntries() }, FailureDomain: s.FailureDomain, Regions: func() map[string]string { return g.cfg.Settings().Regions },
		Now: g.now, Random: rand.Float64,
	})
	g.entries = bluebelltransport.NewClient(bluebelltransport.Config{
		Dial: g.cfg.Dial, MaxBuffered: maxEntryAnswers,
		Authenticate: func(ctx context.Context, conn net.Conn, address string) error {
			return bluebellpeer.Authenticate(ctx, conn, []byte(s.Secret), g.address, address)
		},
	})
}

// dialEndpoint opens a connection to an endpoint without a call, and keeps it for one.
func (g *Gateway) dialEndpoint(d bluebelllink.Dial) {
	go func() {
		err := g.client.Open(context.Background(), d.Endpoint.Address, linkDialTimeout)
		g.links.RecordDial(g.now(), d, err == nil)
	}()
}

// linksChanged logs that links were lost or are back. Failures of endpoints that were recorded meanwhile
// say nothing about them and are forgotten. Crashes stay recorded: if all endpoints of a target have
// crashed, that looks like a loss of links, and endpoints that go on refute them by registering.
func (g *Gateway) linksChanged(c bluebelllink.Change) {
	scope := g.metrics.Scope.Tagged(map[string]string{"target": c.Target})
	if !c.Lost {
		g.placer.ForgetFailures(c.Target)
		scope.Counter("links_back").Inc(1)
		g.cfg.Logger.Info("links back", "Target", c.Target, "LostFor", c.LostFor.Round(time.Millisecond))
		return
	}
	scope.Counter("links_lost").Inc(1)
	g.cfg.Logger.Warn("links lost", "Target", c.Target, "Endpoints", len(c.Endpoints), "FailingFor", (g.now() - c.FailedSince).Round(time.Millisecond),
		"Helpers", g.helpers.Available(c.Target))
}

// updateLinks passes the endpoints to which calls may be sent to the tracker of links.
func (g *Gateway) updateLinks() {
	g.links.Update(g.now(), g.placer.OpenEndpoints())
	entries := map[string]bool{}
	for _, e := range g.follower.OtherEntries() {
		entries[e.Address] = true
	}
	g.entries.PruneIdle(entries)
}

// stranded reports whether the links to all declared targets with endpoints are lost and no other entry
// takes their calls, although some entry can reach them. If no entry can, callers are not better off
// elsewhere.
func (g *Gateway) stranded() bool {
	lost, deployment := g.links.Lost(), g.routing.Load().Deployment
	if len(lost) == 0 || deployment == nil {
		return false
	}
	linkedElsewhere := false
	for _, t := range deployment.Targets() {
		switch {
		case !slices.Contains(lost, t.Name):
			if g.links.Has(t.Name) {
				return false
			}
		case g.helpers.Available(t.Name):
			return false
		default:
			linkedElsewhere = linkedElsewhere || g.helpers.Linked(t.Name)
		}
	}
	return linkedElsewhere
}
