package bluebellrelay

import (
	"time"

	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebellgate/internal/bluebelltransport"
	"bluebellhaven.org/platform/bluebellplatform"
)

// recordStatements records what an endpoint states of itself in an answer.
func (c *activeCall) recordStatements(choice bluebellplacement.Choice, exchange *bluebelltransport.Exchange, a bluebellplatform.Answer) {
	if c.helper != "" {
		c.recordLeavingAtHelper(a.Leaving)
		return
	}
	// A misdirected answer may come from another endpoint than the chosen one.
	if a.WrongEndpoint || !isIdentified(a, exchange) {
		return
	}
	c.recordRateLimit(choice, a.RateLimit)
	c.recordBrittle(choice, a)
	c.recordLeaving(choice, a.Leaving)
	c.recordPause(choice, a.Pause)
	c.recordLoadReport(choice, a.Load)
}

// recordPause records that an endpoint that turned the call away wants none for a time.
func (c *activeCall) recordPause(choice bluebellplacement.Choice, p bluebellplatform.Pause) {
	cfg := &c.relay.cfg
	if p.Malformed != "" {
		cfg.CountEvent("malformed_pauses", c.request.Target.Name)
		cfg.Logger.Warn("endpoint pause ignored", "Call", c.request.Call.ID, "Endpoint", choice.Endpoint.ID, "Pause", p.Malformed)
		return
	}
	if kept := cfg.Placer.RecordPause(choice, cfg.Now(), p.For); kept > 0 {
		cfg.Logger.Info("endpoint wants no calls", "Call", c.request.Call.ID, "Endpoint", choice.Endpoint.ID, "For", p.For, "Kept", kept.Round(time.Millisecond))
	}
}

// recordLeavingAtHelper records that the endpoint that has answered a helper leaves: the answer is
// passed on by this entry too. Everything else that an endpoint states concerns the helper.
func (c *activeCall) recordLeavingAtHelper(l bluebellplatform.Leaving) {
	cfg := &c.relay.cfg
	if !l.Named || len(c.tried) == 0 {
		return
	}
	endpoint := c.tried[len(c.tried)-1]
	if cfg.Placer.RecordLeavingID(endpoint, cfg.Now()) {
		cfg.Logger.Info("endpoint leaves", "Call", c.request.Call.ID, "Endpoint", endpoint, "Helper", c.helper)
	}
}

// recordLeaving records that an endpoint leaves.
func (c *activeCall) recordLeaving(choice bluebellplacement.Choice, l bluebellplatform.Leaving) {
	cfg := &c.relay.cfg
	switch {
	case l.Malformed != "":
		cfg.CountEvent("malformed_leaving", c.request.Target.Name)
		cfg.Logger.Warn("endpoint leaving ignored", "Call", c.request.Call.ID, "Endpoint", choice.Endpoint.ID, "Leaving", l.Malformed)
	case l.Named && cfg.Placer.RecordLeaving(choice, cfg.Now()):
		cfg.Logger.Info("endpoint leaves", "Call", c.request.Call.ID, "Endpoint", choice.Endpoint.ID, "Born", choice.Endpoint.StartUnixMillis)
	}
}

// maxRateLimit is the number of calls a second from which on a limit is none: one endpoint cannot
// take as many.
const maxRateLimit = 1e6

// recordRateLimit records the limit that an answer names, or that it names none.
func (c *activeCall) recordRateLimit(choice bluebellplacement.Choice, l bluebellplatform.RateLimit) {
	cfg := &c.relay.cfg
	if l.Malformed != "" {
		cfg.CountEvent("malformed_limits", c.request.Target.Name)
		cfg.Logger.Warn("endpoint limit ignored", "Call", c.request.Call.ID, "Endpoint", choice.Endpoint.ID, "Limit", l.Malformed)
		return
	}
	limited := l.Named && l.PerSecond < maxRateLimit
	if cfg.Placer.RecordRateLimit(choice, bluebellplacement.RateLimit{Named: limited, PerSecond: l.PerSecond, At: cfg.Now()}) {
		cfg.Logger.Info("endpoint limit changed", "Call", c.request.Call.ID, "Endpoint", choice.Endpoint.ID, "Limited", limited, "PerSecond", l.PerSecond)
	}
}

// recordBrittle records whether an answer says that the endpoint crashes if it turns too many calls
// away.
func (c *activeCall) recordBrittle(choice bluebellplacement.Choice, a bluebellplatform.Answer) {
	cfg := &c.relay.cfg
	l := a.Brittle
	if l.Malformed != "" {
		cfg.CountEvent("malformed_brittle", c.request.Target.Name)
		cfg.Logger.Warn("endpoint brittleness ignored", "Call", c.request.Call.ID, "Endpoint", choice.Endpoint.ID, "PerSecond", l.Malformed)
		return
	}
	brittle := l.Named && l.PerSecond < maxRateLimit
	if cfg.Placer.RecordBrittle(choice, bluebellplacement.RateLimit{Named: brittle, PerSecond: l.PerSecond, At: cfg.Now()}, a.NotRun) {
		cfg.Logger.Info("endpoint brittleness changed", "Call", c.request.Call.ID, "Endpoint", choice.Endpoint.ID, "Brittle", brittle, "PerSecond", l.PerSecond)
	}
}
