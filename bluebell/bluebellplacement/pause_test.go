package bluebellplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellplacement"
)

// inFlight is a call at the endpoint that pausingEndpoint simulates.
type inFlight struct {
	placer *bluebellplacement.Placer
	choice bluebellplacement.Choice
	ends   time.Duration
	// refused is set if the endpoint turns the call away.
	refused bool
}

// pausingEndpoint is an endpoint that wants no calls until a time, and the entries that call it.
type pausingEndpoint struct {
	*limitedEntries
	until    time.Duration
	calls    []inFlight
	refusals map[*bluebellplacement.Placer]time.Duration
	// late holds the calls of an entry that came between half a second after its refusal and until.
	late map[*bluebellplacement.Placer]int
	// most is the highest number of calls in flight.
	most int
}

// run lets each entry offer a call each step, and lets the endpoint answer after 40 ms.
func (e *pausingEndpoint) run(from, until time.Duration) {
	for now := from; now < until; now += 10 * time.Millisecond {
		var left []inFlight
		for _, c := range e.calls {
			switch {
			case now < c.ends:
				left = append(left, c)
			case c.refused:
				c.placer.RecordPause(c.choice, now, e.until-now)
				if _, known := e.refusals[c.placer]; !known {
					e.refusals[c.placer] = now
				}
				c.placer.Done(c.choice, now, bluebellplacement.Declined)
			default:
				c.placer.FirstEvent(c.choice, now)
				c.placer.Done(c.choice, now, bluebellplacement.Answered)
			}
		}
		e.calls = left
		for _, name := range e.fleet.Entries {
			p := e.placers[name]
			choice, result := p.Pick(now, prompt("doc"))
			if result != bluebellplacement.Picked {
				continue
			}
			p.Sent(&choice, now)
			e.arrivals = append(e.arrivals, now)
			if refused, known := e.refusals[p]; known && now > refused+second/2 && now < e.until {
				e.late[p]++
			}
			e.calls = append(e.calls, inFlight{placer: p, choice: choice, ends: now + 40*time.Millisecond, refused: now < e.until})
		}
		e.most = max(e.most, len(e.calls))
	}
}

func newPausingEndpoint(entries int, until time.Duration) *pausingEndpoint {
	e := &pausingEndpoint{
		limitedEntries: newLimitedEntries(entries), until: until, refusals: map[*bluebellplacement.Placer]time.Duration{}, late: map[*bluebellplacement.Placer]int{},
	}
	e.fleet.Endpoints[0].Slots = 16
	e.fleet.TokenCapacity = nil
	for _, p := range e.placers {
		p.Update(e.fleet)
	}
	return e
}

// An endpoint that wants no calls for a time gets none from entries that know, at any number of
// entries and length of the time. They return at different times, and all return.
func TestEntriesKeepPauseAndReturnSpread(t *testing.T) {
	for _, entries := range []int{1, 6, 295} {
		for _, length := range []time.Duration{700 * time.Millisecond, 3 * second} {
			name := fmt.Sprint(entries, " entries, ", length)
			e := newPausingEndpoint(entries, second+length)
			e.run(second, e.until)
			require.Empty(t, e.late, name)
			require.Len(t, e.refusals, entries, name)
			e.most, e.arrivals = 0, nil
			e.run(e.until, e.until+100*time.Millisecond)
			require.LessOrEqual(t, len(e.arrivals), max(entries/2, 8), "%s: entries return at different times", name)
			e.run(e.until+100*time.Millisecond, e.until+3*second)
			for entry, p := range e.placers {
				_, result := p.Pick(e.until+3*second, prompt("doc"))
				require.Equal(t, bluebellplacement.Picked, result, "%s: %s", name, entry)
			}
		}
	}
}

// The calls that wait for the end of a pause are not sent at once: each answer allows one more.
func TestReturnAfterPauseIsGradual(t *testing.T) {
	f := fleet(1)
	f.Endpoints[0].Slots, f.TokenCapacity = 8, nil
	p := placer(config, f)
	first, _ := p.Pick(second, prompt("doc"))
	require.NotZero(t, p.RecordPause(first, second, second))
	at := 3 * second
	var running []bluebellplacement.Choice
	pickAll := func() int {
		n := 0
		for range 40 {
			choice, result := p.Pick(at, prompt("doc"))
			if result != bluebellplacement.Picked {
				require.Equal(t, bluebellplacement.AllLimited, result)
				require.NotZero(t, choice.AllowedInterval, "the call may wait")
				break
			}
			p.Sent(&choice, at)
			running = append(running, choice)
			n++
		}
		return n
	}
	require.Equal(t, 1, pickAll())
	for _, want := range []int{2, 4, 8} {
		done := running
		running = nil
		at += 50 * time.Millisecond
		for _, c := range done {
			p.FirstEvent(c, at)
			p.Done(c, at, bluebellplacement.Answered)
		}
		require.Equal(t, want, pickAll())
	}
	at += 50 * time.Millisecond
	p.FirstEvent(running[0], at)
	require.Equal(t, 40, pickAll())
}

