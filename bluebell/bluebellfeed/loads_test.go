package bluebellfeed_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// With 295 entries and 240 endpoints, an entry that received all sums, all entries and all
// heartbeats from three sources got 190 kB/s, and a core process spent more than its processor
// share on polls. An entry reports to one primary source, in its own failure domain.
func TestEntryHasPrimarySourceInItsDomain(t *testing.T) {
	d := newDeployment("a/c1", "b/c2", "b/c3")
	d.shareLoads(t)
	near := d.follow(t, "b/e1", "a/c1", "b/c2")
	far := d.follow(t, "a/e2", "a/c1", "b/c2")
	eventually(t, "each learns what the other has in flight, through two core processes", func() bool {
		return callsAt(near, "i-1") == 1 && callsAt(far, "i-1") == 1
	})
	eventually(t, "limits are shared by the entries of all core processes", func() bool {
		return slices.Equal([]string{"a/e2", "b/e1"}, near.Entries())
	})
	primaryPolls := func(name string) bool { return d.cores[name].primaryPolls.Load() > 0 }
	require.True(t, primaryPolls("b/c2") || primaryPolls("b/c3"))
	require.Zero(t, d.cores["a/c1"].polledAsPrimary("b/e1"), "the entry reports to no core process of another domain")
}

// When its primary source dies, an entry has to find another one and learn the calls of the other
// entries from it.
func TestEntryChangesPrimarySourceWhenItDies(t *testing.T) {
	d := newDeployment("a/c1", "b/c2")
	d.shareLoads(t)
	e1 := d.follow(t, "a/e1", "a/c1", "b/c2")
	d.follow(t, "b/e2", "a/c1", "b/c2")
	eventually(t, "the other's calls are known", func() bool { return callsAt(e1, "i-1") == 1 })
	d.cores["a/c1"].down.Store(true)
	eventually(t, "the entry reports elsewhere", func() bool { return d.cores["b/c2"].polledAsPrimary("a/e1") > 0 })
	eventually(t, "the other's calls are known again", func() bool { return callsAt(e1, "i-1") == 1 })
}

// callsAt returns the calls of other entries at an endpoint that an entry knows.
func callsAt(e *entry, endpoint string) int {
	for _, u := range e.UsesOfOthers() {
		if u.Endpoint == endpoint {
			return u.Calls
		}
	}
	return 0
}

func register(c *core, id string, sequence uint64, at time.Duration) {
	c.registry.Merge(bluebellfleet.Endpoint{ID: id, Target: "llm", State: bluebellfleet.Serving, StartUnixMillis: 1, Sequence: sequence, ReceivedAt: at})
}

// The heartbeats of 245 endpoints were half of what an entry received.
func TestHeartbeatsAreNotSentToEntries(t *testing.T) {
	d := newDeployment("c1")
	c := d.cores["c1"]
	register(c, "i-1", 1, d.now())
	first := c.Answer(context.Background(), &pb.FollowRequest{Process: "e1", Entry: true})
	require.Len(t, first.Registrations, 1)
	register(c, "i-1", 2, d.now())
	poll := func(entry bool) *pb.FollowReply {
		return c.Answer(context.Background(), &pb.FollowRequest{
			Process: "p", Entry: entry, Epoch: first.Epoch, Cursor: first.Cursor, Wait: durationpb.New(time.Millisecond),
		})
	}
	require.Empty(t, poll(true).Registrations)
	require.Len(t, poll(false).Registrations, 1, "core processes receive each heartbeat")
}

// Entries must still learn that the registrations of an endpoint have stopped, or that an
// endpoint whose connections failed has registered since.
func TestEntriesLearnRegistrationAges(t *testing.T) {
	d := newDeployment("c1")
	c := d.cores["c1"]
	register(c, "i-1", 1, d.now()) // reported as failing by no entry
	register(c, "i-2", 1, d.now()) // reported as failing by each entry
	register(c, "i-3", 1, d.now()-time.Minute)
	e := d.follow(t, "e1", "c1")
	eventually(t, "silence is known", func() bool { return len(e.SilentSince()) == 1 })
	require.InDelta(t, (d.now() - time.Minute).Seconds(), e.SilentSince()["i-3"].Seconds(), timeout.Seconds())
	registered := d.now()
	register(c, "i-2", 2, registered)
	eventually(t, "the later registration of the failing endpoint is known", func() bool {
		known, _ := e.registry.Endpoint("i-2")
		return known.ReceivedAt >= registered-5*time.Millisecond
	})
	register(c, "i-3", 2, d.now())
	eventually(t, "the silence has ended", func() bool { return len(e.SilentSince()) == 0 })
}

