package bluebellplacement_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellplacement"
)

// engineDay replays a minute of entries with two calls a second each in front of engines of different
// speeds. Half of the calls find their shared blocks cached.
type engineDay struct {
	entries, engines int
	// speeds are those of the engines, in turn, in tokens a second.
	speeds []float64
	// queueing makes engines work off one call after another, and hides a third of the work from entries.
	queueing bool
	// silent engines get no calls.
	silent int
	// slowdowns makes 15 % of the calls take 2.5 times as long, as engines that share machines do.
	slowdowns bool
	// seeds is the number of replays.
	seeds uint64
}

// speedOf returns the speed of an engine, in tokens a second.
func (d engineDay) speedOf(t *testing.T, id string) float64 {
	t.Helper()
	var i int
	_, err := fmt.Sscanf(id, "i-%d", &i)
	require.NoError(t, err)
	return d.speeds[i%len(d.speeds)]
}

// run returns the entries after the given number of minutes.
func (d engineDay) run(t *testing.T, seed uint64, minutes int) []*bluebellplacement.Placer {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	f := fleet(d.engines)
	f.TokenCapacity["llm"] = 100_000_000
	var placers []*bluebellplacement.Placer
	for i := range d.entries {
		c := config
		c.Self = fmt.Sprint("e", i)
		placers = append(placers, placer(c, f))
	}
	type reply struct {
		at     time.Duration
		entry  *bluebellplacement.Placer
		choice bluebellplacement.Choice
	}
	var replies []reply
	var silent []string
	for i := range d.silent {
		silent = append(silent, fmt.Sprint("i-", i))
	}
	freeAt := map[string]time.Duration{}
	for now := second; now < time.Duration(60*minutes+1)*second; now += 5 * time.Millisecond {
		replies = slices.DeleteFunc(replies, func(r reply) bool {
			if r.at <= now {
				r.entry.FirstEvent(r.choice, r.at)
				r.entry.Done(r.choice, r.at, bluebellplacement.Answered)
			}
			return r.at <= now
		})
		if now%(200*time.Millisecond) == 0 {
			d.exchange(placers, f, now)
		}
		if rng.Float64() >= 0.005*2*float64(d.entries) {
			continue
		}
		r := prompt(fmt.Sprint("doc-", rng.IntN(1000)))
		r.SharedTokens, r.OwnTokens, r.Tried = 1000+rng.IntN(12_000), 200+rng.IntN(6000), silent
		entry := placers[rng.IntN(len(placers))]
		choice, result := entry.Pick(now, r)
		require.Equal(t, bluebellplacement.Picked, result)
		entry.Sent(&choice, now)
		read := r.OwnTokens
		if rng.IntN(2) == 0 {
			read += r.SharedTokens
		}
		id := choice.Endpoint.ID
		start := now
		if d.queueing {
			start = max(now, freeAt[id])
			if rng.IntN(3) == 0 {
				read += rng.IntN(20_000)
			}
		}
		if d.slowdowns && rng.IntN(100) < 15 {
			read = read * 5 / 2
		}
		freeAt[id] = start + time.Duration(float64(read)/d.speedOf(t, id)*float64(time.Second))
		replies = append(replies, reply{freeAt[id] + 8*time.Millisecond, entry, choice})
	}
	for _, r := range replies {
		r.entry.FirstEvent(r.choice, r.at)
		r.entry.Done(r.choice, r.at, bluebellplacement.Answered)
	}
	for _, p := range placers {
		p.Update(f)
	}
	return placers
}

// expected returns for each engine and entry the expected time to read 20,000 tokens when idle after a
// minute, divided by the true one.
func (d engineDay) expected(t *testing.T, seed uint64) [][]float64 {
	t.Helper()
	placers := d.run(t, seed, 1)
	ratios := make([][]float64, d.engines)
	for i := range ratios {
		id := fmt.Sprint("i-", i)
		for _, p := range placers {
			choice, result := p.Pick(70*second, bluebellplacement.Request{Target: "llm", Model: "m0", OwnTokens: 20_000, Only: []string{id}})
			require.Equal(t, bluebellplacement.Picked, result)
			ratios[i] = append(ratios[i], choice.Expected.Seconds()*d.speedOf(t, id)/20_000)
		}
	}
	return ratios
}

