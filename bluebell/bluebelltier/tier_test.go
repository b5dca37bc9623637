package bluebelltier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebelltier"
)

type fixture struct {
	directory *bluebelldirectory.Directory
	view      *bluebelldirectory.View
	now       time.Duration
	live      bool
	slow      []string
	others    map[string]bluebelltier.Load
}

func newFixture() *fixture {
	f := &fixture{directory: bluebelldirectory.New(), view: bluebelldirectory.NewView(), now: time.Minute, live: true}
	for _, s := range []string{"near", "far"} {
		f.directory.Reset(s, nil, 0)
	}
	return f
}

func (f *fixture) tier() *bluebelltier.Planner {
	return bluebelltier.New(bluebelltier.Config{
		Stores: func() []bluebelldeployment.Store {
			return []bluebelldeployment.Store{
				{Name: "n", Address: "near", FailureDomain: "a", Tokens: 10_000, BytesPerSecond: 1e9, SetupDelay: time.Millisecond},
				{Name: "f", Address: "far", FailureDomain: "b", Tokens: 100_000, BytesPerSecond: 1e9, SetupDelay: time.Millisecond},
			}
		},
		Directory: func() *bluebelldirectory.View {
			if !f.live {
				return nil
			}
			changes, _ := f.directory.Since(0, 1000)
			f.view.Take(f.directory.States(), changes, true, false, 0)
			return f.view
		},
		OtherLoads: func() map[string]bluebelltier.Load { return f.others },
		Now:        func() time.Duration { return f.now },
		OnSlowChange: func(store string, slow bool, _ bluebelltier.Load) {
			f.slow = append(f.slow, fmt.Sprint(store, " ", slow))
		},
	})
}

func (f *fixture) hold(store, id string, tokens int) {
	f.directory.Hold(store, bluebelldirectory.Block{Key: bluebelldirectory.Key{Scope: "*/m0/1", ID: id}, Tokens: tokens})
}

func request() bluebelltier.Request {
	return bluebelltier.Request{
		Scope: "*/m0/1", FailureDomain: "a", HomeDomain: "a", TokenBytes: 1000,
		Blocks: []bluebelltier.Block{{ID: "system", Tokens: 500}, {ID: "doc", Tokens: 8000}},
	}
}

func TestHeldBlocksAreFetchedAndOthersWrittenOnce(t *testing.T) {
	f := newFixture()
	f.hold("far", "system", 500)
	tier := f.tier()
	p := tier.Plan(request())
	require.Equal(t, []string{"far", "", ""}, p.Fetch, "the last block is the call's own")
	require.Equal(t, []string{"", "near", ""}, p.Save)
	require.Equal(t, 500, p.HeldTokens)
	require.Empty(t, tier.Plan(request()).Save[1], "it is on its way")
	f.hold("near", "doc", 8000)
	p = tier.Plan(request())
	require.Equal(t, []string{"far", "near", ""}, p.Fetch)
	f.now += time.Minute
	require.Empty(t, tier.Plan(request()).Save[1])
}

func TestABlockThatWasNotKeptIsWrittenAgainLater(t *testing.T) {
	f := newFixture()
	tier := f.tier()
	require.NotEmpty(t, tier.Plan(request()).Save[1])
	f.now += 10 * time.Second
	require.NotEmpty(t, tier.Plan(request()).Save[1])
}

func TestAFullStoreIsNotWrittenTo(t *testing.T) {
	f := newFixture()
	f.hold("near", "x", 2000)
	require.Equal(t, "far", f.tier().Plan(request()).Save[1], "8,000 do not fit beside 2,000 in 10,000")
	f.hold("far", "y", 90_000)
	require.Empty(t, f.tier().Plan(request()).Save[1])
}

func TestStoresThatHaveNotSettledAreNotWrittenTo(t *testing.T) {
	f := newFixture()
	f.directory.Reset("near", nil, f.now-time.Second)
	f.directory.Reset("far", nil, f.now-time.Second)
	p := f.tier().Plan(request())
	require.Equal(t, []string{"", "", ""}, p.Save)
}

func TestWithoutASourceOnlyTheHomeIsAsked(t *testing.T) {
	f := newFixture()
	f.hold("near", "doc", 8000)
	f.live = false
	r := request()
	r.Home = "home:1"
	p := f.tier().Plan(r)
	require.Equal(t, []string{"home:1", "home:1", ""}, p.Fetch)
	require.Equal(t, []string{"", "", ""}, p.Save)
	require.Zero(t, f.tier().FetchTime(r))
}

