// Package bluebellprobe checks the health of the endpoints that a VM owns and reports
// changes. An endpoint is a server that runs calls; its owners are the VMs that may send
// calls to it.
//
// # Usage
//
//	prober := bluebellprobe.New(bluebellprobe.Config{...})
//	prober.Run(ctx)
//
// A Prober requests the health of each endpoint at a fixed interval, each time over a new
// connection. It reports an endpoint as down after two consecutive failures. It reports only
// changes, so that VMs exchange no reports while nothing changes.
package bluebellprobe

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellroute"
	"bluebellhaven.org/bluebellentry/internal/bluebellupstream"
)

const (
	// Interval is the time between two probes of one endpoint.
	Interval = 300 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
	// failuresUntilDown is the number of consecutive failures after which an endpoint is
	// reported as down.
	failuresUntilDown = 2
	// maxHealthBytes bounds the body of a health answer.
	maxHealthBytes = 64 << 10
)

// health is the body of an endpoint's health answer.
type health struct {
	State string
	// Incarnation identifies one start of the endpoint's process.
	Incarnation string
	Versions    []string
}

// Config holds the settings and dependencies of a Prober.
type Config struct {
	// VM is the name of the VM that this process runs on.
	VM       string
	Upstream *bluebellupstream.Client
	// Table returns the routing table in force.
	Table func() *bluebellroute.Table
	// LastReport returns the report in force on an endpoint, or nil if there is none.
	LastReport func(endpoint string) *pb.EndpointHealth
	// Report passes reports on to all VMs.
	Report func(reports []*pb.EndpointHealth)
	// WallClock returns the current date and time.
	WallClock func() time.Time
	Logger    *log.Logger
}

// Prober checks the health of endpoints.
type Prober struct {
	cfg Config

	mu sync.Mutex
	// failures holds the number of consecutive failures per endpoint.
	failures map[string]int
}

// New returns a Prober. Run starts the probes.
func New(cfg Config) *Prober { return &Prober{cfg: cfg, failures: map[string]int{}} }

// Run probes the owned endpoints until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		p.probeAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probeAll probes all owned endpoints once, concurrently.
func (p *Prober) probeAll(ctx context.Context) {
	var group conc.WaitGroup
	for _, e := range p.cfg.Table().Endpoints() {
		if slices.Contains(e.Owners, p.cfg.VM) {
			group.Go(func() { p.probe(ctx, e) })
		}
	}
	group.Wait()
}

// probe probes one endpoint and reports its health if it changed.
func (p *Prober) probe(ctx context.Context, e *bluebellroute.Endpoint) {
	answer, err := p.fetchHealth(ctx, e.Address)
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	if err != nil {
		p.failures[e.Name]++
	} else {
		p.failures[e.Name] = 0
	}
	failures := p.failures[e.Name]
	p.mu.Unlock()
	if err != nil && failures < failuresUntilDown {
		return
	}
	now := p.cfg.WallClock().UnixNano()
	report := &pb.EndpointHealth{Endpoint: e.Name, Observer: p.cfg.VM, ObservedAt: now, FirstSeenAt: now}
	lastReport := p.cfg.LastReport(e.Name)
	if err != nil {
		report.State = pb.HealthState_Down
		report.Incarnation, report.FirstSeenAt = lastReport.GetIncarnation(), lastReport.GetFirstSeenAt()
	} else {
		report.State = parseState(answer.State)
		report.Incarnation, report.Versions = answer.Incarnation, answer.Versions
		if lastReport != nil && lastReport.Incarnation == answer.Incarnation {
			report.FirstSeenAt = lastReport.FirstSeenAt
		}
	}
	if sameHealth(lastReport, report) {
		return
	}
	p.cfg.Logger.Info("endpoint health changed", "Endpoint", e.Name, "State", report.State, "Incarnation", report.Incarnation, "Versions", report.Versions, "Error", err)
	p.cfg.Report([]*pb.EndpointHealth{report})
}

// fetchHealth requests and decodes the health of an endpoint.
func (p *Prober) fetchHealth(ctx context.Context, address string) (health, error) {
	var h health
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	x, err := p.cfg.Upstream.Do(ctx, bluebellupstream.Request{
		Address: address, Method: http.MethodGet, Path: "/health",
		FirstByteTimeout: probeTimeout, IdleTimeout: probeTimeout,
	})
	if err != nil {
		return h, err
	}
	defer x.Close()
	body, err := x.ReadAll(maxHealthBytes)
	if err != nil {
		return h, err
	}
	err = json.Unmarshal(body, &h)
	return h, err
}

// parseState returns the state that an endpoint named. An unknown state counts as down.
func parseState(s string) pb.HealthState {
	switch s {
	case "Leaving":
		return pb.HealthState_Leaving
	case "Ready":
		return pb.HealthState_Ready
	}
	return pb.HealthState_Down
}

// sameHealth reports whether a is not nil and has the state, incarnation and versions of b.
func sameHealth(a, b *pb.EndpointHealth) bool {
	return a != nil && a.State == b.State && a.Incarnation == b.Incarnation && slices.Equal(a.Versions, b.Versions)
}
