package bluebellpressure_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebellpressure"
)

const ms = time.Millisecond

// engines are the 60 engines of the loads, which read 61 tokens a millisecond each.
func engines(unread int, tokens bluebellplacement.TokensByPriority) bluebellpressure.State {
	return bluebellpressure.State{Engines: 60, Rate: 60 * 61_000, Unread: unread, Demand: bluebellpressure.Demand{Tokens: tokens}}
}

// While a quarter of the engines was dark, calls were refused after half of their objective and calls of
// 830 tokens as often as those of 12,000. A call must learn at once that it cannot be answered in time,
// and what is less urgent must not be ahead of it.
func TestHopelessCallIsRefusedAtOnce(t *testing.T) {
	form := bluebellpressure.Call{Now: time.Second, ObjectiveEnd: 1400 * ms, Deadline: 11 * time.Second, Priority: 3, Tokens: 830}
	sum := bluebellpressure.Call{Now: time.Second, ObjectiveEnd: 2500 * ms, Deadline: 13 * time.Second, Priority: 5, Tokens: 12_000}
	state := engines(1_000_000, bluebellplacement.TokensByPriority{5: 9_000_000})
	_, refused := state.Refuse(form, 0.99)
	require.False(t, refused, "sums wait behind it")
	refusal, refused := state.Refuse(sum, 0.99)
	require.True(t, refused)
	require.Contains(t, refusal.String(), "left of its objective")
	_, refused = state.Refuse(sum, 0.01)
	require.False(t, refused, "as many remain as can be read")
	sum.Now = 3 * time.Second
	_, refused = state.Refuse(sum, 0.99)
	require.False(t, refused, "a late call can still be answered before its deadline")
	sum.Now = 12 * time.Second
	refusal, refused = state.Refuse(sum, 0)
	require.True(t, refused)
	require.True(t, refusal.Deadline)
	for _, idle := range []bluebellpressure.State{{}, engines(0, bluebellplacement.TokensByPriority{}), engines(500_000, bluebellplacement.TokensByPriority{})} {
		sum.Now = time.Second
		_, refused = idle.Refuse(sum, 0.99)
		require.False(t, refused, "engines have room, or nothing is known of them")
	}
}

// 79 entries see the same sums, 0.3 s old, while twice as many prompts of 12,000 tokens arrive as the
// engines can read. If all of them refused on a sum above the limit and admitted below it, the engines
// would be idle and overloaded in turn. After the first second, what waits has to stay within half and
// twice the limit, and the engines must always have something to read.
func TestEntriesDoNotSwingTogether(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	const step, entries, tokens = 10 * ms, 79, 12_000
	waiting, known := make([]float64, entries), make([]float64, entries)
	total := func(all []float64) float64 {
		sum := 0.0
		for _, n := range all {
			sum += n
		}
		return sum
	}
	limit := 0.8 * 60 * 61_000.0
	var history [][]float64
	refused := 0
	for now := time.Duration(0); now < 10*time.Second; now += step {
		history = append(history, append([]float64(nil), waiting...))
		if len(history) > 30 {
			known, history = history[0], history[1:]
		}
		for range 6 { // 600 a second, of which the engines read 305
			i := rng.IntN(entries)
			state := engines(0, bluebellplacement.TokensByPriority{5: int(total(known) - known[i] + waiting[i])})
			c := bluebellpressure.Call{Now: now, ObjectiveEnd: now + 1000*ms, Deadline: now + 15*time.Second, Priority: 5, Tokens: tokens}
			if _, no := state.Refuse(c, rng.Float64()); no {
				refused++
				continue
			}
			waiting[i] += tokens
		}
		drained := min(60*61_000*step.Seconds(), total(waiting))
		if sum := total(waiting); sum > 0 {
			for i := range waiting {
				waiting[i] -= drained * waiting[i] / sum
			}
		}
		if now > 2*time.Second {
			require.Greater(t, total(waiting), limit/2, "at %v", now)
			require.Less(t, total(waiting), 2.5*limit, "at %v", now)
		}
	}
	require.InDelta(t, 0.49, float64(refused)/6000, 0.12, "as many as cannot be read")
}

