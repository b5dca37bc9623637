package bluebellroute_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellroute"
)

// deployment returns the input for a table with perTarget healthy endpoints for each
// target, distributed over the failure domains, which have vmsPerDomain VMs each.
func deployment(targets, perTarget, domains, vmsPerDomain int) bluebellroute.TableInput {
	c := &pb.Configuration{}
	view := &pb.View{Revision: 1, Configuration: c}
	health := map[string]*pb.EndpointHealth{}
	for d := range domains {
		c.FailureDomains = append(c.FailureDomains, &pb.FailureDomain{Name: fmt.Sprint("d", d)})
		for v := range vmsPerDomain {
			c.VMs = append(c.VMs, &pb.VM{Name: fmt.Sprintf("d%d-%d", d, v), FailureDomain: fmt.Sprint("d", d)})
		}
	}
	for target := range targets {
		name := fmt.Sprint("model", target)
		c.Targets = append(c.Targets, &pb.Target{Name: name, Kind: pb.Kind_Model})
		view.Versions = append(view.Versions, &pb.TargetVersion{Target: name, Version: "v1"})
		for e := range perTarget {
			endpoint := fmt.Sprintf("%s-%d", name, e)
			c.Endpoints = append(c.Endpoints, &pb.Endpoint{
				Name: endpoint, Target: name, FailureDomain: fmt.Sprint("d", e%domains), Slots: 8, ColdSlots: 2,
			})
			health[endpoint] = &pb.EndpointHealth{Endpoint: endpoint, State: pb.HealthState_Ready, Versions: []string{"v1"}, Incarnation: "i1"}
		}
	}
	return bluebellroute.TableInput{View: view, Health: health}
}

// newRouter returns a router for a VM with a table built from in.
func newRouter(vm string, in bluebellroute.TableInput) *bluebellroute.Router {
	r := bluebellroute.NewRouter(bluebellroute.Config{VM: vm, LoadBound: 1.5})
	r.SetTable(bluebellroute.BuildTable(in))
	return r
}

// newQuery returns a query for target model0 with a prompt that repeats a text to
// fill the given number of blocks.
func newQuery(customer, text string, blocks int) *bluebellroute.Query {
	prompt := []byte(strings.Repeat(text, blocks*bluebellroute.BlockSize/len(text)+1)[:blocks*bluebellroute.BlockSize])
	return &bluebellroute.Query{Target: "model0", Blocks: bluebellroute.Blocks(nil, customer, "model0", prompt)}
}

func TestUnknownPromptHasSameHomeOnAllEntries(t *testing.T) {
	in := deployment(1, 12, 3, 2)
	rapid.Check(t, func(t *rapid.T) {
		q := newQuery("a", rapid.StringMatching(`[a-z]{5,20}`).Draw(t, "text"), 3)
		var homes []string
		for _, vm := range []string{"d0-0", "d0-1", "d1-0", "d2-1"} {
			d, err := newRouter(vm, in).Pick(0, q)
			require.NoError(t, err)
			homes = append(homes, d.Endpoint.Name)
			require.Contains(t, d.Endpoint.Owners, d.Owner)
		}
		require.Equal(t, []string{homes[0], homes[0], homes[0], homes[0]}, homes)
	})
}

func TestPickPrefersEndpointWithCachedPrefix(t *testing.T) {
	r := newRouter("d0-0", deployment(1, 12, 3, 2))
	q := newQuery("a", "ledger", 4)
	first, err := r.Pick(0, q)
	require.NoError(t, err)
	r.EndpointFailed(0, first.Endpoint.Name)
	second, err := r.Pick(0, q)
	require.NoError(t, err)
	require.NotEqual(t, first.Endpoint.Name, second.Endpoint.Name)
	r.RecordAnswer(0, &second, 0, 0, 100*time.Millisecond)
	// The first endpoint is no longer suspect, but the second has the prompt cached.
	longerPrompt := newQuery("a", "ledger", 6)
	third, err := r.Pick(time.Minute, longerPrompt)
	require.NoError(t, err)
	require.Equal(t, second.Endpoint.Name, third.Endpoint.Name)
	require.Equal(t, 4, third.CachedBlocks)
	require.Equal(t, "Cached", third.Reason)
}

func TestBlocksDifferBetweenCustomers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.Byte(), 1, 9000).Draw(t, "text")
		// Customer and target of c are those of a when concatenated, but the names
		// are split at another place.
		a := bluebellroute.Blocks(nil, "north", "model", text)
		b := bluebellroute.Blocks(nil, "south", "model", text)
		c := bluebellroute.Blocks(nil, "northm", "odel", text)
		for i := range a {
			require.NotEqual(t, a[i], b[i])
			require.NotEqual(t, a[i], c[i])
		}
	})
}

func TestCacheRecordOfEarlierIncarnationIsIgnored(t *testing.T) {
	in := deployment(1, 12, 3, 2)
	r := newRouter("d0-0", in)
	q := newQuery("a", "ledger", 4)
	d, err := r.Pick(0, q)
	require.NoError(t, err)
	r.RecordAnswer(0, &d, 0, 0, time.Millisecond)
	in.Health[d.Endpoint.Name].Incarnation = "i2"
	r.SetTable(bluebellroute.BuildTable(in))
	d, err = r.Pick(0, q)
	require.NoError(t, err)
	require.Zero(t, d.CachedBlocks)
}

func TestPickSkipsUnusableEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := deployment(1, 12, 3, 2)
		in.View.FailureDomainsOut = []string{rapid.SampledFrom([]string{"d0", "d1", "d2"}).Draw(t, "out")}
		in.View.EndpointsDrained = []string{"model0-1"}
		in.Health["model0-2"].State = pb.HealthState_Leaving
		delete(in.Health, "model0-3")
		r := newRouter("d0-0", in)
		d, err := r.Pick(0, newQuery("a", rapid.StringMatching(`[a-z]{5,20}`).Draw(t, "text"), 2))
		require.NoError(t, err)
		require.NotEqual(t, in.View.FailureDomainsOut[0], d.Endpoint.FailureDomain)
		require.NotContains(t, []string{"model0-1", "model0-2", "model0-3"}, d.Endpoint.Name)
	})
}

// TestSlotSharesSumToSlots checks that the owners of an endpoint together use exactly
// its slots, for any numbers of VMs and slots.
func TestSlotSharesSumToSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{3}`), 1, 8, rapid.ID).Draw(t, "vms")
		slots := rapid.IntRange(0, 9).Draw(t, "slots")
		e := &bluebellroute.Endpoint{Owners: bluebellroute.ChooseOwners("endpoint", vms)}
		total := 0
		for _, vm := range vms {
			total += e.SlotShare(vm, slots)
		}
		require.Equal(t, slots, total)
	})
}

// TestNewVersionGetsItsShareOfRequests checks the number of requests that the new
// version of a move gets, with a few prompts that repeat often and with many.
func TestNewVersionGetsItsShareOfRequests(t *testing.T) {
	for _, prompts := range []int{3, 500} {
		for _, share := range []float64{0.02, 0.3, 0.8, 1} {
			in := deployment(1, 12, 3, 2)
			for _, h := range in.Health {
				h.Versions = []string{"v1", "v2"}
			}
			in.View.Moves = []*pb.Move{{Target: "model0", FromVersion: "v1", ToVersion: "v2", Phase: pb.Phase_Ramping, Share: share}}
			r := newRouter("d0-0", in)
			moved := 0
			const requests = 2000
			for i := range requests {
				d, err := r.Pick(0, newQuery("a", fmt.Sprintf("prompt%d,", i%prompts), 2))
				require.NoError(t, err)
				if d.Version == "v2" {
					moved++
				}
				r.RecordAnswer(0, &d, 0, 0, 0)
			}
			require.InDelta(t, share*requests, moved, 5, "%d prompts, share %v", prompts, share)
		}
	}
}

func TestStoppedVersionGetsNoRequests(t *testing.T) {
	in := deployment(1, 4, 2, 2)
	for _, h := range in.Health {
		h.Versions = []string{"v1", "v2"}
	}
	in.View.Moves = []*pb.Move{{Target: "model0", FromVersion: "v1", ToVersion: "v2", Phase: pb.Phase_Ramping, Share: 1}}
	in.VersionStopped = func(*pb.Move) bool { return true }
	r := newRouter("d0-0", in)
	for i := range 50 {
		d, err := r.Pick(0, newQuery("a", fmt.Sprint("prompt", i), 1))
		require.NoError(t, err)
		require.Equal(t, "v1", d.Version)
	}
}

// BenchmarkPick picks endpoints in deployments up to and above the size that the
// router is designed for: 17 targets with 920 endpoints.
func BenchmarkPick(b *testing.B) {
	for _, size := range []struct{ targets, perTarget int }{{17, 14}, {17, 27}, {17, 54}, {17, 108}} {
		b.Run(fmt.Sprintf("Endpoints%d", size.targets*size.perTarget), func(b *testing.B) {
			r := newRouter("d0-0", deployment(size.targets, size.perTarget, 7, 48))
			queries := make([]*bluebellroute.Query, 64)
			for i := range queries {
				queries[i] = newQuery(fmt.Sprint("customer", i), "a long harvest ledger ", 8)
				if d, err := r.Pick(0, queries[i]); err == nil && i%2 == 0 {
					r.RecordAnswer(0, &d, 0, 0, time.Millisecond)
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := r.Pick(0, queries[i%len(queries)]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkBuildTable builds a table of the size that the router is designed for, as
// each change of the view does.
func BenchmarkBuildTable(b *testing.B) {
	in := deployment(17, 54, 7, 48)
	b.ReportAllocs()
	for b.Loop() {
		bluebellroute.BuildTable(in)
	}
}

// BenchmarkBlocks computes the blocks of a long prompt.
func BenchmarkBlocks(b *testing.B) {
	prompt := make([]byte, 100_000)
	blocks := make([]bluebellroute.Block, 0, 32)
	b.SetBytes(int64(len(prompt)))
	for b.Loop() {
		blocks = bluebellroute.Blocks(blocks[:0], "customer", "model", prompt)
	}
}

// BenchmarkMemory measures the memory of a router with a full index of cached blocks.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := newRouter("d0-0", deployment(17, 54, 7, 48))
		for i := range 40_000 {
			q := newQuery(fmt.Sprint("customer", i), "prompt", 8)
			d, err := r.Pick(0, q)
			require.NoError(b, err)
			r.RecordAnswer(0, &d, 0, 0, 0)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(r)
	}
}

// TestRecentBlocksCountsOnlyRecentlyRunBlocks checks that neither expected blocks nor
// blocks run long ago count as certainly cached. The endpoint may lack those without
// having lost its memory.
func TestRecentBlocksCountsOnlyRecentlyRunBlocks(t *testing.T) {
	r := newRouter("d0-0", deployment(1, 12, 3, 2))
	q := newQuery("a", "ledger", 4)
	d, err := r.Pick(0, q)
	require.NoError(t, err)
	require.Zero(t, r.RecentBlocks(0, &d), "no block has run yet")
	r.RecordAnswer(0, &d, 0, 0, 0)
	require.Equal(t, 4, r.RecentBlocks(time.Second, &d))
	require.Zero(t, r.RecentBlocks(time.Minute, &d), "the blocks may have been evicted since")
}
