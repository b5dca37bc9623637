package bluebellrelay

import (
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/platform/bluebellplatform"
)

// recordStatements records what an endpoint states of itself in an answer of any kind.
func (c *activeCall) recordStatements(choice bluebellplacement.Choice, a bluebellplatform.Answer) {
	c.recordRateLimit(choice, a.RateLimit)
	c.recordLeaving(choice, a.Leaving)
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
