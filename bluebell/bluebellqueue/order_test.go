package bluebellqueue_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellqueue"
)

// queueLoad is a queue in front of engines that read prompts one after the other, as fast as all
// engines of a deployment together read those of one rank.
type queueLoad struct {
	// objective is that of all calls. work returns the time to read a prompt, mean its mean.
	objective, mean time.Duration
	work            func(rng *rand.Rand) time.Duration
	// overload is the work that arrives in a second, in seconds.
	overload float64
	urgency  bluebellqueue.Urgency
}

// served is a call with whether it was served.
type served struct {
	work time.Duration
	ok   bool
}

// run returns all calls of 60 s.
func (l queueLoad) run() []served {
	rng := rand.New(rand.NewPCG(1, 1))
	var waiters []bluebellqueue.Waiter
	var indexes []int
	var calls []served
	const step = time.Millisecond
	busyUntil := time.Duration(0)
	for now := time.Duration(0); now < 60*time.Second; now += step {
		for rng.Float64() < l.overload*step.Seconds()/l.mean.Seconds() {
			work := l.work(rng)
			waiters = append(waiters, bluebellqueue.Waiter{
				Priority: 5, Arrived: now, Objective: l.objective, ObjectiveEnd: now + l.objective, Deadline: now + 15*time.Second, Work: work, Urgency: l.urgency,
				Protected: rng.Float64() < bluebellqueue.ProtectedShare,
			})
			indexes = append(indexes, len(calls))
			calls = append(calls, served{work: work})
		}
		for i := len(waiters) - 1; i >= 0; i-- {
			if now >= bluebellqueue.WaitUntil(waiters[i]) {
				waiters, indexes = slices.Delete(waiters, i, i+1), slices.Delete(indexes, i, i+1)
			}
		}
		if now < busyUntil || len(waiters) == 0 {
			continue
		}
		first := bluebellqueue.Order(waiters, now)[0]
		calls[indexes[first]].ok = true
		busyUntil = now + waiters[first].Work
		waiters, indexes = slices.Delete(waiters, first, first+1), slices.Delete(indexes, first, first+1)
	}
	return calls
}

// share returns the share of the calls that were served.
func share(calls []served) float64 {
	n := 0
	for _, c := range calls {
		if c.ok {
			n++
		}
	}
	return float64(n) / float64(len(calls))
}

// largestTenth returns the tenth of the calls with the most work.
func largestTenth(calls []served) []served {
	sorted := slices.SortedFunc(slices.Values(calls), func(a, b served) int { return cmp.Compare(b.work, a.work) })
	return sorted[:len(sorted)/10]
}

// Prompts of one rank differ by a factor of ten in what has to be read. In order of arrival, few large
// ones take the place of many small ones. In order of size alone, the largest are never served. The
// order must serve more calls than that of arrival, and the largest tenth at least half as often as all,
// at every overload.
func TestOrderWithinRankDoesNotStarveLargeCalls(t *testing.T) {
	for _, overload := range []float64{1.1, 1.5, 2, 3} {
		t.Run(fmt.Sprint(overload), func(t *testing.T) {
			l := queueLoad{
				objective: 800 * time.Millisecond, mean: 22 * time.Millisecond, overload: overload, urgency: bluebellqueue.Lenient,
				work: func(rng *rand.Rand) time.Duration { return time.Duration(4+36*rng.Float64()) * time.Millisecond },
			}
			bySize := l.run()
			l.urgency = bluebellqueue.Unranked
			byArrival := l.run()
			t.Logf("served %.3f, largest tenth %.3f; by arrival %.3f, %.3f", share(bySize), share(largestTenth(bySize)), share(byArrival), share(largestTenth(byArrival)))
			require.Greater(t, share(bySize), share(byArrival))
			require.GreaterOrEqual(t, share(largestTenth(bySize)), 0.5*share(bySize))
		})
	}
}

// A call whose prompt can no longer be read within the objective took the place of one that could still
// be in time. More urgent ranks go first whatever their size, and calls of targets without ranks keep the
// order of arrival.
func TestOrderOfRankedCalls(t *testing.T) {
	now := 5 * time.Second
	w := func(priority int, arrived, left, work time.Duration, urgency bluebellqueue.Urgency) bluebellqueue.Waiter {
		return bluebellqueue.Waiter{
			Priority: priority, Arrived: now - arrived, Objective: 800 * time.Millisecond, ObjectiveEnd: now + left, Deadline: now + 10*time.Second,
			Work: work, Urgency: urgency,
		}
	}
	const ms = time.Millisecond
	ranked := func(u bluebellqueue.Urgency) []bluebellqueue.Waiter {
		return []bluebellqueue.Waiter{
			w(5, 300*ms, 100*ms, 200*ms, u), // too late for its work
			w(5, 100*ms, 700*ms, 100*ms, u), // large
			w(5, 50*ms, 750*ms, 10*ms, u),   // small, arrived later
			w(3, 10*ms, 400*ms, 300*ms, u),  // more urgent
			w(5, 290*ms, 510*ms, 100*ms, u), // large, has waited for long
		}
	}
	require.Equal(t, []int{3, 4, 2, 1, 0}, bluebellqueue.Order(ranked(bluebellqueue.Lenient), now))
	require.Equal(t, []int{3, 0, 4, 1, 2}, bluebellqueue.Order(ranked(bluebellqueue.Unranked), now))
}

// BenchmarkOrder orders 500 waiting calls, as an entry does 50 times a second.
func BenchmarkOrder(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	for name, urgency := range map[string]bluebellqueue.Urgency{"unranked": bluebellqueue.Unranked, "ranked": bluebellqueue.Lenient} {
		b.Run(name, func(b *testing.B) {
			var waiters []bluebellqueue.Waiter
			for range 500 {
				arrived := time.Duration(rng.Int64N(int64(time.Second)))
				waiters = append(waiters, bluebellqueue.Waiter{
					Priority: 3 + rng.IntN(3), Arrived: arrived, Objective: time.Second, ObjectiveEnd: arrived + time.Second, Deadline: arrived + 9*time.Second,
					Work: time.Duration(rng.Int64N(int64(200 * time.Millisecond))), Urgency: urgency,
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				bluebellqueue.Order(waiters, time.Second)
			}
		})
	}
}
