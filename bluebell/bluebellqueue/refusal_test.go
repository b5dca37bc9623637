package bluebellqueue_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellqueue"
)

// All entries return from a loss of power of two seconds, and refuse 2,000 calls within half a
// second. Told to return within 0.4 to 0.8 s, they came back as one wave, were refused a second
// time and gave up. With 12 s left, at most a quarter of them may return in any half second, and
// none later than a third of the time that is left, which is as long as callers wait.
func TestRefusedCallersReturnSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	const callers, timeLeft = 2000, 12 * time.Second
	var returns []time.Duration
	for range callers {
		refusedAt := time.Duration(rng.Int64N(int64(500 * time.Millisecond)))
		after := bluebellqueue.RetryAfter(timeLeft, -time.Second, rng.Float64())
		require.LessOrEqual(t, after, timeLeft/3)
		require.GreaterOrEqual(t, after, 400*time.Millisecond)
		returns = append(returns, refusedAt+after)
	}
	for from := time.Duration(0); from < 5*time.Second; from += 50 * time.Millisecond {
		within := 0
		for _, at := range returns {
			if at >= from && at < from+500*time.Millisecond {
				within++
			}
		}
		require.LessOrEqual(t, within, callers/4, "from %v", from)
	}
}

func TestRetryAfterBounds(t *testing.T) {
	for _, random := range []float64{0, 0.5, 0.999} {
		soon := bluebellqueue.RetryAfter(12*time.Second, 2*time.Second, random)
		require.LessOrEqual(t, soon, 800*time.Millisecond, "the answer can still be in time")
		require.GreaterOrEqual(t, soon, 400*time.Millisecond)
		require.LessOrEqual(t, bluebellqueue.RetryAfter(600*time.Millisecond, -time.Second, random), 200*time.Millisecond, "callers give up rather than wait longer than a third")
	}
}
