package bluebellrelay

import (
	"net/http"
	"time"

	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/platform/bluebellplatform"
)

// cacheScope keeps the cached blocks of isolated customers apart from all others,
// and those of different weights from each other.
func (s *serving) cacheScope(weights uint64) string {
	isolated := ""
	if s.q.Customer != nil && s.q.Customer.Isolated {
		isolated = s.q.Customer.Name
	}
	return bluebelldirectory.Scope(isolated, s.q.Call.Model, weights)
}

// conclude gives a call its final answer after its last attempt, unless it has one.
func (s *serving) conclude() {
	switch {
	case s.ended:
	case s.begun:
		s.abort()
	case s.kept != nil:
		s.deliver(*s.kept)
	case s.runs == 0:
		s.refuse()
	case s.left() <= leastLeft:
		s.fail(http.StatusGatewayTimeout)
	default:
		s.fail(http.StatusBadGateway)
	}
}

// refuse tells the caller that the call has not run and when to come back.
func (s *serving) refuse() {
	after := returnAfter(time.Until(s.q.Deadline), s.relay.cfg.Random())
	s.relay.cfg.CountEvent("refused", s.q.Target.Name)
	s.begin(http.StatusServiceUnavailable, bluebellplatform.RefusalHeader(s.q.Call.ID, after))
	s.end("refused", http.StatusServiceUnavailable)
}

// fail tells the caller that the call may have run.
func (s *serving) fail(status int) {
	s.relay.cfg.CountEvent("failed", s.q.Target.Name)
	s.begin(status, bluebellplatform.RefusalHeader(s.q.Call.ID, 0))
	s.end("failed", status)
}

// end writes the call's last line.
func (s *serving) end(outcome string, status int) {
	if s.ended {
		return
	}
	s.ended = true
	cfg := &s.relay.cfg
	took := (cfg.Now() - s.start).Round(time.Millisecond)
	cfg.CountEvent("calls_"+s.q.Route.Work.String(), s.q.Target.Name)
	if outcome == "answered" && s.sends == 1 {
		cfg.Logger.Info("call", "Call", s.q.Call.ID, "Route", s.q.Route.Name, "Outcome", outcome, "Status", status, "Took", took)
		return
	}
	customer := ""
	if s.q.Customer != nil {
		customer = s.q.Customer.Name
	}
	cfg.Logger.Info("call", "Call", s.q.Call.ID, "Route", s.q.Route.Name, "Customer", customer, "Outcome", outcome,
		"Status", status, "Sends", s.sends, "Runs", s.runs, "Took", took, "Left", s.left().Round(time.Millisecond),
		"Cause", s.cause, "Revision", s.q.Revision)
}
