package bluebellrelay

import (
	"time"

	"bluebellhaven.org/bluebell/bluebelllimit"
)

// budgetReserve is the share of the retry budget that is left unused.
const budgetReserve = 0.2

// RetryLimits are the limits on the retries to each target, over all entries together.
// Within any window, retries are limited to a share of the calls plus a fixed number.
type RetryLimits struct {
	// Ratio is the number of retries allowed per call.
	Ratio float64
	// Window is the time over which calls and retries are counted.
	Window time.Duration
	// Slack is the number of retries allowed in addition.
	Slack float64
}

// budget returns the retry budget of a target. r.mu must be held.
func (r *Relay) budget(target string) *bluebelllimit.WindowBudget {
	b := r.budgets[target]
	if b == nil {
		b = &bluebelllimit.WindowBudget{
			Window: r.cfg.RetryLimits.Window, Ratio: r.cfg.RetryLimits.Ratio, Slack: r.cfg.RetryLimits.Slack, Reserve: budgetReserve,
		}
		r.budgets[target] = b
	}
	return b
}

// recordCall adds a first attempt to the target's retry budget.
func (r *Relay) recordCall(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(target).RecordCall(r.cfg.Now())
}

// takeRetry reports whether the target's retry budget allows a retry, and uses it up if so.
func (r *Relay) takeRetry(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(target).AllowRetry(r.cfg.Now(), r.cfg.Placer.EntryCount())
}

// hasRetry reports whether the target's retry budget allows a retry.
func (r *Relay) hasRetry(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(target).HasRetry(r.cfg.Now(), r.cfg.Placer.EntryCount())
}
