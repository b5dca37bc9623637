package bluebellfeed_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// stateOf returns what an entry knows of another one.
func stateOf(e *entry, other string) bluebellfeed.EntryState {
	for _, s := range e.OtherEntries() {
		if s.Address == other {
			return s
		}
	}
	return bluebellfeed.EntryState{}
}

// An entry learns through the core processes which targets others have lost, and that they are back.
func TestEntriesLearnLostTargets(t *testing.T) {
	d := newDeployment("a/c1", "b/c2")
	d.shareLoads(t)
	e1, e2 := d.follow(t, "a/e1", "a/c1", "b/c2"), d.follow(t, "b/e2", "a/c1", "b/c2")
	e3 := d.follow(t, "b/e3", "a/c1", "b/c2")
	e2.lose("app", "llm")
	e3.lose("llm")
	eventually(t, "what others have lost is known", func() bool {
		return stateOf(e1, "b/e2").Lost("app") && stateOf(e1, "b/e2").Lost("llm") && stateOf(e1, "b/e3").Lost("llm") && stateOf(e2, "b/e3").Lost("llm")
	})
	require.False(t, stateOf(e1, "b/e3").Lost("app"))
	require.Equal(t, "b", stateOf(e1, "b/e3").FailureDomain)
	require.Zero(t, stateOf(e1, "a/e1"), "the entry itself is not among the others")
	e2.lose()
	eventually(t, "links are back", func() bool { return !stateOf(e1, "b/e2").Lost("app") && stateOf(e1, "b/e3").Lost("llm") })
}

// What others have lost must be known after the primary source has died, and while none answers the
// last state is kept.
func TestLostTargetsOutliveSources(t *testing.T) {
	d := newDeployment("a/c1", "b/c2")
	d.shareLoads(t)
	e1, e2 := d.follow(t, "a/e1", "a/c1", "b/c2"), d.follow(t, "b/e2", "a/c1", "b/c2")
	e2.lose("app")
	eventually(t, "known", func() bool { return stateOf(e1, "b/e2").Lost("app") })
	d.cores["a/c1"].down.Store(true)
	eventually(t, "the entry reports elsewhere", func() bool { return d.cores["b/c2"].polledAsPrimary("a/e1") > 0 })
	require.True(t, stateOf(e1, "b/e2").Lost("app"))
	e2.lose("llm")
	eventually(t, "changes are known again", func() bool { return stateOf(e1, "b/e2").Lost("llm") })
	d.cores["b/c2"].down.Store(true)
	time.Sleep(2 * time.Second)
	require.True(t, stateOf(e1, "b/e2").Lost("llm"))
}

// A source that has restarted names few entries at first. The others must not be forgotten at once:
// an entry without links would have nobody to turn to.
func TestEntriesOutliveRestartOfSource(t *testing.T) {
	d := newDeployment("c1")
	var restarted atomic.Bool
	d.cores["c1"].alter = func(r *pb.FollowReply) {
		if restarted.Load() {
			r.Epoch, r.Entries, r.EntriesVersion = 77, []string{"e1"}, 99
		}
	}
	e1 := d.follow(t, "e1", "c1")
	d.follow(t, "e2", "c1")
	eventually(t, "known", func() bool { return stateOf(e1, "e2").Address != "" })
	restarted.Store(true)
	polled := d.cores["c1"].polledAsPrimary("e1")
	eventually(t, "the restarted source answers", func() bool { return d.cores["c1"].polledAsPrimary("e1") > polled+2 })
	require.NotEmpty(t, stateOf(e1, "e2").Address)
}

// Processes of releases before and after this one follow each other.
func TestSourceOfEarlierReleaseNamesEntries(t *testing.T) {
	d := newDeployment("a/c1")
	d.cores["a/c1"].alter = func(r *pb.FollowReply) { r.EntryDomainNames, r.EntryDomains, r.LostTargets = nil, nil, nil }
	e1, e2 := d.follow(t, "a/e1", "a/c1"), d.follow(t, "a/e2", "a/c1")
	e2.lose("app")
	eventually(t, "known", func() bool { return stateOf(e1, "a/e2").Address != "" })
	require.Equal(t, bluebellfeed.EntryState{Address: "a/e2"}, stateOf(e1, "a/e2"))
}

// Replies that are malformed name nobody wrongly, and end no process.
func TestMalformedEntryStatesAreIgnored(t *testing.T) {
	d := newDeployment("c1")
	d.cores["c1"].alter = func(r *pb.FollowReply) {
		r.EntryDomainNames, r.EntryDomains = []string{"a"}, []uint32{7, 9}
		r.LostTargets = []*pb.LostTarget{{Target: "app"}, {Target: "llm", Entries: []byte("\x00\xff\xff\xff")}}
	}
	e1 := d.follow(t, "e1", "c1")
	d.follow(t, "e2", "c1")
	eventually(t, "known", func() bool { return stateOf(e1, "e2").Address != "" })
	require.Equal(t, bluebellfeed.EntryState{Address: "e2"}, stateOf(e1, "e2"))
}

// With 295 entries of which 200 have lost two targets, a reply to each poll grows by a few hundred
// bytes at most, and the entries are right.
func TestLostTargetsOfManyEntriesAreSmall(t *testing.T) {
	for _, size := range []struct{ entries, lost int }{{6, 3}, {295, 200}} {
		now := time.Minute
		source := bluebellfeed.NewSource(bluebellfeed.SourceConfig{
			Registry: bluebellfleet.NewRegistry(bluebellfleet.Config{Now: func() time.Duration { return now }}), Directory: bluebelldirectory.New(),
			Epoch: 1, Cores: func() []string { return []string{"c1"} }, Now: func() time.Duration { return now },
			After: func(time.Duration) <-chan time.Time {
				ended := make(chan time.Time)
				close(ended)
				return ended
			},
		})
		poll := func(i int, lost ...string) *pb.FollowReply {
			return source.Answer(context.Background(), &pb.FollowRequest{
				Process: fmt.Sprintf("10.0.%d.%d:7700", i/250, i%250), Entry: true, Primary: true, Epoch: 1, FailureDomain: fmt.Sprint("domain-", i%5), LostTargets: lost,
			})
		}
		for i := range size.entries {
			if i < size.lost {
				poll(i, "app", "llm")
			} else {
				poll(i)
			}
		}
		now += 500 * time.Millisecond
		reply := poll(0, "app", "llm")
		require.Len(t, reply.Entries, size.entries)
		require.Len(t, reply.EntryDomains, size.entries)
		known := reply.EntriesVersion
		lost := &pb.FollowReply{LostTargets: reply.LostTargets}
		require.Less(t, proto.Size(lost), 300)
		marked := 0
		for _, target := range reply.LostTargets {
			for _, b := range target.Entries {
				for ; b > 0; b &= b - 1 {
					marked++
				}
			}
		}
		require.Equal(t, 2*size.lost, marked)
		repeated := source.Answer(context.Background(), &pb.FollowRequest{Process: "10.0.0.0:7700", Entry: true, Primary: true, Epoch: 1, EntriesVersion: known, FailureDomain: "domain-0"})
		require.Empty(t, repeated.Entries)
		require.Empty(t, repeated.EntryDomains)
		require.NotEmpty(t, repeated.LostTargets)
		now += 3 * time.Second
		require.Empty(t, poll(1).LostTargets, "reports of entries that no longer poll do not count")
	}
}
