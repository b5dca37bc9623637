package bluebellusage_test

import (
	"fmt"
	"testing"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellusage"
)

// BenchmarkRecord measures one report at a core process that 295 entries follow. It receives about 600 a second.
func BenchmarkRecord(b *testing.B) {
	totals := bluebellusage.NewTotals(window)
	report := &pb.UsageReport{Incarnation: 1, Windows: []*pb.UsageWindow{{Window: number(0), Customers: []string{"a", "b"}, Counts: []uint64{1, 2}}}}
	for i := 0; b.Loop(); i++ {
		totals.Record(epoch.Add(second), fmt.Sprint("entry-", i%295), report)
	}
}

// BenchmarkCount measures one call at an entry.
func BenchmarkCount(b *testing.B) {
	counter, clock := newCounter(), bluebellusage.NewClock()
	for b.Loop() {
		counter.End(counter.Sent(clock.Now(second, epoch), "a"), true)
	}
}