// Callers that are refused together were told to return within 0.4 s, or at any time that they accepted.
// They must return when what is ahead has been read, within a third of the time that they have left, and
// not in steps for which many have been told to.
func TestCallersReturnWhenThereIsRoom(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	state := engines(0, bluebellplacement.TokensByPriority{5: 6_000_000}) // 1.64 s
	for step := 20; step < 30; step++ {
		state.Demand.Returning[step] = 50
	}
	c := bluebellpressure.Call{Now: 0, ObjectiveEnd: 800 * ms, Deadline: 12 * time.Second, Priority: 5, Tokens: 12_000}
	inFull := 0
	for range 2000 {
		after := state.ReturnAfter(c, rng.Float64())
		require.GreaterOrEqual(t, after, 1600*ms)
		require.LessOrEqual(t, after, 4*time.Second)
		if after >= 2*time.Second && after < 3*time.Second {
			inFull++
		}
	}
	require.Less(t, inFull, 100)
	for _, left := range []time.Duration{0, 90 * ms, 300 * ms, 600 * ms, time.Second} {
		c.Deadline = left
		require.LessOrEqual(t, state.ReturnAfter(c, 0.9), left/3)
	}
	var returns bluebellpressure.Returns
	returns.Add(0, 250*ms)
	returns.Add(0, 260*ms)
	returns.Add(0, time.Hour)
	steps := returns.Steps(100 * ms)
	require.Equal(t, 2, steps[1])
	later := bluebellpressure.Demand{Returning: steps}.After(100 * ms)
	require.Equal(t, 2, later.Returning[0])
}

// Calls gave up after half of their objective, while the pressure was compared with the whole: at twice the
// load, most of those that got no engine waited for nothing. At most a tenth of the calls may wait in vain.
func TestFewCallsWaitInVain(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	const step, tokens, capacity = 10 * ms, 12_000, 60 * 61_000
	type waiting struct {
		until time.Duration
		left  float64
	}
	var queue []waiting
	arrived, inVain, served := 0, 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += step {
		for range 6 { // 600 a second, of which the engines read 305
			arrived++
			state := engines(0, bluebellplacement.TokensByPriority{5: tokens * len(queue)})
			c := bluebellpressure.Call{Now: now, ObjectiveEnd: now + 1000*ms, Deadline: now + 15*time.Second, Until: now + 500*ms, Priority: 5, Tokens: tokens}
			if _, refused := state.Refuse(c, rng.Float64()); !refused {
				queue = append(queue, waiting{c.Until, tokens})
			}
		}
		for drained := capacity * step.Seconds(); drained > 0 && len(queue) > 0; {
			part := min(drained, queue[0].left)
			drained, queue[0].left = drained-part, queue[0].left-part
			if queue[0].left <= 0 {
				queue, served = queue[1:], served+1
			}
		}
		kept := queue[:0]
		for _, w := range queue {
			if w.until > now {
				kept = append(kept, w)
				continue
			}
			inVain++
		}
		queue = kept
	}
	require.Less(t, inVain, arrived/10)
	require.Greater(t, served, arrived*45/100, "the engines always have something to read")
}

// A time that the header rounds up beyond a third of what the caller has left makes it give up. Callers with
// long deadlines must return at different times although the known steps end before.
func TestReturnTimesAreAccepted(t *testing.T) {
	state := engines(0, bluebellplacement.TokensByPriority{5: 40_000_000}) // 10.9 s
	for _, left := range []time.Duration{995 * 3 * ms, 4 * time.Second, 15 * time.Second, 60 * time.Second} {
		c := bluebellpressure.Call{Deadline: left, ObjectiveEnd: 800 * ms, Priority: 5, Tokens: 12_000}
		earliest, latest := state.ReturnAfter(c, 0), state.ReturnAfter(c, 0.999)
		require.LessOrEqual(t, latest.Round(10*ms), (left-10*ms)/3)
		require.Greater(t, latest-earliest, 300*ms, "deadline %v", left)
	}
}

// Callers that are sent away later must return after those who were sent away before, when these have been
// read. All of them were told the same time in a long overload.
func TestLaterCallersReturnAfterEarlierOnes(t *testing.T) {
	state := engines(0, bluebellplacement.TokensByPriority{5: 3_660_000}) // 1 s
	state.Demand.Waiting[5] = 305
	c := bluebellpressure.Call{Deadline: 15 * time.Second, ObjectiveEnd: 800 * ms, Priority: 5, Tokens: 12_000}
	require.InDelta(t, time.Second, state.ReturnAfter(c, 0), float64(10*ms))
	for step := range 15 {
		state.Demand.Returning[step] = 30 // 450 callers, 1.5 s
	}
	require.GreaterOrEqual(t, state.ReturnAfter(c, 0), 2400*ms)
	c.Priority = 3
	require.Less(t, state.ReturnAfter(c, 0), 1600*ms, "what waits is less urgent")
}
