// Package bluebellprobe watches the endpoints that a VM owns, and reports what
// changes to the hub.
//
// # Usage
//
//	prober := bluebellprobe.New(bluebellprobe.Config{...})
//	prober.Run(ctx)
//
// An endpoint is asked for its health at a fixed pace over a short-lived
// exchange. It is reported down after two failures in a row. Only changes are
// reported, so an idle system spreads nothing.
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
	// answerWithin bounds one probe.
	answerWithin = 500 * time.Millisecond
	// downAfter failures in a row an endpoint is down.
	downAfter = 2
	maxHealth = 64 << 10 // bytes
)

// health is what an endpoint answers.
type health struct {
	State       string
	Incarnation string
	Versions    []string
}

// Config sets up a Prober.
type Config struct {
	VM       string
	Upstream *bluebellupstream.Client
	Table    func() *bluebellroute.Table
	// LastReport returns the report in force on an endpoint, or nil.
	LastReport func(endpoint string) *pb.EndpointHealth
	Report     func(reports []*pb.EndpointHealth)
	Wall       func() time.Time
	Logger     *log.Logger
}

// Prober watches endpoints.
type Prober struct {
	cfg Config

	mu       sync.Mutex
	failures map[string]int
}

// New returns a prober that has seen nothing.
func New(cfg Config) *Prober { return &Prober{cfg: cfg, failures: map[string]int{}} }

// Run probes until the context ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		p.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// round probes all owned endpoints once, side by side.
func (p *Prober) round(ctx context.Context) {
	var group conc.WaitGroup
	for _, e := range p.cfg.Table().Endpoints() {
		if slices.Contains(e.Owners, p.cfg.VM) {
			group.Go(func() { p.probe(ctx, e) })
		}
	}
	group.Wait()
}

func (p *Prober) probe(ctx context.Context, e *bluebellroute.Endpoint) {
	seen, err := p.ask(ctx, e.Address)
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
	if err != nil && failures < downAfter {
		return
	}
	now := p.cfg.Wall().UnixNano()
	report := &pb.EndpointHealth{Endpoint: e.Name, Observer: p.cfg.VM, ObservedAt: now, FirstSeenAt: now}
	known := p.cfg.LastReport(e.Name)
	if err != nil {
		report.State = pb.HealthState_Down
		report.Incarnation, report.FirstSeenAt = known.GetIncarnation(), known.GetFirstSeenAt()
	} else {
		report.State = stateOf(seen.State)
		report.Incarnation, report.Versions = seen.Incarnation, seen.Versions
		if known != nil && known.Incarnation == seen.Incarnation {
			report.FirstSeenAt = known.FirstSeenAt
		}
	}
	if same(known, report) {
		return
	}
	p.cfg.Logger.Info("endpoint health", "Endpoint", e.Name, "State", report.State, "Incarnation", report.Incarnation, "Versions", report.Versions, "Error", err)
	p.cfg.Report([]*pb.EndpointHealth{report})
}

func (p *Prober) ask(ctx context.Context, address string) (health, error) {
	var h health
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	x, err := p.cfg.Upstream.Do(ctx, bluebellupstream.Request{
		Address: address, Method: http.MethodGet, Path: "/health",
		FirstByteTimeout: answerWithin, IdleTimeout: answerWithin,
	})
	if err != nil {
		return h, err
	}
	defer x.Close()
	body, err := x.ReadAll(maxHealth)
	if err != nil {
		return h, err
	}
	err = json.Unmarshal(body, &h)
	return h, err
}

func stateOf(s string) pb.HealthState {
	switch s {
	case "Leaving":
		return pb.HealthState_Leaving
	case "Ready":
		return pb.HealthState_Ready
	}
	return pb.HealthState_Down
}

func same(a, b *pb.EndpointHealth) bool {
	return a != nil && a.State == b.State && a.Incarnation == b.Incarnation && slices.Equal(a.Versions, b.Versions)
}
