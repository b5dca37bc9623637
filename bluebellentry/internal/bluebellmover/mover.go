// Package bluebellmover runs version moves on the VM that leads the replicated log. A
// version move replaces the version of a target, which is a model or a service, step by
// step. The mover proposes the steps, and orders endpoints to load and unload versions.
//
// # Usage
//
//	mover := bluebellmover.New(bluebellmover.Config{...})
//	mover.Run(ctx)
//
// # Orders
//
// Only a leader whose lease is valid sends orders. Each order carries the leader's
// fencing number, which comes from the log and grows with each new leader. Endpoints
// that check the number refuse the orders of an earlier leader. A new leader sends
// nothing to endpoints that ignore it until the lease of the earlier leader has expired
// and the order that it may have sent last has timed out.
package bluebellmover

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"bluebellhaven.org/bluebell/bluebellmove"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellroute"
	"bluebellhaven.org/bluebell/bluebellstate"
	"bluebellhaven.org/bluebellentry/internal/bluebellupstream"
)

const (
	// roundInterval is the time between two rounds of the mover.
	roundInterval = 200 * time.Millisecond
	// orderTimeout limits the request that carries one order.
	orderTimeout = 5 * time.Second
	// maxConcurrentLoads limits the endpoints that load a version at the same time,
	// because the weight store slows down with more.
	maxConcurrentLoads = 2
	// unloadDelay is the time from the end of a move to the unloading of the version
	// that is no longer used. By then no entry process sends calls to that version.
	unloadDelay = 10 * time.Second
	// proposeTimeout limits one proposal to the replicated log.
	proposeTimeout = 2 * time.Second
	// repeatOrderAfter is the time within which the health reports of an endpoint show
	// the effect of a successful order. If they don't, the order is sent again.
	repeatOrderAfter = 3 * time.Second
	// HeaderOrderSignature names the header with the signature of an order, which
	// proves that the sender has the shared secret.
	HeaderOrderSignature = "X-Bluebell-Order-Signature"
)

// Order is the JSON body of an order to an endpoint. Kind is Load or Unload. Holder is
// the VM that leads.
type Order struct {
	Kind    string
	Version string
	Fencing uint64
	Holder  string
}

// Config is the configuration of a Mover.
type Config struct {
	VM       string
	Upstream *bluebellupstream.Client
	// Secret is the secret shared with the endpoints. It signs the orders.
	Secret []byte
	Table  func() *bluebellroute.Table
	View   func() *pb.View
	// Evidence returns the outcome counts of all VMs.
	Evidence func() []*pb.Evidence
	// Leadership reports whether this VM is the leader with a valid lease, and its term.
	Leadership func() (leads bool, term uint64)
	// Propose sends a command to the voters and returns its result once they agreed on it.
	Propose func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	// LeaseDuration is the longest time for which an earlier leader may still hold a
	// lease.
	LeaseDuration time.Duration
	// Now returns the time since the start of the process.
	Now       func() time.Duration
	WallClock func() time.Time
	Logger    *log.Logger
}

// Mover runs version moves while its VM leads.
type Mover struct {
	cfg      Config
	planners map[string]*bluebellmove.Planner
	// term is the term in which this VM last obtained a fencing number.
	term uint64
	// fencing is the fencing number, or 0 while this VM does not lead.
	fencing uint64
	// leadingSince is the time at which this VM obtained its fencing number.
	leadingSince time.Duration
	// lateMoves holds by target whether the move was late in the last round, so that only
	// the first late round of a move is logged.
	lateMoves map[string]bool

	mu sync.Mutex
	// inFlight holds the running order of each endpoint, completed the last successful
	// one.
	inFlight  map[string]Order
	completed map[string]completedOrder
	sending   conc.WaitGroup
}

// completedOrder is an order that an endpoint accepted, and the time of the answer.
type completedOrder struct {
	order Order
	at    time.Duration
}

// New returns a Mover. It does nothing until its VM leads.
func New(cfg Config) *Mover {
	return &Mover{
		cfg: cfg, planners: map[string]*bluebellmove.Planner{}, lateMoves: map[string]bool{}, inFlight: map[string]Order{},
		completed: map[string]completedOrder{},
	}
}

