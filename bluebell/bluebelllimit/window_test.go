package bluebelllimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelllimit"
)

func newWindowBudget(reserve float64) *bluebelllimit.WindowBudget {
	return &bluebelllimit.WindowBudget{Window: 10 * time.Second, Ratio: 0.2, Slack: 52, Reserve: reserve}
}

// TestWindowBudgetsKeepCommonLimit has six entries with unequal and uneven calls request
// retries all the time, and checks that all together keep the limit in every window.
func TestWindowBudgetsKeepCommonLimit(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	budgets := make([]*bluebelllimit.WindowBudget, 6)
	for i := range budgets {
		budgets[i] = newWindowBudget(0.2)
	}
	type event struct {
		at    time.Duration
		retry bool
	}
	var events []event
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		for i, b := range budgets {
			if rng.IntN(12) < i+1 && now%(20*time.Second) < 15*time.Second {
				b.RecordCall(now)
				events = append(events, event{now, false})
			}
			if b.AllowRetry(now, len(budgets)) {
				events = append(events, event{now, true})
			}
		}
	}
	count := func(from, to time.Duration, retry bool) float64 {
		n := 0.0
		for _, e := range events {
			if e.at >= from && e.at < to && e.retry == retry {
				n++
			}
		}
		return n
	}
	total := 0.0
	for from := time.Duration(0); from < 50*time.Second; from += 250 * time.Millisecond {
		to := from + 10*time.Second
		calls := max(count(from, to, false), count(from-5*time.Second, to-5*time.Second, false), count(from-10*time.Second, from, false))
		retries := count(from, to, true)
		require.LessOrEqual(t, retries, 0.2*calls+52, "window from %v", from)
		total += retries
	}
	require.Positive(t, total)
}

func TestWindowBudgetAllowsSlackWithoutCalls(t *testing.T) {
	b := newWindowBudget(0)
	allowed := 0
	for range 100 {
		if b.AllowRetry(time.Second, 2) {
			allowed++
		}
	}
	require.Equal(t, 26, allowed)
	require.True(t, b.AllowRetry(20*time.Second, 2), "the slack is available again in a later window")
}
