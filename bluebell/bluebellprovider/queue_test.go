package bluebellprovider_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellprovider"
)

const fencing = 7

func newQueue(seed uint64) *bluebellprovider.Queue {
	return bluebellprovider.New(bluebellprovider.Config{CallsPerSecond: 50, Rand: rand.New(rand.NewPCG(seed, 1)).Float64})
}

func usage(window int64) bluebellprovider.Call {
	return bluebellprovider.Call{
		Subject: bluebellprovider.Subject{Duty: bluebellprovider.Usage}, Due: time.Duration(window) * 5 * time.Second,
		Window: window, Customers: []string{"a"}, Counts: []uint64{1},
	}
}

func scale(domain string, endpoints uint32, due time.Duration) bluebellprovider.Call {
	return bluebellprovider.Call{
		Subject: bluebellprovider.Subject{Duty: bluebellprovider.Scale, Target: "t", FailureDomain: domain}, Due: due, Endpoints: endpoints,
	}
}

// send returns all calls that the queue sends at one time.
func send(q *bluebellprovider.Queue, now time.Duration) []bluebellprovider.Call {
	var sent []bluebellprovider.Call
	for call, ok := q.Next(now, fencing); ok; call, ok = q.Next(now, fencing) {
		sent = append(sent, call)
	}
	return sent
}

// Orders piled up behind a slow call, so that an outdated number was sent before the latest one.
func TestNewerOrderReplacesWaitingOne(t *testing.T) {
	q := newQueue(1)
	q.Want(0, []bluebellprovider.Call{scale("d1", 5, 0)})
	require.Len(t, send(q, 0), 1)
	for n := range uint32(3) {
		q.Want(time.Second, []bluebellprovider.Call{scale("d1", 6+n, 0)})
		require.Empty(t, send(q, time.Second), "one call of a subject is in flight")
	}
	require.Equal(t, 0, q.Waiting())
	q.Finish(time.Second, scale("d1", 0, 0).Subject, bluebellprovider.Accepted)
	require.Equal(t, 1, q.Waiting())
	sent := send(q, time.Second)
	require.Len(t, sent, 1)
	require.Equal(t, uint32(8), sent[0].Endpoints)
}

// A late report of usage waited behind orders that were not due yet.
func TestMostOverdueCallGoesFirst(t *testing.T) {
	q := newQueue(1)
	q.Want(0, []bluebellprovider.Call{scale("d1", 5, 3*time.Second), scale("d2", 5, 2*time.Second), usage(0)})
	var order []string
	for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
		for _, c := range send(q, now) {
			order = append(order, c.Subject.Duty.String()+c.Subject.FailureDomain)
		}
	}
	require.Equal(t, []string{"usage", "scaled2", "scaled1"}, order)
}

// A burst of orders, for instance after a change of leader, got 429 and took the room of the calls
// of another holder.
func TestCallsStayWithinHalfOfTheRate(t *testing.T) {
	q := newQueue(1)
	var calls []bluebellprovider.Call
	for i := range 100 {
		calls = append(calls, scale(fmt.Sprint(i), 5, 0))
	}
	q.Want(0, calls)
	sent := 0
	for now := time.Duration(0); now < time.Second; now += 5 * time.Millisecond {
		for _, c := range send(q, now) {
			q.Finish(now, c.Subject, bluebellprovider.Accepted)
			sent++
		}
	}
	require.Equal(t, 25, sent)
}

// A provider that is down, slow or busy got calls without a pause, or none for long after it was back.
func TestBackoff(t *testing.T) {
	for _, outcome := range []bluebellprovider.Outcome{
		bluebellprovider.Limited, bluebellprovider.Failed, bluebellprovider.Unanswered, bluebellprovider.Unreachable,
	} {
		t.Run(outcome.String(), func(t *testing.T) {
			q := newQueue(3)
			var at []time.Duration
			for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
				q.Want(now, []bluebellprovider.Call{usage(1)})
				for _, c := range send(q, now) {
					at = append(at, now)
					q.Finish(now, c.Subject, outcome)
				}
			}
			require.GreaterOrEqual(t, at[1]-at[0], 250*time.Millisecond)
			require.Less(t, at[1]-at[0], 400*time.Millisecond)
			for i := 1; i < len(at); i++ {
				require.LessOrEqual(t, at[i]-at[i-1], 4*time.Second+10*time.Millisecond)
			}
			require.Less(t, len(at), 26, "calls in a minute")
		})
	}
}

// Calls that fail together because the provider is down count as one failure: after a short outage
// it would otherwise take the longest delay until the next call.
func TestSimultaneousFailuresCountOnce(t *testing.T) {
	q := newQueue(1)
	q.Want(0, []bluebellprovider.Call{scale("d1", 5, 0), scale("d2", 5, 0), scale("d3", 5, 0), scale("d4", 5, 0)})
	var sent []bluebellprovider.Call
	for now := time.Duration(0); len(sent) < 4; now += 10 * time.Millisecond {
		sent = append(sent, send(q, now)...)
	}
	for _, c := range sent {
		q.Finish(time.Second, c.Subject, bluebellprovider.Unreachable)
	}
	require.Empty(t, send(q, time.Second+200*time.Millisecond))
	require.NotEmpty(t, send(q, time.Second+400*time.Millisecond))
}

