package bluebellrelay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebellgate/internal/bluebellrelay"
)

// The ranks have to be those that calls get, by customer and route: with ranks that no call has, the most
// urgent calls would get the room of a middle rank.
func TestRanks(t *testing.T) {
	ms := time.Millisecond
	d := bluebelldeployment.Declaration{
		Version: 1, Targets: []bluebelldeployment.Target{{Name: "llm", Engine: &bluebelldeployment.Engine{}}, {Name: "plain"}},
		Customers: []bluebelldeployment.Customer{{Name: "a", Keys: []string{"k"}}},
	}
	for prefix, objective := range map[string]time.Duration{"/0": 400 * ms, "/1": 500 * ms, "/2": 1500 * ms} {
		d.Routes = append(d.Routes, bluebelldeployment.Route{
			Name: prefix, Host: "h", Prefix: prefix, Timeout: time.Second, Objective: objective, Priority: int(prefix[1] - '0'),
			Targets: []bluebelldeployment.WeightedTarget{{Name: "llm", Weight: 1}, {Name: "plain", Weight: 1}},
		})
	}
	ranks := func() map[string][]bluebellplacement.Rank {
		deployment, findings := bluebelldeployment.New(d)
		require.Empty(t, findings)
		return bluebellrelay.Ranks(deployment)
	}
	require.Equal(t, map[string][]bluebellplacement.Rank{
		"llm": {{Priority: 3, Objective: 400 * ms}, {Priority: 4, Objective: 500 * ms}, {Priority: 5, Objective: 1500 * ms}},
	}, ranks(), "the plain service has none")
	d.Customers = append(d.Customers, bluebelldeployment.Customer{Name: "b", Keys: []string{"l"}, HasPriority: true, Priority: 0})
	require.Len(t, ranks()["llm"], 6)
	d.Routes = d.Routes[:1]
	require.Empty(t, ranks())
}
