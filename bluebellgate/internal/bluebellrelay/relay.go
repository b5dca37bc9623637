package bluebellrelay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebelllimit"
	"bluebellhaven.org/bluebell/bluebelllink"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebellpressure"
	"bluebellhaven.org/bluebell/bluebellquarantine"
	"bluebellhaven.org/bluebell/bluebellqueue"
	"bluebellhaven.org/bluebell/bluebelltier"
	"bluebellhaven.org/bluebell/bluebellusage"
	"bluebellhaven.org/bluebellgate/internal/bluebelltransport"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// maxSends limits the attempts of one call, including those that endpoints refuse.
	maxSends = 4
	// maxAnswerBytes limits the size of an answer that is buffered until it is complete.
	maxAnswerBytes = 8 << 20
	// maxRefusalBytes limits the body of a refusal, which is not passed on.
	maxRefusalBytes = 64 << 10
	// streamBytesPerToken and streamBytes limit a stream by the tokens that the call may have. They are many times
	// the size of an event and of what surrounds the events.
	streamBytesPerToken = 4 << 10
	streamBytes         = 64 << 10
	// minTimeLeft is the remaining time below which a call is not sent: a round trip and
	// the work of a service without an engine.
	minTimeLeft = 20 * time.Millisecond
	// answerMargin is the part of the caller's time that is reserved for returning the
	// answer.
	answerMargin = 10 * time.Millisecond
	// minHomeWaitTokens is the number of shared tokens from which a call waits for the
	// prompt's homes, the endpoints that should have the prompt cached. An engine takes
	// 20 ms to process that many, several times as long as it takes to move a call.
	minHomeWaitTokens = 1000
	// registrationWait is how long a call that was sent but has not run waits while no
	// other endpoint could take it, because a registration may be about to arrive.
	registrationWait = 100 * time.Millisecond
)

// Config holds the dependencies and settings of a Relay.
type Config struct {
	Placer       *bluebellplacement.Placer
	Client       *bluebelltransport.Client
	CachePlanner *bluebelltier.Planner
	RetryLimits  RetryLimits
	// Guard refuses calls that crash endpoints.
	Guard *bluebellquarantine.Guard
	// Deployment returns the deployment in force, which may be newer than that of a call.
	Deployment func() *bluebelldeployment.Deployment
	// KnowsSharing reports whether the deployment says who shares cached blocks with whom now. While this entry receives
	// no declarations, a customer may have become isolated. If nil, it always does.
	KnowsSharing func() bool
	// Links holds the state of the links to endpoints, and Handover what is needed to hand calls
	// over while they are lost. Without them, no links are ever lost and no calls handed over.
	Links    *bluebelllink.Tracker
	Handover HandoverConfig
	// Usage counts the calls that endpoints run.
	Usage UsageConfig
	// OtherDemand returns the calls that wait at other entries for a target. It may be nil.
	OtherDemand func(target string) bluebellpressure.Demand
	// Now returns the time of a monotonic clock.
	Now func() time.Duration
	// Random returns a random number in [0, 1).
	Random func() float64
	// CountEvent increments the counter of an event at a target.
	CountEvent func(name, target string)
	// RecordFirstEvent records the time until the first event of a stream, or until the
	// complete answer to any other call.
	RecordFirstEvent func(target string, d time.Duration)
	// RecordWait records how long a call waited for an endpoint.
	RecordWait func(target string, d time.Duration)
	Logger     *log.Logger
}

// Relay sends calls to endpoints and returns their answers. It is safe for concurrent use.
type Relay struct {
	cfg Config

	mu         sync.Mutex
	budgets    map[string]*bluebelllimit.WindowBudget
	waitQueues map[string]*waitQueue
	// malformedLoggedAt is when a malformed load report was last logged, malformedUnlogged the number
	// of those since.
	malformedLoggedAt time.Duration
	malformedUnlogged int
}

// New returns a Relay.
func New(cfg Config) *Relay {
	return &Relay{cfg: cfg, budgets: map[string]*bluebelllimit.WindowBudget{}, waitQueues: map[string]*waitQueue{}}
}

