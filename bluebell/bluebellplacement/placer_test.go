package bluebellplacement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebellplacement"
)

const second = time.Second

var config = bluebellplacement.Config{
	Self: "e1", FailureDomain: "a", OldWeightsGrace: 8 * second, ColdFactor: 1.5, ColdSlack: 5, StaleAfter: 4 * second,
}

// fleet returns a fleet of n engines in one failure domain.
func fleet(n int) bluebellplacement.Fleet {
	f := bluebellplacement.Fleet{
		Entries: []string{"e1", "e2", "e3", "e4", "e5", "e6"}, ColdRates: map[string]float64{"llm": 9},
		TokenCapacity: map[string]int{"llm": 100_000}, RegistrationsLive: true,
	}
	for i := range n {
		f.Endpoints = append(f.Endpoints, bluebellfleet.Endpoint{
			ID: fmt.Sprintf("i-%d", i), Target: "llm", Address: fmt.Sprintf("10.0.0.%d:1", i), FailureDomain: "a",
			State: bluebellfleet.Serving, Weights: map[string]uint64{"m0": 1}, ReceivedAt: second,
		})
	}
	return f
}

func placer(c bluebellplacement.Config, f bluebellplacement.Fleet) *bluebellplacement.Placer {
	p := bluebellplacement.New(c)
	p.Update(f)
	return p
}

func prompt(shared string) bluebellplacement.Request {
	return bluebellplacement.Request{Target: "llm", Model: "m0", SharedBlock: shared, SharedTokens: 8000, OwnTokens: 2000, OutputTokens: 100}
}

func TestEntriesPickSameHome(t *testing.T) {
	other := config
	other.Self = "e2"
	p, q := placer(config, fleet(12)), placer(other, fleet(12))
	used := map[string]bool{}
	for i := range 200 {
		r := prompt(fmt.Sprint("doc-", i))
		a, result := p.Pick(second, r)
		require.Equal(t, bluebellplacement.Picked, result)
		b, _ := q.Pick(second, r)
		require.Equal(t, a.Endpoint.ID, b.Endpoint.ID)
		require.True(t, a.AtHome)
		used[a.Endpoint.ID] = true
	}
	require.Len(t, used, 12, "homes are distributed over all endpoints")
}

func TestRemovedEndpointMovesOnlyItsPrompts(t *testing.T) {
	p, q := placer(config, fleet(12)), placer(config, fleet(11))
	moved := 0
	for i := range 600 {
		r := prompt(fmt.Sprint("doc-", i))
		a, _ := p.Pick(second, r)
		b, _ := q.Pick(second, r)
		if a.Endpoint.ID == "i-11" {
			moved++
			continue
		}
		require.Equal(t, a.Endpoint.ID, b.Endpoint.ID)
	}
	require.NotZero(t, moved)
}

func TestBusyHomeYieldsToFasterEndpoint(t *testing.T) {
	f := fleet(3)
	p := placer(config, f)
	home, _ := p.Pick(second, prompt("doc"))
	f.UseByOthers = map[string]bluebellplacement.EndpointUse{home.Endpoint.ID: {Calls: 8, Tokens: 40_000, PrefillTokens: 40_000}}
	p.Update(f)
	away, result := p.Pick(second, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result)
	require.NotEqual(t, home.Endpoint.ID, away.Endpoint.ID)
	require.False(t, away.AtHome)
	require.Equal(t, home.Endpoint.Address, away.HomeAddress, "the home still has the blocks")
}

// If the home of a prompt is busy, all entries must send the prompt to the same few other
// endpoints, whatever the load of the rest. Otherwise its blocks are recomputed on many.
func TestBusyHomeOverflowsToAlternateHomes(t *testing.T) {
	f := fleet(60)
	p := placer(config, f)
	home, _ := p.Pick(second, prompt("doc"))
	used := map[string]bool{}
	for load := range 20 {
		f.UseByOthers = map[string]bluebellplacement.EndpointUse{home.Endpoint.ID: {Calls: 5, Tokens: 40_000, PrefillTokens: 40_000}}
		for i := range 60 {
			if id := fmt.Sprintf("i-%d", i); id != home.Endpoint.ID {
				prefillTokens := (i * (load + 7) % 11) * 1_500
				f.UseByOthers[id] = bluebellplacement.EndpointUse{Calls: 1, Tokens: prefillTokens, PrefillTokens: prefillTokens}
			}
		}
		p.Update(f)
		choice, result := p.Pick(second, prompt("doc"))
		require.Equal(t, bluebellplacement.Picked, result)
		used[choice.Endpoint.ID] = true
	}
	require.LessOrEqual(t, len(used), 3)
}

