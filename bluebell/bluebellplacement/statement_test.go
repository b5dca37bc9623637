package bluebellplacement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellplacement"
)

// leave lets the endpoint of a choice state that it leaves.
func leave(t *testing.T, p *bluebellplacement.Placer, at time.Duration) bluebellplacement.Choice {
	t.Helper()
	choice, result := p.Pick(at, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result)
	require.True(t, p.RecordLeaving(choice, at))
	require.False(t, p.RecordLeaving(choice, at), "it is logged once")
	return choice
}

// A statement holds for the incarnation that made it: while that registers as serving, and while it is
// missing from the registrations for a time. A new incarnation is free.
func TestLeavingConcernsOneIncarnation(t *testing.T) {
	f := fleet(1)
	f.Endpoints[0].StartUnixMillis = 5
	p := placer(config, f)
	choice := leave(t, p, second)
	require.True(t, p.IsLeaving(choice.Endpoint))
	for at := 2 * second; at < 20*time.Minute; at += 30 * second {
		f.At, f.Endpoints[0].ReceivedAt = at, at
		f.Endpoints[0].Sequence++
		p.Update(f)
		_, result := p.Pick(at, prompt("doc"))
		require.Equal(t, bluebellplacement.AllLeaving, result)
	}
	missing := f
	missing.Endpoints, missing.At = nil, 20*time.Minute
	p.Update(missing)
	f.At = 21 * time.Minute
	p.Update(f)
	_, result := p.Pick(f.At, prompt("doc"))
	require.Equal(t, bluebellplacement.AllLeaving, result)
	f = fleet(1)
	f.At, f.Endpoints[0].StartUnixMillis = 22*time.Minute, 6
	p.Update(f)
	_, result = p.Pick(f.At, prompt("doc"))
	require.Equal(t, bluebellplacement.Picked, result)
}

// Without a start time, a new incarnation cannot be told from the one that left, so that the statement
// ends after a time. Until then it holds, also when the registration disappears and returns.
func TestLeavingEndsWithoutStartTime(t *testing.T) {
	f := fleet(1)
	p := placer(config, f)
	leave(t, p, second)
	missing := f
	missing.Endpoints, missing.At = nil, 2*second
	p.Update(missing)
	for at := 3 * second; at < 5*time.Minute; at += 10 * second {
		f.At = at
		p.Update(f)
		_, result := p.Pick(at, prompt("doc"))
		require.Equal(t, bluebellplacement.AllLeaving, result)
	}
	f.At = 6 * time.Minute
	p.Update(f)
	leave(t, p, f.At)
}

// Endpoints that may serve again, such as one that loads weights, are worth waiting for.
func TestLeavingAndLoadingEndpointsAreUnfit(t *testing.T) {
	f := fleet(2)
	p := placer(config, f)
	choice := leave(t, p, second)
	other := "i-1"
	if choice.Endpoint.ID == other {
		other = "i-0"
	}
	f.Loading = []string{other}
	p.Update(f)
	_, result := p.Pick(2*second, prompt("doc"))
	require.Equal(t, bluebellplacement.AllUnfit, result)
}
