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
	// maxAttempts bounds the attempts of one repeatable call that may have run.
	maxAttempts = 3
	// maxRefusals bounds the attempts of one call that certainly did not run, as when an
	// owner refuses the call or cannot be reached.
	maxRefusals = 6
	// maxAnswerBytes bounds the body of an answer that is not streamed.
	maxAnswerBytes = 16 << 20
	// firstByteSlack is added to the time that a kind of work allows for the first token,
	// so that an endpoint that answers late is not treated as failed.
	firstByteSlack = 5 * time.Second
	// hopSlack is added to the first-byte timeout of a forwarded call, so that the owner's
	// own timeout ends first.
	hopSlack = time.Second
	// maxReportDelay bounds the time for which a call waits until the voters have agreed on its
	// crash report. It is longer than an election after the loss of a leader, which takes up to
	// 3.6 s, so that a call that is sent again meets the report.
	maxReportDelay = 5 * time.Second
	// maxPendingReports bounds the crash reports on which the voters have not agreed yet.
	maxPendingReports = 256
)

// Names of the HTTP headers used between VMs, towards endpoints and in answers to callers.
const (
	// HeaderHop holds the encoded hop of a forwarded call.
	HeaderHop = "X-Bluebell-Hop"
	// HeaderSignature holds the signature of the hop.
	HeaderSignature = "X-Bluebell-Signature"
	// HeaderError holds the Code of an error answer.
	HeaderError = "X-Bluebell-Error"
	// HeaderEndpoint holds the name of the endpoint that answered.
	HeaderEndpoint = "X-Bluebell-Endpoint"
	// HeaderVersion holds the version of the target that runs, or ran, the call.
	HeaderVersion = "X-Bluebell-Version"
	// HeaderPending holds the owner's number of pending blocks at the endpoint, in the answer
	// to a forwarded call.
	HeaderPending = "X-Bluebell-Pending"
	// HeaderRequestID holds the ID of the request.
	HeaderRequestID = "X-Request-Id"
	// HeaderCustomer holds the name of the customer, in requests to endpoints.
	HeaderCustomer = "X-Bluebell-Customer"
)

// Config holds the settings and dependencies of a Dispatcher.
type Config struct {
	// VM is the name of the VM that this process runs on.
	VM       string
	Router   *bluebellroute.Router
	Upstream *bluebellupstream.Client
	// Outcomes counts the outcomes of calls per version. A move of a target to a new version
	// is judged by them.
	Outcomes *bluebellmove.OutcomeCounter
	// Propose sends a command to the voters and returns its result once they agreed on it.
	Propose func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	// View returns the view of the agreed state that is in force on this VM.
	View func() *pb.View
	// AwaitView waits until the view in force on this VM has reached a revision, or ctx
	// ends.
	AwaitView func(ctx context.Context, revision uint64) error
	// VMAddress returns the address at which a VM accepts calls.
	VMAddress func(vm string) string
	// Sign returns the header values by which another VM verifies that a VM of this system
	// forwarded the call.
	Sign func(hop *pb.Hop, body []byte) (header, signature string, err error)
	// Now returns the monotonic time since the start of the process.
	Now func() time.Duration
	// WallClock returns the current date and time.
	WallClock func() time.Time
	After     func(d time.Duration) <-chan time.Time
	NewID     func() string
	// Record stores the record of a routing decision.
	Record  func(r *pb.RoutingRecord)
	Metrics MetricFuncs
	Logger  *log.Logger
}

// MetricFuncs holds the functions that record metrics, one for each kind of event.
type MetricFuncs struct {
	// Retry counts a call that is sent again.
	Retry func(target string)
	// FirstToken records the time until an endpoint sent the start of an answer.
	FirstToken func(target, version, domain string, d time.Duration)
	// Blocks counts the blocks of a prompt and those that the endpoint had cached.
	Blocks func(target string, cached, total int)
	// Crash counts an endpoint that closed the connection during a call.
	Crash func(endpoint string)
}

