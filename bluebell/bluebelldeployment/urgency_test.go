package bluebelldeployment_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldeployment"
)

// The two loads that the ranks are for, and those that must keep their decisions: a target that is no
// engine, one priority, a lowest rank that has to be as fast as the others, and a target whose less
// urgent route sends it nothing. Ranking these would delay calls that are as urgent as the rest.
func TestRanksByUrgency(t *testing.T) {
	type route struct {
		priority  int
		objective time.Duration
		weight    float64
	}
	ms := time.Millisecond
	for name, c := range map[string]struct {
		plain  bool
		routes []route
		ranks  bool
	}{
		"forms, checks, sums":         {routes: []route{{0, 400 * ms, 1}, {1, 500 * ms, 1}, {2, 1500 * ms, 1}}, ranks: true},
		"classes, questions, dossier": {routes: []route{{0, 500 * ms, 1}, {1, 400 * ms, 1}, {2, 800 * ms, 1}}, ranks: true},
		"lowest without objective":    {routes: []route{{0, 500 * ms, 1}, {2, 0, 1}}, ranks: true},
		"plain service":               {plain: true, routes: []route{{0, 400 * ms, 1}, {2, 800 * ms, 1}}},
		"one priority":                {routes: []route{{1, 400 * ms, 1}, {1, 800 * ms, 1}}},
		"lowest as fast":              {routes: []route{{0, 400 * ms, 1}, {1, 400 * ms, 1}}},
		"one of the lowest as fast":   {routes: []route{{0, 400 * ms, 1}, {1, 800 * ms, 1}, {1, 400 * ms, 1}}},
		"upper without objective":     {routes: []route{{0, 0, 1}, {1, 800 * ms, 1}}},
		"lowest without calls":        {routes: []route{{0, 400 * ms, 1}, {1, 800 * ms, 0}}},
	} {
		t.Run(name, func(t *testing.T) {
			d := bluebelldeployment.Declaration{Version: 1, Targets: []bluebelldeployment.Target{{Name: "llm"}, {Name: "other"}}}
			if !c.plain {
				d.Targets[0].Engine = &bluebelldeployment.Engine{Slots: 64}
			}
			for i, r := range c.routes {
				d.Routes = append(d.Routes, bluebelldeployment.Route{
					Name: name, Host: "h", Prefix: string(rune('a' + i)), Timeout: time.Second, Priority: r.priority, Objective: r.objective,
					Targets: []bluebelldeployment.WeightedTarget{{Name: "llm", Weight: r.weight}, {Name: "other", Weight: 1}},
				})
			}
			deployment, findings := bluebelldeployment.New(d)
			require.Empty(t, findings)
			require.Equal(t, c.ranks, deployment.RanksByUrgency("llm"))
			require.False(t, deployment.RanksByUrgency("unknown"))
		})
	}
	require.False(t, (*bluebelldeployment.Deployment)(nil).RanksByUrgency("llm"), "before the first deployment")
}