// activeCall is the state of one call over all its attempts.
type activeCall struct {
	relay   *Relay
	request *Request
	sink    Sink
	start   time.Duration

	// sends counts the attempts, runs those in which the endpoint may have run the call.
	sends, runs int
	// runCounted is set if runs includes the current attempt.
	runCounted bool
	// received counts the attempts in which the endpoint may have received the call.
	received int
	// tried holds the IDs of the endpoints of all attempts, and silent those of them that were left
	// because they sent nothing.
	tried, silent []string
	// reserved is the endpoint that is reserved for the next attempt, or nil. helperReserved is
	// the address of another entry that has agreed to make the next attempt, "" if there is none.
	reserved       *bluebellplacement.Choice
	helperReserved string
	// holders are the entries that have a share of the endpoints' slots, set if only they have one.
	holders []string
	// helper is the address of the entry that makes the current attempt, "" if it is this one.
	helper string
	// unopened holds the IDs of the endpoints to which no connection could be opened, unheard those of
	// the other endpoints whose attempts failed at the level of the connection.
	unopened, unheard []string
	// ignoreLinks is set once the call is sent to endpoints although the links are lost.
	ignoreLinks bool
	// retryAfter is when a helper lets the refused call be sent again, 0 if not known.
	retryAfter time.Duration
	// headerSent is set once the header has been sent to the caller.
	headerSent bool
	// sharing is with whom the call shares cached blocks in the current attempt.
	sharing sharing
	// cachePlan names the cached blocks that the endpoint fetches and saves in the current
	// attempt.
	cachePlan bluebelltier.Plan
	// order is the place in the stream behind the events that the caller has received.
	order eventOrder
	// sentEventWithoutID is set once the caller has received an event without an ID. The
	// stream cannot be resumed after it.
	sentEventWithoutID bool
	// begun is set at begunAt, once the current attempt has had an event or a whole answer.
	begun   atomic.Bool
	begunAt time.Duration
	// unframed is set if the answer of the current attempt ends with its connection.
	unframed bool
	// allowedAt is when the limits of the endpoints allow the next call, 0 if not known.
	allowedAt time.Duration
	// connection is what the connection of the current attempt had carried, and status that of its
	// answer, 0 without one. identified is set if the answer names the call.
	connection bluebelltransport.ConnectionUse
	status     int
	identified bool
	// usageRun is the run of the current attempt that is counted once the endpoint has answered, or nil.
	usageRun *bluebellusage.Run
	// saturated is set if the latest search found no endpoint for lack of room, and refusal if the call
	// was refused on arrival for it.
	saturated bool
	refusal   *bluebellpressure.Refusal
	// subjects are the parts of the call that may be in quarantine.
	subjects []bluebellquarantine.Subject
	// crashed is set once an attempt has ended in a crash. Later ones use new connections, which shows
	// that their endpoints were alive after it.
	crashed bool
	// errorAnswer is an answer with an error status, which is delivered if no later attempt
	// gives a better one.
	errorAnswer *bufferedAnswer
	// cause is the latest failure.
	cause error
	// ended is set once the call has a final outcome.
	ended bool
}

// attemptResult says whether the call goes on after an attempt.
type attemptResult int

const (
	// resultFinal means that no further attempt is made.
	resultFinal attemptResult = iota
	// resultRetry means that the call is retried at another endpoint, if that is allowed.
	resultRetry
)

