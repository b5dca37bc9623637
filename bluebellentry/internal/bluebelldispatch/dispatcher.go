package bluebelldispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
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
	Ledger   *bluebellmove.Ledger
	// Propose has a command agreed by the voters.
	Propose func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	View    func() *pb.View
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
	if d.poisoned(c) {
		return nil, notRun(422, CodeRefusedPoison, 0, "endpoints broke off while running this request; operators have been told")
	}
	if c.Hop != nil {
		return d.doHop(ctx, c)
	}
	if c.NonIdempotent {
		return d.doClaimed(ctx, c)
	}
	return d.doRepeatable(ctx, c)
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
	d.withBudget(func() { budget.Attempt(d.cfg.Now()) })
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
		if ctx.Err() != nil || callErr.Code == CodeRefusedPoison || !callErr.Retry {
			break
		}
		q.Excluded = append(q.Excluded, decision.Endpoint.Name)
		if callErr.Run == pb.RunState_NotRun {
			refusals++
			continue
		}
		attempts++
		allowed := false
		d.withBudget(func() { allowed = budget.Retry(d.cfg.Now()) })
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
		q.Spread = q.Spread*1099511628211 ^ uint64(b)
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
		return nil, notRun(503, CodeNoEndpoint, 10*time.Millisecond, "endpoint %s may get no new work: %s", e.Name, e.Why)
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

// runOwned waits for a slot and sends a call to an endpoint that this VM owns.
func (d *Dispatcher) runOwned(ctx context.Context, c *Call, decision *bluebellroute.Decision) (*Reply, *CallError) {
	// The other owners have as much waiting there, as far as is known here.
	ahead := d.cfg.Router.Pending(decision.Endpoint.Name) * len(decision.Endpoint.Owners)
	d.cfg.Router.Start(decision)
	var once sync.Once
	computed := func() { once.Do(func() { d.cfg.Router.Finish(decision) }) }
	slot, callErr := d.gates.acquire(ctx, decision.Endpoint.Name, c)
	if callErr != nil {
		computed()
		return nil, callErr
	}
	if d.cfg.Now() > c.StartBy {
		// The process was paused: what was decided then may no longer hold.
		computed()
		slot.release(true)
		return nil, notRun(503, CodeOverloaded, time.Second, "the call was held up for too long")
	}
	startedAt := d.cfg.Now()
	reply, callErr := d.send(ctx, c, decision)
	computed()
	firstToken := d.cfg.Now() - startedAt
	if callErr != nil {
		d.outcome(c, decision, ended{failed: true, firstToken: firstToken, ahead: ahead})
		slot.gate.suspect(d.cfg.Now())
		slot.release(false)
		return nil, callErr
	}
	reply.finish = func(err error) {
		failed := err != nil
		d.outcome(c, decision, ended{failed, firstToken, reply.tokenTime(), reply.CachedBlocks, ahead, reply.Status != http.StatusOK})
		if failed || lostMemory(decision, reply) {
			slot.gate.suspect(d.cfg.Now())
		}
		slot.release(!failed)
		if failed && asUpstream(err).BrokenOff {
			d.reportCrash(context.WithoutCancel(ctx), c, decision.Endpoint.Name)
		}
	}
	if !reply.Streamed {
		reply.end(nil)
	}
	return reply, nil
}

// coldSign is the number of blocks that an endpoint must be believed to hold for
// their absence to show that it has lost its memory.
const coldSign = 3

// lostMemory tells whether an endpoint reused nothing of a prompt that it ran a
// short time ago, as far as is known here.
func lostMemory(decision *bluebellroute.Decision, reply *Reply) bool {
	return reply.Status == http.StatusOK && reply.usageSeen && decision.CachedBlocks >= coldSign && reply.CachedBlocks == 0
}

// ended is what was measured of one call at an endpoint.
type ended struct {
	failed                bool
	firstToken, tokenTime time.Duration
	// cached blocks of its prompt, and blocks that waited ahead of it
	cached, ahead int
	// refused is set when the endpoint answered without running the prompt.
	refused bool
}

