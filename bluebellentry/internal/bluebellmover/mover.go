// Package bluebellmover runs on the leader of the log: it carries version moves
// forward and orders endpoints to load and let go of versions.
//
// # Usage
//
//	mover := bluebellmover.New(bluebellmover.Config{...})
//	mover.Run(ctx)
//
// # Orders
//
// Only a leader that holds its lease orders. Its orders carry a fencing number
// from the log, which endpoints that honour it use to refuse an older leader's
// orders. To endpoints that ignore it, a new leader sends nothing until the old
// one's lease and its longest order are over.
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
	every = 200 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 5 * time.Second
	// maxLoads is the number of endpoints that load at the same time: the weight
	// store slows down for more.
	maxLoads = 2
	// unloadAfter is how long after the end of a move the other version stays,
	// so that no entry still sends to it.
	unloadAfter    = 10 * time.Second
	proposeTimeout = 2 * time.Second
	// shownWithin is the time in which the health of an endpoint shows an order
	// that it has carried out; after it the order is given again.
	shownWithin = 3 * time.Second
	// HeaderOrderSignature proves that an order comes from the system.
	HeaderOrderSignature = "X-Bluebell-Order-Signature"
)

// Order is what an endpoint is told.
type Order struct {
	Kind    string
	Version string
	Fencing uint64
	Holder  string
}

// Config sets up a Mover.
type Config struct {
	VM       string
	Upstream *bluebellupstream.Client
	Secret   []byte
	Table    func() *bluebellroute.Table
	View     func() *pb.View
	// Evidence returns the counts of all VMs.
	Evidence func() []*pb.Evidence
	// Leads tells whether this VM leads under a lease, and in which term.
	Leads   func() (leads bool, term uint64)
	Propose func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	// LeaseLength is the longest lease of an earlier leader.
	LeaseLength time.Duration
	Now         func() time.Duration
	Wall        func() time.Time
	Logger      *log.Logger
}

// Mover carries moves forward.
type Mover struct {
	cfg      Config
	planners map[string]*bluebellmove.Planner
	term     uint64
	fencing  uint64
	ledSince time.Duration
	late     map[string]bool

	mu sync.Mutex
	// busy holds the endpoints with an order in flight, carried those whose last
	// order succeeded.
	busy    map[string]Order
	carried map[string]carriedOrder
	orders  conc.WaitGroup
}

// carriedOrder is an order that an endpoint has carried out.
type carriedOrder struct {
	order Order
	at    time.Duration
}

// New returns a mover that does nothing until its VM leads.
func New(cfg Config) *Mover {
	return &Mover{
		cfg: cfg, planners: map[string]*bluebellmove.Planner{}, late: map[string]bool{}, busy: map[string]Order{},
		carried: map[string]carriedOrder{},
	}
}

// Run works until the context ends.
func (m *Mover) Run(ctx context.Context) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	defer m.orders.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.round(ctx)
		}
	}
}

func (m *Mover) round(ctx context.Context) {
	leads, term := m.cfg.Leads()
	if !leads {
		m.fencing = 0
		return
	}
	if m.fencing == 0 || term != m.term {
		if !m.takeOrders(ctx, term) {
			return
		}
	}
	view := m.cfg.View()
	table := m.cfg.Table()
	for _, move := range view.Moves {
		if bluebellstate.MoveActive(move) {
			m.advance(ctx, view, table, move)
		}
	}
	m.reconcile(ctx, view, table)
}

// takeOrders gets the fencing number of a new leader.
func (m *Mover) takeOrders(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := m.cfg.Propose(ctx, &pb.Command{Body: &pb.Command_TakeOrders{TakeOrders: &pb.TakeOrders{Holder: m.cfg.VM}}})
	if err != nil {
		return false
	}
	m.term, m.fencing, m.ledSince = term, result.Fencing, m.cfg.Now()
	clear(m.planners)
	m.cfg.Logger.Info("orders taken", "Term", term, "Fencing", m.fencing)
	return true
}