// The expected time decides when a call counts as unanswered, so it must not include the
// penalties for what a choice costs other prompts.
func TestExpectedTimeExcludesPenalties(t *testing.T) {
	f := fleet(6)
	f.NamedVersions = map[string][]bluebellplacement.NamedVersion{"m0": {{Version: 2, Since: second}}}
	p := placer(config, f)
	r := prompt("doc")
	for range 6 {
		choice, result := p.Pick(second, r)
		require.Equal(t, bluebellplacement.Picked, result)
		require.Less(t, choice.Expected, 300*time.Millisecond, "the time to process 10,000 tokens")
		r.Tried = append(r.Tried, choice.Endpoint.ID)
	}
}

// While the homes of a prompt are full and other engines have memory for it, the prompt
// waits for its homes as long as HomesOnly is set.
func TestHomesOnlyExcludesOtherEndpoints(t *testing.T) {
	f := fleet(12)
	p := placer(config, f)
	homes := map[string]bool{}
	r := prompt("doc")
	for range 3 {
		choice, _ := p.Pick(second, r)
		homes[choice.Endpoint.ID] = true
		r.Tried = append(r.Tried, choice.Endpoint.ID)
	}
	f.UseByOthers = map[string]bluebellplacement.EndpointUse{}
	for id := range homes {
		f.UseByOthers[id] = bluebellplacement.EndpointUse{Calls: 9, Tokens: 99_000}
	}
	p.Update(f)
	r = prompt("doc")
	r.HomesOnly = true
	_, result := p.Pick(second, r)
	require.Equal(t, bluebellplacement.AllFull, result)
	r.HomesOnly = false
	_, result = p.Pick(second, r)
	require.Equal(t, bluebellplacement.Picked, result)
}

// Other entries have filled all engines up to the limit that reserves memory for cached
// blocks.
func TestFullEnginesAreNotPicked(t *testing.T) {
	f := fleet(2)
	f.UseByOthers = map[string]bluebellplacement.EndpointUse{"i-0": {Calls: 9, Tokens: 99_000}, "i-1": {Calls: 9, Tokens: 95_000}}
	p := placer(config, f)
	_, result := p.Pick(second, prompt("doc"))
	require.Equal(t, bluebellplacement.AllFull, result)
	small := bluebellplacement.Request{Target: "llm", Model: "m0", SharedBlock: "s", SharedTokens: 600, OwnTokens: 200, OutputTokens: 50}
	choice, result := p.Pick(second, small)
	require.Equal(t, bluebellplacement.Picked, result, "a small prompt fits")
	p.Sent(&choice, second)
	require.Equal(t, map[string]bluebellplacement.EndpointUse{choice.Endpoint.ID: {Calls: 1, Tokens: 850, PrefillTokens: 350}}, p.Uses(second))
	p.FirstEvent(choice, second)
	require.Zero(t, p.Uses(second)[choice.Endpoint.ID].PrefillTokens)
	p.Done(choice, second, bluebellplacement.Answered)
	require.Zero(t, p.Uses(second)[choice.Endpoint.ID].Calls)
}

