package bluebellrelay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebelllink"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebellgate/internal/bluebellhandover"
	"bluebellhaven.org/bluebellgate/internal/bluebelltransport"
	"bluebellhaven.org/platform/bluebellplatform"
)

// An entry that has lost its links to a target hands calls over to entries that have not. This file is
// about both sides: the origin, which has the caller, and the helper. See bluebellhandover.

const (
	// maxHelpers limits the entries to which one attempt is offered.
	maxHelpers = 3
	// maxUnopened is the number of attempts that could not open a connection after which a call
	// is handed over although it is not known whether the links are lost.
	maxUnopened = 2
	// helperConnectTimeout is how long a connection to another entry may take to open and to be
	// authenticated.
	helperConnectTimeout = 250 * time.Millisecond
	// queryTimeout is how long another entry may take to say whether it would take a call.
	queryTimeout = 100 * time.Millisecond
	// handoverMargin is the part of the time left that is kept for the way to a helper and back.
	handoverMargin = 5 * time.Millisecond
	// helperWaitShare is the share of the objective for which a call may wait in the queue of a
	// helper, in addition to the timeout of its endpoint.
	helperWaitShare = 0.5
	// maxDiscardBytes and discardTime limit what is read of an answer that is not used, so that
	// its connection can be reused.
	maxDiscardBytes = 4 << 10
	discardTime     = 20 * time.Millisecond
)

var (
	errNoHelper = errors.New("no other entry takes the call")
	// errHelperFailed is the cause of an attempt at a helper whose endpoint may have run the call.
	errHelperFailed  = errors.New("the helper's endpoint gave no answer")
	errHelperRefused = errors.New("the helper refused the call without running it")
	errNotHelper     = errors.New("the answer is not one of a helper")
)

// HandoverConfig holds what a Relay needs to hand calls over.
type HandoverConfig struct {
	Helpers *bluebellhandover.Helpers
	// Client sends calls to other entries.
	Client *bluebelltransport.Client
}

// linkState returns the state of the links to the call's target.
func (c *activeCall) linkState() bluebelllink.State {
	if c.relay.cfg.Links == nil {
		return bluebelllink.Linked
	}
	return c.relay.cfg.Links.State(c.request.Target.Name)
}

// recordLink records an attempt at an endpoint that failed at the level of its connection. A response that is too
// large has come through it.
func (c *activeCall) recordLink(choice bluebellplacement.Choice, outcome bluebellplacement.Outcome, err error) {
	var failure *bluebelltransport.Error
	if !errors.As(err, &failure) || outcome == bluebellplacement.Abandoned || outcome == bluebellplacement.Malformed || c.relay.cfg.Links == nil {
		return
	}
	if failure.Stage == bluebelltransport.Connecting {
		c.unopened = append(c.unopened, choice.Endpoint.ID)
	} else {
		c.unheard = append(c.unheard, choice.Endpoint.ID)
	}
	c.relay.cfg.Links.RecordFailure(c.relay.cfg.Now(), c.request.Target.Name, choice.Endpoint.ID)
}

// recordSilence records that an endpoint has sent nothing in time, although the call stays there.
func (c *activeCall) recordSilence(choice bluebellplacement.Choice) {
	if links := c.relay.cfg.Links; links != nil && c.helper == "" {
		links.RecordFailure(c.relay.cfg.Now(), c.request.Target.Name, choice.Endpoint.ID)
	}
}

// mayHandOver reports whether the next attempt may be that of another entry.
func (c *activeCall) mayHandOver() bool {
	return c.request.Offer == nil && c.relay.cfg.Handover.Helpers != nil && !c.returns()
}

// prefersHelper reports whether the next attempt is to be that of another entry.
func (c *activeCall) prefersHelper() bool {
	return c.mayHandOver() && c.reserved == nil &&
		(c.helperReserved != "" || len(c.unopened) >= maxUnopened || c.linkState() == bluebelllink.Lost)
}

// needsHelper reports whether no endpoint was picked because only other entries have a share of the
// endpoints' slots, because of this entry's links, or perhaps because of them: connections could not be
// opened, and the endpoints have all failed or been tried.
func (c *activeCall) needsHelper(result bluebellplacement.PickResult) bool {
	switch result {
	case bluebellplacement.LinksLost, bluebellplacement.AllShared:
		return true
	case bluebellplacement.AllSuspect, bluebellplacement.AllUnfit:
		return len(c.unopened) > 0 || c.linkState() == bluebelllink.Checking
	}
	return false
}

// reserveHelper reserves a retry for an attempt of another entry. The entry is asked first: the call is at
// an endpoint or another entry, which may go on, and leaves it only for one that takes the call.
func (c *activeCall) reserveHelper() bool {
	if !c.mayHandOver() {
		return false
	}
	cfg, target := &c.relay.cfg, c.request.Target.Name
	asked := []string{c.helper}
	for len(asked) <= maxHelpers {
		helper, ok := cfg.Handover.Helpers.Pick(target, asked, nil)
		if !ok {
			return false
		}
		asked = append(asked, helper)
		if !c.agrees(helper) {
			continue
		}
		if !c.relay.takeRetry(target) {
			cfg.CountEvent("repeats_denied", target)
			return false
		}
		c.helperReserved = helper
		return true
	}
	return false
}

