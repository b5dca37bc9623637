package bluebellsync_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellsync"
)

func newHub(vm string, stale time.Duration) *bluebellsync.Hub {
	return bluebellsync.NewHub(bluebellsync.HubConfig{
		VM: vm, WallClock: func() time.Time { return time.Unix(1000, 0) }, After: time.After,
		StaleFor: func() time.Duration { return stale },
	})
}

func view(revision, configuration uint64) *pb.View {
	return &pb.View{Revision: revision, ConfigurationRevision: configuration, Configuration: &pb.Configuration{Name: fmt.Sprint(configuration)}}
}

// TestNoSourceTakesARevisionBack offers views in any order, whole and as deltas.
func TestNoSourceTakesARevisionBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hub := newHub("a", 0)
		latest := uint64(0)
		for range 30 {
			configuration := rapid.Uint64Range(1, 5).Draw(t, "configuration")
			v := view(rapid.Uint64Range(configuration, 30).Draw(t, "revision"), configuration)
			if rapid.Bool().Draw(t, "delta") {
				v.Configuration = nil
			}
			hub.Offer(v)
			now := hub.View()
			require.GreaterOrEqual(t, now.Revision, latest)
			latest = now.Revision
			if latest > 0 {
				require.Equal(t, fmt.Sprint(now.ConfigurationRevision), now.Configuration.Name)
			}
		}
	})
}

// TestAFollowerGetsOnlyWhatIsNew leaves out the configuration that it has, and
// health that it was sent.
func TestAFollowerGetsOnlyWhatIsNew(t *testing.T) {
	hub := newHub("a", 0)
	hub.Offer(view(1, 1))
	hub.Report([]*pb.EndpointHealth{{Endpoint: "e1", ObservedAt: 1}})
	first := hub.Answer(context.Background(), &pb.WatchRequest{VM: "b"})
	require.NotNil(t, first.View.Configuration)
	require.Len(t, first.Health, 1)

	hub.Offer(view(2, 1))
	hub.Report([]*pb.EndpointHealth{{Endpoint: "e2", ObservedAt: 1}, {Endpoint: "e1", ObservedAt: 1}})
	next := hub.Answer(context.Background(), &pb.WatchRequest{
		VM: "b", Revision: 1, ConfigurationRevision: 1, HealthCursor: first.HealthCursor, HealthEpoch: first.HealthEpoch,
	})
	require.Equal(t, uint64(2), next.View.Revision)
	require.Nil(t, next.View.Configuration)
	require.Len(t, next.Health, 1)
	require.Equal(t, "e2", next.Health[0].Endpoint)

	// A cursor of an earlier process is worth nothing.
	again := hub.Answer(context.Background(), &pb.WatchRequest{VM: "b", Revision: 2, ConfigurationRevision: 1, HealthCursor: 99, HealthEpoch: 5})
	require.Len(t, again.Health, 2)
	require.Nil(t, again.View)
}

// TestALongPollEndsWithNews waits for an event, not for a time.
func TestALongPollEndsWithNews(t *testing.T) {
	hub := newHub("a", 0)
	hub.Offer(view(1, 1))
	answered := make(chan *pb.WatchReply)
	go func() {
		answered <- hub.Answer(context.Background(), &pb.WatchRequest{VM: "b", Revision: 1, ConfigurationRevision: 1, Wait: durationpb.New(time.Hour)})
	}()
	_, changed := hub.News()
	hub.Offer(view(2, 1))
	<-changed
	require.Equal(t, uint64(2), (<-answered).View.Revision)
}

// TestTheTreeReachesAll walks from every node over its first source to a voter, and
// bounds the children of each node.
func TestTheTreeReachesAll(t *testing.T) {
	for _, size := range []int{1, 2, 9, 49} {
		var neighbours []string
		for i := range size {
			neighbours = append(neighbours, fmt.Sprint("vm", i))
		}
		voters := []string{"vm0", "other1", "other2"}
		children := map[string]int{}
		for _, vm := range neighbours {
			at, hops := vm, 0
			for at != "vm0" {
				at = bluebellsync.Sources(at, neighbours, voters)[0]
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

// TestAStaleSourceIsPassedOver follows two sources of which the preferred one has
// heard nothing lately.
func TestAStaleSourceIsPassedOver(t *testing.T) {
	stale, fresh := newHub("stale", time.Minute), newHub("fresh", 0)
	stale.Offer(view(3, 1))
	fresh.Offer(view(7, 1))
	hubs := map[string]*bluebellsync.Hub{"stale": stale, "fresh": fresh}
	own := newHub("own", 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	follower := bluebellsync.NewFollower(bluebellsync.FollowConfig{
		Hub: own, Sources: func() []string { return []string{"stale", "fresh"} }, TakeViews: func() bool { return true },
		Watch: func(ctx context.Context, source string, r *pb.WatchRequest) (*pb.WatchReply, error) {
			return hubs[source].Answer(ctx, r), nil
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
		news, changed := own.News()
		// A node that has just started takes nothing from a stale source.
		require.NotEqual(t, uint64(3), news.View.Revision)
		if news.View.Revision == 7 {
			break
		}
		<-changed
	}
	cancel()
	<-ended
}

// TestEvidenceAddsUp sends counts of followers up, with lost polls, restarts and
// followers that come from elsewhere.
func TestEvidenceAddsUp(t *testing.T) {
	hub := newHub("root", 0)
	hub.Offer(&pb.View{Revision: 1, Moves: []*pb.Move{{Target: "notes", Phase: pb.Phase_Canary}}})
	poll := func(vm string, startedAt int64, good, failed uint64) {
		hub.Answer(context.Background(), &pb.WatchRequest{VM: vm, Revision: 1, Evidence: []*pb.Evidence{
			{VM: vm, StartedAt: startedAt, Target: "notes", Version: "v2", Route: "/r", Good: good, Failed: failed},
		}})
	}
	total := func() (good, failed uint64) {
		news, _ := hub.News()
		require.Len(t, news.Evidence, 1)
		return news.Evidence[0].Good, news.Evidence[0].Failed
	}
	hub.SetEvidence([]*pb.Evidence{{StartedAt: 1, Target: "notes", Version: "v2", Route: "/r", Good: 5}})
	// A follower that is new here brings what was added up elsewhere.
	poll("a", 1, 100, 10)
	poll("a", 1, 103, 11)
	poll("a", 1, 103, 11)
	good, failed := total()
	require.Equal(t, []uint64{8, 1}, []uint64{good, failed})
	// After a restart it counts from nothing.
	poll("a", 2, 4, 0)
	good, failed = total()
	require.Equal(t, []uint64{12, 1}, []uint64{good, failed})
	// What is not part of a move is forgotten.
	hub.Offer(&pb.View{Revision: 2, Moves: []*pb.Move{{Target: "notes", Phase: pb.Phase_Done}}})
	hub.SetEvidence(nil)
	news, _ := hub.News()
	require.Empty(t, news.Evidence)
}