// If more prompts arrive than the engines can process and all are sent on, all answers
// begin too late. A prompt is therefore sent only to an engine that is expected to begin in
// time, which takes into account that recent answers began later than expected.
func TestLateEnginesAreNotPicked(t *testing.T) {
	f := fleet(3)
	f.UseByOthers = map[string]bluebellplacement.EndpointUse{}
	for _, e := range f.Endpoints {
		f.UseByOthers[e.ID] = bluebellplacement.EndpointUse{Calls: 4, Tokens: 10_000, PrefillTokens: 30_000}
	}
	p := placer(config, f)
	r := prompt("doc")
	r.FirstEventBy = second + 400*time.Millisecond
	_, result := p.Pick(second, r)
	require.Equal(t, bluebellplacement.AllLate, result, "30,000 tokens take 0.7 s to process")
	require.True(t, result.Saturated())
	r.FirstEventBy = second + 1200*time.Millisecond
	choice, result := p.Pick(second, r)
	require.Equal(t, bluebellplacement.Picked, result)
	now := second
	for range 100 {
		p.Sent(&choice, now)
		p.FirstEvent(choice, now+3*choice.Expected)
		p.Done(choice, now+3*choice.Expected, bluebellplacement.Answered)
	}
	_, result = p.Pick(now, r)
	require.Equal(t, bluebellplacement.AllLate, result, "recent answers took three times as long as expected")
	f.UseByOthers = nil
	p.Update(f)
	_, result = p.Pick(now, r)
	require.Equal(t, bluebellplacement.Picked, result, "an idle engine accepts any prompt")
}

func TestIdleEngineAcceptsOversizedPrompt(t *testing.T) {
	p := placer(config, fleet(1))
	r := prompt("doc")
	r.OwnTokens = 90_000
	_, result := p.Pick(second, r)
	require.Equal(t, bluebellplacement.Picked, result)
}

func TestIneligibleEndpointsAreNotPicked(t *testing.T) {
	f := fleet(6)
	f.Endpoints[0].State = bluebellfleet.Draining
	f.Endpoints[1].FailureDomain = "out"
	f.Endpoints[4].Weights = map[string]uint64{"other": 1}
	f.DomainsOut, f.Loading = []string{"out"}, []string{"i-2"}
	p := placer(config, f)
	for i := range 100 {
		r := prompt(fmt.Sprint(i))
		r.Tried = []string{"i-3"}
		choice, result := p.Pick(second, r)
		require.Equal(t, bluebellplacement.Picked, result)
		require.Equal(t, "i-5", choice.Endpoint.ID)
	}
	_, result := p.Pick(second, bluebellplacement.Request{Target: "none"})
	require.Equal(t, bluebellplacement.NoEndpoint, result)
	r := prompt("doc")
	r.Tried = []string{"i-3", "i-5"}
	_, result = p.Pick(second, r)
	require.Equal(t, bluebellplacement.AllUnfit, result)
}

func TestOldWeightsAreAvoidedThenExcluded(t *testing.T) {
	f := fleet(4)
	f.Endpoints[3].Weights = map[string]uint64{"m0": 2}
	f.NamedVersions = map[string][]bluebellplacement.NamedVersion{"m0": {{Version: 2, Since: second}}}
	p := placer(config, f)
	for i := range 50 {
		choice, _ := p.Pick(2*second, prompt(fmt.Sprint(i)))
		require.Equal(t, "i-3", choice.Endpoint.ID)
		require.Equal(t, uint64(2), choice.Weights)
	}
	r := prompt("doc")
	r.Tried = []string{"i-3"}
	choice, result := p.Pick(2*second, r)
	require.Equal(t, bluebellplacement.Picked, result, "old weights may be used within the grace period")
	require.Equal(t, uint64(1), choice.Weights)
	_, result = p.Pick(10*second, r)
	require.Equal(t, bluebellplacement.AllUnfit, result)
	require.Equal(t, uint64(2), p.NewestVersion("m0"))
}

// If a second version is named soon after the first, the grace period of the first must not
// be extended.
func TestEachNamedVersionHasItsOwnGracePeriod(t *testing.T) {
	f := fleet(1)
	f.NamedVersions = map[string][]bluebellplacement.NamedVersion{"m0": {{Version: 2, Since: second}, {Version: 3, Since: 4 * second}}}
	p := placer(config, f)
	_, result := p.Pick(8*second, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result)
	_, result = p.Pick(10*second, prompt("doc"))
	require.Equal(t, bluebellplacement.AllUnfit, result, "version 2 was named nine seconds ago")
	f.Endpoints[0].Weights = map[string]uint64{"m0": 2}
	p.Update(f)
	_, result = p.Pick(10*second, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result, "version 3 was named six seconds ago")
	require.Equal(t, uint64(3), p.NewestVersion("m0"))
}