// Run runs rounds until ctx is done, then waits for the orders in flight.
func (m *Mover) Run(ctx context.Context) {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	defer m.sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.runRound(ctx)
		}
	}
}

// runRound does nothing unless this VM leads. Otherwise it obtains a fencing number if
// it has none for this term, decides on the active moves and sends the due orders.
func (m *Mover) runRound(ctx context.Context) {
	leads, term := m.cfg.Leadership()
	if !leads {
		m.fencing = 0
		return
	}
	if m.fencing == 0 || term != m.term {
		if !m.acquireFencing(ctx, term) {
			return
		}
	}
	view := m.cfg.View()
	table := m.cfg.Table()
	for _, move := range view.Moves {
		if bluebellstate.MoveActive(move) {
			m.decideStep(ctx, view, table, move)
		}
	}
	m.reconcile(ctx, view, table)
}

// acquireFencing obtains a fencing number for this leader through the log and discards
// the planners of earlier terms. It reports whether it succeeded.
func (m *Mover) acquireFencing(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := m.cfg.Propose(ctx, &pb.Command{Body: &pb.Command_TakeOrders{TakeOrders: &pb.TakeOrders{Holder: m.cfg.VM}}})
	if err != nil {
		return false
	}
	m.term, m.fencing, m.leadingSince = term, result.Fencing, m.cfg.Now()
	clear(m.planners)
	m.cfg.Logger.Info("fencing number acquired", "Term", term, "Fencing", m.fencing)
	return true
}

// decideStep decides on the next step of one move and proposes it.
func (m *Mover) decideStep(ctx context.Context, view *pb.View, table *bluebellroute.Table, move *pb.Move) {
	policy := view.Configuration.GetPolicy()
	planner := m.planners[move.Target]
	if planner == nil {
		planner = bluebellmove.NewPlanner(policy)
		m.planners[move.Target] = planner
	}
	planner.SetPolicy(policy)
	evidence := m.cfg.Evidence()
	loaded, usable := 0, 0
	for _, e := range table.Endpoints() {
		if e.Target != move.Target || !e.Usable {
			continue
		}
		usable++
		if slices.Contains(e.Versions, move.ToVersion) {
			loaded++
		}
	}
	action := planner.Decide(bluebellmove.Input{
		Now: m.cfg.WallClock().UnixNano(), Move: move, LoadedEndpoints: loaded, UsableEndpoints: usable,
		Old: bluebellmove.SumByRoute(evidence, move.Target, move.FromVersion),
		New: bluebellmove.SumByRoute(evidence, move.Target, move.ToVersion),
	})
	if action.Late && !m.lateMoves[move.Target] {
		m.cfg.Logger.Warn("move is late", "Target", move.Target, "ToVersion", move.ToVersion, "Phase", move.Phase, "Share", move.Share, "Why", action.Reason)
	}
	m.lateMoves[move.Target] = action.Late
	if action.Step == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := m.cfg.Propose(ctx, &pb.Command{Body: &pb.Command_StepMove{StepMove: action.Step}})
	m.cfg.Logger.Info("move step", "Target", move.Target, "ToVersion", move.ToVersion, "From", move.Phase, "Phase", action.Step.Phase,
		"Share", action.Step.Share, "Why", action.Reason, "Verdict", result.GetVerdict(), "Text", result.GetText(), "Error", err)
}

// reconcile sends orders to the usable endpoints that lack a version or hold a version
// that is no longer used.
func (m *Mover) reconcile(ctx context.Context, view *pb.View, table *bluebellroute.Table) {
	for _, e := range interleaveDomains(table) {
		if !e.Usable {
			continue
		}
		if !e.HonoursFencing && m.cfg.Now() < m.leadingSince+m.cfg.LeaseDuration+orderTimeout {
			continue
		}
		if order, ok := m.nextOrder(view, e); ok {
			m.startOrder(ctx, e, order)
		}
	}
}

