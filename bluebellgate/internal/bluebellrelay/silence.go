package bluebellrelay

import (
	"time"

	"bluebellhaven.org/bluebell/bluebellplacement"
)

// An endpoint that sends nothing may be sound and go on, so silence alone ends no call. A call leaves a
// silent endpoint only once another one and a retry of the target's budget are reserved for it.

// silentPollInterval is how often a call at a silent endpoint looks for another one.
const silentPollInterval = 100 * time.Millisecond

// extendDeadline returns a function that is called when the endpoint has sent nothing by the
// deadline. The function returns the next deadline, or the zero time if the call leaves the
// endpoint or its time is over. Before its first event a call stays while the endpoint answers other
// calls, but not for that reason beyond activeEndpointFactor*timeout.
func (c *activeCall) extendDeadline(choice bluebellplacement.Choice, timeout time.Duration) func() time.Time {
	placer, now := c.relay.cfg.Placer, c.relay.cfg.Now
	giveUpAt := min(now()+activeEndpointFactor*timeout, now()+c.timeLeft())
	logged := ""
	return func() time.Time {
		at, begun := now(), c.begun.Load()
		decision, wait := "stuck", silentPollInterval
		switch left := c.silenceLimit(begun); {
		case left <= 0:
			return time.Time{}
		case !begun && at < giveUpAt && placer.AnsweredSince(choice, at-timeout):
			decision, wait = "busy", min(timeout, giveUpAt-at)
		case c.reserveRetry():
			decision, wait = "leaves", 0
			if c.helper == "" {
				c.silent = append(c.silent, choice.Endpoint.ID)
			}
		default:
			wait = min(wait, left)
		}
		if decision != logged {
			if logged == "" {
				c.recordSilence(choice)
			}
			logged = decision
			c.relay.cfg.Logger.Info("endpoint silent", "Call", c.request.Call.ID, "Endpoint", choice.Endpoint.ID, "Decision", decision, "Begun", begun,
				"Timeout", timeout.Round(time.Millisecond), "Typical", choice.Typical.Round(time.Millisecond), "Attempt", c.sends)
		}
		if wait == 0 {
			return time.Time{}
		}
		return time.Now().Add(wait)
	}
}

// silenceLimit returns how much longer the call may wait for its endpoint. A stream that has begun
// may use the answerMargin too, since no other answer can follow it.
func (c *activeCall) silenceLimit(begun bool) time.Duration {
	if begun && c.headerSent {
		return time.Until(c.request.Deadline)
	}
	return c.timeLeft()
}

// reserveRetry reserves another endpoint, and a retry of the target's budget, for the next attempt of
// a call that is at an endpoint. It reports whether both are available.
func (c *activeCall) reserveRetry() bool {
	runs := c.runs
	if !c.runCounted {
		runs++
	}
	if !c.retryAllowed(runs) {
		return false
	}
	cfg := &c.relay.cfg
	// A pick that is given back uses up the allowances and probes that other calls need.
	if !c.relay.hasRetry(c.request.Target.Name) {
		cfg.CountEvent("repeats_denied", c.request.Target.Name)
		return false
	}
	choice, result := c.relay.trySelect(c.placementRequest(bluebellplacement.Request{Tried: c.tried}))
	if result == bluebellplacement.LinksLost {
		return c.reserveHelper()
	}
	if result != bluebellplacement.Picked {
		return false
	}
	if !c.relay.takeRetry(c.request.Target.Name) {
		cfg.Placer.Done(choice, cfg.Now(), bluebellplacement.Abandoned)
		cfg.CountEvent("repeats_denied", c.request.Target.Name)
		return false
	}
	c.reserved = &choice
	return true
}

// releaseReserved gives the reserved endpoint back if the call ends before it is used.
func (c *activeCall) releaseReserved() {
	if c.reserved != nil {
		c.relay.cfg.Placer.Done(*c.reserved, c.relay.cfg.Now(), bluebellplacement.Abandoned)
		c.reserved = nil
	}
}
