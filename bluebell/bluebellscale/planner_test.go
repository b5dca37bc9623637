package bluebellscale_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellscale"
)

// idle is the load of a target with little to do.
var idle = bluebellscale.Load{Memory: 1, Calls: 10, Known: true}

// decisions passes the same input to a planner once a second and returns the changes.
func decisions(p *bluebellscale.Planner, from, to time.Duration, in bluebellscale.Input) []bluebellscale.Change {
	var list []bluebellscale.Change
	for now := from; now <= to; now += second {
		list = append(list, p.Decide(now, in).Changes...)
	}
	return list
}

// Guards against a first order that stops endpoints which were out of reach when the leader began to observe.
func TestUnreachableEndpointsCountBeforeTheFirstOrder(t *testing.T) {
	in := bluebellscale.Input{Bounds: bounds, Load: idle, Complete: true, Domains: []bluebellscale.Domain{{Name: "a", Registered: 20, Usable: 12}}}
	require.Empty(t, decisions(bluebellscale.New(), second, 60*second, in))
}

// Guards against an order of the declared minimum on the first, incomplete observations, which would stop endpoints
// that have not been heard of.
func TestMinimumIsOrderedOnCompleteObservationsOnly(t *testing.T) {
	in := bluebellscale.Input{Bounds: bounds, Load: idle, Domains: []bluebellscale.Domain{{Name: "a", Registered: 5, Usable: 5}}}
	p := bluebellscale.New()
	require.Empty(t, decisions(p, second, 30*second, in))
	in.Complete = true
	require.Empty(t, decisions(p, 31*second, 40*second, in))
	require.Equal(t, []bluebellscale.Change{{FailureDomain: "a", From: 5, To: 17}}, decisions(p, 41*second, 41*second, in))
}

// Guards against a number below a minimum that operators have raised, and against a jump to a maximum that they
// have lowered.
func TestChangedBoundsAreKept(t *testing.T) {
	in := bluebellscale.Input{Bounds: bounds, Load: idle, Complete: true, Domains: []bluebellscale.Domain{{Name: "a", Ordered: 15, Registered: 15, Usable: 15}}}
	require.Equal(t, []bluebellscale.Change{{FailureDomain: "a", From: 15, To: 17}}, bluebellscale.New().Decide(second, in).Changes)
	in.Domains[0] = bluebellscale.Domain{Name: "a", Ordered: 50, Registered: 50, Usable: 50}
	require.Equal(t, bluebellscale.Change{FailureDomain: "a", From: 50, To: 45}, decisions(bluebellscale.New(), second, 20*second, in)[0])
}

// Guards against stopping endpoints while a failure domain is out of service, which makes the others carry its load
// later, and while its return is being planned.
func TestNothingIsLoweredWhileADomainIsOut(t *testing.T) {
	in := bluebellscale.Input{Bounds: bounds, Load: idle, Complete: true, Domains: []bluebellscale.Domain{
		{Name: "a", Ordered: 20, Registered: 20, Usable: 20}, {Name: "b", Ordered: 20, Registered: 20, Usable: 20, Out: true},
	}}
	require.Empty(t, decisions(bluebellscale.New(), second, 60*second, in))
}

// Guards against a target that is lowered although nothing is known about what its endpoints can hold.
func TestTargetOfUnknownCapacityIsRaisedButNotLowered(t *testing.T) {
	in := bluebellscale.Input{Bounds: bluebellscale.Bounds{Min: 1, Max: 9, StartDuration: second}, Complete: true, Domains: []bluebellscale.Domain{{Name: "a", Ordered: 4, Registered: 4, Usable: 4}}}
	p := bluebellscale.New()
	require.Empty(t, decisions(p, second, 60*second, in))
	in.Load = bluebellscale.Load{Calls: 40, Backlog: bluebellscale.Backlog{Waiting: 10}}
	require.Equal(t, bluebellscale.Change{FailureDomain: "a", From: 4, To: 5}, decisions(p, 61*second, 63*second, in)[0])
}

// Guards against a large step of a small target: a tenth of three endpoints is one of them, in one failure domain.
func TestSmallTargetIsLoweredByOne(t *testing.T) {
	in := bluebellscale.Input{Bounds: bluebellscale.Bounds{Min: 1, Max: 4, StartDuration: second}, Load: idle, Complete: true, Domains: []bluebellscale.Domain{
		{Name: "a", Ordered: 2, Registered: 2, Usable: 2}, {Name: "b", Ordered: 2, Registered: 2, Usable: 2}, {Name: "c", Ordered: 2, Registered: 2, Usable: 2},
	}}
	require.Len(t, decisions(bluebellscale.New(), second, 11*second, in), 1)
}

// Guards against decisions on observations from before a pause of the process, or of its leadership.
func TestObservationsBeforeAPauseDoNotCount(t *testing.T) {
	in := bluebellscale.Input{Bounds: bounds, Load: idle, Complete: true, Domains: []bluebellscale.Domain{{Name: "a", Ordered: 20, Registered: 20, Usable: 20}}}
	p := bluebellscale.New()
	require.Empty(t, decisions(p, second, 12*second, in))
	require.Empty(t, decisions(p, 30*second, 41*second, in))
	require.Len(t, decisions(p, 42*second, 42*second, in), 1)
}

// Guards against a measure of one resource that hides the shortage of another.
func TestMeasureTakesTheScarcestResource(t *testing.T) {
	engine := bluebellscale.Capacity{Tokens: 1000, Slots: 10, ReadsPrompts: true}
	load := bluebellscale.Measure(engine, []bluebellscale.EndpointLoad{{Calls: 2, Tokens: 600, Unread: 5}, {Calls: 2, Tokens: 600}}, bluebellscale.Backlog{})
	require.InDelta(t, 2, load.Memory, 1e-9)
	require.InDelta(t, 0.5, load.Slots, 1e-9)
	require.InDelta(t, 1.25, load.Reading, 1e-9)
	require.InDelta(t, 2, load.Demand(), 1e-9)
	engine.ReadRate = 100_000
	load = bluebellscale.Measure(engine, []bluebellscale.EndpointLoad{{Unread: 3000}, {Unread: 1000}, {}}, bluebellscale.Backlog{})
	require.InDelta(t, (0.5+0.25)/0.8, load.Reading, 1e-9, "reading takes 30 and 10 ms of 60 and 40 ms")
	load = bluebellscale.Measure(engine, []bluebellscale.EndpointLoad{{Calls: 2, Tokens: 600}}, bluebellscale.Backlog{Returning: 2, WaitingTokens: 300})
	require.InDelta(t, 2.5, load.Memory, 1e-9, "refused calls need as much as the others")
	require.False(t, bluebellscale.Measure(bluebellscale.Capacity{}, nil, bluebellscale.Backlog{}).Known)
	require.False(t, bluebellscale.Load{Calls: 1000, Backlog: bluebellscale.Backlog{Returning: 10}}.Pressed(), "single refusals")
	require.True(t, bluebellscale.Load{Calls: 100, Backlog: bluebellscale.Backlog{Returning: 2, Waiting: 2}}.Pressed())
}