// A call of the return that is never answered does not end the return.
func TestReturnGoesOnAfterUnansweredCall(t *testing.T) {
	p := placer(config, fleet(1))
	first, _ := p.Pick(second, prompt("doc"))
	p.RecordPause(first, second, second)
	lost, result := p.Pick(3*second, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result)
	p.Sent(&lost, 3*second)
	_, result = p.Pick(3*second+500*time.Millisecond, prompt("doc"))
	require.Equal(t, bluebellplacement.AllLimited, result)
	_, result = p.Pick(4*second, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result)
}

// An earlier refusal that arrives late shortens no pause, and a pause concerns one incarnation.
func TestPauseConcernsOneIncarnation(t *testing.T) {
	f := fleet(1)
	f.Endpoints[0].StartUnixMillis = 5
	p := placer(config, f)
	choice, _ := p.Pick(second, prompt("doc"))
	require.NotZero(t, p.RecordPause(choice, second, 30*second))
	require.Zero(t, p.RecordPause(choice, 2*second, second))
	require.Zero(t, p.RecordPause(choice, 2*second, 0))
	missing := f
	missing.Endpoints, missing.At = nil, 3*second
	p.Update(missing)
	f.At = 4 * second
	p.Update(f)
	paused, result := p.Pick(20*second, prompt("doc"))
	require.Equal(t, bluebellplacement.AllLimited, result)
	require.InDelta(t, 31.25, paused.AllowedAt.Seconds(), 0.25)
	require.NotZero(t, paused.AllowedInterval, "calls that can wait for so long may")
	tried := prompt("doc")
	tried.Tried = []string{"i-0"}
	paused, result = p.Pick(20*second, tried)
	require.Equal(t, bluebellplacement.AllLimited, result)
	require.InDelta(t, 31.25, paused.AllowedAt.Seconds(), 0.25)
	require.Zero(t, paused.AllowedInterval, "this call cannot return to the endpoint")
	f = fleet(1)
	f.At, f.Endpoints[0].StartUnixMillis = 21*second, 6
	p.Update(f)
	_, result = p.Pick(21*second, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result)
}

// A very long time may be a mistake: the endpoint gets a call after ten minutes, twice, and is free if
// it answers. One that names the time again and again is believed.
func TestLongPauseIsChecked(t *testing.T) {
	for _, answers := range []bool{true, false} {
		f := fleet(1)
		f.Endpoints[0].StartUnixMillis = 5
		p := placer(config, f)
		at := second
		choice, _ := p.Pick(at, prompt("doc"))
		for check := range 2 {
			p.RecordPause(choice, at, 30_000*time.Hour)
			for end := at + 10*time.Minute; at < end; at += time.Second {
				_, result := p.Pick(at, prompt("doc"))
				require.Equal(t, bluebellplacement.AllLimited, result)
			}
			at += 2 * second
			var result bluebellplacement.PickResult
			choice, result = p.Pick(at, prompt("doc"))
			require.Equal(t, bluebellplacement.Picked, result, "check %d", check)
			p.Sent(&choice, at)
			if answers {
				break
			}
			p.Done(choice, at, bluebellplacement.Declined)
		}
		if answers {
			p.FirstEvent(choice, at)
			p.Done(choice, at, bluebellplacement.Answered)
			_, result := p.Pick(at, prompt("doc"))
			require.Equal(t, bluebellplacement.Picked, result)
			continue
		}
		p.RecordPause(choice, at, 30_000*time.Hour)
		_, result := p.Pick(at+1000*time.Hour, prompt("doc"))
		require.Equal(t, bluebellplacement.AllLimited, result)
	}
}

// Endpoints that name times without calls, leave and return at random: no entry sends more than two
// calls in a time that it has been told of.
func TestPausesHoldUnderRandomStatements(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := fleet(3)
		f.TokenCapacity = nil
		p := placer(config, f)
		until := map[string]time.Duration{}
		since := map[string]time.Duration{}
		for now := second; now < 40*second; now += time.Duration(rng.IntN(60)) * time.Millisecond {
			choice, result := p.Pick(now, prompt(fmt.Sprint(rng.IntN(5))))
			if result != bluebellplacement.Picked {
				continue
			}
			id := choice.Endpoint.ID
			require.False(t, now > since[id]+second/2 && now < until[id], "seed %d", seed)
			p.Sent(&choice, now)
			if rng.IntN(4) == 0 {
				wanted := time.Duration(rng.IntN(4000)) * time.Millisecond
				p.RecordPause(choice, now, wanted)
				if now+wanted > until[id] {
					until[id], since[id] = now+wanted, now
				}
				p.Done(choice, now, bluebellplacement.Declined)
				continue
			}
			p.FirstEvent(choice, now)
			p.Done(choice, now, bluebellplacement.Answered)
		}
	}
}

// Several calls that are turned away together with a very long time count as one mistake.
func TestRefusalsTogetherAreOneMistake(t *testing.T) {
	p := placer(config, fleet(1))
	var choices []bluebellplacement.Choice
	for range 5 {
		choice, result := p.Pick(second, prompt("doc"))
		require.Equal(t, bluebellplacement.Picked, result)
		choices = append(choices, choice)
	}
	for i, choice := range choices {
		p.RecordPause(choice, second+time.Duration(i)*10*time.Millisecond, 30_000*time.Hour)
	}
	_, result := p.Pick(11*time.Minute, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result)
}