// outcome feeds what an endpoint showed back into the decisions.
func (d *Dispatcher) outcome(c *Call, decision *bluebellroute.Decision, e ended) {
	now := d.cfg.Now()
	switch {
	case e.failed:
		d.cfg.Router.EndpointFailed(now, decision.Endpoint.Name)
	case e.refused:
	default:
		d.cfg.Router.Learn(now, decision, e.cached, e.ahead, e.firstToken)
		d.cfg.Count.FirstToken(c.Target, decision.Version, decision.Endpoint.FailureDomain, e.firstToken)
		d.cfg.Count.Blocks(c.Target, e.cached, len(c.Blocks))
	}
	d.cfg.Ledger.Add(bluebellmove.Outcome{
		Target: c.Target, Version: decision.Version, Route: routeOf(c.Path), Failed: e.failed,
		FirstToken: e.firstToken, Blocks: len(c.Blocks) - e.cached + e.ahead, TokenTime: e.tokenTime,
		Serving: !d.cfg.Router.Table().Moving(c.Target, decision.Version),
	})
}

// routeOf leaves the query out of a path.
func routeOf(path string) string {
	for i := range len(path) {
		if path[i] == '?' {
			return path[:i]
		}
	}
	return path
}

// send makes one exchange with an endpoint.
func (d *Dispatcher) send(ctx context.Context, c *Call, decision *bluebellroute.Decision) (*Reply, *CallError) {
	header := http.Header{}
	header.Set(HeaderVersion, decision.Version)
	header.Set(HeaderCustomer, c.Customer.Name)
	if c.Key != "" {
		header.Set("Idempotency-Key", c.Key)
	}
	reply, err := d.exchange(ctx, c, decision, decision.Endpoint.Address, c.Path, header)
	if err == nil {
		return reply, d.checkStatus(decision, reply)
	}
	if err.BrokenOff && err.Sent {
		d.reportCrash(ctx, c, decision.Endpoint.Name)
	}
	return nil, exchangeError("endpoint "+decision.Endpoint.Name, err)
}

// checkStatus turns an endpoint's own failure into an error.
func (d *Dispatcher) checkStatus(decision *bluebellroute.Decision, reply *Reply) *CallError {
	if reply.Status < 500 && reply.Status != http.StatusTooManyRequests {
		return nil
	}
	reply.Close()
	return unknown(502, CodeEndpointFailed, time.Second, "endpoint %s answered with status %d", decision.Endpoint.Name, reply.Status)
}

// exchangeError says what is certain after a failed exchange.
func exchangeError(peer string, err *bluebellupstream.Error) *CallError {
	if !err.Sent {
		return notRun(502, CodeEndpointFailed, 100*time.Millisecond, "%s cannot be reached: %v", peer, err)
	}
	return unknown(502, CodeEndpointFailed, time.Second, "%s failed: %v", peer, err)
}

// exchange sends a call to an address and reads the start of the answer.
func (d *Dispatcher) exchange(ctx context.Context, c *Call, decision *bluebellroute.Decision, address, path string, header http.Header) (*Reply, *bluebellupstream.Error) {
	header.Set("Content-Type", c.ContentType)
	header.Set(HeaderRequestID, c.RequestID)
	policy := d.cfg.View().Configuration.GetPolicy()
	within := c.Work.GetFirstTokenWithin().AsDuration() + firstByteSlack
	if c.Kind == pb.Kind_Service {
		within = policy.GetCallTimeout().AsDuration()
	}
	if address != decision.Endpoint.Address {
		// The owner has to end its own wait first.
		within += hopSlack
	}
	x, err := d.cfg.Upstream.Do(ctx, bluebellupstream.Request{
		Address: address, Method: c.Method, Path: path, Header: header, Body: c.Body,
		FirstByteWithin: within, SilentFor: policy.GetStreamTimeout().AsDuration(),
	})
	if err != nil {
		return nil, asUpstream(err)
	}
	if got := x.Header().Get(HeaderRequestID); got != "" && got != c.RequestID {
		x.Close()
		return nil, &bluebellupstream.Error{
			Stage: bluebellupstream.AwaitingAnswer, Sent: true, Err: errors.New("the answer belongs to another request"),
		}
	}
	reply := &Reply{
		Status: x.Status(), ContentType: x.Header().Get("Content-Type"), header: x.Header(), exchange: x, now: d.cfg.Now,
		Endpoint: decision.Endpoint.Name, Version: decision.Version, Blocks: len(c.Blocks),
	}
	if err := d.readStart(c, reply); err != nil {
		return nil, asUpstream(err)
	}
	return reply, nil
}