// A number that was refused was used again on the subject.
func TestRefusedNumberIsNotUsedAgain(t *testing.T) {
	q := newQueue(1)
	q.Want(0, []bluebellprovider.Call{usage(1)})
	require.Len(t, send(q, 0), 1)
	q.Finish(0, usage(1).Subject, bluebellprovider.Refused)
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		q.Want(now, []bluebellprovider.Call{usage(1)})
		require.Empty(t, send(q, now))
	}
	call, ok := q.Next(time.Minute, fencing+1)
	require.True(t, ok)
	require.Equal(t, uint64(fencing+1), call.Fencing)
}

// The same number was sent again and again while it was still the agreed one. A new leadership sends
// it once more, since another holder may have sent a different one.
func TestAcceptedCallIsNotRepeated(t *testing.T) {
	q := newQueue(1)
	sent := 0
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		if now == 30*time.Second {
			require.Equal(t, 1, sent)
			q.Forget()
		}
		q.Want(now, []bluebellprovider.Call{scale("d1", 5, 0)})
		for _, c := range send(q, now) {
			sent++
			q.Finish(now, c.Subject, bluebellprovider.Accepted)
		}
	}
	require.Equal(t, 2, sent)
}

// A call in flight when the number is lost still occupies its subject, or two calls of one subject
// would be in flight.
func TestForgetKeepsCallInFlight(t *testing.T) {
	q := newQueue(1)
	q.Want(0, []bluebellprovider.Call{usage(1)})
	require.Len(t, send(q, 0), 1)
	q.Forget()
	q.Want(0, []bluebellprovider.Call{usage(1)})
	require.Empty(t, send(q, time.Second))
	q.Finish(time.Second, usage(1).Subject, bluebellprovider.Unanswered)
	require.Len(t, send(q, 2*time.Second), 1)
}

// Subjects without bound would use up the memory of the process.
func TestSubjectsAreBounded(t *testing.T) {
	q := newQueue(1)
	var calls []bluebellprovider.Call
	for i := range 1030 {
		calls = append(calls, scale(fmt.Sprint(i), 5, 0))
	}
	require.Equal(t, 6, q.Want(0, calls))
	require.Zero(t, q.Want(0, calls[1024:]), "subjects that are no longer wanted leave room")
}

// The provider carries out calls that got no answer up to 8 s later, after newer ones, with the same
// fencing number. The last number of endpoints that it carries out must be the wanted one, and each
// window must reach it. Without the repeat after settleTime, the late call stays in force.
func TestLateExecutionOfUnansweredCalls(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runLateExecution(t, seed) })
	}
}

func runLateExecution(t *testing.T, seed uint64) {
	const step = 50 * time.Millisecond
	type execution struct {
		at   time.Duration
		call bluebellprovider.Call
	}
	random := rand.New(rand.NewPCG(seed, 2))
	q := newQueue(seed)
	var late, answers []execution
	inForce, windows := uint32(0), map[int64]int{}
	execute := func(c bluebellprovider.Call) {
		if c.Subject.Duty == bluebellprovider.Usage {
			windows[c.Window]++
		} else {
			inForce = c.Endpoints
		}
	}
	wanted, window := uint32(20), int64(0)
	for now := time.Duration(0); now < 3*time.Minute; now += step {
		busy := now < 2*time.Minute
		if busy && random.IntN(60) == 0 {
			wanted = 17 + random.Uint32N(23)
		}
		for len(late) > 0 && late[0].at <= now {
			execute(late[0].call)
			late = late[1:]
		}
		for len(answers) > 0 && answers[0].at <= now {
			q.Finish(now, answers[0].call.Subject, bluebellprovider.Unanswered)
			answers = answers[1:]
		}
		q.Want(now, []bluebellprovider.Call{usage(window), scale("d1", wanted, now)})
		for _, c := range send(q, now) {
			if busy && random.IntN(3) == 0 {
				at := now + time.Duration(random.Int64N(int64(8*time.Second)))
				if len(late) > 0 {
					at = max(at, late[len(late)-1].at)
				}
				late = append(late, execution{at, c})
				answers = append(answers, execution{now + time.Second, c})
				continue
			}
			execute(c)
			q.Finish(now, c.Subject, bluebellprovider.Accepted)
			if c.Subject.Duty == bluebellprovider.Usage {
				window++
			}
		}
	}
	require.Equal(t, wanted, inForce)
	for w := range window {
		require.Positive(t, windows[w], "window %d", w)
	}
}