func TestOtherWeightsAndCustomersShareNothing(t *testing.T) {
	f := newFixture()
	f.hold("near", "doc", 8000)
	for _, scope := range []string{"*/m0/2", "c1/m0/1", "*/m1/1"} {
		r := request()
		r.Scope = scope
		require.Equal(t, []string{"", "", ""}, f.tier().Plan(r).Fetch, scope)
	}
}

// The load pattern: many prompts return at once, and one of two stores that hold a
// block is asked for all of them.
func TestFetchesAreSpreadOverTheStoresThatHoldABlock(t *testing.T) {
	f := newFixture()
	f.hold("near", "doc", 8000)
	f.hold("far", "doc", 8000)
	tier := f.tier()
	used := map[string]int{}
	var plans []bluebelltier.Plan
	for range 12 {
		plans = append(plans, tier.Plan(request()))
		used[plans[len(plans)-1].Fetch[1]]++
	}
	require.Greater(t, used["near"], used["far"])
	require.NotZero(t, used["far"])
	f.now += time.Second
	for _, store := range []string{"near", "far"} {
		n := used[store]
		require.Equal(t, bluebelltier.Load{Tokens: n * 8000, Calls: n, Waited: time.Duration(n) * time.Second}, tier.InFlight()[store])
	}
	for _, p := range plans {
		tier.FetchesDone(p)
		tier.FetchesDone(p)
	}
	require.Empty(t, tier.InFlight())
}

// The load pattern: the link of a store has slowed down, and the fetches of all
// entries pile up at it.
func TestAStoreWithAPileOfFetchesIsPassedOverForAnotherHolder(t *testing.T) {
	f := newFixture()
	f.hold("near", "doc", 8000)
	tier := f.tier()
	f.others = map[string]bluebelltier.Load{"near": {Tokens: 5_000_000}}
	require.Equal(t, "near", tier.Plan(request()).Fetch[1], "reading it again would take the engine")
	f.hold("far", "doc", 8000)
	require.Equal(t, "far", tier.Plan(request()).Fetch[1])
	require.Less(t, tier.FetchTime(request()), time.Second, "what waits at other engines says little of this one")
}

// The load pattern: the link of a store turns slow for some seconds. Its fetches have been in
// flight for much longer than those of others, and calls go without it meanwhile: the block
// is taken from the prompt's home or read, and written nowhere else.
func TestASlowStoreIsPassedOver(t *testing.T) {
	f := newFixture()
	f.hold("near", "doc", 8000)
	tier := f.tier()
	r := request()
	r.Home = "home"
	f.others = map[string]bluebelltier.Load{
		"near": {Calls: 5, Tokens: 40_000, Waited: 10 * time.Second}, "far": {Calls: 4, Tokens: 40_000, Waited: time.Second},
		"third": {Calls: 3, Tokens: 9_000, Waited: time.Second},
	}
	plan := tier.Plan(r)
	require.Equal(t, "home", plan.Fetch[1])
	require.Empty(t, plan.Save[1])
	require.Zero(t, tier.FetchTime(r))
	f.hold("near", "system", 500)
	require.Equal(t, "near", tier.Plan(r).Fetch[0], "a small block takes no time anywhere")
	f.hold("far", "doc", 8000)
	require.Equal(t, "far", tier.Plan(r).Fetch[1], "another holder")
	f.others = nil
	tier.Plan(r)
	require.Equal(t, []string{"near true", "near false"}, f.slow, "each change is told once")

	// All engines are slow alike, or too little is known: nothing is said of the store.
	for _, others := range []map[string]bluebelltier.Load{
		{"near": {Calls: 5, Waited: 10 * time.Second}, "far": {Calls: 6, Waited: 9 * time.Second}},
		{"near": {Calls: 1, Waited: 2 * time.Second}, "far": {Calls: 6, Waited: time.Second}},
	} {
		f := newFixture()
		f.hold("near", "doc", 8000)
		f.others = others
		require.Equal(t, "near", f.tier().Plan(r).Fetch[1])
	}
}

// The load pattern: many entries meet the same new prompt, each at another endpoint. It
// is to take room in one store only.
func TestEntriesWriteABlockToTheSameStore(t *testing.T) {
	f := newFixture()
	chosen := map[string]bool{}
	for _, domain := range []string{"a", "b", "c"} {
		r := request()
		r.FailureDomain, r.HomeDomain = domain, "b"
		chosen[f.tier().Plan(r).Save[1]] = true
	}
	require.Equal(t, map[string]bool{"far": true}, chosen)
}