// agrees asks an entry whether it would take a call.
func (c *activeCall) agrees(helper string) bool {
	cfg, start := &c.relay.cfg, c.relay.cfg.Now()
	header := http.Header{}
	bluebellhandover.Offer{Revision: c.request.Revision, Target: c.request.Target.Name, Query: true}.Encode(header)
	exchange, err := cfg.Handover.Client.Do(context.Background(), bluebelltransport.Request{
		Address: helper, Method: http.MethodGet, URI: "/", Host: c.request.Host, Header: header,
		MatchResponse:  func(int, http.Header) bool { return true },
		ConnectTimeout: helperConnectTimeout, HeaderDeadline: time.Now().Add(helperConnectTimeout + queryTimeout),
	})
	if err != nil {
		c.recordUnreachable(helper, err, start)
		return false
	}
	defer exchange.Close()
	answer, err := bluebellhandover.DecodeResult(exchange.Header())
	err = errors.Join(err, exchange.Discard(maxDiscardBytes, time.Now().Add(discardTime)))
	if err != nil || answer.Outcome != bluebellhandover.Accepted {
		c.recordDecline(helper, "declined", start)
		return false
	}
	return true
}

// Linked reports whether this entry has not lost the links to a target.
func (r *Relay) Linked(target string) bool {
	return r.cfg.Links == nil || r.cfg.Links.State(target) != bluebelllink.Lost
}

// endpointWithoutHelper returns an endpoint for a call that no other entry takes. Lost links are used
// only if answers still arrive on open connections, or if the call would be broken off otherwise.
func (c *activeCall) endpointWithoutHelper(ctx context.Context) (bluebellplacement.Choice, bluebellplacement.PickResult) {
	cfg := &c.relay.cfg
	if c.linkState() == bluebelllink.Lost {
		if c.request.Offer != nil || !c.headerSent && !cfg.Links.Live(cfg.Now(), c.request.Target.Name) {
			return bluebellplacement.Choice{}, bluebellplacement.LinksLost
		}
		c.ignoreLinks = true
	}
	return c.nextEndpoint(ctx)
}

// handOver makes the next attempt at another entry. It reports false if none takes the call.
func (c *activeCall) handOver(ctx context.Context) (result attemptResult, taken bool) {
	if !c.mayHandOver() {
		return resultFinal, false
	}
	cfg := &c.relay.cfg
	reserved := c.helperReserved
	c.helperReserved = ""
	defer func() { c.helper = "" }()
	var asked []string
	for len(asked) < maxHelpers && ctx.Err() == nil && c.timeLeft()-handoverMargin >= minTimeLeft {
		helper, ok := reserved, true
		if len(asked) > 0 || reserved == "" {
			helper, ok = cfg.Handover.Helpers.Pick(c.request.Target.Name, asked, c.holders)
		}
		if !ok {
			break
		}
		asked = append(asked, helper)
		c.helper = helper
		if result, taken := c.offerTo(ctx, helper); taken {
			return result, true
		}
	}
	cfg.CountEvent("handovers_not_taken", c.request.Target.Name)
	c.cause = errors.Join(c.cause, fmt.Errorf("%w: asked %v", errNoHelper, asked))
	return resultFinal, false
}