// interleaveDomains returns the endpoints so that successive ones are in different
// failure domains where possible. A new version is then not loaded in a single failure
// domain only.
func interleaveDomains(t *bluebellroute.Table) []*bluebellroute.Endpoint {
	byDomain := map[string][]*bluebellroute.Endpoint{}
	for _, name := range slices.Sorted(maps.Keys(t.Endpoints())) {
		e := t.Endpoint(name)
		byDomain[e.FailureDomain] = append(byDomain[e.FailureDomain], e)
	}
	domains := slices.Sorted(maps.Keys(byDomain))
	var all []*bluebellroute.Endpoint
	for round := 0; len(all) < len(t.Endpoints()); round++ {
		for _, d := range domains {
			if round < len(byDomain[d]) {
				all = append(all, byDomain[d][round])
			}
		}
	}
	return all
}

// nextOrder returns the order to load a version that the endpoint lacks, or otherwise to
// unload one that is not used. It reports whether there is such an order.
func (m *Mover) nextOrder(view *pb.View, e *bluebellroute.Endpoint) (Order, bool) {
	current := bluebellstate.ServingVersion(view, e.Target)
	move := bluebellstate.LatestMove(view, e.Target)
	order := Order{Fencing: m.fencing, Holder: m.cfg.VM}
	wanted := []string{current}
	if move != nil && bluebellstate.MoveActive(move) {
		wanted = append(wanted, move.ToVersion)
	}
	for _, v := range wanted {
		if v != "" && !slices.Contains(e.Versions, v) {
			order.Kind, order.Version = "Load", v
			return order, true
		}
	}
	if move == nil || bluebellstate.MoveActive(move) || m.cfg.WallClock().UnixNano()-move.PhaseSince < int64(unloadDelay) {
		return order, false
	}
	for _, v := range e.Versions {
		if !slices.Contains(wanted, v) {
			order.Kind, order.Version = "Unload", v
			return order, true
		}
	}
	return order, false
}

// startOrder sends an order in the background. It does nothing if the endpoint has an
// order in flight or completed the same order lately, or if the order is to load and
// maxConcurrentLoads endpoints load already.
func (m *Mover) startOrder(ctx context.Context, e *bluebellroute.Endpoint, order Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	loading := 0
	for _, o := range m.inFlight {
		if o.Kind == "Load" {
			loading++
		}
	}
	if previous := m.completed[e.Name]; previous.order == order && m.cfg.Now() < previous.at+repeatOrderAfter {
		return
	}
	if _, running := m.inFlight[e.Name]; running || order.Kind == "Load" && loading >= maxConcurrentLoads {
		return
	}
	m.inFlight[e.Name] = order
	term := m.term
	m.sending.Go(func() {
		err := m.sendOrder(ctx, e, order, term)
		m.cfg.Logger.Info("order finished", "Endpoint", e.Name, "Kind", order.Kind, "Version", order.Version, "Fencing", order.Fencing, "Error", err)
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.inFlight, e.Name)
		if err == nil {
			m.completed[e.Name] = completedOrder{order, m.cfg.Now()}
		}
	})
}

// sendOrder sends one order if this VM still leads in the given term.
func (m *Mover) sendOrder(ctx context.Context, e *bluebellroute.Endpoint, order Order, term uint64) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if leads, currentTerm := m.cfg.Leadership(); !leads || currentTerm != term {
		return fmt.Errorf("leader lease is not valid in the term of the order")
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOrderSignature, SignOrder(m.cfg.Secret, body))
	x, err := m.cfg.Upstream.Do(ctx, bluebellupstream.Request{
		Address: e.Address, Method: http.MethodPost, Path: "/orders", Header: header, Body: body,
		FirstByteTimeout: orderTimeout, IdleTimeout: orderTimeout,
	})
	if err != nil {
		return err
	}
	defer x.Close()
	answer, err := x.ReadAll(4 << 10)
	if err != nil {
		return err
	}
	if x.Status() != http.StatusOK {
		return fmt.Errorf("endpoint answered the order with status %d: %s", x.Status(), answer)
	}
	return nil
}

// SignOrder returns the HMAC-SHA256 signature of an order's body, in hexadecimal.
func SignOrder(secret, body []byte) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("order"))
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}