// readStart reads the whole answer, or the first event of a stream.
func (d *Dispatcher) readStart(c *Call, reply *Reply) error {
	if !c.Stream || reply.Status != http.StatusOK {
		body, err := reply.exchange.ReadAll(maxAnswer)
		if err != nil {
			return err
		}
		reply.Body = body
		reply.noteUsage(body)
		return nil
	}
	reply.Streamed = true
	reply.events = reply.exchange.Events()
	reply.first, reply.firstEnd = reply.events.Next()
	if reply.firstEnd != nil && reply.first == nil && !errors.Is(reply.firstEnd, errEnd) {
		return reply.firstEnd
	}
	return nil
}

func asUpstream(err error) *bluebellupstream.Error {
	var e *bluebellupstream.Error
	if errors.As(err, &e) {
		return e
	}
	return &bluebellupstream.Error{Stage: bluebellupstream.ReadingAnswer, Sent: true, Err: err}
}

// reportCrash tells all VMs that an endpoint broke off while running a request.
// It waits for the agreement, so that the caller's next attempt meets it.
func (d *Dispatcher) reportCrash(ctx context.Context, c *Call, endpoint string) {
	d.cfg.Count.Crash(endpoint)
	if ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	_, err := d.cfg.Propose(ctx, &pb.Command{Body: &pb.Command_CrashReport{
		CrashReport: &pb.CrashReport{Digest: c.digest(), Endpoint: endpoint},
	}})
	d.cfg.Logger.Warn("endpoint broke off", "RequestID", c.RequestID, "Endpoint", endpoint, "Customer", c.Customer.Name, "ReportError", err)
}

// handOver sends a call to the owner of its endpoint.
func (d *Dispatcher) handOver(ctx context.Context, c *Call, decision *bluebellroute.Decision) (*Reply, *CallError) {
	hop := &pb.Hop{
		From: d.cfg.VM, RequestID: c.RequestID, Customer: c.Customer.Name, Work: c.Work.GetName(),
		Endpoint: decision.Endpoint.Name, Version: decision.Version,
		StartWithin: durationpb.New(c.StartBy - d.cfg.Now()), NonIdempotent: c.NonIdempotent,
		Missing: uint32(decision.Missing()), UnixNanos: d.cfg.Wall().UnixNano(),
	}
	value, signature, err := d.cfg.Sign(hop, c.Body)
	if err != nil {
		return nil, notRun(500, CodeNoEndpoint, time.Second, "%v", err)
	}
	header := http.Header{}
	header.Set(HeaderHop, value)
	header.Set(HeaderSignature, signature)
	if c.Key != "" {
		header.Set("Idempotency-Key", c.Key)
	}
	d.cfg.Router.Start(decision)
	reply, upErr := d.exchange(ctx, c, decision, d.cfg.VMAddress(decision.Owner), c.EntryPath, header)
	d.cfg.Router.Finish(decision)
	now := d.cfg.Now()
	if upErr != nil {
		if ctx.Err() == nil {
			d.cfg.Router.VMFailed(now, decision.Owner)
		}
		return nil, exchangeError("VM "+decision.Owner, upErr)
	}
	d.cfg.Router.VMAnswered(decision.Owner)
	if pending, err := strconv.Atoi(reply.header.Get(HeaderPending)); err == nil {
		d.cfg.Router.Told(now, decision.Endpoint.Name, pending)
	}
	if reply.header.Get(HeaderError) != "" {
		reply.Close()
		return nil, decodeCallError(reply.Status, reply.Body)
	}
	reply.finish = func(err error) {
		if err == nil {
			d.cfg.Router.Learn(d.cfg.Now(), decision, reply.CachedBlocks, 0, 0)
		}
	}
	if !reply.Streamed {
		reply.end(nil)
	}
	return reply, nil
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
		Candidates: uint32(decision.Candidates), Expected: durationpb.New(decision.Expected), Outcome: outcome,
	})
}

// Pending returns the blocks that wait at an endpoint that this VM owns.
func (d *Dispatcher) Pending(endpoint string) int { return d.cfg.Router.Pending(endpoint) }
