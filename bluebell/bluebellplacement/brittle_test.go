package bluebellplacement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebellplacement"
)

const (
	brittleStep = 5 * time.Millisecond
	// latency is the time that calls and answers travel.
	latency = 10 * time.Millisecond
	// staleness is the age of the sums that entries get, contact the time in which they have to learn
	// that endpoints are brittle.
	staleness = 500 * time.Millisecond
	contact   = 3 * second
	// meanRun is the mean time that an endpoint runs a call.
	meanRun = 100 * time.Millisecond
)

// brittleCall is a call at an endpoint.
type brittleCall struct {
	entry, endpoint int
	choice          bluebellplacement.Choice
	placer          *bluebellplacement.Placer
	// arrives is when the endpoint gets the call, ends when it answers, and hears when the entry gets
	// the answer.
	arrives, ends, hears time.Duration
	running, refused     bool
	named                bool
}

// brittleFleet simulates entries and endpoints that have no room beyond their slots.
type brittleFleet struct {
	rng     *rand.Rand
	fleet   bluebellplacement.Fleet
	placers []*bluebellplacement.Placer
	slots   int
	// perSecond is what the endpoints name while names returns true for an answer.
	perSecond float64
	names     func(now time.Duration, endpoint int) bool
	// load is the ratio of the offered calls to what the slots can take.
	load    float64
	calls   []*brittleCall
	running []int
	// refusals holds when each endpoint turned calls away, served the number of calls run.
	refusals [][]time.Duration
	served   int
	results  map[bluebellplacement.PickResult]int
	// reports holds what the entries will get of each other.
	reports []brittleReport
}

type brittleReport struct {
	at   time.Duration
	uses []map[string]bluebellplacement.EndpointUse
}

func newBrittleFleet(entries, endpoints, slots int, perSecond float64) *brittleFleet {
	b := &brittleFleet{
		rng: rand.New(rand.NewPCG(uint64(entries), uint64(slots))), slots: slots, perSecond: perSecond, load: 5,
		names: func(time.Duration, int) bool { return true }, running: make([]int, endpoints), refusals: make([][]time.Duration, endpoints),
		results: map[bluebellplacement.PickResult]int{}, fleet: bluebellplacement.Fleet{RegistrationsLive: true},
	}
	for i := range endpoints {
		b.fleet.Endpoints = append(b.fleet.Endpoints, bluebellfleet.Endpoint{
			ID: fmt.Sprint("i-", i), Target: "llm", FailureDomain: "a", State: bluebellfleet.Serving, Slots: slots, ReceivedAt: second, StartUnixMillis: 1,
		})
	}
	for i := range entries {
		b.fleet.Entries = append(b.fleet.Entries, fmt.Sprintf("e%03d", i))
	}
	b.placers = make([]*bluebellplacement.Placer, entries)
	for i := range entries {
		b.restart(i)
	}
	return b
}

// restart gives an entry the state of a new process.
func (b *brittleFleet) restart(entry int) {
	c := config
	c.Self = b.fleet.Entries[entry]
	b.placers[entry] = placer(c, b.fleet)
}

// run simulates the time between two moments.
func (b *brittleFleet) run(from, until time.Duration) {
	for now := from; now < until; now += brittleStep {
		if now%(200*time.Millisecond) == 0 {
			b.exchange(now)
		}
		b.advance(now)
		perStep := b.load * float64(b.slots*len(b.running)) * float64(brittleStep) / float64(meanRun)
		for n := perStep; n > b.rng.Float64(); n-- {
			// Some entries get several times as many calls as others.
			entry := int(float64(len(b.placers)) * b.rng.Float64() * (0.3 + 0.7*b.rng.Float64()))
			b.offer(now, entry)
		}
	}
}

// offer offers a call to an entry, which drops it if it cannot be sent.
func (b *brittleFleet) offer(now time.Duration, entry int) {
	p := b.placers[entry]
	choice, result := p.Pick(now, bluebellplacement.Request{Target: "llm"})
	b.results[result]++
	if result != bluebellplacement.Picked {
		return
	}
	p.Sent(&choice, now)
	var endpoint int
	_, _ = fmt.Sscanf(choice.Endpoint.ID, "i-%d", &endpoint)
	b.calls = append(b.calls, &brittleCall{entry: entry, endpoint: endpoint, choice: choice, placer: p, arrives: now + latency})
}