// exchange gives each entry the sums of the others, once a second with their speeds.
func (d engineDay) exchange(placers []*bluebellplacement.Placer, f bluebellplacement.Fleet, now time.Duration) {
	uses, sums := make([]map[string]bluebellplacement.EndpointUse, len(placers)), map[string]bluebellplacement.EndpointUse{}
	for i, p := range placers {
		uses[i] = p.Uses(now)
		for id, u := range uses[i] {
			sums[id] = sums[id].Add(u)
		}
	}
	for i, p := range placers {
		next := f
		next.At, next.UseByOthers = now, maps.Clone(sums)
		for id, own := range uses[i] {
			u := sums[id]
			u.Calls, u.Tokens, u.PrefillTokens, u.Speed = u.Calls-own.Calls, u.Tokens-own.Tokens, u.PrefillTokens-own.PrefillTokens, u.Speed.Minus(own.Speed)
			next.UseByOthers[id] = u
		}
		if now%second != 0 {
			for id, u := range next.UseByOthers {
				u.Speed = bluebellplacement.Speed{}
				next.UseByOthers[id] = u
			}
		}
		p.Update(next)
	}
}

// Where some engines take 1.3 times as long as others, one speed for all of them was that of the fast
// ones, and the others answered late. The expected time at each engine, also at one that has had no calls
// yet, has to be right within 25 % at each entry after a minute of ordinary traffic, also with queueing at
// the same time, a third of which entries do not know of.
func TestEnginesOfDifferentSpeeds(t *testing.T) {
	for name, d := range map[string]engineDay{
		"SingleEntry": {entries: 1, engines: 4, speeds: []float64{61_000, 61_000, 47_000}},
		"Feed":        {entries: 20, engines: 13, speeds: []float64{61_000, 47_000, 35_000}, silent: 1},
		"Queueing":    {entries: 20, engines: 13, speeds: []float64{61_000, 47_000, 35_000}, silent: 1, queueing: true},
		"Fast":        {entries: 20, engines: 13, speeds: []float64{150_000, 115_000, 90_000}, silent: 1, queueing: true},
		"Slowdowns":   {entries: 20, engines: 13, speeds: []float64{61_000, 47_000, 35_000}, silent: 1, slowdowns: true},
		"ManyEntries": {entries: 70, engines: 60, speeds: []float64{61_000, 61_000, 47_000}, silent: 1, queueing: true, seeds: 1},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range cmp.Or(d.seeds, 3) {
				least, most := 1.0, 1.0
				for _, r := range d.expected(t, seed+1) {
					least, most = min(least, slices.Min(r)), max(most, slices.Max(r))
				}
				t.Logf("expected times are %.2f to %.2f of the true ones", least, most)
				require.Greater(t, least, 0.75)
				require.Less(t, most, 1.25)
			}
		})
	}
}

// An entry that has just started, or that sends an engine no calls, knows its speed from the others.
func TestSpeedOfEngineIsLearnedFromOthers(t *testing.T) {
	f := fleet(1)
	p := placer(config, f)
	serve := func(now time.Duration) time.Duration {
		choice, _ := p.Pick(now, bluebellplacement.Request{Target: "llm", Model: "m0", OwnTokens: 4000})
		p.Sent(&choice, now)
		p.FirstEvent(choice, now+100*time.Millisecond)
		p.Done(choice, now+100*time.Millisecond, bluebellplacement.Answered)
		return choice.Expected
	}
	before := serve(second)
	f.UseByOthers = map[string]bluebellplacement.EndpointUse{"i-0": {Speed: bluebellplacement.NewSpeed(20_000, 30)}}
	for f.At = 2 * second; f.At < 7*second; f.At += 200 * time.Millisecond {
		p.Update(f)
	}
	require.InEpsilon(t, 0.2, serve(7*second).Seconds(), 0.1)
	require.Less(t, before, 110*time.Millisecond)
	f.Endpoints[0].StartUnixMillis, f.UseByOthers = 5, nil
	p.Update(f)
	f.Endpoints[0].StartUnixMillis = 6
	p.Update(f)
	require.Less(t, serve(8*second), 110*time.Millisecond, "another incarnation may run on another machine")
}
