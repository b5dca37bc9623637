package bluebelloverload_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellsim/bluebelloverload"
)

func load(t *testing.T, troubles ...bluebelloverload.Trouble) bluebelloverload.Load {
	t.Helper()
	l, err := bluebelloverload.ReadLoad("../../examples/loads/dark.jsonc")
	require.NoError(t, err)
	if troubles != nil {
		l.Troubles = troubles
		return l
	}
	l.Duration = 14 // until the engines that went dark are back
	return l
}

func play(l bluebelloverload.Load, p bluebelloverload.Policy) *bluebelloverload.Report {
	return bluebelloverload.Run(bluebelloverload.Config{Load: l, Policy: p, Seed: 1})
}

func TestARunIsTheSameEachTime(t *testing.T) {
	l := load(t)
	l.Duration = 6
	require.Equal(t, play(l, bluebelloverload.Product).String(), play(l, bluebelloverload.Product).String())
}

func TestEveryCallEnds(t *testing.T) {
	for _, p := range bluebelloverload.Policies() {
		l := load(t)
		l.Duration = 6
		r := play(l, p)
		require.Equal(t, r.All.Asked, r.All.InTime+r.All.Late+r.All.Refused+r.All.Failed, p)
		asked := 0
		for _, k := range r.Kinds {
			asked += k.Asked
		}
		require.Equal(t, r.All.Asked, asked, p)
	}
}

// The load pattern: a quarter of the engines falls silent while all caches are empty, at
// loads up to and beyond what the rest can carry. What was sent on in vain kept engines busy
// with calls that were all late. The users ask for throughput at twice the load of at least
// 0.95 of that at the knee.
func TestTwiceTheLoadIsRefusedEarlyAndServedNoLess(t *testing.T) {
	knee := play(load(t).Times(1.5), bluebelloverload.Product)
	twice := play(load(t).Times(3), bluebelloverload.Product)
	require.GreaterOrEqual(t, float64(twice.All.InTime), 0.95*float64(knee.All.InTime))
	require.Less(t, twice.All.Late+twice.All.Failed, twice.All.Refused, "most of what is not served is told so early")
}

// The load pattern is the same: what the decisions gain over policies that know as much or
// more of the engines, but neither wait nor refuse.
func TestMoreCallsAreInTimeThanByAnyBaseline(t *testing.T) {
	product := play(load(t).Times(2), bluebelloverload.Product)
	for _, p := range bluebelloverload.Policies()[1:] {
		baseline := play(load(t).Times(2), p)
		require.Greater(t, product.All.InTimeShare(), baseline.All.InTimeShare(), p)
		require.Less(t, product.Again, baseline.Again, p)
	}
}

// The load pattern: half of the stores slow down to a quarter for five seconds. Calls go
// without them, and are as good as all in time.
func TestSlowStoresAreHardlyFelt(t *testing.T) {
	r := play(load(t, bluebelloverload.Trouble{What: bluebelloverload.SlowStores, At: 14, For: 5, Share: 0.5, Factor: 4}), bluebelloverload.Product)
	for i, w := range r.Windows[7:10] {
		require.GreaterOrEqual(t, w.InTimeShare(), 0.95, "window %d", i)
	}
}

// The load pattern: one of three failure domains is cut off for five seconds. Both sides have
// engines for their calls.
func TestBothSidesOfACutServe(t *testing.T) {
	r := play(load(t, bluebelloverload.Trouble{What: bluebelloverload.Cut, At: 20, For: 5}), bluebelloverload.Product)
	for i, w := range r.Windows[10:13] {
		require.GreaterOrEqual(t, w.InTimeShare(), 0.8, "window %d", i)
	}
	require.GreaterOrEqual(t, r.Windows[14].InTimeShare(), 0.95, "after it has healed")
}

func TestLoadsWithFaultsAreRejected(t *testing.T) {
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
