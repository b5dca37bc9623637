package bluebelldeployment_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldeployment"
)

func declaration() bluebelldeployment.Declaration {
	return bluebelldeployment.Declaration{
		Version: 1,
		Targets: []bluebelldeployment.Target{{Name: "a"}, {Name: "b"}},
		Routes: []bluebelldeployment.Route{{
			Name: "r", Host: "h", Prefix: "/x/", Timeout: time.Second,
			Targets: []bluebelldeployment.WeightedTarget{{Name: "a", Weight: 9}, {Name: "b", Weight: 1}},
		}},
		Customers: []bluebelldeployment.Customer{{Name: "c", Keys: []string{"k"}}},
	}
}

func TestTargetForFollowsWeights(t *testing.T) {
	deployment, findings := bluebelldeployment.New(declaration())
	require.True(t, findings.Empty())
	r := deployment.Route("h", "/x/y")
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.TargetFor(float64(i)/1000)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
	require.Equal(t, "b", r.TargetFor(1), "a draw of 1, just outside the range")
}

func TestNewReportsAllFindings(t *testing.T) {
	d := declaration()
	d.Version = 0
	d.Routes[0].Timeout = 0
	d.Routes[0].Targets = []bluebelldeployment.WeightedTarget{{Name: "none", Weight: -1}}
	d.Customers = append(d.Customers, bluebelldeployment.Customer{Name: "d", Keys: []string{"k"}})
	_, findings := bluebelldeployment.New(d)
	require.Len(t, findings, 6, findings.Error())
}

func TestRouteRepeatable(t *testing.T) {
	for _, c := range []struct {
		work      bluebelldeployment.Work
		resumable bool
		want      bool
	}{
		{bluebelldeployment.NonIdempotent, true, false},
		{bluebelldeployment.Idempotent, false, true},
		{bluebelldeployment.Stream, false, false},
		{bluebelldeployment.Stream, true, true},
	} {
		r := bluebelldeployment.Route{Work: c.work, Resumable: c.resumable}
		require.Equal(t, c.want, r.Repeatable(), c.work)
	}
}

func TestNilDeploymentIsEmpty(t *testing.T) {
	var deployment *bluebelldeployment.Deployment
	require.Zero(t, deployment.Version())
	require.Empty(t, deployment.Stores())
}

// Cached blocks that a customer made before it became isolated stayed shared with the others. Each change of the
// isolated customers gives the others another group; to be isolated in turn leads back to no earlier one.
func TestSharingGroupFollowsIsolatedCustomers(t *testing.T) {
	group := func(isolated ...string) string {
		d := declaration()
		for i, name := range []string{"x", "y", "x,y"} {
			d.Customers = append(d.Customers, bluebelldeployment.Customer{Name: name, Keys: []string{fmt.Sprint("key-", i)}, Isolated: slices.Contains(isolated, name)})
		}
		deployment, findings := bluebelldeployment.New(d)
		require.Empty(t, findings)
		return deployment.SharingGroup()
	}
	require.Empty(t, group(), "the scopes of deployments without isolated customers stay as they are")
	groups := map[string]bool{group(): true, group("x"): true, group("y"): true, group("x", "y"): true, group("x,y"): true}
	require.Len(t, groups, 5)
	require.Equal(t, group("x", "y"), group("y", "x"))
}

// Guards against bounds that no number meets, which would make each decision contradict the one before.
func TestNewChecksScale(t *testing.T) {
	for _, c := range []struct {
		scale    bluebelldeployment.Scale
		findings int
	}{
		{bluebelldeployment.Scale{Min: 17, Max: 40, StartDuration: 8 * time.Second}, 0},
		{bluebelldeployment.Scale{Min: 0, Max: 1}, 0},
		{bluebelldeployment.Scale{Min: 2, Max: 1}, 1},
		{bluebelldeployment.Scale{}, 1},
		{bluebelldeployment.Scale{Min: -1, Max: 4, StartDuration: -1}, 2},
	} {
		d := declaration()
		d.Targets[0].Scale = &c.scale
		_, findings := bluebelldeployment.New(d)
		require.Len(t, findings, c.findings, "%+v: %s", c.scale, findings.Error())
	}
}