// advance decides on one move.
func (m *Mover) advance(ctx context.Context, view *pb.View, table *bluebellroute.Table, move *pb.Move) {
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
		Now: m.cfg.Wall().UnixNano(), Move: move, LoadedEndpoints: loaded, UsableEndpoints: usable,
		Old: bluebellmove.SumByRoute(evidence, move.Target, move.FromVersion),
		New: bluebellmove.SumByRoute(evidence, move.Target, move.ToVersion),
	})
	if action.Late && !m.late[move.Target] {
		m.cfg.Logger.Warn("move is late", "Target", move.Target, "ToVersion", move.ToVersion, "Phase", move.Phase, "Share", move.Share, "Why", action.Reason)
	}
	m.late[move.Target] = action.Late
	if action.Step == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := m.cfg.Propose(ctx, &pb.Command{Body: &pb.Command_StepMove{StepMove: action.Step}})
	m.cfg.Logger.Info("move step", "Target", move.Target, "ToVersion", move.ToVersion, "From", move.Phase, "Phase", action.Step.Phase,
		"Share", action.Step.Share, "Why", action.Reason, "Verdict", result.GetVerdict(), "Text", result.GetText(), "Error", err)
}

// reconcile orders endpoints to hold the versions that they should.
func (m *Mover) reconcile(ctx context.Context, view *pb.View, table *bluebellroute.Table) {
	for _, e := range inOrder(table) {
		if !e.Usable {
			continue
		}
		if !e.HonoursFencing && m.cfg.Now() < m.ledSince+m.cfg.LeaseLength+orderTimeout {
			continue
		}
		if order, ok := m.orderFor(view, e); ok {
			m.send(ctx, e, order)
		}
	}
}

// inOrder returns the endpoints in an order that goes round the failure domains,
// so that none of them is the only one with a new version.
func inOrder(t *bluebellroute.Table) []*bluebellroute.Endpoint {
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

// orderFor returns what an endpoint lacks or has too much.
func (m *Mover) orderFor(view *pb.View, e *bluebellroute.Endpoint) (Order, bool) {
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
	if move == nil || bluebellstate.MoveActive(move) || m.cfg.Wall().UnixNano()-move.PhaseSince < int64(unloadAfter) {
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

// send gives an order unless the endpoint has one, or too many load.
func (m *Mover) send(ctx context.Context, e *bluebellroute.Endpoint, order Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	loads := 0
	for _, o := range m.busy {
		if o.Kind == "Load" {
			loads++
		}
	}
	if last := m.carried[e.Name]; last.order == order && m.cfg.Now() < last.at+shownWithin {
		return
	}
	if _, has := m.busy[e.Name]; has || order.Kind == "Load" && loads >= maxLoads {
		return
	}
	m.busy[e.Name] = order
	term := m.term
	m.orders.Go(func() {
		err := m.exchange(ctx, e, order, term)
		m.cfg.Logger.Info("order", "Endpoint", e.Name, "Kind", order.Kind, "Version", order.Version, "Fencing", order.Fencing, "Error", err)
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.busy, e.Name)
		if err == nil {
			m.carried[e.Name] = carriedOrder{order, m.cfg.Now()}
		}
	})
}

// exchange sends one order, if the lease still holds.
func (m *Mover) exchange(ctx context.Context, e *bluebellroute.Endpoint, order Order, term uint64) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if leads, now := m.cfg.Leads(); !leads || now != term {
		return fmt.Errorf("the lease is over")
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOrderSignature, SignOrder(m.cfg.Secret, body))
	x, err := m.cfg.Upstream.Do(ctx, bluebellupstream.Request{
		Address: e.Address, Method: http.MethodPost, Path: "/orders", Header: header, Body: body,
		FirstByteWithin: orderTimeout, SilentFor: orderTimeout,
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
		return fmt.Errorf("endpoint refused with status %d: %s", x.Status(), answer)
	}
	return nil
}

// SignOrder returns the signature of an order's body.
func SignOrder(secret, body []byte) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("order"))
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}
