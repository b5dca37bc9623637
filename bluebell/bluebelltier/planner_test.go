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

// fixture provides the inputs of a Planner with two stores, near and far.
type fixture struct {
	directory *bluebelldirectory.Directory
	view      *bluebelldirectory.View
	now       time.Duration
	live      bool
	slow      []string
	others    map[string]bluebelltier.Load
	objective time.Duration
	// onSlow, if not nil, is called when a store becomes slow or fast.
	onSlow func()
}

func newFixture() *fixture {
	f := &fixture{directory: bluebelldirectory.New(), view: bluebelldirectory.NewView(), now: time.Minute, live: true}
	for _, s := range []string{"near", "far"} {
		f.directory.Reset(s, nil, 0)
	}
	return f
}

func (f *fixture) planner() *bluebelltier.Planner {
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
			changes, _ := f.directory.ChangesSince(0, 1000)
			f.view.Apply(f.directory.StoreStates(), changes, true, false, 0)
			return f.view
		},
		OtherLoads: func() map[string]bluebelltier.Load { return f.others },
		Objective:  func() time.Duration { return f.objective },
		Now:        func() time.Duration { return f.now },
		OnSlowChange: func(store string, slow bool, _ bluebelltier.Load) {
			f.slow = append(f.slow, fmt.Sprint(store, " ", slow))
			if f.onSlow != nil {
				f.onSlow()
			}
		},
	})
}

func (f *fixture) hold(store, id string, tokens int) {
	f.directory.Add(store, bluebelldirectory.Block{Key: bluebelldirectory.Key{Scope: "*/m0/1", ID: id}, Tokens: tokens})
}

func request() bluebelltier.Request {
	return bluebelltier.Request{
		Scope: "*/m0/1", FailureDomain: "a", HomeDomain: "a", TokenBytes: 1000,
		Blocks: []bluebelltier.Block{{ID: "system", Tokens: 500}, {ID: "doc", Tokens: 8000}},
	}
}

func TestPlanFetchesHeldBlocksAndWritesOthersOnce(t *testing.T) {
	f := newFixture()
	f.hold("far", "system", 500)
	planner := f.planner()
	p := planner.Plan(request())
	require.Equal(t, []string{"far", "", ""}, p.Fetch, "the last element is for the part of the prompt that is not shared")
	require.Equal(t, []string{"", "near", ""}, p.Save)
	require.Equal(t, 500, p.HeldTokens)
	require.Empty(t, planner.Plan(request()).Save[1], "the write of the block is pending")
	f.hold("near", "doc", 8000)
	p = planner.Plan(request())
	require.Equal(t, []string{"far", "near", ""}, p.Fetch)
	f.now += time.Minute
	require.Empty(t, planner.Plan(request()).Save[1])
}

func TestPlanWritesBlockAgainIfStoreDoesNotHoldIt(t *testing.T) {
	f := newFixture()
	planner := f.planner()
	require.NotEmpty(t, planner.Plan(request()).Save[1])
	f.now += 10 * time.Second
	require.NotEmpty(t, planner.Plan(request()).Save[1])
}

func TestPlanDoesNotWriteToFullStore(t *testing.T) {
	f := newFixture()
	f.hold("near", "x", 2000)
	require.Equal(t, "far", f.planner().Plan(request()).Save[1], "8,000 tokens do not fit beside 2,000 in a store of 10,000")
	f.hold("far", "y", 90_000)
	require.Empty(t, f.planner().Plan(request()).Save[1])
}

func TestPlanDoesNotWriteToRecentlyResetStores(t *testing.T) {
	f := newFixture()
	f.directory.Reset("near", nil, f.now-time.Second)
	f.directory.Reset("far", nil, f.now-time.Second)
	p := f.planner().Plan(request())
	require.Equal(t, []string{"", "", ""}, p.Save)
}

func TestPlanFetchesFromHomeWithoutDirectory(t *testing.T) {
	f := newFixture()
	f.hold("near", "doc", 8000)
	f.live = false
	r := request()
	r.Home = "home:1"
	p := f.planner().Plan(r)
	require.Equal(t, []string{"home:1", "home:1", ""}, p.Fetch)
	require.Equal(t, []string{"", "", ""}, p.Save)
	require.Zero(t, f.planner().FetchTime(r))
}

func TestPlanSharesNoBlocksBetweenScopes(t *testing.T) {
	f := newFixture()
	f.hold("near", "doc", 8000)
	for _, scope := range []string{"*/m0/2", "c1/m0/1", "*/m1/1"} {
		r := request()
		r.Scope = scope
		require.Equal(t, []string{"", "", ""}, f.planner().Plan(r).Fetch, scope)
	}
}

// TestPlanSpreadsFetchesOverHolders guards against all fetches of a block going to one of
// the two stores that hold it when many prompts that share the block arrive at once.
func TestPlanSpreadsFetchesOverHolders(t *testing.T) {
	f := newFixture()
	f.hold("near", "doc", 8000)
	f.hold("far", "doc", 8000)
	planner := f.planner()
	used := map[string]int{}
	var plans []bluebelltier.Plan
	for range 12 {
		plans = append(plans, planner.Plan(request()))
		used[plans[len(plans)-1].Fetch[1]]++
	}
	require.Greater(t, used["near"], used["far"])
	require.NotZero(t, used["far"])
	f.now += time.Second
	for _, store := range []string{"near", "far"} {
		n := used[store]
		require.Equal(t, bluebelltier.Load{Tokens: n * 8000, LargeFetches: n, Overdue: time.Duration(n) * time.Second}, planner.InFlight()[store])
	}
	for _, p := range plans {
		planner.FetchesDone(p)
		planner.FetchesDone(p)
	}
	require.Empty(t, planner.InFlight())
}

