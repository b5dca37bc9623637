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
	Self: "e1", FailureDomain: "a", WeightsWithin: 8 * second, ColdFactor: 1.5, ColdSlack: 5, SilentAfter: 4 * second,
}

// fleet returns engines in one failure domain.
func fleet(n int) bluebellplacement.Fleet {
	f := bluebellplacement.Fleet{
		Entries: []string{"e1", "e2", "e3", "e4", "e5", "e6"}, ColdRates: map[string]float64{"llm": 9},
		Rooms: map[string]int{"llm": 100_000}, Current: true,
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
	return bluebellplacement.Request{Target: "llm", Model: "m0", Shared: shared, SharedTokens: 8000, OwnTokens: 2000, OutputTokens: 100}
}

func TestEntriesAgreeOnAPromptsHome(t *testing.T) {
	other := config
	other.Self = "e2"
	p, q := placer(config, fleet(12)), placer(other, fleet(12))
	used := map[string]bool{}
	for i := range 200 {
		r := prompt(fmt.Sprint("doc-", i))
		a, absence := p.Pick(second, r)
		require.Equal(t, bluebellplacement.Present, absence)
		b, _ := q.Pick(second, r)
		require.Equal(t, a.Endpoint.ID, b.Endpoint.ID)
		require.True(t, a.Home)
		used[a.Endpoint.ID] = true
	}
	require.Len(t, used, 12, "homes are spread over all")
}

func TestALostHomeMovesItsOwnPromptsOnly(t *testing.T) {
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

func TestABusyHomeIsLeftForAFasterEndpoint(t *testing.T) {
	f := fleet(3)
	p := placer(config, f)
	home, _ := p.Pick(second, prompt("doc"))
	f.Others = map[string]bluebellplacement.Use{home.Endpoint.ID: {Calls: 8, Tokens: 40_000, Unread: 40_000}}
	p.Update(f)
	away, absence := p.Pick(second, prompt("doc"))
	require.Equal(t, bluebellplacement.Present, absence)
	require.NotEqual(t, home.Endpoint.ID, away.Endpoint.ID)
	require.False(t, away.Home)
	require.Equal(t, home.Endpoint.Address, away.HomeAddress, "which still has the blocks")
}

// The load pattern: the homes of some prompts are busy. Entries agree on the few
// endpoints that take them, so their blocks are read there once.
func TestPromptsOfABusyHomeMeetAtItsSecondHomes(t *testing.T) {
	f := fleet(60)
	p := placer(config, f)
	home, _ := p.Pick(second, prompt("doc"))
	used := map[string]bool{}
	for load := range 20 {
		f.Others = map[string]bluebellplacement.Use{home.Endpoint.ID: {Calls: 5, Tokens: 40_000, Unread: 40_000}}
		for i := range 60 {
			if id := fmt.Sprintf("i-%d", i); id != home.Endpoint.ID {
				unread := (i * (load + 7) % 11) * 1_500
				f.Others[id] = bluebellplacement.Use{Calls: 1, Tokens: unread, Unread: unread}
			}
		}
		p.Update(f)
		choice, absence := p.Pick(second, prompt("doc"))
		require.Equal(t, bluebellplacement.Present, absence)
		used[choice.Endpoint.ID] = true
	}
	require.LessOrEqual(t, len(used), 3)
}

// What a choice costs others says nothing of how long its answer takes, by which a call
// is held to be unanswered.
func TestTheExpectedTimeHoldsNoWeights(t *testing.T) {
	f := fleet(6)
	f.Named = map[string][]bluebellplacement.Named{"m0": {{Version: 2, Since: second}}}
	p := placer(config, f)
	r := prompt("doc")
	for range 6 {
		choice, absence := p.Pick(second, r)
		require.Equal(t, bluebellplacement.Present, absence)
		require.Less(t, choice.Expected, 300*time.Millisecond, "10,000 tokens")
		r.Tried = append(r.Tried, choice.Endpoint.ID)
	}
}

// The load pattern: all engines are nearly full, and one that is no home of a prompt has
// just become free. The prompt waits for its homes first.
func TestAPromptWaitsForItsHomes(t *testing.T) {
	f := fleet(12)
	p := placer(config, f)
	homes := map[string]bool{}
	r := prompt("doc")
	for range 3 {
		choice, _ := p.Pick(second, r)
		homes[choice.Endpoint.ID] = true
		r.Tried = append(r.Tried, choice.Endpoint.ID)
	}
	f.Others = map[string]bluebellplacement.Use{}
	for id := range homes {
		f.Others[id] = bluebellplacement.Use{Calls: 9, Tokens: 99_000}
	}
	p.Update(f)
	r = prompt("doc")
	r.NearOnly = true
	_, absence := p.Pick(second, r)
	require.Equal(t, bluebellplacement.AllFull, absence)
	r.NearOnly = false
	_, absence = p.Pick(second, r)
	require.Equal(t, bluebellplacement.Present, absence)
}

// The load pattern: other entries have filled all engines up to the part that cached
// blocks are to have.
func TestFullEnginesTakeNoMore(t *testing.T) {
	f := fleet(2)
	f.Others = map[string]bluebellplacement.Use{"i-0": {Calls: 9, Tokens: 99_000}, "i-1": {Calls: 9, Tokens: 95_000}}
	p := placer(config, f)
	_, absence := p.Pick(second, prompt("doc"))
	require.Equal(t, bluebellplacement.AllFull, absence)
	small := bluebellplacement.Request{Target: "llm", Model: "m0", Shared: "s", SharedTokens: 600, OwnTokens: 200, OutputTokens: 50}
	choice, absence := p.Pick(second, small)
	require.Equal(t, bluebellplacement.Present, absence, "a small prompt still fits")
	p.Sent(&choice, second)
	require.Equal(t, map[string]bluebellplacement.Use{choice.Endpoint.ID: {Calls: 1, Tokens: 850, Unread: 350}}, p.Uses(second))
	p.FirstEvent(choice, second)
	require.Zero(t, p.Uses(second)[choice.Endpoint.ID].Unread)
	p.Done(choice, second, bluebellplacement.Answered)
	require.Zero(t, p.Uses(second)[choice.Endpoint.ID].Calls)
}

// The load pattern: more prompts arrive than engines read, and all that are sent on begin
// too late. Those that an engine would begin in time are sent, the others wait for one that
// does and are refused early.
func TestPromptsAreNotSentToBeginTooLate(t *testing.T) {
	f := fleet(3)
	f.Others = map[string]bluebellplacement.Use{}
	for _, e := range f.Endpoints {
		f.Others[e.ID] = bluebellplacement.Use{Calls: 4, Tokens: 10_000, Unread: 30_000}
	}
	p := placer(config, f)
	r := prompt("doc")
	r.BeginBy = second + 400*time.Millisecond
	_, absence := p.Pick(second, r)
	require.Equal(t, bluebellplacement.AllLate, absence, "30,000 tokens take 0.7 s to read")
	require.True(t, absence.Saturated())
	r.BeginBy = second + 1200*time.Millisecond
	choice, absence := p.Pick(second, r)
	require.Equal(t, bluebellplacement.Present, absence)
	now := second
	for range 100 {
		p.Sent(&choice, now)
		p.FirstEvent(choice, now+3*choice.Expected)
		p.Done(choice, now+3*choice.Expected, bluebellplacement.Answered)
	}
	_, absence = p.Pick(now, r)
	require.Equal(t, bluebellplacement.AllLate, absence, "answers have taken three times as long as expected")
	f.Others = nil
	p.Update(f)
	_, absence = p.Pick(now, r)
	require.Equal(t, bluebellplacement.Present, absence, "an idle engine takes any prompt")
}

func TestAnIdleEngineTakesAPromptLargerThanItsShare(t *testing.T) {
	p := placer(config, fleet(1))
	r := prompt("doc")
	r.OwnTokens = 90_000
	_, absence := p.Pick(second, r)
	require.Equal(t, bluebellplacement.Present, absence)
}

func TestWhoIsLeftOut(t *testing.T) {
	f := fleet(6)
	f.Endpoints[0].State = bluebellfleet.Draining
	f.Endpoints[1].FailureDomain = "out"
	f.Endpoints[4].Weights = map[string]uint64{"other": 1}
	f.DomainsOut, f.Loading = []string{"out"}, []string{"i-2"}
	p := placer(config, f)
	for i := range 100 {
		r := prompt(fmt.Sprint(i))
		r.Tried = []string{"i-3"}
		choice, absence := p.Pick(second, r)
		require.Equal(t, bluebellplacement.Present, absence)
		require.Equal(t, "i-5", choice.Endpoint.ID)
	}
	_, absence := p.Pick(second, bluebellplacement.Request{Target: "none"})
	require.Equal(t, bluebellplacement.NoEndpoint, absence)
	r := prompt("doc")
	r.Tried = []string{"i-3", "i-5"}
	_, absence = p.Pick(second, r)
	require.Equal(t, bluebellplacement.AllUnfit, absence)
}

func TestOlderWeightsAreAvoidedAndThenLeftOut(t *testing.T) {
	f := fleet(4)
	f.Endpoints[3].Weights = map[string]uint64{"m0": 2}
	f.Named = map[string][]bluebellplacement.Named{"m0": {{Version: 2, Since: second}}}
	p := placer(config, f)
	for i := range 50 {
		choice, _ := p.Pick(2*second, prompt(fmt.Sprint(i)))
		require.Equal(t, "i-3", choice.Endpoint.ID)
		require.Equal(t, uint64(2), choice.Weights)
	}
	r := prompt("doc")
	r.Tried = []string{"i-3"}
	choice, absence := p.Pick(2*second, r)
	require.Equal(t, bluebellplacement.Present, absence, "in time others may still run it")
	require.Equal(t, uint64(1), choice.Weights)
	_, absence = p.Pick(10*second, r)
	require.Equal(t, bluebellplacement.AllUnfit, absence)
	require.Equal(t, uint64(2), p.Named("m0"))
}

// Weights are named twice in a row: the second name gives the first no more time.
func TestEachNamedVersionHasATimeOfItsOwn(t *testing.T) {
	f := fleet(1)
	f.Named = map[string][]bluebellplacement.Named{"m0": {{Version: 2, Since: second}, {Version: 3, Since: 4 * second}}}
	p := placer(config, f)
	_, absence := p.Pick(8*second, prompt("doc"))
	require.Equal(t, bluebellplacement.Present, absence)
	_, absence = p.Pick(10*second, prompt("doc"))
	require.Equal(t, bluebellplacement.AllUnfit, absence, "version 2 is nine seconds old")
	f.Endpoints[0].Weights = map[string]uint64{"m0": 2}
	p.Update(f)
	_, absence = p.Pick(10*second, prompt("doc"))
	require.Equal(t, bluebellplacement.Present, absence, "version 3 is six")
	require.Equal(t, uint64(3), p.Named("m0"))
}

func TestAnEndpointThatBreaksOffIsLeftAlone(t *testing.T) {
	p := placer(config, fleet(3))
	choice, _ := p.Pick(second, prompt("doc"))
	p.Sent(&choice, second)
	p.Done(choice, second, bluebellplacement.BrokenOff)
	next, absence := p.Pick(second+10*time.Millisecond, prompt("doc"))
	require.Equal(t, bluebellplacement.Present, absence)
	require.NotEqual(t, choice.Endpoint.ID, next.Endpoint.ID)
}

func TestASuspectEndpointIsTriedWithOneCall(t *testing.T) {
	f := fleet(1)
	f.ColdRates = nil
	p := placer(config, f)
	choice, _ := p.Pick(second, prompt("doc"))
	p.Sent(&choice, second)
	p.Done(choice, second, bluebellplacement.BrokenOff)
	_, absence := p.Pick(second, prompt("doc"))
	require.Equal(t, bluebellplacement.AllSuspect, absence)
	_, absence = p.Pick(2*second, prompt("doc"))
	require.Equal(t, bluebellplacement.Present, absence, "after its pause")
}

func TestFrequentSilenceMakesSuspect(t *testing.T) {
	p := placer(config, fleet(2))
	now := second
	for range 6 {
		for _, o := range []bluebellplacement.Outcome{bluebellplacement.Silent, bluebellplacement.Answered} {
			choice := choose(t, p, now, "i-1")
			p.Sent(&choice, now)
			p.Done(choice, now, o)
			now += 10 * time.Millisecond
			if absent(p, now, "i-1") {
				return
			}
		}
	}
	require.Fail(t, "half of the calls were not answered")
}

// choose returns a choice of one endpoint.
func choose(t *testing.T, p *bluebellplacement.Placer, now time.Duration, id string) bluebellplacement.Choice {
	t.Helper()
	for i := range 200 {
		choice, absence := p.Pick(now, prompt(fmt.Sprint(i)))
		require.Equal(t, bluebellplacement.Present, absence)
		if choice.Endpoint.ID == id {
			return choice
		}
	}
	require.Fail(t, "not chosen")
	return bluebellplacement.Choice{}
}

func absent(p *bluebellplacement.Placer, now time.Duration, id string) bool {
	for i := range 200 {
		if choice, _ := p.Pick(now, prompt(fmt.Sprint(i))); choice.Endpoint.ID == id {
			return false
		}
	}
	return true
}

func TestASilentRegistrationIsADoubtOnly(t *testing.T) {
	f := fleet(2)
	f.Endpoints[0].ReceivedAt = 9 * second
	p := placer(config, f)
	require.True(t, absent(p, 10*second, "i-1"), "not heard for nine seconds")
	f.Endpoints = f.Endpoints[1:]
	p.Update(f)
	choice, absence := p.Pick(10*second, prompt("doc"))
	require.Equal(t, bluebellplacement.Present, absence, "but better than none")
	p.Sent(&choice, 10*second)
	p.FirstEvent(choice, 10*second)
	p.Done(choice, 10*second, bluebellplacement.Answered)
	_, absence = p.Pick(10*second, prompt("doc"))
	require.Equal(t, bluebellplacement.Present, absence, "and it answers")
}

// All entries together send to a cold endpoint no more than is allowed in any second,
// whatever their number.
func TestEntriesShareWhatAColdEndpointBears(t *testing.T) {
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
				choice, absence := p.Pick(now, prompt("doc"))
				if absence == bluebellplacement.Present {
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

func TestABrokenEndpointCountsAsColdUntilItSaysOtherwise(t *testing.T) {
	f := fleet(1)
	f.Entries = []string{"e1"}
	p := placer(config, f)
	choice, _ := p.Pick(second, prompt("doc"))
	p.Sent(&choice, second)
	p.Done(choice, second, bluebellplacement.BrokenOff)
	now := 2 * second
	_, absence := p.Pick(now, prompt("doc"))
	require.Equal(t, bluebellplacement.Present, absence)
	_, absence = p.Pick(now+500*time.Millisecond, prompt("doc"))
	require.Equal(t, bluebellplacement.Present, absence, "the allowance of a single entry")
	_, absence = p.Pick(now+501*time.Millisecond, prompt("doc"))
	require.NotEqual(t, bluebellplacement.Present, absence)
	f.Endpoints[0].ReceivedAt = now + 502*time.Millisecond
	p.Update(f)
	for i := range 3 {
		_, absence = p.Pick(now+time.Duration(503+i)*time.Millisecond, prompt("doc"))
		require.Equal(t, bluebellplacement.Present, absence, "it has registered as warm")
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 90, 920} {
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