func TestFailedConnectionMakesEndpointSuspect(t *testing.T) {
	p := placer(config, fleet(3))
	choice, _ := p.Pick(second, prompt("doc"))
	p.Sent(&choice, second)
	p.Done(choice, second, bluebellplacement.ConnectionFailed)
	next, result := p.Pick(second+10*time.Millisecond, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result)
	require.NotEqual(t, choice.Endpoint.ID, next.Endpoint.ID)
}

func TestSuspectEndpointIsProbedAfterBackoff(t *testing.T) {
	f := fleet(1)
	f.ColdRates = nil
	p := placer(config, f)
	choice, _ := p.Pick(second, prompt("doc"))
	p.Sent(&choice, second)
	p.Done(choice, second, bluebellplacement.ConnectionFailed)
	_, result := p.Pick(second, prompt("doc"))
	require.Equal(t, bluebellplacement.AllSuspect, result)
	_, result = p.Pick(2*second, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result, "the back-off is over")
}

func TestFrequentTimeoutsMakeEndpointSuspect(t *testing.T) {
	p := placer(config, fleet(2))
	now := second
	for range 6 {
		for _, o := range []bluebellplacement.Outcome{bluebellplacement.TimedOut, bluebellplacement.Answered} {
			choice := choose(t, p, now, "i-1")
			p.Sent(&choice, now)
			p.Done(choice, now, o)
			now += 10 * time.Millisecond
			if absent(p, now, "i-1") {
				return
			}
		}
	}
	require.Fail(t, "not suspect although half of the calls timed out")
}

// choose returns a choice of the given endpoint, by picking for different prompts.
func choose(t *testing.T, p *bluebellplacement.Placer, now time.Duration, id string) bluebellplacement.Choice {
	t.Helper()
	for i := range 200 {
		choice, result := p.Pick(now, prompt(fmt.Sprint(i)))
		require.Equal(t, bluebellplacement.Picked, result)
		if choice.Endpoint.ID == id {
			return choice
		}
	}
	require.Fail(t, "the endpoint was not picked")
	return bluebellplacement.Choice{}
}

// absent reports whether an endpoint is not picked for any of 200 prompts.
func absent(p *bluebellplacement.Placer, now time.Duration, id string) bool {
	for i := range 200 {
		if choice, _ := p.Pick(now, prompt(fmt.Sprint(i))); choice.Endpoint.ID == id {
			return false
		}
	}
	return true
}

func TestStaleRegistrationMakesEndpointSuspect(t *testing.T) {
	f := fleet(2)
	f.SilentSince = map[string]time.Duration{"i-1": second}
	p := placer(config, f)
	require.True(t, absent(p, 10*second, "i-1"), "the registration is nine seconds old")
	f.Endpoints = f.Endpoints[1:]
	p.Update(f)
	choice, result := p.Pick(10*second, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result, "picked if there is no other endpoint")
	p.Sent(&choice, 10*second)
	p.FirstEvent(choice, 10*second)
	p.Done(choice, 10*second, bluebellplacement.Answered)
	_, result = p.Pick(10*second, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result, "it has answered")
}

// All entries together must not send more calls to a cold endpoint in any second than
// ColdFactor and ColdSlack allow, whatever the number of entries.
func TestEntriesShareColdEndpointLimit(t *testing.T) {
	for _, entries := range []int{1, 3, 6, 70, 340} {
		f := fleet(1)
		f.Entries = nil
		for i := range entries {
			f.Entries = append(f.Entries, fmt.Sprintf("e%03d", i))
		}
		f.Endpoints[0].ColdUntil = time.Hour
		var placers []*bluebellplacement.Placer
		for _, name := range f.Entries {
			c := config
			c.Self = name
			placers = append(placers, placer(c, f))
		}
		var sent []time.Duration
		for now := second; now < 6*second; now += 20 * time.Millisecond {
			for _, p := range placers {
				choice, result := p.Pick(now, prompt("doc"))
				if result == bluebellplacement.Picked {
					p.Sent(&choice, now)
					p.Done(choice, now, bluebellplacement.Answered)
					sent = append(sent, now)
				}
			}
		}
		require.NotEmpty(t, sent, "%d entries", entries)
		bound := 9*config.ColdFactor + config.ColdSlack
		for i := range sent {
			within := 0
			for _, at := range sent[i:] {
				if at < sent[i]+second {
					within++
				}
			}
			require.LessOrEqual(t, float64(within), bound, "%d entries", entries)
		}
	}
}

