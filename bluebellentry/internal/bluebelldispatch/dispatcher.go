package bluebelldispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/types/known/durationpb"

	"bluebellhaven.org/bluebell/bluebelllimit"
	"bluebellhaven.org/bluebell/bluebellmove"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellroute"
	"bluebellhaven.org/bluebellentry/internal/bluebellupstream"
)

const (
	// maxAttempts bounds the endpoints that one request is sent to.
	maxAttempts = 3
	// maxRefusals bounds the owners that may refuse one request.
	maxRefusals = 6
	// maxAnswer bounds an answer that is not streamed, in bytes.
	maxAnswer = 16 << 20
	// firstByteSlack is added to the time that work tolerates, so that a slow
	// answer is not taken for a dead endpoint.
	firstByteSlack = 5 * time.Second
	// hopSlack is added to the wait for an owner.
	hopSlack = time.Second
	// crashReportTimeout bounds the wait for a crash report to be agreed.
	crashReportTimeout = time.Second
)

// Header names between the system's processes and towards endpoints.
const (
	HeaderHop       = "X-Bluebell-Hop"
	HeaderSignature = "X-Bluebell-Signature"
	HeaderError     = "X-Bluebell-Error"
	HeaderEndpoint  = "X-Bluebell-Endpoint"
	HeaderVersion   = "X-Bluebell-Version"
	HeaderPending   = "X-Bluebell-Pending"
	HeaderRequestID = "X-Request-Id"
	HeaderCustomer  = "X-Bluebell-Customer"
)

// Config sets up a Dispatcher.
type Config struct {
	VM       string
	Router   *bluebellroute.Router
	Upstream *bluebellupstream.Client
	Ledger   *bluebellmove.OutcomeCounter
	// Propose has a command agreed by the voters.
	Propose func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	View    func() *pb.View
	// AwaitView waits until a view of a revision is in force here, or ctx ends.
	AwaitView func(ctx context.Context, revision uint64) error
	// VMAddress returns where a VM takes calls.
	VMAddress func(vm string) string
	// Sign proves to another VM that a hop comes from the system.
	Sign   func(hop *pb.Hop, body []byte) (header, signature string, err error)
	Now    func() time.Duration
	Wall   func() time.Time
	After  func(d time.Duration) <-chan time.Time
	NewID  func() string
	Record func(r *pb.RoutingRecord)
	Count  Counters
	Logger *log.Logger
}

// Counters are called for each event that is measured.
type Counters struct {
	Retry      func(target string)
	FirstToken func(target, version, domain string, d time.Duration)
	Blocks     func(target string, cached, total int)
	Crash      func(endpoint string)
}

// Dispatcher carries calls. It is safe for concurrent use.
type Dispatcher struct {
	cfg   Config
	gates *gateSet

	mu      sync.Mutex
	budgets map[string]*bluebelllimit.RetryBudget
	// closing holds the claims whose outcome is still to be agreed.
	closing conc.WaitGroup
	// stopping ends when a planned stop begins to wait for them.
	stopping context.Context
	stop     context.CancelFunc
}

// New returns a dispatcher; its table comes with SetTable.
func New(cfg Config) *Dispatcher {
	stopping, stop := context.WithCancel(context.Background())
	return &Dispatcher{
		stopping: stopping, stop: stop,
		cfg: cfg, gates: newGateSet(cfg.VM, cfg.Now, cfg.After),
		budgets: map[string]*bluebelllimit.RetryBudget{},
	}
}

// SetTable puts a table in force. It is to be called again once a handover that
// started at ownersChangedAt is over.
func (d *Dispatcher) SetTable(t *bluebellroute.Table, policy *pb.Policy, ownersChangedAt int64) {
	d.gates.apply(t, policy, d.cfg.Wall().UnixNano(), ownersChangedAt)
	d.cfg.Router.SetTable(t)
}

// Use tells how an endpoint is used from here.
func (d *Dispatcher) Use(endpoint string) (running, waiting, slots int) { return d.gates.use(endpoint) }

// Drain waits a short time until the outcomes of all claims are agreed. A claim
// whose outcome is not stays unknown.
func (d *Dispatcher) Drain() {
	d.stop()
	d.closing.Wait()
}

// Do carries out a call. The caller must Close the reply.
func (d *Dispatcher) Do(ctx context.Context, c *Call) (*Reply, *CallError) {
	switch {
	case c.Hop == nil && c.NonIdempotent:
		// Only the claim tells whether an earlier attempt may have run.
		return d.doClaimed(ctx, c)
	case d.poisoned(c):
		return nil, poisonError()
	case c.Hop != nil:
		return d.doHop(ctx, c)
	}
	return d.doRepeatable(ctx, c)
}

func poisonError() *CallError {
	return notRun(422, CodeRefusedPoison, 0, "endpoints broke off while running this request; operators have been told")
}

func (d *Dispatcher) poisoned(c *Call) bool {
	view := d.cfg.View()
	if len(view.PoisonDigests) == 0 {
		return false
	}
	digest := string(c.digest())
	for _, p := range view.PoisonDigests {
		if string(p) == digest {
			return true
		}
	}
	return false
}

