package bluebellsync_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellsync"
)

// newHub returns a hub whose state is stale for the given time.
func newHub(vm string, staleFor time.Duration) *bluebellsync.Hub {
	return bluebellsync.NewHub(bluebellsync.HubConfig{
		VM: vm, WallClock: func() time.Time { return time.Unix(1000, 0) }, After: time.After,
		StaleFor: func() time.Duration { return staleFor },
	})
}

// view returns a view whose configuration has the configuration revision as its name.
func view(revision, configuration uint64) *pb.View {
	return &pb.View{Revision: revision, ConfigurationRevision: configuration, Configuration: &pb.Configuration{Name: fmt.Sprint(configuration)}}
}

// TestRevisionNeverDecreases applies views in any order, with and without a configuration.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hub := newHub("a", 0)
		latest := uint64(0)
		for range 30 {
			configuration := rapid.Uint64Range(1, 5).Draw(t, "configuration")
			v := view(rapid.Uint64Range(configuration, 30).Draw(t, "revision"), configuration)
			if rapid.Bool().Draw(t, "delta") {
				v.Configuration = nil
			}
			hub.ApplyView(v)
			current := hub.View()
			require.GreaterOrEqual(t, current.Revision, latest)
			latest = current.Revision
			if latest > 0 {
				require.Equal(t, fmt.Sprint(current.ConfigurationRevision), current.Configuration.Name)
			}
		}
	})
}

// TestReplyOmitsKnownConfigurationAndHealth checks that a reply leaves out the configuration
// that the follower has, and the health reports that it was sent.
func TestReplyOmitsKnownConfigurationAndHealth(t *testing.T) {
	hub := newHub("a", 0)
	hub.ApplyView(view(1, 1))
	hub.MergeHealth([]*pb.EndpointHealth{{Endpoint: "e1", ObservedAt: 1}})
	first := hub.HandleWatch(context.Background(), &pb.WatchRequest{VM: "b"})
	require.NotNil(t, first.View.Configuration)
	require.Len(t, first.Health, 1)

	hub.ApplyView(view(2, 1))
	hub.MergeHealth([]*pb.EndpointHealth{{Endpoint: "e2", ObservedAt: 1}, {Endpoint: "e1", ObservedAt: 1}})
	next := hub.HandleWatch(context.Background(), &pb.WatchRequest{
		VM: "b", Revision: 1, ConfigurationRevision: 1, HealthCursor: first.HealthCursor, HealthEpoch: first.HealthEpoch,
	})
	require.Equal(t, uint64(2), next.View.Revision)
	require.Nil(t, next.View.Configuration)
	require.Len(t, next.Health, 1)
	require.Equal(t, "e2", next.Health[0].Endpoint)

	// A cursor from another epoch, that of an earlier process, is ignored.
	again := hub.HandleWatch(context.Background(), &pb.WatchRequest{VM: "b", Revision: 2, ConfigurationRevision: 1, HealthCursor: 99, HealthEpoch: 5})
	require.Len(t, again.Health, 2)
	require.Nil(t, again.View)
}

// TestLongPollEndsWhenViewChanges checks that a long poll ends at a newer view, before its
// wait of an hour is over.
func TestLongPollEndsWhenViewChanges(t *testing.T) {
	hub := newHub("a", 0)
	hub.ApplyView(view(1, 1))
	answered := make(chan *pb.WatchReply)
	go func() {
		answered <- hub.HandleWatch(context.Background(), &pb.WatchRequest{VM: "b", Revision: 1, ConfigurationRevision: 1, Wait: durationpb.New(time.Hour)})
	}()
	_, changed := hub.Snapshot()
	hub.ApplyView(view(2, 1))
	<-changed
	require.Equal(t, uint64(2), (<-answered).View.Revision)
}

// TestFirstSourcesFormTree follows the first sources from each node to a voter, and checks the
// depth and the number of children of each node.
func TestFirstSourcesFormTree(t *testing.T) {
	for _, size := range []int{1, 2, 9, 49} {
		var neighbours []string
		for i := range size {
			neighbours = append(neighbours, fmt.Sprint("vm", i))
		}
		voters := []string{"vm0", "other1", "other2"}
		children := map[string]int{}
		for _, vm := range neighbours {
			node, hops := vm, 0
			for node != "vm0" {
				node = bluebellsync.Sources(node, neighbours, voters)[0]
				hops++
				require.LessOrEqual(t, hops, 3)
			}
			sources := bluebellsync.Sources(vm, neighbours, voters)
			require.NotContains(t, sources, vm)
			require.Subset(t, append(sources, vm), voters)
			if vm != "vm0" {
				children[sources[0]]++
			}
		}
		for vm, n := range children {
			require.LessOrEqual(t, n, 8, vm)
		}
	}
}

