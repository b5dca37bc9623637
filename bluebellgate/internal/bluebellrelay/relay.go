package bluebellrelay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"bluebellhaven.org/bluebell/bluebelllimit"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebellqueue"
	"bluebellhaven.org/bluebell/bluebelltier"
	"bluebellhaven.org/bluebellgate/internal/bluebelltransport"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// maxSends bounds the endpoints that are asked for one call, those that decline
	// included.
	maxSends = 4
	// maxAnswer bounds an answer that is held until it is complete, in bytes.
	maxAnswer = 8 << 20
	// leastLeft is the time below which a call is not sent any more: a round trip
	// and the work of a plain service.
	leastLeft = 20 * time.Millisecond
	// answerMargin is kept from the time limit for the way back to the caller.
	answerMargin = 10 * time.Millisecond
	// nearTokens are shared tokens that are worth waiting for: they take an engine 20 ms
	// to read, several times as long as it takes to move a call.
	nearTokens = 1000
	// retryWait is how long a call that was sent before, but has not run, waits while there is
	// no other endpoint that could take it: a registration may be on its way.
	retryWait = 100 * time.Millisecond
)

// Config sets up a Relay.
type Config struct {
	Placer *bluebellplacement.Placer
	Link   *bluebelltransport.Client
	Tier   *bluebelltier.Planner
	Budget Budget
	// Now is monotonic.
	Now func() time.Duration
	// Draw returns a number in [0, 1).
	Draw func() float64
	// Count counts an event, with the target that it concerns.
	Count func(name, target string)
	// FirstEvent records the time until an answer began.
	FirstEvent func(target string, d time.Duration)
	// Waited records how long a call waited for an endpoint.
	Waited func(target string, d time.Duration)
	Logger *log.Logger
}

// Relay is safe for concurrent use.
type Relay struct {
	cfg Config

	mu      sync.Mutex
	budgets map[string]*bluebelllimit.WindowBudget
	lobbies map[string]*lobby
}

// New returns a relay.
func New(cfg Config) *Relay {
	return &Relay{cfg: cfg, budgets: map[string]*bluebelllimit.WindowBudget{}, lobbies: map[string]*lobby{}}
}

// serving is the course of one call.
type serving struct {
	relay *Relay
	q     *Query
	sink  Sink
	start time.Duration

	// sends are the endpoints that were asked, runs those that may have run the call.
	sends, runs int
	// arrivals are the endpoints that may have received the call.
	arrivals int
	tried    []string
	// begun is set once the header has gone to the caller.
	begun bool
	// tier is what the present attempt fetches and writes.
	tier bluebelltier.Plan
	// lastEvent is the ID of the last event that the caller got.
	lastEvent string
	// unnumbered is set once the caller has got an event without an ID, behind which no
	// stream can go on.
	unnumbered bool
	// kept is a whole answer of an endpoint with a failure, which is delivered if no
	// better one comes.
	kept *wholeAnswer
	// cause of the latest failure.
	cause error
	// ended is set once the call has its final answer.
	ended bool
}

// step tells what follows an attempt.
type step int

const (
	// finished calls have their final answer.
	finished step = iota
	// again sends the call to another endpoint, if that is allowed.
	again
)

// Serve answers one call. The end of ctx means that the caller has left.
func (r *Relay) Serve(ctx context.Context, q *Query, sink Sink) {
	s := &serving{relay: r, q: q, sink: sink, start: r.cfg.Now(), lastEvent: q.Call.ResumeAfter}
	r.noteCall(q.Target.Name)
	ctx, cancel := context.WithDeadline(ctx, q.Deadline.Add(-answerMargin))
	defer cancel()
	for s.attempt(ctx) == again {
		if ctx.Err() != nil || !s.mayGoOn() {
			break
		}
	}
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.end("caller left", 0)
		return
	}
	s.conclude()
}