// offerTo offers the call to an entry. It reports false if the entry declines it, so that the call has
// not run there.
func (c *activeCall) offerTo(ctx context.Context, helper string) (result attemptResult, taken bool) {
	cfg := &c.relay.cfg
	c.resetAttempt()
	start := cfg.Now()
	timeLeft := c.timeLeft() - handoverMargin
	retryable := c.request.Route.Repeatable() && c.runs+1 < c.request.Route.Attempts
	choice := bluebellplacement.Choice{}
	timeout := min(firstEventTimeout(c.request.Route, choice, timeLeft, retryable)+time.Duration(helperWaitShare*float64(c.request.Route.Objective)), timeLeft)
	offerCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	exchange, err := cfg.Handover.Client.Do(offerCtx, bluebelltransport.Request{
		Address: helper, Method: c.request.Method, URI: c.request.URI, Host: c.request.Host, Body: c.request.Body,
		Header:         c.offerHeader(timeLeft),
		MatchResponse:  func(int, http.Header) bool { return true },
		ConnectTimeout: min(helperConnectTimeout, timeLeft),
		HeaderDeadline: time.Now().Add(timeout),
		ExtendDeadline: c.extendDeadline(choice, timeout),
		AckTimeout:     ackTimeout(timeLeft, retryable),
	})
	var failure *bluebelltransport.Error
	if errors.As(err, &failure) && !failure.MaybeSent && !callerLeft(ctx) {
		c.recordUnreachable(helper, err, start)
		return resultFinal, false
	}
	c.sends++
	cfg.Handover.Helpers.Reached()
	cfg.CountEvent("calls_handed_over", c.request.Target.Name)
	if err != nil {
		if (failure == nil || !failure.Timeout) && ctx.Err() == nil {
			cfg.Handover.Helpers.Failed(helper, c.request.Target.Name)
		}
		cfg.Logger.Info("call handed over", "Call", c.request.Call.ID, "Helper", helper, "Outcome", "lost", "Attempt", c.sends, "Links", c.linkState())
		return c.handleTransportError(ctx, choice, err), true
	}
	defer exchange.Close()
	helped, err := bluebellhandover.DecodeResult(exchange.Header())
	if err != nil {
		helped.Outcome, helped.Received = bluebellhandover.Failed, 1
		cfg.Handover.Helpers.Failed(helper, c.request.Target.Name)
		c.cause = errors.Join(errNotHelper, err)
	}
	c.tried = append(c.tried, helped.Endpoints...)
	if helped.Outcome == bluebellhandover.Declined && helped.Received == 0 {
		c.sends--
		_ = exchange.Discard(maxDiscardBytes, time.Now().Add(discardTime))
		c.recordDecline(helper, "declined", start)
		return resultFinal, false
	}
	cfg.Logger.Info("call handed over", "Call", c.request.Call.ID, "Helper", helper, "Outcome", helped.Outcome, "Endpoints", helped.Endpoints,
		"Attempt", c.sends, "Links", c.linkState(), "Took", (cfg.Now() - start).Round(time.Millisecond))
	if helped.Received > 0 {
		c.received++
	}
	if helped.Outcome == bluebellhandover.Answered {
		return c.handleAnswer(ctx, choice, exchange, retryable), true
	}
	_ = exchange.Discard(maxDiscardBytes, time.Now().Add(discardTime))
	if helped.Outcome == bluebellhandover.Failed {
		c.countRun()
		c.endAttempt(choice, bluebellplacement.InvalidAnswer, errors.Join(c.cause, errHelperFailed))
		return resultRetry, true
	}
	c.cause, c.retryAfter = errHelperRefused, helped.RetryAfter
	return resultFinal, true
}

// recordUnreachable records that no connection to an entry could be opened.
func (c *activeCall) recordUnreachable(helper string, err error, start time.Duration) {
	cfg := &c.relay.cfg
	cfg.Handover.Helpers.Unreachable(helper, c.request.Target.Name)
	cfg.CountEvent("helpers_unreachable", c.request.Target.Name)
	cfg.Logger.Info("call not taken", "Call", c.request.Call.ID, "Helper", helper, "Cause", err, "Took", (cfg.Now() - start).Round(time.Millisecond))
}

// recordDecline records that an entry has not run the call and does not want it.
func (c *activeCall) recordDecline(helper, cause string, start time.Duration) {
	cfg := &c.relay.cfg
	cfg.Handover.Helpers.Declined(helper, c.request.Target.Name)
	cfg.CountEvent("handovers_declined", c.request.Target.Name)
	cfg.Logger.Info("call not taken", "Call", c.request.Call.ID, "Helper", helper, "Cause", cause, "Took", (cfg.Now() - start).Round(time.Millisecond))
}

// offerHeader returns the header with which the call is offered: that of the caller, with the key, which
// the helper checks again.
func (c *activeCall) offerHeader(timeLeft time.Duration) http.Header {
	if c.request.Route.Work == bluebelldeployment.Stream {
		// Once it has begun, a stream lasts until the caller's limit, since no other answer can follow.
		timeLeft = time.Until(c.request.Deadline)
	}
	h := bluebellplatform.EndToEndHeader(c.request.Header)
	bluebellhandover.Strip(h)
	tried := slices.DeleteFunc(slices.Clone(c.tried), func(id string) bool { return slices.Contains(c.unopened, id) })
	bluebellhandover.Offer{
		Revision: c.request.Revision, Target: c.request.Target.Name, Tried: tried, Silent: c.unheard, TimeLeft: timeLeft,
		Waited: c.relay.cfg.Now() - c.start, ResumeAfter: c.order.last,
	}.Encode(h)
	return h
}

// addResult adds what the helper has done with the call to the header of its answer. It does nothing
// for the calls of this entry's own callers.
func (c *activeCall) addResult(h http.Header, outcome bluebellhandover.Outcome, retryAfter time.Duration) {
	if c.request.Offer == nil {
		return
	}
	bluebellhandover.Result{
		Outcome: outcome, Endpoints: c.tried[len(c.request.Offer.Tried):], Received: c.received, RetryAfter: retryAfter,
	}.Encode(h)
}

// refusalOutcome returns Declined if another entry may be able to run the call that a helper refuses.
func (c *activeCall) refusalOutcome() bluebellhandover.Outcome {
	if c.received == 0 && (len(c.unopened) > 0 || c.linkState() != bluebelllink.Linked) {
		return bluebellhandover.Declined
	}
	return bluebellhandover.Refused
}
