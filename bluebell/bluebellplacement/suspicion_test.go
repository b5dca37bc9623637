package bluebellplacement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellplacement"
)

// fail sends a call to an endpoint and has it break off.
func fail(p *bluebellplacement.Placer, now time.Duration, choice bluebellplacement.Choice) {
	p.Sent(&choice, now)
	p.Done(choice, now, bluebellplacement.BrokenOff)
}

func answer(p *bluebellplacement.Placer, now time.Duration, choice bluebellplacement.Choice) {
	p.Sent(&choice, now)
	p.FirstEvent(choice, now)
	p.Done(choice, now, bluebellplacement.Answered)
}

// entries returns placers of as many entries, with a function that has each hear of the
// others as it would through a core process.
func entries(n int, f bluebellplacement.Fleet) ([]*bluebellplacement.Placer, func(now time.Duration)) {
	f.Entries = nil
	for i := range n {
		f.Entries = append(f.Entries, fmt.Sprintf("e%03d", i))
	}
	var all []*bluebellplacement.Placer
	for _, name := range f.Entries {
		c := config
		c.Self = name
		all = append(all, placer(c, f))
	}
	return all, func(now time.Duration) {
		for i, p := range all {
			heard := f
			heard.Others = map[string]bluebellplacement.Use{}
			for j, other := range all {
				if i == j {
					continue
				}
				for id, u := range other.Uses(now) {
					heard.Others[id] = heard.Others[id].Plus(u)
				}
			}
			p.Update(heard)
		}
	}
}

// The load pattern: a quarter of the engines goes dark while all others are full. Every
// entry found each of them out by itself, again and again, with calls that then had no
// time left: some 3,000 connections that were never opened within 40 s.
func TestEntriesTellEachOtherWhoIsDark(t *testing.T) {
	f := fleet(8)
	for i := range f.Endpoints {
		f.Endpoints[i].ReceivedAt = time.Hour // fresh throughout
	}
	all, hear := entries(30, f)
	dark := map[string]bool{"i-0": true, "i-1": true}
	wasted := 0
	for tick := range 50 {
		now := second + time.Duration(tick)*100*time.Millisecond
		for i, p := range all {
			choice, absence := p.Pick(now, prompt(fmt.Sprint("doc-", i, "-", tick)))
			require.Equal(t, bluebellplacement.Present, absence)
			if !dark[choice.Endpoint.ID] {
				answer(p, now, choice)
				continue
			}
			wasted++
			fail(p, now, choice)
		}
		hear(now)
	}
	require.LessOrEqual(t, wasted, 100, "1,500 calls, a quarter of them at home there")
}

// Two entries cannot reach an endpoint, and it is left alone by all. An answer to any of
// them brings the others back.
func TestAnAnswerToAnyEntryClearsTheDoubt(t *testing.T) {
	all, hear := entries(6, fleet(4))
	for _, p := range all[:2] {
		fail(p, second, choose(t, p, second, "i-0"))
	}
	hear(second)
	require.True(t, absent(all[4], second+700*time.Millisecond, "i-0"))
	hear(5 * second)
	tried := choose(t, all[3], 5*second, "i-0")
	answer(all[3], 5*second, tried)
	for _, p := range all[:2] {
		fail(p, 5*second, choose(t, p, 5*second, "i-0"))
	}
	hear(5 * second)
	require.False(t, absent(all[4], 5*second, "i-0"), "it has just answered")
}