// doRepeatable tries endpoints until one answers.
func (d *Dispatcher) doRepeatable(ctx context.Context, c *Call) (*Reply, *CallError) {
	budget := d.budget(c.Target)
	d.withBudget(func() { budget.RecordAttempt(d.cfg.Now()) })
	q := d.query(c)
	var last *CallError
	attempts, refusals := 0, 0
	mayHaveRun := false
	for attempts < maxAttempts && refusals < maxRefusals {
		decision, err := d.cfg.Router.Pick(d.cfg.Now(), &q)
		if err != nil {
			if last == nil {
				last = pickError(err)
			}
			break
		}
		reply, callErr := d.attempt(ctx, c, &decision)
		d.record(c, &decision, callErr)
		if callErr == nil {
			return reply, nil
		}
		last = callErr
		mayHaveRun = mayHaveRun || callErr.Run != pb.RunState_NotRun
		if ctx.Err() != nil || callErr.Code == CodeRefusedPoison {
			break
		}
		q.Excluded = append(q.Excluded, decision.Endpoint.Name)
		if callErr.Run == pb.RunState_NotRun {
			refusals++
			continue
		}
		if !callErr.Retry {
			break
		}
		attempts++
		allowed := false
		d.withBudget(func() { allowed = budget.AllowRetry(d.cfg.Now()) })
		if !allowed || d.poisoned(c) {
			break
		}
		d.cfg.Count.Retry(c.Target)
	}
	if mayHaveRun && last.Run == pb.RunState_NotRun {
		last = unknown(last.Status, last.Code, last.RetryAfter, "%s; an earlier attempt may have run", last.Text)
	}
	return nil, last
}

func (d *Dispatcher) query(c *Call) bluebellroute.Query {
	q := bluebellroute.Query{Target: c.Target, Blocks: c.Blocks}
	for _, b := range []byte(c.RequestID) {
		q.HashKey = q.HashKey*1099511628211 ^ uint64(b)
	}
	return q
}

func pickError(err error) *CallError {
	if errors.Is(err, bluebellroute.ErrUnknownTarget) {
		return notRun(404, CodeUnknownTarget, 0, "%v", err)
	}
	return notRun(503, CodeNoEndpoint, time.Second, "%v", err)
}

func (d *Dispatcher) budget(target string) *bluebelllimit.RetryBudget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budgets[target]
	if b == nil {
		b = &bluebelllimit.RetryBudget{}
		d.budgets[target] = b
	}
	b.Percent = float64(d.cfg.View().Configuration.GetPolicy().GetRetryPercent())
	return b
}

func (d *Dispatcher) withBudget(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

// attempt sends a call to the decided endpoint, here or by way of an owner.
func (d *Dispatcher) attempt(ctx context.Context, c *Call, decision *bluebellroute.Decision) (*Reply, *CallError) {
	if decision.Owner == d.cfg.VM {
		return d.runOwned(ctx, c, decision)
	}
	return d.handOver(ctx, c, decision)
}

// doHop runs a call that another VM has routed here.
func (d *Dispatcher) doHop(ctx context.Context, c *Call) (*Reply, *CallError) {
	e := d.cfg.Router.Table().Endpoint(c.Hop.Endpoint)
	switch {
	case e == nil:
		return nil, notRun(503, CodeNoEndpoint, 10*time.Millisecond, "endpoint %s is not known here", c.Hop.Endpoint)
	case !e.Usable:
		return nil, notRun(503, CodeNoEndpoint, 10*time.Millisecond, "endpoint %s may get no new work: %s", e.Name, e.UnusableReason)
	}
	missing := min(int(c.Hop.Missing), len(c.Blocks))
	decision := bluebellroute.Decision{
		Endpoint: e, Owner: d.cfg.VM, Version: c.Hop.Version, Home: e.Name, Blocks: c.Blocks,
		CachedBlocks: len(c.Blocks) - missing, Candidates: 1, Reason: "Hop",
	}
	reply, err := d.runOwned(ctx, c, &decision)
	d.record(c, &decision, err)
	return reply, err
}

// record writes the line of a routing decision.
func (d *Dispatcher) record(c *Call, decision *bluebellroute.Decision, callErr *CallError) {
	outcome := "Started"
	if callErr != nil {
		outcome = string(callErr.Code)
	}
	d.cfg.Record(&pb.RoutingRecord{
		RequestID: c.RequestID, UnixNanos: d.cfg.Wall().UnixNano(), VM: d.cfg.VM,
		Customer: c.Customer.Name, Target: c.Target, Version: decision.Version,
		Endpoint: decision.Endpoint.Name, Owner: decision.Owner, Home: decision.Home, Reason: decision.Reason,
		Blocks: uint32(len(decision.Blocks)), CachedBlocks: uint32(decision.CachedBlocks),
		Candidates: uint32(decision.Candidates), Expected: durationpb.New(decision.ExpectedTime), Outcome: outcome,
	})
}

// Pending returns the blocks that wait at an endpoint that this VM owns.
func (d *Dispatcher) Pending(endpoint string) int { return d.cfg.Router.PendingBlocks(endpoint) }
