package bluebellplacement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebelllink"
	"bluebellhaven.org/bluebell/bluebellplacement"
)

// linkedPlacer returns a placer with two targets of three endpoints each, and the state of its links.
func linkedPlacer() (*bluebellplacement.Placer, map[string]bluebelllink.State) {
	links := map[string]bluebelllink.State{}
	p := bluebellplacement.New(bluebellplacement.Config{Self: "e1", Links: func(target string) bluebelllink.State { return links[target] }})
	fleet := bluebellplacement.Fleet{Entries: []string{"e1"}}
	for _, target := range []string{"app", "llm"} {
		for _, id := range []string{"1", "2", "3"} {
			fleet.Endpoints = append(fleet.Endpoints, bluebellfleet.Endpoint{ID: target + id, Target: target, FailureDomain: "a", State: bluebellfleet.Serving})
		}
	}
	p.Update(fleet)
	return p, links
}

// failAll makes a call fail at each endpoint of a target.
func failAll(p *bluebellplacement.Placer, target string, now time.Duration) {
	for _, id := range []string{"1", "2", "3"} {
		var tried []string
		for _, other := range []string{"1", "2", "3"} {
			if other != id {
				tried = append(tried, target+other)
			}
		}
		choice, result := p.Pick(now, bluebellplacement.Request{Target: target, Tried: tried, IgnoreLinks: true})
		if result != bluebellplacement.Picked {
			continue
		}
		p.Sent(&choice, now)
		p.Done(choice, now, bluebellplacement.ConnectionFailed)
	}
}

func failing(p *bluebellplacement.Placer, now time.Duration) int {
	n := 0
	for _, u := range p.Uses(now) {
		n += u.Failing
	}
	return n
}

// Entries that have lost their links must not make sound endpoints suspect for all others.
func TestFailuresOfLostLinksAreNotReported(t *testing.T) {
	p, links := linkedPlacer()
	now := time.Minute
	links["app"] = bluebelllink.Checking
	failAll(p, "app", now)
	require.Zero(t, failing(p, now))
	links["app"] = bluebelllink.Lost
	require.Zero(t, failing(p, now))
	failAll(p, "llm", now)
	require.Positive(t, failing(p, now), "failures at other targets are reported")
}

// No endpoint of a target is picked while the links are lost, unless the call asks for it, and all of them
// at once when they are back.
func TestLostLinksPickNoEndpoint(t *testing.T) {
	p, links := linkedPlacer()
	now := time.Minute
	failAll(p, "app", now)
	links["app"] = bluebelllink.Lost
	_, result := p.Pick(now, bluebellplacement.Request{Target: "app"})
	require.Equal(t, bluebellplacement.LinksLost, result)
	require.Equal(t, "LinksLost", result.String())
	_, result = p.Pick(now, bluebellplacement.Request{Target: "llm"})
	require.NotEqual(t, bluebellplacement.LinksLost, result)
	_, result = p.Pick(now+time.Second, bluebellplacement.Request{Target: "app", IgnoreLinks: true})
	require.Equal(t, bluebellplacement.Picked, result)
	links["app"] = bluebelllink.Linked
	now += 2 * time.Second
	failAll(p, "app", now)
	p.ForgetFailures("app")
	require.Zero(t, failing(p, now))
	picked := map[string]bool{}
	for range 12 {
		choice, result := p.Pick(now, bluebellplacement.Request{Target: "app"})
		require.Equal(t, bluebellplacement.Picked, result)
		p.Sent(&choice, now)
		picked[choice.Endpoint.ID] = true
	}
	require.Len(t, picked, 3)
	p.ForgetFailures("unknown")
}

// Links are checked with endpoints that are open to calls. An entry that registers as an endpoint is none:
// connections to it say nothing about the links.
func TestLinksAreThoseToOpenEndpoints(t *testing.T) {
	p := bluebellplacement.New(bluebellplacement.Config{Self: "10.0.0.1:7700", CallerPort: "8005"})
	endpoint := func(id, domain, address string, state bluebellfleet.State) bluebellfleet.Endpoint {
		return bluebellfleet.Endpoint{ID: id, Target: "app", FailureDomain: domain, Address: address, State: state, StartUnixMillis: 7}
	}
	p.Update(bluebellplacement.Fleet{
		Entries: []string{"10.0.0.1:7700", "10.0.0.2:7700"}, DomainsOut: []string{"out"}, Loading: []string{"loads"},
		Endpoints: []bluebellfleet.Endpoint{
			endpoint("drains", "a", "10.0.1.1:1", bluebellfleet.Draining), endpoint("entry", "a", "10.0.0.2:8005", bluebellfleet.Serving),
			endpoint("loads", "a", "10.0.1.2:1", bluebellfleet.Serving), endpoint("open", "a", "10.0.1.3:1", bluebellfleet.Serving),
			endpoint("out", "out", "10.0.1.4:1", bluebellfleet.Serving),
		},
	})
	require.Equal(t, map[string][]bluebelllink.Endpoint{
		"app": {{ID: "open", Address: "10.0.1.3:1", FailureDomain: "a", StartUnixMillis: 7}},
	}, p.OpenEndpoints())
}