// The load pattern: a failure domain is cut off from this entry. After a few calls to it
// the rest go elsewhere, but for one trial at a time.
func TestACutOffDomainIsLeftAsAWhole(t *testing.T) {
	f := fleet(20)
	for i := range 12 {
		f.Endpoints[i].FailureDomain = "b"
	}
	var beliefs []bluebellplacement.Belief
	watched := config
	watched.Believed = func(b bluebellplacement.Belief) { beliefs = append(beliefs, b) }
	p := placer(watched, f)
	toCut := func(now time.Duration, n int) int {
		wasted := 0
		for i := range n {
			choice, absence := p.Pick(now, prompt(fmt.Sprint(now, i)))
			require.Equal(t, bluebellplacement.Present, absence)
			if choice.Endpoint.FailureDomain == "b" {
				wasted++
				fail(p, now, choice)
				continue
			}
			answer(p, now, choice)
		}
		return wasted
	}
	require.LessOrEqual(t, toCut(second, 100), 3)
	require.Zero(t, toCut(second+100*time.Millisecond, 100))
	require.LessOrEqual(t, toCut(second+600*time.Millisecond, 100), 1, "a trial")
	now := 5 * second
	trial, absence := p.Pick(now, onlyIn(f, "b"))
	require.Equal(t, bluebellplacement.Present, absence)
	answer(p, now, trial)
	found := false
	for i := range 100 {
		choice, _ := p.Pick(now, prompt(fmt.Sprint(i)))
		found = found || choice.Endpoint.FailureDomain == "b"
	}
	require.True(t, found, "the domain has answered")
	require.Equal(t, []bluebellplacement.Belief{{FailureDomain: "b", Doubtful: true, Failing: 3}, {FailureDomain: "b"}}, domainsOf(beliefs))
}

// domainsOf returns the beliefs on whole failure domains.
func domainsOf(beliefs []bluebellplacement.Belief) []bluebellplacement.Belief {
	return slices.DeleteFunc(beliefs, func(b bluebellplacement.Belief) bool { return b.Endpoint != "" })
}

// onlyIn returns a prompt that has tried all endpoints outside a failure domain.
func onlyIn(f bluebellplacement.Fleet, domain string) bluebellplacement.Request {
	r := prompt("doc")
	for _, e := range f.Endpoints {
		if e.FailureDomain != domain {
			r.Tried = append(r.Tried, e.ID)
		}
	}
	return r
}

// Single endpoints that fail say nothing of their failure domain while others answer.
func TestADomainThatAnswersIsNotLeft(t *testing.T) {
	f := fleet(10)
	p := placer(config, f)
	now := second
	for i := range 40 {
		choice, absence := p.Pick(now, prompt(fmt.Sprint(i)))
		require.Equal(t, bluebellplacement.Present, absence)
		if choice.Endpoint.ID < "i-4" {
			fail(p, now, choice)
			continue
		}
		answer(p, now, choice)
	}
	_, absence := p.Pick(now, prompt("doc"))
	require.Equal(t, bluebellplacement.Present, absence)
}

// The load pattern: the endpoints of one failure domain are out of reach. Prompts whose
// homes are there meet at others, the same ones for all entries.
func TestHomesAreThoseInReach(t *testing.T) {
	f := fleet(12)
	for i := range 6 {
		f.Endpoints[i].ReceivedAt = -9 * second
	}
	other := config
	other.Self = "e2"
	p, q := placer(config, f), placer(other, f)
	for i := range 100 {
		r := prompt(fmt.Sprint("doc-", i))
		r.NearOnly = true
		a, absence := p.Pick(second, r)
		require.Equal(t, bluebellplacement.Present, absence)
		b, _ := q.Pick(second, r)
		require.Equal(t, a.Endpoint.ID, b.Endpoint.ID)
		require.True(t, a.Home)
		require.Equal(t, a.Endpoint.Address, a.HomeAddress)
	}
}

// The load pattern: engines are half full of running calls. A prompt whose home is fuller
// still runs there: its blocks take memory there anyway, while elsewhere they push out
// those of others, and keeping prompts away from their homes had each read again.
func TestAHomeIsFilledFurther(t *testing.T) {
	f := fleet(12)
	p := placer(config, f)
	home, _ := p.Pick(second, prompt("doc"))
	f.Others = map[string]bluebellplacement.Use{}
	for _, e := range f.Endpoints {
		f.Others[e.ID] = bluebellplacement.Use{Calls: 10, Tokens: 60_000}
	}
	p.Update(f)
	again, absence := p.Pick(second, prompt("doc"))
	require.Equal(t, bluebellplacement.Present, absence)
	require.Equal(t, home.Endpoint.ID, again.Endpoint.ID)
	f.Others[home.Endpoint.ID] = bluebellplacement.Use{Calls: 10, Tokens: 90_000}
	p.Update(f)
	second, absence := p.Pick(second, prompt("doc"))
	require.Equal(t, bluebellplacement.Present, absence)
	require.False(t, second.Home, "but not beyond its memory")
}
