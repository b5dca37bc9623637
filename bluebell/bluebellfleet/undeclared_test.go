package bluebellfleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
)

// newDeclaredRegistry returns a registry that keeps registrations of undeclared targets apart.
func newDeclaredRegistry(maxEndpoints int, targets ...string) (*bluebellfleet.Registry, *clock) {
	c := &clock{}
	r := bluebellfleet.NewRegistry(bluebellfleet.Config{Now: func() time.Duration { return c.now }, DeclaredOnly: true, MaxEndpoints: maxEndpoints})
	if targets != nil {
		r.SetTargets(targets)
	}
	return r, c
}

// withTarget returns a registration with another target and state.
func withTarget(e bluebellfleet.Endpoint, target string, state bluebellfleet.State) bluebellfleet.Endpoint {
	e.Target = target
	return e.WithState(state)
}

// Guards against a registration of another system that takes an endpoint out of use, or keeps its later registrations
// from having an effect, by its ID or address.
func TestUndeclaredTargetDoesNotAffectEndpoints(t *testing.T) {
	for name, other := range map[string]bluebellfleet.Endpoint{
		"LaterAtAddress":        endpoint("other", "a:1", 99, 1),
		"EarlierAtAddress":      endpoint("other", "a:1", 1, 1),
		"SameIncarnationAhead":  endpoint("i-1", "a:1", 10, 1<<50),
		"SameIDLater":           endpoint("i-1", "b:1", 99, 1),
		"SameIDWithoutAddress":  endpoint("i-1", "", 10, 7),
		"LaterAtAddressUnnamed": endpoint("other", "a:1", 99, 1<<50),
	} {
		for _, state := range []bluebellfleet.State{bluebellfleet.Serving, bluebellfleet.Draining} {
			for _, order := range []string{"Behind", "Before", "BeforeDeclaration"} {
				t.Run(fmt.Sprint(name, state, order), func(t *testing.T) {
					r, _ := newDeclaredRegistry(0)
					other := withTarget(other, "other-system", state)
					if order != "BeforeDeclaration" {
						r.SetTargets([]string{"llm"})
					}
					if order != "Behind" {
						r.Merge(other)
					}
					r.Merge(endpoint("i-1", "a:1", 10, 5))
					r.Merge(other)
					r.SetTargets([]string{"llm", "app"})
					require.Equal(t, bluebellfleet.Refreshed, r.Merge(endpoint("i-1", "a:1", 10, 6)))
					require.Equal(t, []string{"i-1"}, ids(r))
					changes, _ := r.RoutingChangesSince(0)
					require.Len(t, changes, 1, "followers receive the endpoint only")
				})
			}
		}
	}
}

// Guards against a registration that is lost because it arrives before the declaration of its target, here or at a
// follower, which receives it only once.
func TestEndpointCountsOnceItsTargetIsDeclared(t *testing.T) {
	r, _ := newDeclaredRegistry(0, "llm")
	r.Merge(endpoint("i-1", "a:1", 10, 5))
	_, changed := r.LastRoutingChange()
	require.Equal(t, bluebellfleet.Undeclared, r.Merge(withTarget(endpoint("i-2", "a:1", 20, 1), "app", bluebellfleet.Serving)))
	require.Equal(t, bluebellfleet.Undeclared, r.Merge(withTarget(endpoint("i-2", "a:1", 20, 2), "app", bluebellfleet.Draining)))
	require.Equal(t, bluebellfleet.Undeclared, r.Merge(withTarget(endpoint("i-2", "a:1", 20, 1), "app", bluebellfleet.Serving)), "a late copy")
	require.Equal(t, []string{"i-1"}, ids(r))
	require.Len(t, r.SetTargets([]string{"llm", "app"}), 1)
	require.Equal(t, []string{"i-2"}, ids(r), "the address has been taken over")
	e, _ := r.Endpoint("i-2")
	require.Equal(t, bluebellfleet.Draining, e.State)
	select {
	case <-changed:
	default:
		require.Fail(t, "followers are not woken")
	}
}

// Guards against an endpoint whose departure has no effect since its target was removed from the declaration.
func TestEndpointOfRemovedTargetDrainsAndLeaves(t *testing.T) {
	r, _ := newDeclaredRegistry(0, "llm")
	r.Merge(endpoint("i-1", "a:1", 10, 5))
	r.SetTargets([]string{"app"})
	require.Equal(t, bluebellfleet.Changed, r.Merge(withTarget(endpoint("i-1", "a:1", 10, 6), "llm", bluebellfleet.Draining)))
	r.SetTargets([]string{"llm"})
	e, _ := r.Endpoint("i-1")
	require.Equal(t, bluebellfleet.Draining, e.State)
	require.True(t, r.MarkGone("i-1", 10))
	require.Empty(t, ids(r))
}

// Guards against an incarnation that left before its target was declared and counts afterwards.
func TestEndpointThatLeftBeforeItsDeclarationStaysGone(t *testing.T) {
	for _, start := range []int64{0, 10} {
		r, _ := newDeclaredRegistry(0, "app")
		r.Merge(endpoint("i-1", "a:1", 10, 5))
		require.True(t, r.MarkGone("i-1", start))
		r.SetTargets([]string{"llm"})
		require.Empty(t, ids(r))
	}
}

// Guards against a departure of an undeclared incarnation that takes the address of an endpoint along.
func TestDepartureOfUndeclaredEndpointLeavesAddress(t *testing.T) {
	r, _ := newDeclaredRegistry(0, "llm")
	r.Merge(endpoint("i-1", "a:1", 10, 5))
	r.Merge(withTarget(endpoint("other", "a:1", 99, 1), "other-system", bluebellfleet.Gone))
	require.Equal(t, bluebellfleet.Refreshed, r.Merge(endpoint("i-1", "a:1", 10, 6)))
	require.Equal(t, []string{"i-1"}, ids(r))
}

// Guards against registrations of undeclared targets that take the room of endpoints or grow without bound.
func TestUndeclaredTargetsTakeNoRoom(t *testing.T) {
	r, c := newDeclaredRegistry(2, "llm")
	for n := range 100 {
		c.now += time.Second
		e := withTarget(endpoint(fmt.Sprint("other-", n), fmt.Sprint("b:", n), 99, 1), "app", bluebellfleet.Serving)
		e.ReceivedAt = c.now
		r.Merge(e)
	}
	r.Merge(endpoint("i-1", "a:1", 10, 5))
	r.Merge(endpoint("i-2", "a:2", 10, 5))
	require.Equal(t, []string{"i-1", "i-2"}, ids(r))
	r, c = newDeclaredRegistry(2, "llm")
	for n := range 3 {
		c.now += time.Second
		e := withTarget(endpoint(fmt.Sprint("other-", n), fmt.Sprint("b:", n), 99, 1), "app", bluebellfleet.Serving)
		e.ReceivedAt = c.now
		r.Merge(e)
	}
	require.Len(t, r.SetTargets([]string{"app"}), 2)
	require.Equal(t, []string{"other-1", "other-2"}, ids(r), "those heard last")
}