// advance moves the calls on.
func (b *brittleFleet) advance(now time.Duration) {
	// Slots are free before calls arrive.
	for _, c := range b.calls {
		if c.running && now >= c.ends {
			c.running, c.named, c.hears = false, b.names(now, c.endpoint), now+latency
			b.running[c.endpoint]--
		}
	}
	var left []*brittleCall
	for _, c := range b.calls {
		switch {
		case c.hears == 0 && !c.running && now >= c.arrives:
			room := b.slots
			if now < second+contact {
				// Until the entries must know, calls may wait; they count as running here.
				room *= 3
			}
			if b.running[c.endpoint] >= room {
				b.refusals[c.endpoint] = append(b.refusals[c.endpoint], now)
				c.refused, c.named, c.hears = true, b.names(now, c.endpoint), now+latency
				break
			}
			b.running[c.endpoint]++
			b.served++
			c.running, c.ends = true, now+meanRun/2+time.Duration(b.rng.Int64N(int64(meanRun)))
		case c.hears > 0 && now >= c.hears:
			b.hear(now, c)
			continue
		}
		left = append(left, c)
	}
	b.calls = left
}

// hear gives an answer to its entry.
func (b *brittleFleet) hear(now time.Duration, c *brittleCall) {
	c.placer.RecordBrittle(c.choice, bluebellplacement.RateLimit{Named: c.named, PerSecond: b.perSecond, At: now}, c.refused)
	if c.refused {
		c.placer.Done(c.choice, now, bluebellplacement.Declined)
		return
	}
	c.placer.FirstEvent(c.choice, now)
	c.placer.Done(c.choice, now, bluebellplacement.Answered)
}

// exchange gives the entries what the others reported some time ago.
func (b *brittleFleet) exchange(now time.Duration) {
	r := brittleReport{at: now}
	for _, p := range b.placers {
		r.uses = append(r.uses, p.Uses(now))
	}
	b.reports = append(b.reports, r)
	for len(b.reports) > 1 && b.reports[1].at <= now-staleness {
		b.reports = b.reports[1:]
	}
	r = b.reports[0]
	sum := map[string]bluebellplacement.EndpointUse{}
	for _, uses := range r.uses {
		for id, u := range uses {
			sum[id] = sum[id].Add(u)
		}
	}
	for i, p := range b.placers {
		others := make(map[string]bluebellplacement.EndpointUse, len(sum))
		for id, u := range sum {
			u.Calls -= r.uses[i][id].Calls
			others[id] = u
		}
		f := b.fleet
		f.At, f.UseByOthers = now, others
		p.Update(f)
	}
}

// offerAll offers calls to all entries all the time between two moments.
func (b *brittleFleet) offerAll(from, until time.Duration) {
	for now := from; now < until; now += 4 * brittleStep {
		if now%(200*time.Millisecond) == 0 {
			b.exchange(now)
		}
		b.advance(now)
		for entry := range b.placers {
			b.offer(now, entry)
		}
	}
}