// A table whose columns do not fit each other must neither be applied nor end the process.
func TestMalformedLoadsAreIgnored(t *testing.T) {
	d := newDeployment("c1")
	malformed, err := proto.Marshal(&pb.UseTable{Names: []uint32{0, 7}, Calls: []uint32{1}})
	require.NoError(t, err)
	badLimits, err := proto.Marshal(&pb.UseTable{LimitRows: []uint32{5}, LimitThousandths: []uint64{3}, LimitMillis: []uint32{1}})
	require.NoError(t, err)
	badBrittle, err := proto.Marshal(&pb.UseTable{BrittleRows: []uint32{0}, BrittleThousandths: []uint64{3}})
	require.NoError(t, err)
	badPriorities, err := proto.Marshal(&pb.UseTable{PriorityRows: []uint32{0}, PriorityCount: 3, PriorityUnread: []uint64{1, 2}})
	require.NoError(t, err)
	badPriorityRow, err := proto.Marshal(&pb.UseTable{PriorityRows: []uint32{4}, PriorityCount: 1, PriorityUnread: []uint64{1}})
	require.NoError(t, err)
	badReports, err := proto.Marshal(&pb.UseTable{ReportRows: []uint32{0}, ReportRunning: []uint32{3}})
	require.NoError(t, err)
	badSpeeds, err := proto.Marshal(&pb.UseTable{RateRows: []uint32{2}, PrefillRates: []uint32{3}, PrefillCalls: []uint32{1}})
	require.NoError(t, err)
	for _, uses := range [][]byte{malformed, []byte("\xff\xff\xff"), append(malformed, 0x0a), badLimits, badBrittle, badPriorities, badPriorityRow, badReports, badSpeeds} {
		d.cores["c1"].alter = func(r *pb.FollowReply) { r.Uses = uses }
		e := d.follow(t, "e1", "c1")
		eventually(t, "the source answers", func() bool { return e.FreshSources() == 1 && d.cores["c1"].polledAsPrimary("e1") > 1 })
		require.Empty(t, e.UsesOfOthers())
	}
}

// BenchmarkReply measures the reply of a core process to one poll of an entry, at the numbers
// of entries and endpoints of the deployments, each entry using 25 endpoints.
func BenchmarkReply(b *testing.B) {
	for _, size := range [][2]int{{75, 90}, {295, 240}, {340, 920}} {
		entries, endpoints := size[0], size[1]
		b.Run(fmt.Sprintf("%dx%d", entries, endpoints), func(b *testing.B) {
			now := time.Minute
			source := bluebellfeed.NewSource(bluebellfeed.SourceConfig{
				Registry: bluebellfleet.NewRegistry(bluebellfleet.Config{Now: func() time.Duration { return now }}), Directory: bluebelldirectory.New(),
				Epoch: 1, Cores: func() []string { return []string{"c1", "c2", "c3", "c4", "c5"} }, Now: func() time.Duration { return now },
				After: func(time.Duration) <-chan time.Time {
					ended := make(chan time.Time)
					close(ended)
					return ended
				},
			})
			requests := make([]*pb.FollowRequest, entries)
			for i := range requests {
				r := &pb.FollowRequest{Process: fmt.Sprintf("10.0.%d.%d:7700", i/250, i%250), Entry: true, Primary: true}
				for j := range 25 {
					r.Uses = append(r.Uses, &pb.EndpointUse{
						Endpoint: fmt.Sprintf("i-%08x", (i*37+j*11)%endpoints), Calls: 1, Tokens: 12_000, Unread: 3000, AnsweredAgo: durationpb.New(time.Second),
					})
				}
				requests[i] = r
				first := source.Answer(context.Background(), r)
				r.Epoch, r.KnownNames, r.EntriesVersion = first.Epoch, uint32(endpoints), first.EntriesVersion
			}
			now += time.Second
			requests[0].EntriesVersion = source.Answer(context.Background(), requests[0]).EntriesVersion
			for _, r := range requests {
				r.EntriesVersion = requests[0].EntriesVersion
			}
			size, i := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				// The entries poll five times a second, evenly.
				now += 200 * time.Millisecond / time.Duration(entries)
				requests[i%entries].Report++
				reply := source.Answer(context.Background(), requests[i%entries])
				encoded, err := proto.Marshal(reply)
				require.NoError(b, err)
				size += len(encoded)
				i++
			}
			b.ReportMetric(float64(size)/float64(i), "reply-bytes")
		})
	}
}
