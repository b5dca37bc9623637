package bluebellscaler

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellscale"
	"bluebellhaven.org/bluebell/bluebellstate"
)

const (
	// sampleInterval is how often the load is observed, and samplesPerDecision the number of observations whose
	// mean a decision is made on. The number of engines that are busy at one moment varies by a tenth.
	sampleInterval     = 250 * time.Millisecond
	samplesPerDecision = 4
	// proposeTimeout bounds the agreement on one number. The next decision repeats what was not agreed.
	proposeTimeout = time.Second
)

// Config sets up a Scaler.
type Config struct {
	// Enabled reports whether this deployment performs the duty of ordering numbers of endpoints.
	Enabled func() bool
	// IsLeader reports whether this process leads. Only then it decides.
	IsLeader func() bool
	Registry *bluebellfleet.Registry
	// Deployment returns the agreed deployment, and Targets the targets that it declares.
	Deployment func() (*pb.Deployment, uint64)
	Targets    func() []bluebelldeployment.Target
	// CoreState returns the latest core state that this process has applied.
	CoreState func() *pb.CoreState
	// Loads returns what entries report to this and to each other core process that answers.
	Loads func() []bluebellfeed.PeerLoads
	// Cores returns the number of core processes that Loads may include.
	Cores func() int
	// Demands returns the calls without an endpoint, summed over all entries. It may be nil: then only the calls
	// in progress count.
	Demands func() []*pb.TargetDemand
	// Propose commits a command to the log if this process leads.
	Propose func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	// Now returns the time of a monotonic clock, that of the registry.
	Now    func() time.Duration
	Scope  tally.Scope
	Logger *log.Logger
}

// Scaler decides and proposes the numbers of endpoints.
type Scaler struct {
	cfg     Config
	targets map[string]*targetState
	cover   coverage
}

// targetState is what a leader has observed of a target.
type targetState struct {
	planner *bluebellscale.Planner
	// load is the sum of samples observations since the last decision. complete is unset if one of them was not.
	load     bluebellscale.Load
	samples  int
	complete bool
}

// New returns a Scaler.
func New(cfg Config) *Scaler { return &Scaler{cfg: cfg} }

// Run decides at intervals until ctx ends.
func (s *Scaler) Run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.Observe(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Observe observes the load of all targets that are scaled, and with each fourth observation proposes the numbers
// that follow. It forgets everything while this process does not lead or a core process runs that does not know
// the command. It must not be called concurrently.
func (s *Scaler) Observe(ctx context.Context) {
	if !s.cfg.Enabled() || !s.cfg.IsLeader() || s.cfg.CoreState().GetCommandVersion() < bluebellstate.ScaleCommandVersion {
		s.targets, s.cover = nil, coverage{}
		return
	}
	targets := slices.DeleteFunc(slices.Clone(s.cfg.Targets()), func(t bluebelldeployment.Target) bool { return t.Scale == nil })
	maps.DeleteFunc(s.targets, func(name string, _ *targetState) bool {
		return !slices.ContainsFunc(targets, func(t bluebelldeployment.Target) bool { return t.Name == name })
	})
	if len(targets) == 0 {
		return
	}
	view := s.view()
	if s.targets == nil {
		s.targets = map[string]*targetState{}
	}
	for _, t := range targets {
		state := s.targets[t.Name]
		if state == nil {
			state = &targetState{planner: bluebellscale.New(), complete: true}
			s.targets[t.Name] = state
		}
		state.load = state.load.Plus(view.load(t))
		state.complete = state.complete && view.complete
		if state.samples++; state.samples == samplesPerDecision {
			s.decide(ctx, t, state, view)
			state.load, state.samples, state.complete = bluebellscale.Load{}, 0, true
		}
	}
}

// decide proposes the numbers that follow from the observations of a target.
func (s *Scaler) decide(ctx context.Context, t bluebelldeployment.Target, state *targetState, view *view) {
	in := bluebellscale.Input{
		Bounds:  bluebellscale.Bounds{Min: t.Scale.Min, Max: t.Scale.Max, StartDuration: t.Scale.StartDuration},
		Domains: view.domains(t.Name), Load: state.load.Over(state.samples), Complete: state.complete,
	}
	decision := state.planner.Decide(view.now, in)
	s.record(t.Name, in, decision)
	for _, c := range decision.Changes {
		s.propose(ctx, t.Name, in, decision, c)
	}
}

func (s *Scaler) propose(ctx context.Context, target string, in bluebellscale.Input, decision bluebellscale.Decision, c bluebellscale.Change) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := s.cfg.Propose(ctx, &pb.Command{Body: &pb.Command_OrderScale{OrderScale: &pb.OrderScale{
		Target: target, FailureDomain: c.FailureDomain, Endpoints: uint32(c.To),
	}}})
	f, backlog := decision.Figures, in.Load.Backlog
	s.cfg.Logger.Info("number of endpoints proposed", "Target", target, "FailureDomain", c.FailureDomain, "From", c.From, "To", c.To,
		"Reason", decision.Reason, "Demand", round(f.Demand), "Peak", round(f.Peak), "Forecast", round(f.Forecast),
		"Memory", round(in.Load.Memory), "Slots", round(in.Load.Slots), "Reading", round(in.Load.Reading),
		"Capacity", f.Capacity, "Usable", f.Usable, "Lost", f.Lost, "Calls", in.Load.Calls, "Waiting", backlog.Waiting,
		"Returning", backlog.Returning, "Pressed", f.Pressed, "Complete", in.Complete, "Verdict", result.GetVerdict(), "Text", result.GetText(), "Error", err)
	outcome := "agreed"
	if err != nil || result.GetVerdict() != pb.Verdict_Accepted {
		outcome = "failed"
	}
	s.cfg.Scope.Tagged(map[string]string{"target": target, "reason": decision.Reason.String(), "outcome": outcome}).Counter("scale_proposals").Inc(1)
}

// record updates the gauges of a target.
func (s *Scaler) record(target string, in bluebellscale.Input, decision bluebellscale.Decision) {
	scope := s.cfg.Scope.Tagged(map[string]string{"target": target})
	f := decision.Figures
	for name, value := range map[string]float64{
		"scale_demand": f.Demand, "scale_peak": f.Peak, "scale_forecast": f.Forecast, "scale_capacity": float64(f.Capacity),
		"scale_usable": float64(f.Usable), "scale_lost": float64(f.Lost),
		"scale_waiting": float64(in.Load.Backlog.Waiting), "scale_returning": float64(in.Load.Backlog.Returning),
		"scale_complete": boolValue(in.Complete),
	} {
		scope.Gauge(name).Update(value)
	}
	for _, d := range in.Domains {
		domain := scope.Tagged(map[string]string{"failure_domain": d.Name})
		domain.Gauge("scale_ordered").Update(float64(d.Ordered))
		domain.Gauge("scale_domain_usable").Update(float64(d.Usable))
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// round returns x with one decimal, for log lines.
func round(x float64) float64 { return float64(int(10*x+0.5)) / 10 }
