package bluebellqueue_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellqueue"
)

func waiter(priority int, arrived, objectiveEnd time.Duration) bluebellqueue.Waiter {
	return bluebellqueue.Waiter{Priority: priority, Arrived: arrived, ObjectiveEnd: objectiveEnd, Deadline: arrived + 10*time.Second}
}

func TestOrder(t *testing.T) {
	now := 5 * time.Second
	waiters := []bluebellqueue.Waiter{
		waiter(0, time.Second, 4*time.Second),   // late, most urgent
		waiter(2, 2*time.Second, 6*time.Second), // in time, least urgent
		waiter(1, 4*time.Second, 6*time.Second),
		waiter(1, 3*time.Second, 6*time.Second), // arrived before the one above
	}
	require.Equal(t, []int{3, 2, 1, 0}, bluebellqueue.Order(waiters, now))
	require.Empty(t, bluebellqueue.Order(nil, now))
}

func TestWaitUntil(t *testing.T) {
	w := waiter(0, time.Second, 2*time.Second)
	require.Equal(t, 1500*time.Millisecond, bluebellqueue.WaitUntil(w), "half of its objective")
	require.Equal(t, 1250*time.Millisecond, bluebellqueue.HomesOnlyUntil(w), "half of its wait")
	late := waiter(0, 3*time.Second, 2*time.Second)
	require.Equal(t, 5500*time.Millisecond, bluebellqueue.WaitUntil(late), "a quarter of the time to its deadline")
	mayHaveRun := w
	mayHaveRun.MayHaveRun = true
	require.Equal(t, 3500*time.Millisecond, bluebellqueue.WaitUntil(mayHaveRun), "it may have run, so it cannot be retried by its caller")
	short := bluebellqueue.Waiter{Arrived: time.Second, ObjectiveEnd: 10 * time.Second, Deadline: 2 * time.Second}
	require.Equal(t, 2*time.Second, bluebellqueue.WaitUntil(short), "not beyond the deadline")
}

func TestFirstEventBy(t *testing.T) {
	w := waiter(0, time.Second, 2*time.Second)
	w.Objective = time.Second
	require.Equal(t, 2*time.Second, bluebellqueue.FirstEventBy(w, time.Second, 1))
	require.Equal(t, 4*time.Second, bluebellqueue.FirstEventBy(w, 3*time.Second, 9), "a late call gets its objective again")
	require.Equal(t, 1350*time.Millisecond, bluebellqueue.FirstEventBy(w, time.Second, 2), "congestion")
	urgent := w
	urgent.Urgency = bluebellqueue.Urgent
	require.Equal(t, 2*time.Second, bluebellqueue.FirstEventBy(urgent, time.Second, 2), "others give way to urgent calls")
	urgent.Urgency = bluebellqueue.Lenient
	require.Equal(t, 1350*time.Millisecond, bluebellqueue.FirstEventBy(urgent, time.Second, 2))
	without := w
	without.Objective = 0
	require.Zero(t, bluebellqueue.FirstEventBy(without, time.Second, 9), "no objective")
	w.MayHaveRun = true
	require.Zero(t, bluebellqueue.FirstEventBy(w, time.Second, 9), "the call may have run")
}

// Many calls wait while the engines are nearly full. After a waiter got the result Full,
// waiters of its size or larger are not tried, but smaller ones are.
func TestAdmitSkipsLargerWaitersAfterFull(t *testing.T) {
	var waiters []bluebellqueue.Waiter
	for _, tokens := range []int{9000, 12000, 500, 9000, 3000, 0} {
		w := waiter(1, time.Second, 9*time.Second)
		w.Tokens = tokens
		waiters = append(waiters, w)
	}
	var tried []int
	freeTokens := 1000
	bluebellqueue.Admit(waiters, 2*time.Second, func(i int) bluebellqueue.TryResult {
		tried = append(tried, i)
		if waiters[i].Tokens > freeTokens {
			return bluebellqueue.Full
		}
		return bluebellqueue.Placed
	})
	require.Equal(t, []int{0, 2, 4, 5}, tried)
	tried = nil
	bluebellqueue.Admit(waiters, 2*time.Second, func(i int) bluebellqueue.TryResult {
		tried = append(tried, i)
		return bluebellqueue.NotPlaced
	})
	require.Len(t, tried, len(waiters), "NotPlaced does not affect other waiters")
}
