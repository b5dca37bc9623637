package bluebellrelay

import (
	"time"

	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/platform/bluebellplatform"
)

// malformedLogInterval is the least time between two log lines about malformed load reports: an endpoint
// may make one with each of its answers.
const malformedLogInterval = time.Second

// recordLoadReport records what an answer says about the load of its endpoint.
func (c *activeCall) recordLoadReport(choice bluebellplacement.Choice, l bluebellplatform.LoadReport) {
	cfg := &c.relay.cfg
	switch {
	case l.Malformed != "":
		cfg.CountEvent("malformed_load_reports", c.request.Target.Name)
		if unlogged, due := c.relay.malformedReport(cfg.Now()); due {
			cfg.Logger.Warn("load report ignored", "Call", c.request.Call.ID, "Endpoint", choice.Endpoint.ID, "Report", l.Malformed, "NotLogged", unlogged)
		}
	case l.Made:
		cfg.CountEvent("load_reports", c.request.Target.Name)
		report := bluebellplacement.LoadReport{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, WorkPercent: l.WorkPercent, At: cfg.Now()}
		if cfg.Placer.RecordLoadReport(choice, report) {
			cfg.Logger.Info("endpoint reports its load", "Call", c.request.Call.ID, "Endpoint", choice.Endpoint.ID, "Running", l.Running, "Waiting", l.Waiting,
				"Slots", l.Slots, "WorkPercent", l.WorkPercent)
		}
	}
}

// malformedReport counts a malformed report. It reports whether one is to be logged, and the number of
// those that were not logged since the last one that was.
func (r *Relay) malformedReport(now time.Duration) (unlogged int, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.malformedLoggedAt != 0 && now-r.malformedLoggedAt < malformedLogInterval {
		r.malformedUnlogged++
		return 0, false
	}
	unlogged, r.malformedUnlogged, r.malformedLoggedAt = r.malformedUnlogged, 0, max(now, 1)
	return unlogged, true
}