// mayGoOn tells whether the call may go to another endpoint.
func (s *serving) mayGoOn() bool {
	if s.sends >= maxSends || s.runs >= s.q.Route.Attempts || s.left() < leastLeft {
		return false
	}
	if s.runs > 0 && (s.unnumbered || !s.q.Route.Repeatable()) {
		return false
	}
	if s.arrivals > 0 && !s.relay.mayRepeat(s.q.Target.Name) {
		s.cause = errors.Join(s.cause, errors.New("the budget for repeats is used up"))
		s.relay.cfg.Count("repeats_denied", s.q.Target.Name)
		return false
	}
	return true
}

func (s *serving) left() time.Duration { return time.Until(s.q.Deadline) - answerMargin }

// place waits for an endpoint that can take the call.
func (s *serving) place(ctx context.Context) (bluebellplacement.Choice, bluebellplacement.PickResult) {
	cfg := &s.relay.cfg
	r := bluebellplacement.Request{Target: s.q.Target.Name, Tried: s.tried}
	if s.q.Target.Engine != nil {
		r.Model = s.q.Call.Model
		describePrompt(&r, s.q.Call)
		r.FetchTime = cfg.Tier.FetchTime(s.shared(cfg.Placer.NewestVersion(r.Model), cfg.Placer.FailureDomain()))
	}
	now := cfg.Now()
	w := bluebellqueue.Waiter{
		Priority: s.q.priority(), Arrived: now, ObjectiveEnd: s.start + s.q.Route.Objective, Deadline: now + s.left(),
		Objective: s.q.Route.Objective, MayHaveRun: s.runs > 0, Tokens: r.Tokens(),
	}
	until := bluebellqueue.WaitUntil(w)
	g := &guest{waiter: w, request: r, unfitUntil: until}
	if len(s.tried) > 0 && !w.MayHaveRun {
		g.unfitUntil = min(until, now+retryWait)
	}
	if r.SharedTokens >= nearTokens && len(s.tried) == 0 {
		g.nearUntil = bluebellqueue.HomesOnlyUntil(w)
	}
	choice, absence := s.relay.lobby(r.Target).wait(ctx, g, until)
	if waited := cfg.Now() - now; waited > lobbyTick {
		cfg.Waited(r.Target, waited)
	}
	return choice, absence
}

func (r *Relay) lobby(target string) *lobby {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lobbies[target]
	if l == nil {
		l = &lobby{now: r.cfg.Now, place: r.placeNow}
		r.lobbies[target] = l
	}
	return l
}

// placeNow picks an endpoint and counts the call as sent to it, so that the next
// one that waits finds it so.
func (r *Relay) placeNow(request bluebellplacement.Request) (bluebellplacement.Choice, bluebellplacement.PickResult) {
	now := r.cfg.Now()
	choice, absence := r.cfg.Placer.Pick(now, request)
	if absence == bluebellplacement.Picked {
		r.cfg.Placer.Sent(&choice, now)
	}
	return choice, absence
}

// attempt sends the call to one endpoint and carries its answer back.
func (s *serving) attempt(ctx context.Context) step {
	asked := s.relay.cfg.Now()
	choice, absence := s.place(ctx)
	if absence != bluebellplacement.Picked {
		s.cause = errors.Join(s.cause, errors.New("no endpoint: "+absence.String()))
		return finished
	}
	left := s.left()
	if left < leastLeft {
		s.relay.cfg.Placer.Done(choice, s.relay.cfg.Now(), bluebellplacement.Abandoned)
		return finished
	}
	s.sends++
	s.tried = append(s.tried, choice.Endpoint.ID)
	cfg := &s.relay.cfg
	cfg.Logger.Info("placed", "Call", s.q.Call.ID, "Endpoint", choice.Endpoint.ID, "Address", choice.Endpoint.Address,
		"Home", choice.AtHome, "Expected", choice.Expected.Round(time.Millisecond), "Candidates", choice.Candidates, "Waited", (cfg.Now() - asked).Round(time.Millisecond),
		"HeardAgo", choice.RegistrationAge.Round(time.Millisecond), "Weights", choice.Weights, "Attempt", s.sends, "Revision", s.q.Revision)
	mayRepeat := s.q.Route.Repeatable() && s.runs+1 < s.q.Route.Attempts
	patience := firstPatience(s.q.Route, choice, left, mayRepeat)
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	exchange, err := cfg.Link.Do(attemptCtx, bluebelltransport.Request{
		Address: choice.Endpoint.Address, Method: s.q.Method, URI: s.q.URI, Host: s.q.Host, Body: s.q.Body,
		Header:         s.header(choice, left),
		MatchResponse:  s.answers,
		ConnectTimeout: connectPatience(s.q.Route),
		HeaderDeadline: time.Now().Add(patience),
		ExtendDeadline: s.goOn(choice, patience),
		AckTimeout:     silencePatience(left, mayRepeat),
	})
	if err != nil {
		return s.failed(ctx, choice, err)
	}
	defer exchange.Close()
	s.arrivals++
	return s.answered(ctx, choice, exchange, mayRepeat)
}

