package bluebellplacement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellplacement"
)

// ranks are those of the fault classes, ledger questions and dossiers of hard-load.md.
var ranks = []bluebellplacement.Rank{{Priority: 3, Objective: 500 * time.Millisecond}, {Priority: 4, Objective: 400 * time.Millisecond}, {Priority: 5, Objective: 800 * time.Millisecond}}

// rankedFleet returns one engine with calls of other entries, whose target ranks calls by urgency or not.
func rankedFleet(ranked bool, others bluebellplacement.EndpointUse) bluebellplacement.Fleet {
	f := fleet(1)
	f.TokenCapacity["llm"] = 118_335
	f.UseByOthers = map[string]bluebellplacement.EndpointUse{"i-0": others}
	if ranked {
		f.Ranks = map[string][]bluebellplacement.Rank{"llm": ranks}
	}
	return f
}

func faultClass() bluebellplacement.Request {
	return bluebellplacement.Request{Target: "llm", Model: "m0", Priority: 3, SharedBlock: "f", SharedTokens: 1861, OwnTokens: 507, OutputTokens: 3, FirstEventBy: second + 500*time.Millisecond}
}

func dossier() bluebellplacement.Request {
	return bluebellplacement.Request{Target: "llm", Model: "m0", Priority: 5, SharedBlock: "d", SharedTokens: 9122, OwnTokens: 2870, OutputTokens: 55, FirstEventBy: second + 800*time.Millisecond}
}

// At the crest of a wave the engines held 90,000 to 108,000 of 118,335 tokens. Large calls filled them
// up, and small urgent ones waited inside until one of those ended. A dossier must leave room, which an
// urgent call may use.
func TestLargeCallsLeaveMemoryForUrgentOnes(t *testing.T) {
	others := bluebellplacement.EndpointUse{Calls: 14, Tokens: 98_000}
	p := placer(config, rankedFleet(true, others))
	_, result := p.Pick(second, dossier())
	require.Equal(t, bluebellplacement.AllFull, result)
	_, result = p.Pick(second, faultClass())
	require.Equal(t, bluebellplacement.Picked, result)
	middle := dossier()
	middle.Priority, middle.SharedTokens, middle.OwnTokens = 4, 650, 177
	_, result = p.Pick(second, middle)
	require.Equal(t, bluebellplacement.Picked, result)
	_, result = placer(config, rankedFleet(false, others)).Pick(second, dossier())
	require.Equal(t, bluebellplacement.Picked, result, "a target without ranks is filled up")
	_, result = placer(config, rankedFleet(true, bluebellplacement.EndpointUse{})).Pick(second, dossier())
	require.Equal(t, bluebellplacement.Picked, result, "an idle engine takes any call")
}

// Engines read prompts in the order in which they start the calls. A dossier that is sent behind
// another one within its own objective of 800 ms makes the urgent calls late that come next.
func TestLargePromptsDoNotQueueBeforeUrgentOnes(t *testing.T) {
	others := bluebellplacement.EndpointUse{Calls: 2, Tokens: 24_000, PrefillTokens: 14_000}
	others.UnreadByPriority[5] = 14_000
	p := placer(config, rankedFleet(true, others))
	_, result := p.Pick(second, dossier())
	require.Equal(t, bluebellplacement.AllLate, result, "0.45 s of reading")
	_, result = p.Pick(second, faultClass())
	require.Equal(t, bluebellplacement.Picked, result)
	_, result = placer(config, rankedFleet(false, others)).Pick(second, dossier())
	require.Equal(t, bluebellplacement.Picked, result, "a target without ranks sends it")
	read := others
	read.PrefillTokens, read.UnreadByPriority = 0, bluebellplacement.TokensByPriority{}
	_, result = placer(config, rankedFleet(true, read)).Pick(second, dossier())
	require.Equal(t, bluebellplacement.Picked, result, "nothing to read before it")
}

// What an entry has sent is reported by priority until the answer begins or the call ends, and only for
// targets that rank their calls.
func TestUnreadTokensByPriority(t *testing.T) {
	for _, ranked := range []bool{true, false} {
		p := placer(config, rankedFleet(ranked, bluebellplacement.EndpointUse{}))
		for _, r := range []bluebellplacement.Request{faultClass(), faultClass(), dossier()} {
			r.FirstEventBy = 0
			choice, result := p.Pick(second, r)
			require.Equal(t, bluebellplacement.Picked, result)
			p.Sent(&choice, second)
			if r.Priority == 5 {
				defer func() {
					p.Done(choice, 2*second, bluebellplacement.Abandoned)
					require.Zero(t, p.Uses(2 * second)["i-0"].UnreadByPriority[5])
				}()
				continue
			}
			before := p.Uses(second)["i-0"].UnreadByPriority[3]
			require.Equal(t, ranked, before > 0)
			p.FirstEvent(choice, second)
			require.Zero(t, p.Uses(second)["i-0"].UnreadByPriority[3])
		}
		use := p.Uses(second)["i-0"]
		require.Equal(t, ranked, use.UnreadByPriority[5] == use.PrefillTokens)
	}
}
