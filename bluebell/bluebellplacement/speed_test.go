package bluebellplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellplacement"
)

// Engines of other deployments are up to 2.4 times as fast as the assumed speed, or slower.
// With the assumed speed, prompts counted as late at engines that would have answered them in
// time, and were refused on a calm day. The expected time of a prompt has to be right within
// 25 % after a minute of ordinary traffic at one entry: two calls a second, of which half find
// their shared blocks cached, a third meet engines that are busy with the calls of others, and
// prompts have very different lengths.
func TestExpectedTimeFollowsEngineSpeed(t *testing.T) {
	for _, tokensPerSecond := range []float64{15_000, 43_000, 101_000, 250_000} {
		t.Run(fmt.Sprint(tokensPerSecond), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			f := fleet(60)
			f.TokenCapacity["llm"] = 10_000_000
			p := placer(config, f)
			now := second
			for range 120 {
				now += 500 * time.Millisecond
				r := prompt(fmt.Sprint("doc-", rng.IntN(1000)))
				r.SharedTokens, r.OwnTokens = 2000+rng.IntN(14_000), 200+rng.IntN(6000)
				choice, result := p.Pick(now, r)
				require.Equal(t, bluebellplacement.Picked, result)
				p.Sent(&choice, now)
				read := r.OwnTokens
				if rng.IntN(2) == 0 {
					read += r.SharedTokens
				}
				if rng.IntN(3) == 0 {
					read += rng.IntN(30_000)
				}
				took := time.Duration(float64(read)/tokensPerSecond*float64(time.Second)) + 8*time.Millisecond
				p.FirstEvent(choice, now+took)
				p.Done(choice, now+took, bluebellplacement.Answered)
			}
			r := bluebellplacement.Request{Target: "llm", Model: "m0", OwnTokens: 20_000}
			choice, _ := p.Pick(now+second, r)
			require.InEpsilon(t, 20_000/tokensPerSecond, choice.Expected.Seconds(), 0.25)
		})
	}
}

// busyPlacer returns a placer of three engines, each with calls of other entries.
func busyPlacer(others bluebellplacement.EndpointUse) *bluebellplacement.Placer {
	f := fleet(3)
	f.UseByOthers = map[string]bluebellplacement.EndpointUse{}
	for _, e := range f.Endpoints {
		f.UseByOthers[e.ID] = others
	}
	return placer(config, f)
}

// On a calm day four of five prompts are small and take several times as long as the engine
// needs to read them, since most of their time is that of the network and of one step. The mean
// ratio made every prompt look as slow: large ones counted as late at all busy engines and were
// refused, although the engines would have answered them in half of their objective.
func TestSmallPromptsDoNotMakeLargeOnesLate(t *testing.T) {
	p := busyPlacer(bluebellplacement.EndpointUse{Calls: 1, Tokens: 2000})
	now := second
	serve := func(r bluebellplacement.Request, took time.Duration) {
		choice, result := p.Pick(now, r)
		require.Equal(t, bluebellplacement.Picked, result)
		p.Sent(&choice, now)
		p.FirstEvent(choice, now+took)
		p.Done(choice, now+took, bluebellplacement.Answered)
		now += 100 * time.Millisecond
	}
	for i := range 200 {
		small := bluebellplacement.Request{Target: "llm", Model: "m0", SharedBlock: fmt.Sprint("s", i%20), SharedTokens: 150, OwnTokens: 300, OutputTokens: 3}
		serve(small, 45*time.Millisecond)
		if i%5 == 0 {
			serve(prompt(fmt.Sprint("doc-", i%20)), 100*time.Millisecond)
		}
	}
	large := prompt("doc-1")
	large.OwnTokens, large.FirstEventBy = 9000, now+600*time.Millisecond
	_, result := p.Pick(now, large)
	require.Equal(t, bluebellplacement.Picked, result)
}

// While stores were slow for some seconds, the answers that one entry received took ten times as
// long as expected. It then counted all engines as late, sent no calls whose answers could have
// shown otherwise, and refused half of its calls for another 15 s.
func TestSlowdownEndsWithoutAnswers(t *testing.T) {
	p := busyPlacer(bluebellplacement.EndpointUse{Calls: 2, Tokens: 5000})
	now := second
	for i := range 40 {
		choice, result := p.Pick(now, prompt(fmt.Sprint("doc-", i)))
		require.Equal(t, bluebellplacement.Picked, result)
		p.Sent(&choice, now)
		p.FirstEvent(choice, now+10*choice.Expected)
		p.Done(choice, now+10*choice.Expected, bluebellplacement.Answered)
	}
	r := prompt("doc")
	r.FirstEventBy = now + 600*time.Millisecond
	_, result := p.Pick(now, r)
	require.Equal(t, bluebellplacement.AllLate, result)
	now += 5 * second
	r.FirstEventBy = now + 600*time.Millisecond
	_, result = p.Pick(now, r)
	require.Equal(t, bluebellplacement.Picked, result)
}
