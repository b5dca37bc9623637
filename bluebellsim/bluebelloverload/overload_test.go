package bluebelloverload_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellsim/bluebelloverload"
)

// readLoad reads the load file of the tests. Faults, if given, replace those of the file.
func readLoad(t *testing.T, faults ...bluebelloverload.Fault) bluebelloverload.Load {
	t.Helper()
	l, err := bluebelloverload.ReadLoad("../../examples/loads/dark.jsonc")
	require.NoError(t, err)
	if faults != nil {
		l.Troubles = faults
		return l
	}
	l.Duration = 14 // The engines that are dark from 2.5 s serve again at 14.5 s.
	return l
}

func run(l bluebelloverload.Load, p bluebelloverload.Policy) *bluebelloverload.Report {
	return bluebelloverload.Run(bluebelloverload.Config{Load: l, Policy: p, Seed: 1})
}

func TestRunIsDeterministic(t *testing.T) {
	l := readLoad(t)
	l.Duration = 6
	require.Equal(t, run(l, bluebelloverload.Product).String(), run(l, bluebelloverload.Product).String())
}

func TestEveryCallHasOneOutcome(t *testing.T) {
	for _, p := range bluebelloverload.Policies() {
		l := readLoad(t)
		l.Duration = 6
		r := run(l, p)
		require.Equal(t, r.All.Arrived, r.All.InTime+r.All.Late+r.All.Refused+r.All.Failed, p)
		arrived := 0
		for _, k := range r.Kinds {
			arrived += k.Arrived
		}
		require.Equal(t, r.All.Arrived, arrived, p)
	}
}

// TestDoubledLoadKeepsThroughput runs at about the load that the deployment can carry and at
// twice that, while a quarter of the engines is dark and all caches are empty. It guards against
// engines that are kept busy with calls that end late. The users require that calls in time at
// twice the load are at least 0.95 of those at the first load.
func TestDoubledLoadKeepsThroughput(t *testing.T) {
	capacity := run(readLoad(t).ScaleCalls(1.5), bluebelloverload.Product)
	twice := run(readLoad(t).ScaleCalls(3), bluebelloverload.Product)
	require.GreaterOrEqual(t, float64(twice.All.InTime), 0.95*float64(capacity.All.InTime))
	require.Less(t, twice.All.Late+twice.All.Failed, twice.All.Refused, "calls that are not served in time must mostly be refused")
}

// TestProductAgainstBaselines compares the product's placement with the baselines while a
// quarter of the engines is dark. The baselines have as much information on the engines or more,
// but neither let calls wait nor refuse them.
func TestProductAgainstBaselines(t *testing.T) {
	product := run(readLoad(t).ScaleCalls(2), bluebelloverload.Product)
	for _, p := range bluebelloverload.Policies()[1:] {
		baseline := run(readLoad(t).ScaleCalls(2), p)
		require.Greater(t, product.All.InTimeShare(), baseline.All.InTimeShare(), p)
		require.Less(t, product.RereadTokens, baseline.RereadTokens, p)
	}
}

// TestSlowStoresDelayFewCalls slows half of the stores down to a quarter of their speed for five
// seconds. Calls must avoid fetches from them, so that at least 0.95 are in time.
func TestSlowStoresDelayFewCalls(t *testing.T) {
	r := run(readLoad(t, bluebelloverload.Fault{What: bluebelloverload.SlowStores, At: 14, For: 5, Share: 0.5, Factor: 4}), bluebelloverload.Product)
	for i, w := range r.Windows[7:10] {
		require.GreaterOrEqual(t, w.InTimeShare(), 0.95, "window %d", i)
	}
}

// TestBothSidesOfCutServeCalls cuts off one of three failure domains for five seconds. Both sides
// have engines for their calls.
func TestBothSidesOfCutServeCalls(t *testing.T) {
	r := run(readLoad(t, bluebelloverload.Fault{What: bluebelloverload.Cut, At: 20, For: 5}), bluebelloverload.Product)
	for i, w := range r.Windows[10:13] {
		require.GreaterOrEqual(t, w.InTimeShare(), 0.8, "window %d", i)
	}
	require.GreaterOrEqual(t, r.Windows[14].InTimeShare(), 0.95, "after the end of the cut")
}

func TestReadLoadRejectsInvalidFiles(t *testing.T) {
	for name, text := range map[string]string{
		"text":    "{",
		"empty":   "{}",
		"kind":    `{"Entries":1,"Engines":1,"Domains":1,"EngineRoom":1,"Duration":1,"Kinds":[{"Name":"a","PerSecond":1,"Subjects":1,"Objective":2,"Deadline":1}]}`,
		"trouble": `{"Entries":1,"Engines":1,"Domains":1,"EngineRoom":1,"Duration":1,"Kinds":[{"Name":"a","PerSecond":1,"Subjects":1,"Objective":1,"Deadline":1}],"Troubles":[{"What":"Fog"}]}`,
	} {
		path := filepath.Join(t.TempDir(), "load.jsonc")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := bluebelloverload.ReadLoad(path)
		require.Error(t, err, name)
	}
	_, err := bluebelloverload.ReadLoad("none")
	require.Error(t, err)
}