// Serve sends one call to endpoints and its answer to sink. The cancellation of ctx means
// that the caller has disconnected.
func (r *Relay) Serve(ctx context.Context, request *Request, sink Sink) {
	c := &activeCall{
		relay: r, request: request, sink: sink, start: r.cfg.Now(), order: eventOrder{last: request.Call.ResumeAfter},
		subjects: r.subjects(request, r.cfg.Guard.NeedsCalls()),
	}
	c.sharing = c.currentSharing()
	if offer := request.Offer; offer != nil {
		c.start -= offer.Waited
		c.tried, c.silent = slices.Clone(offer.Tried), slices.Clone(offer.Silent)
		if offer.ResumeAfter != "" {
			c.order = eventOrder{last: offer.ResumeAfter}
		}
	} else {
		r.recordCall(request.Target.Name)
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	defer c.releaseReserved()
	ctx, withdraw := context.WithCancelCause(ctx)
	defer withdraw(nil)
	defer c.watchQuarantine(withdraw)()
	for c.attempt(ctx) == resultRetry {
		if ctx.Err() != nil || !c.mayRetry() {
			break
		}
	}
	var quarantined *QuarantinedError
	switch {
	case c.ended:
		return
	case errors.As(context.Cause(ctx), &quarantined):
		c.cause = quarantined
	case callerLeft(ctx):
		c.finish("caller left", 0)
		c.sink.Abort()
	}
	c.sendFinalAnswer()
}

// mayRetry reports whether the call may be sent to another endpoint. It takes a retry from
// the target's budget if an endpoint may have received the call.
func (c *activeCall) mayRetry() bool {
	if c.reserved != nil || c.helperReserved != "" {
		return true
	}
	if !c.retryAllowed(c.runs) && !c.mayReturn() {
		return false
	}
	if c.received > 0 && !c.relay.takeRetry(c.request.Target.Name) {
		c.cause = errors.Join(c.cause, errors.New("the target's retry budget is used up"))
		c.relay.cfg.CountEvent("repeats_denied", c.request.Target.Name)
		return false
	}
	return true
}

// retryAllowed reports whether the call may be sent once more after the given number of runs, as
// far as the call itself is concerned.
func (c *activeCall) retryAllowed(runs int) bool {
	if c.sends >= maxSends || runs >= c.request.Route.Attempts || c.timeLeft() < minTimeLeft {
		return false
	}
	return runs == 0 || c.mayRepeat()
}

// mayRepeat reports whether the call may run once more.
func (c *activeCall) mayRepeat() bool {
	return c.request.Offer == nil && !c.sentEventWithoutID && c.request.Route.Repeatable()
}

// mayReturn reports whether a stream that has used up its attempts may go back to an endpoint that was
// left because it was silent, which involves no further endpoint.
func (c *activeCall) mayReturn() bool {
	return c.headerSent && len(c.silent) > 0 && c.sends < maxSends && c.timeLeft() >= minTimeLeft && c.mayRepeat()
}

// returns reports whether the next attempt may only be at an endpoint that was left.
func (c *activeCall) returns() bool { return c.runs >= c.request.Route.Attempts }

// timeLeft returns the time that remains for attempts.
func (c *activeCall) timeLeft() time.Duration { return time.Until(c.request.Deadline) - answerMargin }

// nextEndpoint returns the endpoint for the next attempt. If no other endpoint takes the call, one that
// was left because it was silent may have gone on since.
func (c *activeCall) nextEndpoint(ctx context.Context) (bluebellplacement.Choice, bluebellplacement.PickResult) {
	if c.reserved != nil {
		choice := *c.reserved
		c.reserved = nil
		return choice, bluebellplacement.Picked
	}
	if c.returns() {
		return c.selectEndpoint(ctx, bluebellplacement.Request{Only: c.silent})
	}
	choice, result := c.selectEndpoint(ctx, bluebellplacement.Request{Tried: c.tried})
	if result == bluebellplacement.Picked || len(c.silent) == 0 {
		return choice, result
	}
	others := slices.DeleteFunc(slices.Clone(c.tried), func(id string) bool { return slices.Contains(c.silent, id) })
	return c.selectEndpoint(ctx, bluebellplacement.Request{Tried: others})
}

// placementRequest adds the description of the call to a request to the placer.
func (c *activeCall) placementRequest(r bluebellplacement.Request) bluebellplacement.Request {
	cfg := &c.relay.cfg
	r.Target, r.Priority, r.IgnoreLinks = c.request.Target.Name, c.request.priority(), c.ignoreLinks
	if c.request.Target.Engine != nil {
		r.Model = c.request.Call.Model
		describePrompt(&r, c.request.Call)
		r.FetchTime = cfg.CachePlanner.FetchTime(c.sharedBlocks(cfg.Placer.NewestVersion(r.Model), cfg.Placer.FailureDomain()))
	}
	return r
}

// selectEndpoint waits for an endpoint that can take the call, of those that the request allows.
func (c *activeCall) selectEndpoint(ctx context.Context, among bluebellplacement.Request) (bluebellplacement.Choice, bluebellplacement.PickResult) {
	cfg := &c.relay.cfg
	r := c.placementRequest(among)
	now := cfg.Now()
	w := bluebellqueue.Waiter{
		Priority: c.request.priority(), Arrived: now, ObjectiveEnd: c.start + c.request.Route.Objective, Deadline: now + c.timeLeft(),
		Objective: c.request.Route.Objective, MayHaveRun: c.runs > 0, Tokens: r.Tokens(),
		Urgency: urgencyOf(cfg.Placer.Ranks(r.Target), c.request.priority()),
	}
	if w.Urgency != bluebellqueue.Unranked {
		w.Work, w.Protected = cfg.Placer.PrefillTime(r), cfg.Random() < bluebellqueue.ProtectedShare
	}
	until := bluebellqueue.WaitUntil(w)
	call := &waitingCall{waiter: w, request: r, unfitUntil: until}
	if len(r.Tried) > 0 && !w.MayHaveRun {
		call.unfitUntil = min(until, now+registrationWait)
	}
	if r.SharedTokens >= minHomeWaitTokens && c.sends == 0 && len(r.Tried) == 0 {
		call.homesOnlyUntil = bluebellqueue.HomesOnlyUntil(w)
	}
	choice, result := c.relay.waitQueue(r.Target).wait(ctx, call, until)
	c.saturated, c.refusal = result.Saturated(), call.refusal
	if waited := cfg.Now() - now; waited > pollInterval {
		cfg.RecordWait(r.Target, waited)
	}
	return choice, result
}

// waitQueue returns the queue of calls that wait for an endpoint of the target.
func (r *Relay) waitQueue(target string) *waitQueue {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.waitQueues[target]
	if q == nil {
		q = &waitQueue{
			now: r.cfg.Now, trySelect: r.trySelect, random: r.cfg.Random,
			pressure: func(own bluebellpressure.Demand) bluebellpressure.State { return r.pressure(target, own) },
		}
		r.waitQueues[target] = q
	}
	return q
}

// trySelect picks an endpoint, if one can take the call now. It counts the call as sent to
// the endpoint at once, so that the next waiting call sees this load.
func (r *Relay) trySelect(request bluebellplacement.Request) (bluebellplacement.Choice, bluebellplacement.PickResult) {
	now := r.cfg.Now()
	choice, result := r.cfg.Placer.Pick(now, request)
	if result == bluebellplacement.Picked {
		r.cfg.Placer.Sent(&choice, now)
	}
	return choice, result
}

// attempt sends the call to one endpoint and handles its answer.
func (c *activeCall) attempt(ctx context.Context) attemptResult {
	waitStart := c.relay.cfg.Now()
	if quarantined := c.quarantined(); quarantined != nil {
		c.cause = quarantined
		return resultFinal
	}
	choice, result := bluebellplacement.Choice{}, bluebellplacement.LinksLost
	if !c.prefersHelper() {
		choice, result = c.nextEndpoint(ctx)
	}
	c.holders = choice.Holders
	if c.needsHelper(result) {
		if result, taken := c.handOver(ctx); taken {
			return result
		}
		if result == bluebellplacement.LinksLost {
			choice, result = c.endpointWithoutHelper(ctx)
		}
	}
	if result == bluebellplacement.AllLimited {
		c.allowedAt = choice.AllowedAt
	}
	if result != bluebellplacement.Picked {
		reason := "no endpoint selected: " + result.String()
		if c.refusal != nil {
			reason += ", " + c.refusal.String()
		}
		c.cause = errors.Join(c.cause, errors.New(reason))
		return resultFinal
	}
	timeLeft := c.timeLeft()
	if timeLeft < minTimeLeft {
		c.relay.cfg.Placer.Done(choice, c.relay.cfg.Now(), bluebellplacement.Abandoned)
		return resultFinal
	}
	c.sends++
	c.resetAttempt()
	c.tried = append(c.tried, choice.Endpoint.ID)
	cfg := &c.relay.cfg
	cfg.Logger.Info("endpoint selected", "Call", c.request.Call.ID, "Endpoint", choice.Endpoint.ID, "Address", choice.Endpoint.Address,
		"Home", choice.AtHome, "Expected", choice.Expected.Round(time.Millisecond), "Candidates", choice.Candidates, "Waited", (cfg.Now() - waitStart).Round(time.Millisecond),
		"HeardAgo", choice.RegistrationAge.Round(time.Millisecond), "Weights", choice.Weights, "Attempt", c.sends, "Revision", c.request.Revision)
	retryable := c.request.Offer == nil && c.request.Route.Repeatable() && c.runs+1 < c.request.Route.Attempts
	timeout := firstEventTimeout(c.request.Route, choice, timeLeft, retryable)
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.beginUsage()
	exchange, err := cfg.Client.Do(attemptCtx, bluebelltransport.Request{
		Address: choice.Endpoint.Address, Method: c.request.Method, URI: c.request.URI, Host: c.request.Host, Body: c.request.Body,
		Header:         c.requestHeader(choice, timeLeft),
		CallID:         c.request.Call.ID,
		MatchResponse:  c.matchResponse,
		ConnectTimeout: min(connectTimeout(c.request.Route), timeLeft),
		HeaderDeadline: time.Now().Add(timeout),
		ExtendDeadline: c.extendDeadline(choice, timeout),
		AckTimeout:     ackTimeout(timeLeft, retryable),
		NewConnection:  c.crashed,
		SingleUse:      c.request.Call.ID == "",
		MaxStreamBytes: c.maxStreamBytes(),
	})
	if err != nil {
		return c.handleTransportError(ctx, choice, err)
	}
	defer exchange.Close()
	c.received++
	c.recordConnection(choice, exchange.Connection(), exchange.Skipped())
	if cfg.Links != nil {
		cfg.Links.RecordAnswer(cfg.Now(), c.request.Target.Name)
	}
	if a := bluebellplatform.DecodeAnswer(exchange.Status(), exchange.Header()); !a.WrongEndpoint && isIdentified(a, exchange) {
		cfg.Guard.RecordAnswer(cfg.Now(), waitStart, incarnation(choice))
	}
	return c.handleAnswer(ctx, choice, exchange, retryable)
}

// resetAttempt forgets what is known of the previous attempt.
func (c *activeCall) resetAttempt() {
	c.begun.Store(false)
	c.unframed, c.runCounted = false, false
	c.connection, c.status, c.identified = bluebelltransport.ConnectionUse{}, 0, false
}

// recordConnection records the use of the attempt's connection, and the number of answers to other calls
// that arrived on it. Only unusual use is logged here; a failed attempt logs all of it.
func (c *activeCall) recordConnection(choice bluebellplacement.Choice, use bluebelltransport.ConnectionUse, skipped int) {
	cfg := &c.relay.cfg
	c.connection = use
	if skipped > 0 {
		cfg.CountEvent("answers_skipped", c.request.Target.Name)
	}
	if skipped > 0 || use.Dropped > 0 {
		cfg.Logger.Info("unusual connection", "Call", c.request.Call.ID, "Endpoint", choice.Endpoint.ID, "Attempt", c.sends,
			"Skipped", skipped, "Connection", use.Number, "EarlierCalls", use.Calls, "Dropped", use.Dropped)
	}
}

// maxStreamBytes returns the limit of a stream, 0 if the number of its tokens has no limit.
func (c *activeCall) maxStreamBytes() int64 {
	if c.request.Call.MaxOutputTokens <= 0 {
		return 0
	}
	return streamBytes + streamBytesPerToken*int64(c.request.Call.MaxOutputTokens)
}

// matchResponse reports whether an answer has the ID of this call or none. An endpoint that
// refuses a call early may send no ID.
func (c *activeCall) matchResponse(status int, h http.Header) bool {
	id := bluebellplatform.DecodeAnswer(status, h).CallID
	return id == "" || id == c.request.Call.ID
}

// requestHeader returns the header of an attempt. It also plans which cached blocks the
// endpoint fetches and saves.
func (c *activeCall) requestHeader(choice bluebellplacement.Choice, timeLeft time.Duration) http.Header {
	c.sharing = c.currentSharing()
	if c.sharing.unknown {
		c.relay.cfg.CountEvent("sharing_unknown", c.request.Target.Name)
	}
	outgoing := bluebellplatform.OutgoingCall{
		Endpoint: choice.Endpoint.ID, TimeLeft: timeLeft, WeightsVersion: choice.Weights, Priority: c.request.priority(),
		ModelCall: c.request.Target.Engine != nil, ResumeAfter: c.order.last, CacheScope: c.cacheScope(choice.Weights),
	}
	c.cachePlan = bluebelltier.Plan{}
	if c.request.Target.Engine != nil && len(c.request.Call.Blocks) > 0 && choice.Weights > 0 {
		r := c.sharedBlocks(choice.Weights, choice.Endpoint.FailureDomain)
		r.HomeDomain, r.Expected = choice.HomeDomain, choice.Predicted
		if !choice.AtHome {
			r.Home = choice.HomeAddress
		}
		plan := c.relay.cfg.CachePlanner.Plan(r)
		c.cachePlan = plan
		outgoing.Fetch, outgoing.Save = plan.Fetch, plan.Save
		c.relay.cfg.Logger.Info("cache blocks planned", "Call", c.request.Call.ID, "Scope", r.Scope, "Held", plan.HeldTokens, "Shared", r.Tokens(),
			"Fetch", plan.Fetch, "Save", plan.Save)
	}
	if c.request.Customer != nil {
		outgoing.Customer = c.request.Customer.Name
	}
	return bluebellplatform.EncodeCall(c.request.Header, outgoing)
}

// handleTransportError processes an attempt that failed before an answer began.
func (c *activeCall) handleTransportError(ctx context.Context, choice bluebellplacement.Choice, err error) attemptResult {
	var failure *bluebelltransport.Error
	if !errors.As(err, &failure) {
		failure = &bluebelltransport.Error{MaybeSent: true, Err: err}
	}
	outcome := bluebellplacement.ConnectionFailed
	switch {
	case callerLeft(ctx):
		outcome = bluebellplacement.Abandoned
	case errors.Is(err, bluebelltransport.ErrMalformed):
		outcome = bluebellplacement.Malformed
	case (failure.Timeout || ctx.Err() != nil) && failure.MaybeSent:
		outcome = bluebellplacement.TimedOut
	}
	if c.helper == "" {
		c.recordConnection(choice, failure.Connection, failure.Skipped)
	}
	c.endUsage(failure.MaybeSent)
	c.endAttempt(choice, outcome, err)
	if failure.MaybeSent {
		c.received++
		c.countRun()
	}
	return resultRetry
}

// countRun counts that the endpoint of the current attempt may have run the call.
func (c *activeCall) countRun() { c.runs, c.runCounted = c.runs+1, true }

// callerLeft reports whether the call was canceled for another reason than its deadline.
func callerLeft(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// endAttempt records the outcome of an attempt.
func (c *activeCall) endAttempt(choice bluebellplacement.Choice, outcome bluebellplacement.Outcome, err error) {
	cfg := &c.relay.cfg
	if c.helper == "" {
		cfg.Placer.Done(choice, cfg.Now(), outcome)
		cfg.CachePlanner.FetchesDone(c.cachePlan)
		c.relay.waitQueue(c.request.Target.Name).callEnded()
		c.recordLink(choice, outcome, err)
		c.recordEvidence(choice, outcome, err)
	}
	if outcome == bluebellplacement.Answered {
		return
	}
	c.cause = err
	cfg.CountEvent("attempt_"+outcome.String(), c.request.Target.Name)
	cfg.Logger.Warn("attempt failed", "Call", c.request.Call.ID, "Endpoint", choice.Endpoint.ID, "Helper", c.helper, "Outcome", outcome, "Error", err,
		"Attempt", c.sends, "Took", (cfg.Now() - c.start).Round(time.Millisecond), "Begun", c.begun.Load(), "Blocks", c.loggedBlocks(),
		"Status", c.status, "Identified", c.identified, "Connection", c.connection.Number, "EarlierCalls", c.connection.Calls, "Dropped", c.connection.Dropped)
}
