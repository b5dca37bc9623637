package bluebelllimit

import "time"

const (
	// budgetFloor is the number of retries allowed when there is little traffic.
	budgetFloor = 3.0
	// budgetMax bounds what a quiet time can save up.
	budgetMax = 50.0
	// floorEvery is the time in which the floor is filled up again.
	floorEvery = 10 * time.Second
)

// RetryBudget bounds retries to a share of first attempts, so that retries
// cannot multiply the load of a failure. It is not safe for concurrent use.
type RetryBudget struct {
	// Percent of first attempts that may be tried again.
	Percent float64

	tokens float64
	last   time.Duration
	began  bool
}

// RecordAttempt notes a first attempt.
func (b *RetryBudget) RecordAttempt(now time.Duration) {
	b.refill(now)
	b.tokens = min(b.tokens+b.Percent/100, budgetMax)
}

// AllowRetry asks for one retry.
func (b *RetryBudget) AllowRetry(now time.Duration) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill lets time fill the budget up to its floor.
func (b *RetryBudget) refill(now time.Duration) {
	if !b.began {
		b.began, b.last, b.tokens = true, now, budgetFloor
		return
	}
	gained := budgetFloor * float64(now-b.last) / float64(floorEvery)
	b.last = now
	if b.tokens < budgetFloor {
		b.tokens = min(b.tokens+gained, budgetFloor)
	}
}