// TestPlanPrefersHolderWithFewerTokensInFlight has the link of a store slow down, so that
// the fetches of all entries accumulate there. Another store that holds the block is
// preferred; without one, the block is still fetched.
func TestPlanPrefersHolderWithFewerTokensInFlight(t *testing.T) {
	f := newFixture()
	f.hold("near", "doc", 8000)
	planner := f.planner()
	f.others = map[string]bluebelltier.Load{"near": {Tokens: 5_000_000}}
	require.Equal(t, "near", planner.Plan(request()).Fetch[1], "computing the block again would occupy the engine")
	f.hold("far", "doc", 8000)
	require.Equal(t, "far", planner.Plan(request()).Fetch[1])
	require.Less(t, planner.FetchTime(request()), time.Second, "the fetches that wait for other engines hardly delay this one")
}

// TestPlanAvoidsSlowStore has the link of a store become slow for some seconds, so that its
// fetches have been in flight for much longer than those of other stores. Meanwhile calls do
// not use the store: the block is fetched from the prompt's home or computed again, and not
// written to another store.
func TestPlanAvoidsSlowStore(t *testing.T) {
	f := newFixture()
	f.hold("near", "doc", 8000)
	planner := f.planner()
	r := request()
	r.Home = "home"
	f.others = map[string]bluebelltier.Load{
		"near": {LargeFetches: 5, Tokens: 40_000, Overdue: 10 * time.Second}, "far": {LargeFetches: 4, Tokens: 40_000, Overdue: time.Second},
		"third": {LargeFetches: 3, Tokens: 9_000, Overdue: time.Second},
	}
	plan := planner.Plan(r)
	require.Equal(t, "home", plan.Fetch[1])
	require.Empty(t, plan.Save[1])
	require.Zero(t, planner.FetchTime(r))
	f.hold("near", "system", 500)
	require.Equal(t, "near", planner.Plan(r).Fetch[0], "a small block is fetched from a slow store too")
	f.hold("far", "doc", 8000)
	require.Equal(t, "far", planner.Plan(r).Fetch[1], "another store holds the block")
	f.others = nil
	f.now += time.Second
	require.Equal(t, "near", planner.Plan(r).Fetch[1], "few fetches at a time still use the slow store")
	require.Equal(t, "near", planner.Plan(r).Fetch[1])
	require.Equal(t, "far", planner.Plan(r).Fetch[1], "two fetches are in flight")
	f.now += 1500 * time.Millisecond
	planner.Plan(r)
	require.Equal(t, []string{"near true", "near false"}, f.slow, "OnSlowChange is called once for each change")

	// The store does not count as slow if all stores are equally slow or if it has too few
	// fetches in flight.
	for _, others := range []map[string]bluebelltier.Load{
		{"near": {LargeFetches: 5, Overdue: 10 * time.Second}, "far": {LargeFetches: 6, Overdue: 9 * time.Second}},
		{"near": {LargeFetches: 1, Overdue: 2 * time.Second}, "far": {LargeFetches: 6, Overdue: time.Second}},
	} {
		f := newFixture()
		f.hold("near", "doc", 8000)
		f.others = others
		require.Equal(t, "near", f.planner().Plan(r).Fetch[1])
	}
}

// TestPlanAvoidsSlowMajority has five of nine stores become slow, with an objective of 600 ms.
// Compared with the median store, which was slow too, none counted as slow, and most calls with
// a fetch were late for as long as the links stayed slow.
func TestPlanAvoidsSlowMajority(t *testing.T) {
	f := newFixture()
	f.objective = 600 * time.Millisecond
	f.hold("near", "doc", 8000)
	f.others = map[string]bluebelltier.Load{"near": {LargeFetches: 8, Overdue: 8 * 400 * time.Millisecond}}
	for i := range 4 {
		f.others[fmt.Sprint("slow-", i)] = bluebelltier.Load{LargeFetches: 9, Overdue: 9 * 350 * time.Millisecond}
		f.others[fmt.Sprint("fast-", i)] = bluebelltier.Load{LargeFetches: 3, Overdue: 3 * 50 * time.Millisecond}
	}
	require.Empty(t, f.planner().Plan(request()).Fetch[1])
	f.objective = 2 * time.Second
	require.Equal(t, "near", f.planner().Plan(request()).Fetch[1], "a wait of 400 ms is short for this objective")
}

// OnSlowChange is free to use the planner.
func TestSlowChangeIsReportedWithoutLock(t *testing.T) {
	f := newFixture()
	f.hold("near", "doc", 8000)
	f.others = map[string]bluebelltier.Load{"near": {LargeFetches: 5, Overdue: 10 * time.Second}, "far": {LargeFetches: 4, Overdue: time.Second}}
	var planner *bluebelltier.Planner
	reported := 0
	f.onSlow = func() {
		reported++
		planner.InFlight()
	}
	planner = f.planner()
	planner.Plan(request())
	require.Equal(t, 1, reported)
}

// TestPlannersChooseTheSameStoreForBlock has several entries get the same new prompt, each
// for another endpoint. The block must take up space in one store only.
func TestPlannersChooseTheSameStoreForBlock(t *testing.T) {
	f := newFixture()
	chosen := map[string]bool{}
	for _, domain := range []string{"a", "b", "c"} {
		r := request()
		r.FailureDomain, r.HomeDomain = domain, "b"
		chosen[f.planner().Plan(r).Save[1]] = true
	}
	require.Equal(t, map[string]bool{"far": true}, chosen)
}