// TestFollowerSkipsStaleSource follows two sources, of which the preferred one is stale.
func TestFollowerSkipsStaleSource(t *testing.T) {
	stale, fresh := newHub("stale", time.Minute), newHub("fresh", 0)
	stale.ApplyView(view(3, 1))
	fresh.ApplyView(view(7, 1))
	hubs := map[string]*bluebellsync.Hub{"stale": stale, "fresh": fresh}
	own := newHub("own", 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	follower := bluebellsync.NewFollower(bluebellsync.FollowerConfig{
		Hub: own, Sources: func() []string { return []string{"stale", "fresh"} }, AcceptsViews: func() bool { return true },
		Watch: func(ctx context.Context, source string, r *pb.WatchRequest) (*pb.WatchReply, error) {
			return hubs[source].HandleWatch(ctx, r), nil
		},
		Now: func() time.Duration { return time.Second }, Sleep: func(context.Context, time.Duration) {},
		Logger: log.New(io.Discard),
	})
	ended := make(chan struct{})
	go func() {
		follower.Run(ctx)
		close(ended)
	}()
	for {
		snapshot, changed := own.Snapshot()
		// A node that has just started does not apply a view from a stale source.
		require.NotEqual(t, uint64(3), snapshot.View.Revision)
		if snapshot.View.Revision == 7 {
			break
		}
		<-changed
	}
	cancel()
	<-ended
}

// TestEvidenceSums adds up the counts of followers, with a poll that is repeated after a
// lost reply, a restart, and a follower whose counts another VM has already added.
func TestEvidenceSums(t *testing.T) {
	hub := newHub("root", 0)
	hub.ApplyView(&pb.View{Revision: 1, Moves: []*pb.Move{{Target: "notes", Phase: pb.Phase_Canary}}})
	poll := func(vm string, startedAt int64, good, failed uint64) {
		hub.HandleWatch(context.Background(), &pb.WatchRequest{VM: vm, Revision: 1, Evidence: []*pb.Evidence{
			{VM: vm, StartedAt: startedAt, Target: "notes", Version: "v2", Route: "/r", Good: good, Failed: failed},
		}})
	}
	total := func() (good, failed uint64) {
		snapshot, _ := hub.Snapshot()
		require.Len(t, snapshot.Evidence, 1)
		return snapshot.Evidence[0].Good, snapshot.Evidence[0].Failed
	}
	hub.SetEvidence([]*pb.Evidence{{StartedAt: 1, Target: "notes", Version: "v2", Route: "/r", Good: 5}})
	// The first counts of a new follower are not added, since another VM has added them.
	poll("a", 1, 100, 10)
	poll("a", 1, 103, 11)
	poll("a", 1, 103, 11)
	good, failed := total()
	require.Equal(t, []uint64{8, 1}, []uint64{good, failed})
	// A follower that has restarted counts from 0.
	poll("a", 2, 4, 0)
	good, failed = total()
	require.Equal(t, []uint64{12, 1}, []uint64{good, failed})
	// Counts of a target without an active move are deleted.
	hub.ApplyView(&pb.View{Revision: 2, Moves: []*pb.Move{{Target: "notes", Phase: pb.Phase_Done}}})
	hub.SetEvidence(nil)
	snapshot, _ := hub.Snapshot()
	require.Empty(t, snapshot.Evidence)
}

// configuration draws a configuration with customers and endpoints, sorted by name.
func configuration(t *rapid.T, label string) *pb.Configuration {
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-e]{1,2}`), 0, 12, rapid.ID).Draw(t, label)
	slices.Sort(names)
	c := &pb.Configuration{Name: label, Policy: &pb.Policy{QueueLimit: rapid.Uint32Max(3).Draw(t, label+" queue")}}
	for _, name := range names {
		c.Customers = append(c.Customers, &pb.Customer{Name: name, Share: rapid.Uint32Range(1, 3).Draw(t, label+" share")})
		c.Endpoints = append(c.Endpoints, &pb.Endpoint{Name: name, Slots: rapid.Uint32Range(1, 3).Draw(t, label+" slots")})
	}
	return c
}

// TestPatchedConfigurationEqualsSource updates a follower that is any number of configurations
// behind its source.
func TestPatchedConfigurationEqualsSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := newHub("source", 0), newHub("follower", 0)
		patched := 0
		for revision := uint64(1); revision < 20; revision++ {
			source.ApplyView(&pb.View{Revision: revision, ConfigurationRevision: revision, Configuration: configuration(t, fmt.Sprint("c", revision))})
			if rapid.IntRange(0, 3).Draw(t, "polls") == 0 {
				continue
			}
			current := follower.View()
			reply := source.HandleWatch(context.Background(), &pb.WatchRequest{VM: "f", Revision: current.Revision, ConfigurationRevision: current.ConfigurationRevision})
			if reply.Patch == nil {
				follower.ApplyView(reply.View)
			} else {
				patched++
				require.Nil(t, reply.View.Configuration)
				require.NoError(t, follower.ApplyViewPatch(reply.View, reply.Patch))
			}
			require.True(t, proto.Equal(source.View(), follower.View()))
		}
		if patched == 0 {
			t.Skip("no patch was drawn")
		}
	})
}

// TestInvalidPatchIsRejected checks that a damaged patch, and one with another base revision,
// leave the view unchanged.
func TestInvalidPatchIsRejected(t *testing.T) {
	source, follower := newHub("source", 0), newHub("follower", 0)
	for _, h := range []*bluebellsync.Hub{source, follower} {
		h.ApplyView(view(1, 1))
	}
	source.ApplyView(view(2, 2))
	reply := source.HandleWatch(context.Background(), &pb.WatchRequest{VM: "f", Revision: 1, ConfigurationRevision: 1})
	damaged := proto.CloneOf(reply.Patch)
	damaged.Customers = append(damaged.Customers, &pb.Customer{Name: "stranger"})
	require.Error(t, follower.ApplyViewPatch(reply.View, damaged))
	wrongBase := proto.CloneOf(reply.Patch)
	wrongBase.BaseRevision = 7
	require.Error(t, follower.ApplyViewPatch(reply.View, wrongBase))
	require.Equal(t, uint64(1), follower.View().Revision)
	require.NoError(t, follower.ApplyViewPatch(reply.View, reply.Patch))
	require.Equal(t, uint64(2), follower.View().Revision)
}

// BenchmarkPatch measures a change of one customer at the size that the system is designed
// for: 18,000 customers, 920 endpoints and 340 VMs. It reports the size of the reply and the
// time to make and apply its patch.
func BenchmarkPatch(b *testing.B) {
	newLargeConfiguration := func(share uint32) *pb.Configuration {
		c := &pb.Configuration{Name: "large"}
		for i := range 18_000 {
			c.Customers = append(c.Customers, &pb.Customer{Name: fmt.Sprintf("customer-%05d", i), KeyHash: fmt.Sprintf("%064d", i), Share: 1})
		}
		for i := range 920 {
			c.Endpoints = append(c.Endpoints, &pb.Endpoint{Name: fmt.Sprintf("endpoint-%03d", i), FailureDomain: "d", Target: "model", Address: "10.0.0.1:9000", Slots: 8, ColdSlots: 2})
		}
		for i := range 340 {
			c.VMs = append(c.VMs, &pb.VM{Name: fmt.Sprint("vm-", i), FailureDomain: "d", Address: "10.0.0.1", CallerPort: 8080, PeerPort: 8081})
		}
		c.Customers[77].Share = share
		return c
	}
	size, elapsed := 0, time.Duration(0)
	for b.Loop() {
		source, follower := newHub("source", 0), newHub("follower", 0)
		for _, h := range []*bluebellsync.Hub{source, follower} {
			h.ApplyView(&pb.View{Revision: 1, ConfigurationRevision: 1, Configuration: newLargeConfiguration(1)})
		}
		source.ApplyView(&pb.View{Revision: 2, ConfigurationRevision: 2, Configuration: newLargeConfiguration(2)})
		startedAt := time.Now()
		reply := source.HandleWatch(context.Background(), &pb.WatchRequest{VM: "f", Revision: 1, ConfigurationRevision: 1})
		size = proto.Size(reply)
		require.NoError(b, follower.ApplyViewPatch(reply.View, reply.Patch))
		elapsed = time.Since(startedAt)
	}
	b.ReportMetric(float64(size)/1e3, "KB")
	b.ReportMetric(elapsed.Seconds()*1e3, "ms-made-and-applied")
}