// mostRefusals returns the highest number of calls that an endpoint turned away in a second, from a time
// on.
func (b *brittleFleet) mostRefusals(from time.Duration) int {
	most := 0
	for _, refusals := range b.refusals {
		for i, first := range refusals {
			n := 0
			for _, at := range refusals[i:] {
				if first >= from && at < first+second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// Entries keep the calls that a brittle endpoint turns away below what it names, under several times its
// load and with old sums, and use its slots.
func TestBrittleEndpointsTurnFewCallsAway(t *testing.T) {
	for _, c := range []struct {
		entries, endpoints, slots int
		// used is the least share of the slots that must be used. With more entries than slots, some of
		// the entries that share them get too few calls to use them.
		used float64
	}{
		{1, 2, 8, 0.8}, {6, 4, 8, 0.7}, {6, 2, 64, 0.8}, {70, 4, 64, 0.6}, {70, 8, 16, 0.6}, {295, 6, 64, 0.6}, {295, 8, 16, 0.5},
	} {
		numbers := []float64{0, 2, 20}
		if c.entries > 100 {
			numbers = numbers[1:2]
		}
		for _, perSecond := range numbers {
			name := fmt.Sprintf("%+v, may turn away %v", c, perSecond)
			b := newBrittleFleet(c.entries, c.endpoints, c.slots, perSecond)
			b.run(second, second+contact)
			b.served = 0
			b.run(second+contact, second+contact+2*second)
			require.LessOrEqual(t, float64(b.mostRefusals(second+contact)), perSecond, name)
			require.GreaterOrEqual(t, float64(b.served), c.used*float64(c.endpoints*c.slots)*2*float64(second)/float64(meanRun+2*latency), name)
		}
	}
}

// Endpoints that say in some of their answers only that they are brittle are brittle.
func TestBrittlenessIsKeptUnderAlternatingAnswers(t *testing.T) {
	b := newBrittleFleet(6, 4, 16, 2)
	b.names = func(time.Duration, int) bool { return b.rng.IntN(3) == 0 }
	b.run(second, second+contact+4*second)
	require.LessOrEqual(t, b.mostRefusals(second+contact), 2)
}

// Refusals count while an endpoint says in some of its answers only that it is brittle.
func TestRefusalsCountUnderAlternatingAnswers(t *testing.T) {
	for seed := range uint64(10) {
		b := newBrittleFleet(6, 1, 16, 10)
		b.rng = rand.New(rand.NewPCG(seed, 1))
		b.names = func(time.Duration, int) bool { return b.rng.IntN(2) == 0 }
		b.run(second, 5*second)
		b.slots, b.load = 0, 0
		b.run(5*second, 5*second+second/5)
		b.offerAll(5*second+second/5, 20*second)
		require.LessOrEqual(t, b.mostRefusals(8*second), 10, "seed %d", seed)
	}
}

// An endpoint that says in one answer only that it is brittle is not, soon after.
func TestSingleAnswerMakesNotBrittleForLong(t *testing.T) {
	b := newBrittleFleet(6, 1, 16, 2)
	said := false
	b.names = func(time.Duration, int) bool {
		first := !said
		said = true
		return first
	}
	b.load = 0.3
	b.run(second, 6*second)
	for entry, p := range b.placers {
		for range 6 {
			choice, result := p.Pick(6*second, bluebellplacement.Request{Target: "llm"})
			require.Equal(t, bluebellplacement.Picked, result, entry)
			p.Sent(&choice, 6*second)
		}
	}
}

// An endpoint that no longer says that it is brittle gets as many calls as before, at all entries.
func TestEndOfBrittlenessReachesAllEntries(t *testing.T) {
	b := newBrittleFleet(70, 4, 8, 2)
	b.names = func(now time.Duration, _ int) bool { return now < 6*second }
	b.run(second, 6*second)
	// The endpoints of this test let no calls wait, which alone makes entries pause.
	b.load = 0.3
	b.run(6*second, 10*second)
	for entry, p := range b.placers {
		for range 3 {
			choice, result := p.Pick(10*second, bluebellplacement.Request{Target: "llm"})
			require.Equal(t, bluebellplacement.Picked, result, entry)
			p.Sent(&choice, 10*second)
		}
	}
}

// Entries that restart do not make brittle endpoints turn many calls away.
func TestRestartedEntriesKeepShares(t *testing.T) {
	for _, entries := range []int{6, 70} {
		b := newBrittleFleet(entries, 4, 16, 3)
		b.run(second, second+contact)
		for at := second + contact; at < 12*second; at += second / 2 {
			entry := b.rng.IntN(entries)
			// The calls of the old process end with it.
			for _, c := range b.calls {
				if c.entry == entry && c.running {
					c.ends = at
				}
			}
			b.restart(entry)
			b.exchange(at)
			b.run(at, at+second/2)
		}
		require.LessOrEqual(t, b.mostRefusals(second+contact), 3, entries)
	}
}

// A new incarnation is not brittle until it says so.
func TestBrittlenessEndsWithIncarnation(t *testing.T) {
	b := newBrittleFleet(6, 1, 8, 0)
	b.run(second, 5*second)
	b.names = func(time.Duration, int) bool { return false }
	b.fleet.Endpoints[0].StartUnixMillis = 2
	b.reports = nil
	for _, p := range b.placers {
		f := b.fleet
		f.At = 7 * second
		p.Update(f)
		for range 20 {
			choice, result := p.Pick(7*second, bluebellplacement.Request{Target: "llm"})
			require.Equal(t, bluebellplacement.Picked, result)
			p.Sent(&choice, 7*second)
		}
	}
}

// An entry without a share is told which entries have one, and one whose share is in use when a call may
// end.
func TestEntryWithoutShareIsToldOfHolders(t *testing.T) {
	b := newBrittleFleet(70, 2, 8, 3)
	b.load = 0.2
	b.run(second, 5*second)
	shares, named := 0, map[string]bool{}
	for i, p := range b.placers {
		for {
			choice, result := p.Pick(5*second, bluebellplacement.Request{Target: "llm"})
			if result == bluebellplacement.Picked {
				shares++
				p.Sent(&choice, 5*second)
				continue
			}
			if result == bluebellplacement.AllShared {
				require.Len(t, choice.Holders, 8)
				require.NotContains(t, choice.Holders, b.fleet.Entries[i])
				for _, name := range choice.Holders {
					named[name] = true
				}
				break
			}
			require.Equal(t, bluebellplacement.AllLimited, result)
			require.Greater(t, choice.AllowedAt, 5*second)
			require.NotZero(t, choice.AllowedInterval)
			break
		}
	}
	require.LessOrEqual(t, shares, 2*8)
	require.GreaterOrEqual(t, shares, 8)
	for name := range named {
		holder := b.placers[slices.Index(b.fleet.Entries, name)]
		_, result := holder.Pick(5*second, bluebellplacement.Request{Target: "llm"})
		require.Equal(t, bluebellplacement.AllLimited, result, "a holder has a share, which is in use now")
	}
}

// Entries whose calls were turned away together try again at different times and rarely, so that the
// endpoint turns away no more than it can even if it has no room at all.
func TestFullBrittleEndpointTurnsFewCallsAway(t *testing.T) {
	for _, perSecond := range []float64{1, 3, 20} {
		for _, entries := range []int{6, 70} {
			b := newBrittleFleet(entries, 1, 16, perSecond)
			b.run(second, 5*second)
			b.slots, b.load = 0, 0
			b.run(5*second, 5*second+second/5)
			b.offerAll(5*second+second/5, 40*second)
			require.LessOrEqual(t, float64(b.mostRefusals(8*second)), perSecond, "%d entries, may turn away %v", entries, perSecond)
			require.NotZero(t, b.mostRefusals(8*second))
		}
	}
}

// An entry that has just started sends nothing before it knows what endpoints have stated to others.
func TestNewEntryWaitsForUseByOthers(t *testing.T) {
	b := newBrittleFleet(6, 1, 8, 0)
	p := b.placers[0]
	f := b.fleet
	f.UsePending = true
	p.Update(f)
	_, result := p.Pick(second, bluebellplacement.Request{Target: "llm"})
	require.Equal(t, bluebellplacement.AllUnfit, result)
	f.UsePending = false
	f.UseByOthers = map[string]bluebellplacement.EndpointUse{"i-0": {Calls: 8, Brittle: bluebellplacement.RateLimit{Named: true, At: second}}}
	p.Update(f)
	_, result = p.Pick(second, bluebellplacement.Request{Target: "llm"})
	require.Equal(t, bluebellplacement.AllLimited, result, "the others have not left its share yet")
	f.UseByOthers["i-0"] = bluebellplacement.EndpointUse{Calls: 7, Brittle: f.UseByOthers["i-0"].Brittle}
	p.Update(f)
	_, result = p.Pick(second, bluebellplacement.Request{Target: "llm"})
	require.Equal(t, bluebellplacement.Picked, result)
}
