package bluebellrelay

import (
	"errors"
	"net/http"
	"time"

	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellqueue"
	"bluebellhaven.org/bluebellgate/internal/bluebellhandover"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// unknownWeightsScope begins the scopes of calls to endpoints whose weights are not known.
	unknownWeightsScope = "unknown-weights/"
	// unknownCustomerScope begins the scopes of calls without a customer while it is not known who is isolated.
	unknownCustomerScope = "unknown-customer/"
)

// sharing is with whom a call shares cached blocks.
type sharing struct {
	// group is that of the deployment. alone is the name of the customer if it shares blocks with no other one.
	group, alone string
	// unknown is set while it is not known who is isolated.
	unknown bool
}

// currentSharing returns with whom the call shares cached blocks by the deployment in force: a customer may have
// become isolated since the call arrived. While newer declarations may be in force elsewhere, each customer may be
// isolated, so it shares blocks with its own calls only.
func (c *activeCall) currentSharing() sharing {
	deployment := c.relay.cfg.Deployment()
	s := sharing{group: deployment.SharingGroup(), unknown: c.relay.cfg.KnowsSharing != nil && !c.relay.cfg.KnowsSharing()}
	if customer := c.request.Customer; customer != nil && (s.unknown || customer.Isolated || deployment.Isolates(customer.Name)) {
		s.alone = customer.Name
	}
	return s
}

// cacheScope returns the scope of the call's cached blocks. Blocks of an isolated customer
// are shared with no other customer, and blocks of different weights are kept apart. Where the weights are not
// known (0), the scope is the call's own.
func (c *activeCall) cacheScope(weights uint64) string {
	customer := bluebelldirectory.SharedCustomer(c.sharing.group)
	switch {
	case weights == 0:
		customer = unknownWeightsScope + c.request.Call.ID
	case c.sharing.alone != "":
		customer = c.sharing.alone
	case c.sharing.unknown:
		customer = unknownCustomerScope + c.request.Call.ID
	}
	return bluebelldirectory.Scope(customer, c.request.Call.Model, weights)
}

// sendFinalAnswer answers the caller after the last attempt.
func (c *activeCall) sendFinalAnswer() {
	switch {
	case c.headerSent:
		c.abort()
	case c.errorAnswer != nil:
		c.deliver(*c.errorAnswer)
	case c.runs == 0:
		c.refuse()
	case c.timeLeft() <= minTimeLeft:
		c.fail(http.StatusGatewayTimeout)
	default:
		c.fail(http.StatusBadGateway)
	}
}

// refuse answers that the call has not run, with the time after which to retry.
func (c *activeCall) refuse() {
	inTime := c.request.Route.Objective - (c.relay.cfg.Now() - c.start)
	after := bluebellqueue.RetryAfter(time.Until(c.request.Deadline), inTime, c.relay.cfg.Random())
	roomAfter, atRoom := c.returnAfter()
	switch {
	case c.retryAfter > 0:
		after = c.retryAfter
	case atRoom:
		after = roomAfter
	case c.allowedAt > 0:
		after = max(after, bluebellqueue.RetryAt(c.allowedAt, c.relay.cfg.Random())-c.relay.cfg.Now())
	}
	var quarantined *QuarantinedError
	if errors.As(c.cause, &quarantined) {
		after = quarantined.Verdict.Until - c.relay.cfg.Now()
		c.relay.cfg.CountEvent("quarantined", c.request.Target.Name)
	}
	c.relay.cfg.CountEvent("refused", c.request.Target.Name)
	c.begin(http.StatusServiceUnavailable, bluebellplatform.RefusalHeader(c.request.Call.ID, after), c.refusalOutcome(), after)
	c.finish("refused", http.StatusServiceUnavailable)
}

// fail answers with a status that leaves open whether the call has run.
func (c *activeCall) fail(status int) {
	c.relay.cfg.CountEvent("failed", c.request.Target.Name)
	c.begin(status, bluebellplatform.RefusalHeader(c.request.Call.ID, 0), bluebellhandover.Failed, 0)
	c.finish("failed", status)
}

// finish counts the call and logs its outcome, once. A call that was answered at its first
// attempt gets a shorter log line.
func (c *activeCall) finish(outcome string, status int) {
	if c.ended {
		return
	}
	c.ended = true
	cfg := &c.relay.cfg
	took := (cfg.Now() - c.start).Round(time.Millisecond)
	cfg.CountEvent("calls_"+c.request.Route.Work.String(), c.request.Target.Name)
	if outcome == "answered" && c.sends == 1 {
		cfg.Logger.Info("call finished", "Call", c.request.Call.ID, "Route", c.request.Route.Name, "Outcome", outcome, "Status", status, "Took", took)
		return
	}
	customer := ""
	if c.request.Customer != nil {
		customer = c.request.Customer.Name
	}
	cfg.Logger.Info("call finished", "Call", c.request.Call.ID, "Route", c.request.Route.Name, "Customer", customer, "Outcome", outcome,
		"Status", status, "Sends", c.sends, "Runs", c.runs, "Took", took, "Left", c.timeLeft().Round(time.Millisecond),
		"Cause", c.cause, "Revision", c.request.Revision)
}