// answers tells whether an answer belongs to this call. Answers that name no call
// are taken, since an endpoint that declines early may not name it.
func (s *serving) answers(status int, h http.Header) bool {
	id := bluebellplatform.DecodeAnswer(status, h).CallID
	return id == "" || id == s.q.Call.ID
}

func (s *serving) header(choice bluebellplacement.Choice, left time.Duration) http.Header {
	o := bluebellplatform.OutgoingCall{
		Endpoint: choice.Endpoint.ID, TimeLeft: left, WeightsVersion: choice.Weights, Priority: s.q.priority(),
		ModelCall: s.q.Target.Engine != nil, ResumeAfter: s.lastEvent, CacheScope: s.cacheScope(choice.Weights),
	}
	if s.q.Target.Engine != nil && len(s.q.Call.Blocks) > 0 {
		r := s.shared(choice.Weights, choice.Endpoint.FailureDomain)
		r.HomeDomain = choice.HomeDomain
		if !choice.AtHome {
			r.Home = choice.HomeAddress
		}
		plan := s.relay.cfg.Tier.Plan(r)
		s.tier = plan
		o.Fetch, o.Save = plan.Fetch, plan.Save
		s.relay.cfg.Logger.Info("tier", "Call", s.q.Call.ID, "Scope", r.Scope, "Held", plan.HeldTokens, "Shared", r.Tokens(),
			"Fetch", plan.Fetch, "Save", plan.Save)
	}
	if s.q.Customer != nil {
		o.Customer = s.q.Customer.Name
	}
	return bluebellplatform.EncodeCall(s.q.Header, o)
}

// failed handles a call without an answer.
func (s *serving) failed(ctx context.Context, choice bluebellplacement.Choice, err error) step {
	var failure *bluebelltransport.Error
	if !errors.As(err, &failure) {
		failure = &bluebelltransport.Error{MaybeSent: true, Err: err}
	}
	outcome := bluebellplacement.ConnectionFailed
	switch {
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		outcome = bluebellplacement.Abandoned
	case failure.Timeout && failure.MaybeSent:
		outcome = bluebellplacement.TimedOut
	}
	s.done(choice, outcome, err)
	if failure.MaybeSent {
		s.arrivals++
		s.runs++
	}
	return again
}

func (s *serving) done(choice bluebellplacement.Choice, o bluebellplacement.Outcome, err error) {
	cfg := &s.relay.cfg
	cfg.Placer.Done(choice, cfg.Now(), o)
	cfg.Tier.FetchesDone(s.tier)
	s.relay.lobby(s.q.Target.Name).ended()
	if o == bluebellplacement.Answered {
		return
	}
	s.cause = err
	cfg.Count("attempt_"+o.String(), s.q.Target.Name)
	cfg.Logger.Warn("attempt failed", "Call", s.q.Call.ID, "Endpoint", choice.Endpoint.ID, "Outcome", o, "Error", err,
		"Attempt", s.sends, "Took", (cfg.Now() - s.start).Round(time.Millisecond))
}
