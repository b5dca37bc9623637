package bluebellfeed_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellusage"
)

// usageWindow is longer than the test, so that only changes of counts are reported.
const usageWindow = time.Hour

// usageCore is a core process with the usage that entries have reported to it. It can be restarted.
type usageCore struct {
	mu      sync.Mutex
	source  *bluebellfeed.Source
	totals  *bluebellusage.Totals
	reports int
}

// restart gives the core process the state of a new one.
func (c *usageCore) restart(epoch uint64) {
	started := time.Now()
	now := func() time.Duration { return time.Since(started) + time.Second }
	totals := bluebellusage.NewTotals(usageWindow)
	source := bluebellfeed.NewSource(bluebellfeed.SourceConfig{
		Registry: bluebellfleet.NewRegistry(bluebellfleet.Config{Now: now}), Directory: bluebelldirectory.New(), Epoch: epoch,
		Cores: func() []string { return nil }, Now: now, After: time.After, WallClock: time.Now,
		RecordUsage: func(entry string, r *pb.UsageReport) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.reports++
			totals.Record(time.Now(), entry, r)
		},
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source, c.totals = source, totals
}

func (c *usageCore) poll(ctx context.Context, r *pb.FollowRequest) (*pb.FollowReply, error) {
	c.mu.Lock()
	source := c.source
	c.mu.Unlock()
	return source.Answer(ctx, r), nil
}

// runs returns the runs of customer a that were reported.
func (c *usageCore) runs() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := bluebellusage.At(time.Now(), usageWindow)
	sum := uint64(0)
	for _, window := range []int64{w - 1, w} {
		for _, n := range bluebellusage.Merge(c.totals.Collect([]int64{window})).Usage(window).Counts {
			sum += n
		}
	}
	return sum
}

func (c *usageCore) reported() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reports
}

// Guards against counts that reach the primary source only, against counts that a core process lacks after its
// restart, and against reports without changes, which cross failure domains for nothing.
func TestUsageIsReportedToAllSources(t *testing.T) {
	names := []string{"c1", "c2", "c3"}
	cores := map[string]*usageCore{}
	for i, name := range names {
		cores[name] = &usageCore{}
		cores[name].restart(uint64(i + 1))
	}
	counter := bluebellusage.NewCounter(bluebellusage.CounterConfig{Window: usageWindow, Incarnation: 1})
	clock := bluebellusage.NewClock()
	started := time.Now()
	now := func() time.Duration { return time.Since(started) + time.Second }
	var mu sync.Mutex
	stated := map[string]bool{}
	f := bluebellfeed.NewFollower(bluebellfeed.FollowerConfig{
		Process: "e1", Entry: true, Seeds: func() []string { return names }, MaxSources: 3,
		Registry: bluebellfleet.NewRegistry(bluebellfleet.Config{Now: now}), Now: now, Logger: log.New(io.Discard),
		Usage: func(since bluebellusage.Cursor) (*pb.UsageReport, bluebellusage.Cursor) {
			return counter.Report(time.Now(), since)
		},
		UsageWindowEnd: func() time.Duration { return counter.UntilEnd(time.Now()) },
		OnTime: func(source string, unixNanos int64, requestedAt, repliedAt time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			stated[source] = unixNanos > 0
			clock.Observe(source, unixNanos, requestedAt, repliedAt)
		},
		Poll: func(ctx context.Context, source string, r *pb.FollowRequest) (*pb.FollowReply, error) {
			return cores[source].poll(ctx, r)
		},
	})
	run(t, f)
	count := func(n int) {
		for range n {
			counter.Count(time.Now(), "a")
		}
	}
	allHave := func(n uint64) func() bool {
		return func() bool { return cores["c1"].runs() == n && cores["c2"].runs() == n && cores["c3"].runs() == n }
	}
	count(5)
	eventually(t, "all sources have the counts", allHave(5))
	before := cores["c1"].reported() + cores["c2"].reported() + cores["c3"].reported()
	time.Sleep(1200 * time.Millisecond)
	require.Equal(t, before, cores["c1"].reported()+cores["c2"].reported()+cores["c3"].reported(), "nothing has changed")
	cores["c2"].restart(9)
	eventually(t, "a restarted source has the counts", allHave(5))
	countedAt := time.Now()
	count(2)
	eventually(t, "all sources have the new counts", allHave(7))
	require.Less(t, time.Since(countedAt), 1500*time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, map[string]bool{"c1": true, "c2": true, "c3": true}, stated)
	require.WithinDuration(t, time.Now(), clock.Now(now(), time.Now().Add(time.Hour)), 200*time.Millisecond)
}