func TestEndpointIsColdAfterFailedConnectionUntilRegistered(t *testing.T) {
	f := fleet(1)
	f.Entries = []string{"e1"}
	p := placer(config, f)
	choice, _ := p.Pick(second, prompt("doc"))
	p.Sent(&choice, second)
	p.Done(choice, second, bluebellplacement.ConnectionFailed)
	now := 2 * second
	_, result := p.Pick(now, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result)
	_, result = p.Pick(now+500*time.Millisecond, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result, "within the allowance of a single entry")
	_, result = p.Pick(now+501*time.Millisecond, prompt("doc"))
	require.NotEqual(t, bluebellplacement.Picked, result)
	f.Endpoints[0].ReceivedAt = now + 502*time.Millisecond
	p.Update(f)
	for i := range 3 {
		_, result = p.Pick(now+time.Duration(503+i)*time.Millisecond, prompt("doc"))
		require.Equal(t, bluebellplacement.Picked, result, "it has registered as not cold")
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 90, 240, 920} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := placer(config, fleet(n))
			r := prompt("doc")
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(second, r)
			}
		})
	}
}

// An endpoint that registers with the address of an entry gets no calls: they would go round.
func TestEntryIsNoEndpoint(t *testing.T) {
	c := config
	c.Self, c.CallerPort = "10.1.0.1:7700", "8005"
	f := fleet(3)
	f.Entries = []string{"10.1.0.1:7700", "10.1.0.2:7700", "fd00::1"}
	f.Endpoints[0].Address, f.Endpoints[1].Address = "10.1.0.1:8005", "10.1.0.2:8005"
	p := placer(c, f)
	for i := range 50 {
		choice, result := p.Pick(second, prompt(fmt.Sprint("doc-", i)))
		require.Equal(t, bluebellplacement.Picked, result)
		require.Equal(t, "i-2", choice.Endpoint.ID)
	}
	alone := f
	alone.Entries, alone.Endpoints = nil, f.Endpoints[:1]
	_, result := placer(c, alone).Pick(second, prompt("doc"))
	require.Equal(t, bluebellplacement.AllUnfit, result, "an entry that knows no other one")
	f.Endpoints = f.Endpoints[:2]
	p.Update(f)
	_, result = p.Pick(second, prompt("doc"))
	require.Equal(t, bluebellplacement.AllUnfit, result)
	f.Endpoints[0].Address = "10.1.0.1:8006"
	p.Update(f)
	_, result = p.Pick(second, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result)
}

// An endpoint whose cold time is over may have become cold again: until it registers as warm, or for a
// heartbeat, it gets no more calls than a cold one.
func TestEndpointIsColdUntilItRegistersAsWarm(t *testing.T) {
	f := fleet(1)
	f.Entries = []string{"e1"}
	f.Endpoints[0].ColdUntil = 2 * second
	p := placer(config, f)
	pickedAt := func(now time.Duration) int {
		n := 0
		for range 10 {
			if choice, result := p.Pick(now, prompt("doc")); result == bluebellplacement.Picked {
				p.Sent(&choice, now)
				p.Done(choice, now, bluebellplacement.Answered)
				n++
			}
		}
		return n
	}
	require.Equal(t, 1, pickedAt(3*second))
	require.Equal(t, 10, pickedAt(4*second))
	f.Endpoints[0].ColdUntil = 5 * second
	p.Update(f)
	require.LessOrEqual(t, pickedAt(5100*time.Millisecond), 1)
	f.Endpoints[0].ColdUntil = 0
	p.Update(f)
	require.Equal(t, 10, pickedAt(5200*time.Millisecond))
}