// Dispatcher routes calls to endpoints and returns their answers. It is safe for
// concurrent use.
type Dispatcher struct {
	cfg   Config
	gates *gateSet

	mu      sync.Mutex
	budgets map[string]*bluebelllimit.RetryBudget // by target
	// reports holds the crash reports on which the voters have not agreed yet. A channel is
	// closed when they have, or when the report is given up.
	reports map[reportKey]<-chan struct{}
	// pendingProposals counts the goroutines that propose the end of a claim or a crash report.
	pendingProposals conc.WaitGroup
	// stopping is cancelled when Drain starts to wait for pendingProposals.
	stopping context.Context
	stop     context.CancelFunc
}

// New returns a Dispatcher, which can route calls after the first SetTable.
func New(cfg Config) *Dispatcher {
	stopping, stop := context.WithCancel(context.Background())
	return &Dispatcher{
		stopping: stopping, stop: stop,
		cfg: cfg, gates: newGateSet(cfg.VM, cfg.Now, cfg.After),
		budgets: map[string]*bluebelllimit.RetryBudget{}, reports: map[reportKey]<-chan struct{}{},
	}
}

// SetTable replaces the routing table and the slot limits derived from it. The argument
// ownersChangedAt is the time, in Unix nanoseconds, of the last change of slot owners. The
// caller must call SetTable again when the handover of that change is over.
func (d *Dispatcher) SetTable(t *bluebellroute.Table, policy *pb.Policy, ownersChangedAt int64) {
	d.gates.apply(t, policy, d.cfg.WallClock().UnixNano(), ownersChangedAt)
	d.cfg.Router.SetTable(t)
}

// Use returns how many calls of this VM run on an endpoint and how many wait for it, and
// how many of its slots this VM may use.
func (d *Dispatcher) Use(endpoint string) (running, waiting, slots int) { return d.gates.use(endpoint) }

// Drain waits up to proposalTimeoutOnStop until the voters have agreed on the outcomes of
// all claims and on all crash reports. A claim without an agreed outcome stays unknown.
func (d *Dispatcher) Drain() {
	d.stop()
	d.pendingProposals.Wait()
}

// Do routes a call, sends it and returns the answer. The caller must Close the reply.
func (d *Dispatcher) Do(ctx context.Context, c *Call) (*Reply, *CallError) {
	switch {
	case c.Hop == nil && c.NonIdempotent:
		// The claim is checked before anything else, because only the claim shows whether an
		// earlier attempt may have run.
		return d.doWithClaim(ctx, c)
	case d.crashesEndpoints(c):
		return nil, crashesEndpointsError()
	case c.Hop != nil:
		return d.doForwarded(ctx, c)
	}
	return d.doWithRetries(ctx, c)
}

// crashesEndpointsError returns the error for a call that crashesEndpoints rejects.
func crashesEndpointsError() *CallError {
	return notRunError(422, CodeRequestCrashesEndpoints, 0, "endpoints broke off while running this request; operators have been told")
}

