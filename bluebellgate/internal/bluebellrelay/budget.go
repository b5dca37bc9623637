package bluebellrelay

import (
	"time"

	"bluebellhaven.org/bluebell/bluebelllimit"
)

// Repeats are bounded for each target, over all entries together.

// budgetReserve is the part of the bound on repeats that is left unused.
const budgetReserve = 0.2

// Budget is the repeats that one target allows this entry.
type Budget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// budget returns the budget of a target; the caller holds the lock.
func (r *Relay) budget(target string) *bluebelllimit.WindowBudget {
	b := r.budgets[target]
	if b == nil {
		b = &bluebelllimit.WindowBudget{
			Window: r.cfg.Budget.Window, Ratio: r.cfg.Budget.Ratio, Slack: r.cfg.Budget.Slack, Reserve: budgetReserve,
		}
		r.budgets[target] = b
	}
	return b
}

func (r *Relay) noteCall(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(target).RecordCall(r.cfg.Now())
}

func (r *Relay) mayRepeat(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(target).AllowRepeat(r.cfg.Now(), r.cfg.Placer.EntryCount())
}
