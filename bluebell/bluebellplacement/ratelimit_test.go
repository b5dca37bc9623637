package bluebellplacement_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellplacement"
)

// limitedEntries are entries that call one endpoint and report its limits to each other.
type limitedEntries struct {
	fleet   bluebellplacement.Fleet
	placers map[string]*bluebellplacement.Placer
	// limit is what the endpoint says in its answers.
	limit bluebellplacement.RateLimit
	// arrivals holds when the endpoint got calls.
	arrivals []time.Duration
}

func newLimitedEntries(entries int) *limitedEntries {
	l := &limitedEntries{fleet: fleet(1), placers: map[string]*bluebellplacement.Placer{}}
	l.fleet.Entries = nil
	for i := range entries {
		l.fleet.Entries = append(l.fleet.Entries, fmt.Sprintf("e%03d", i))
	}
	for _, name := range l.fleet.Entries {
		l.restart(name)
	}
	return l
}

// restart gives an entry the state of a new process.
func (l *limitedEntries) restart(name string) {
	c := config
	c.Self = name
	l.placers[name] = placer(c, l.fleet)
}

// run lets each entry offer calls without a pause until a time. Every 200 ms the entries exchange
// what they have heard.
func (l *limitedEntries) run(from, until time.Duration) {
	for now := from; now < until; now += 20 * time.Millisecond {
		if now%(200*time.Millisecond) == 0 {
			l.exchange(now)
		}
		for _, name := range l.fleet.Entries {
			p := l.placers[name]
			choice, result := p.Pick(now, prompt("doc"))
			if result != bluebellplacement.Picked {
				continue
			}
			p.Sent(&choice, now)
			l.arrivals = append(l.arrivals, now)
			said := l.limit
			said.At = now
			p.RecordRateLimit(choice, said)
			p.Done(choice, now, bluebellplacement.Answered)
		}
	}
}

func (l *limitedEntries) exchange(now time.Duration) {
	sum := bluebellplacement.EndpointUse{}
	for _, p := range l.placers {
		sum = sum.Add(p.Uses(now)["i-0"])
	}
	next := l.fleet
	next.At, next.UseByOthers = now, map[string]bluebellplacement.EndpointUse{"i-0": {Limit: sum.Limit}}
	for _, p := range l.placers {
		p.Update(next)
	}
}

// most returns the highest number of arrivals within 4 s, of those from a time on.
func (l *limitedEntries) most(from time.Duration) int {
	most := 0
	for i, first := range l.arrivals {
		n := 0
		for _, at := range l.arrivals[i:] {
			if first >= from && at < first+4*second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// All entries together keep the limit that an endpoint names, at any number of entries and any
// limit, soon after any of them has heard it; and use most of it.
func TestEntriesShareNamedLimit(t *testing.T) {
	for _, entries := range []int{1, 6, 295} {
		for _, limit := range []float64{0, 0.2, 1, 1.4, 10, 100} {
			l := newLimitedEntries(entries)
			l.limit = bluebellplacement.RateLimit{Named: true, PerSecond: limit}
			l.run(second, 11*second)
			require.LessOrEqual(t, float64(l.most(2*second)), 1.5*4*limit+5, "%d entries, limit %v", entries, limit)
			require.GreaterOrEqual(t, float64(len(l.arrivals)), 0.6*9*min(limit, 50*float64(entries)), "%d entries, limit %v", entries, limit)
		}
	}
}

// An endpoint that names no limit any more is called freely again, within a few seconds at all
// entries.
func TestEndOfLimitReachesAllEntries(t *testing.T) {
	for _, limit := range []float64{0, 1.4} {
		l := newLimitedEntries(6)
		l.limit = bluebellplacement.RateLimit{Named: true, PerSecond: limit}
		l.run(second, 10*second)
		l.limit = bluebellplacement.RateLimit{}
		l.run(10*second, 14*second)
		for name, p := range l.placers {
			_, result := p.Pick(14*second, prompt("doc"))
			require.Equal(t, bluebellplacement.Picked, result, name)
		}
		l.run(14*second, 90*second)
		_, result := l.placers["e000"].Pick(90*second, prompt("doc"))
		require.Equal(t, bluebellplacement.Picked, result, "a limit that has ended does not come back")
	}
}

// An entry that has just started knows the limit from the others.
func TestRestartedEntryKnowsLimit(t *testing.T) {
	l := newLimitedEntries(6)
	l.limit = bluebellplacement.RateLimit{Named: true, PerSecond: 1}
	l.run(second, 10*second)
	for at := 10 * second; at < 22*second; at += 2 * second {
		l.restart("e003")
		l.exchange(at)
		l.run(at, at+2*second)
	}
	require.LessOrEqual(t, l.most(4*second), 11)
}

// A new incarnation of an endpoint has named no limit.
func TestLimitEndsWithIncarnation(t *testing.T) {
	l := newLimitedEntries(6)
	l.fleet.Endpoints[0].StartUnixMillis = 1
	l.limit = bluebellplacement.RateLimit{Named: true}
	l.run(second, 5*second)
	l.fleet.Endpoints[0].StartUnixMillis = 2
	l.exchange(5*second + second/100)
	for name, p := range l.placers {
		_, result := p.Pick(5*second+second/50, prompt("doc"))
		require.Equal(t, bluebellplacement.Picked, result, name)
	}
}

// An entry without a share is told so, and one with a share when it may send.
func TestLimitedTargetTellsWhen(t *testing.T) {
	l := newLimitedEntries(6)
	l.limit = bluebellplacement.RateLimit{Named: true, PerSecond: 1}
	l.run(second, 10*second)
	sharing := 0
	for _, p := range l.placers {
		choice, result := p.Pick(10*second, prompt("doc"))
		if result == bluebellplacement.Picked {
			sharing++
			continue
		}
		require.Equal(t, bluebellplacement.AllLimited, result)
		if choice.AllowedInterval > 0 {
			sharing++
			require.Greater(t, choice.AllowedAt, 10*second)
		}
	}
	require.Equal(t, 5, sharing)
}

// A limit that another entry has reported, rounded, and an endless one are no changes when they are
// heard again.
func TestLimitHeardAgainIsNoChange(t *testing.T) {
	p := placer(config, fleet(1))
	choice, result := p.Pick(second, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result)
	require.True(t, p.RecordRateLimit(choice, bluebellplacement.RateLimit{Named: true, PerSecond: 4.35678, At: second}))
	f := fleet(1)
	f.At, f.UseByOthers = 2*second, map[string]bluebellplacement.EndpointUse{"i-0": {Limit: bluebellplacement.RateLimit{Named: true, PerSecond: 4.357, At: 2 * second}}}
	p.Update(f)
	require.False(t, p.RecordRateLimit(choice, bluebellplacement.RateLimit{Named: true, PerSecond: 4.35678, At: 3 * second}))
	require.True(t, p.RecordRateLimit(choice, bluebellplacement.RateLimit{PerSecond: math.Inf(1), At: 4 * second}))
	require.False(t, p.RecordRateLimit(choice, bluebellplacement.RateLimit{At: 5 * second}))
}