// crashesEndpoints reports whether the agreed state lists the call's content as a request
// that crashes endpoints.
func (d *Dispatcher) crashesEndpoints(c *Call) bool {
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

// doWithRetries sends a repeatable call to one endpoint after another until one answers.
// It stops at maxAttempts or maxRefusals, or when the retry budget is used up.
func (d *Dispatcher) doWithRetries(ctx context.Context, c *Call) (*Reply, *CallError) {
	budget := d.retryBudget(c.Target)
	d.withLock(func() { budget.RecordAttempt(d.cfg.Now()) })
	q := d.query(c)
	var last *CallError
	attempts, refusals := 0, 0
	mayHaveRun := false
	for attempts < maxAttempts && refusals < maxRefusals {
		decision, err := d.cfg.Router.Pick(d.cfg.Now(), &q)
		if err != nil {
			if last == nil {
				last = routingError(err)
			}
			break
		}
		reply, callErr := d.attempt(ctx, c, &decision)
		d.recordDecision(c, &decision, callErr)
		if callErr == nil {
			return reply, nil
		}
		last = callErr
		mayHaveRun = mayHaveRun || callErr.Run != pb.RunState_NotRun
		if ctx.Err() != nil || callErr.Code == CodeRequestCrashesEndpoints {
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
		d.withLock(func() { allowed = budget.AllowRetry(d.cfg.Now()) })
		if !allowed || d.crashesEndpoints(c) {
			break
		}
		d.cfg.Metrics.Retry(c.Target)
	}
	if mayHaveRun && last.Run == pb.RunState_NotRun {
		last = unknownRunError(last.Status, last.Code, last.RetryAfter, "%s; an earlier attempt may have run", last.Text)
	}
	return nil, last
}

// query returns the routing query of a call. Its hash key is computed from the request ID.
func (d *Dispatcher) query(c *Call) bluebellroute.Query {
	q := bluebellroute.Query{Target: c.Target, Blocks: c.Blocks}
	for _, b := range []byte(c.RequestID) {
		q.HashKey = q.HashKey*1099511628211 ^ uint64(b)
	}
	return q
}

// routingError returns the error for a call for which the router found no endpoint.
func routingError(err error) *CallError {
	if errors.Is(err, bluebellroute.ErrUnknownTarget) {
		return notRunError(404, CodeUnknownTarget, 0, "%v", err)
	}
	return notRunError(503, CodeNoEndpoint, time.Second, "%v", err)
}

// retryBudget returns the retry budget of a target, with the share of retries that the
// configuration in force allows.
func (d *Dispatcher) retryBudget(target string) *bluebelllimit.RetryBudget {
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

// withLock calls f with d.mu locked.
func (d *Dispatcher) withLock(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

// attempt sends a call to the selected endpoint: directly if this VM is the selected owner
// of the endpoint, and through the owner otherwise.
func (d *Dispatcher) attempt(ctx context.Context, c *Call, decision *bluebellroute.Decision) (*Reply, *CallError) {
	if decision.Owner == d.cfg.VM {
		return d.runOwned(ctx, c, decision)
	}
	return d.forward(ctx, c, decision)
}

// doForwarded runs a call that another VM forwarded to this VM as the endpoint's owner.
func (d *Dispatcher) doForwarded(ctx context.Context, c *Call) (*Reply, *CallError) {
	e := d.cfg.Router.Table().Endpoint(c.Hop.Endpoint)
	switch {
	case e == nil:
		return nil, notRunError(503, CodeNoEndpoint, 10*time.Millisecond, "endpoint %s is not known here", c.Hop.Endpoint)
	case !e.Usable:
		return nil, notRunError(503, CodeNoEndpoint, 10*time.Millisecond, "endpoint %s may get no new work: %s", e.Name, e.UnusableReason)
	}
	missing := min(int(c.Hop.Missing), len(c.Blocks))
	decision := bluebellroute.Decision{
		Endpoint: e, Owner: d.cfg.VM, Version: c.Hop.Version, Home: e.Name, Blocks: c.Blocks,
		CachedBlocks: len(c.Blocks) - missing, Candidates: 1, Reason: "Hop",
	}
	reply, err := d.runOwned(ctx, c, &decision)
	d.recordDecision(c, &decision, err)
	return reply, err
}

// recordDecision stores the record of a routing decision.
func (d *Dispatcher) recordDecision(c *Call, decision *bluebellroute.Decision, callErr *CallError) {
	outcome := "Started"
	if callErr != nil {
		outcome = string(callErr.Code)
	}
	d.cfg.Record(&pb.RoutingRecord{
		RequestID: c.RequestID, UnixNanos: d.cfg.WallClock().UnixNano(), VM: d.cfg.VM,
		Customer: c.Customer.Name, Target: c.Target, Version: decision.Version,
		Endpoint: decision.Endpoint.Name, Owner: decision.Owner, Home: decision.Home, Reason: decision.Reason,
		Blocks: uint32(len(decision.Blocks)), CachedBlocks: uint32(decision.CachedBlocks),
		Candidates: uint32(decision.Candidates), Expected: durationpb.New(decision.ExpectedTime), Outcome: outcome,
	})
}

// PendingBlocks returns the number of blocks of calls that this VM sent, or is about to
// send, to an endpoint and that are not computed yet.
func (d *Dispatcher) PendingBlocks(endpoint string) int { return d.cfg.Router.PendingBlocks(endpoint) }
