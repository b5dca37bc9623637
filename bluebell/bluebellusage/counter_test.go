package bluebellusage_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellusage"
)

const (
	second = time.Second
	window = 5 * second
)

// epoch is the start of a window.
var epoch = time.Unix(1_767_225_600, 0)

// number returns the number of the window that is n windows after the one at epoch.
func number(n int64) int64 { return epoch.Unix()/5 + n }

// counts returns the counts of a customer in a report, by window after the one at epoch.
func counts(r *pb.UsageReport, customer string) map[int64]uint64 {
	byWindow := map[int64]uint64{}
	for _, w := range r.GetWindows() {
		for i, c := range w.Customers {
			if c == customer {
				byWindow[w.Window-number(0)] = w.Counts[i]
			}
		}
	}
	return byWindow
}

func newCounter() *bluebellusage.Counter {
	return bluebellusage.NewCounter(bluebellusage.CounterConfig{Window: window, Incarnation: 7})
}

// Guards against reports that repeat windows that have not changed, and against a source that was restarted and
// lacks windows that have not changed since.
func TestReportHoldsOnlyWhatHasChanged(t *testing.T) {
	c := newCounter()
	c.Count(epoch.Add(1*second), "a")
	c.Count(epoch.Add(6*second), "a")
	first, cursor := c.Report(epoch.Add(7*second), bluebellusage.Cursor{})
	require.Equal(t, map[int64]uint64{0: 1, 1: 1}, counts(first, "a"))
	require.Equal(t, number(0), first.FinalThrough)
	none, cursor := c.Report(epoch.Add(8*second), cursor)
	require.Nil(t, none)
	c.Count(epoch.Add(9*second), "a")
	next, _ := c.Report(epoch.Add(9*second), cursor)
	require.Equal(t, map[int64]uint64{1: 2}, counts(next, "a"))
	again, _ := c.Report(epoch.Add(9*second), cursor)
	require.Equal(t, map[int64]uint64{1: 2}, counts(again, "a"), "a report without a reply is made again")
	whole, _ := c.Report(epoch.Add(9*second), bluebellusage.Cursor{})
	require.Equal(t, map[int64]uint64{0: 1, 1: 2}, counts(whole, "a"))
	ended, _ := c.Report(epoch.Add(11*second), cursor)
	require.Equal(t, number(1), ended.FinalThrough, "an ended window is reported")
}

// Guards against a window that is reported as final while a call that was sent in it may still count, against calls
// that count in the window of their answer, and against refusals that count.
func TestCallCountsInWindowInWhichItWasSent(t *testing.T) {
	c := newCounter()
	slow, refused := c.Sent(epoch.Add(4*second), "a"), c.Sent(epoch.Add(4*second), "b")
	r, cursor := c.Report(epoch.Add(5500*time.Millisecond), bluebellusage.Cursor{})
	require.Less(t, r.GetFinalThrough(), number(0))
	c.End(slow, true)
	c.End(refused, false)
	r, _ = c.Report(epoch.Add(5600*time.Millisecond), cursor)
	require.Equal(t, map[int64]uint64{0: 1}, counts(r, "a"))
	require.Empty(t, counts(r, "b"))
	require.Equal(t, number(0), r.FinalThrough)
}

// Guards against a window that stays open for as long as a call lasts, and against a call that counts twice.
func TestCallWithoutAnswerIsAssumedToRun(t *testing.T) {
	c := newCounter()
	run := c.Sent(epoch.Add(4*second), "a")
	r, cursor := c.Report(epoch.Add(6*second), bluebellusage.Cursor{})
	require.Equal(t, map[int64]uint64{0: 1}, counts(r, "a"))
	require.Equal(t, number(0), r.FinalThrough)
	c.End(run, true)
	r, _ = c.Report(epoch.Add(7*second), cursor)
	require.Empty(t, counts(r, "a"))
}

// Guards against counts that are lost, or that go to a window of long ago or far ahead for good, when the clock is
// adjusted or jumps.
func TestClockOfCounterJumps(t *testing.T) {
	c := newCounter()
	_, cursor := c.Report(epoch.Add(5100*time.Millisecond), bluebellusage.Cursor{})
	c.Count(epoch.Add(4900*time.Millisecond), "a")
	r, cursor := c.Report(epoch.Add(5200*time.Millisecond), cursor)
	require.Equal(t, map[int64]uint64{1: 1}, counts(r, "a"), "a final window does not change")
	_, cursor = c.Report(epoch.Add(time.Hour), cursor)
	c.Count(epoch.Add(6*second), "a")
	r, _ = c.Report(epoch.Add(7*second), cursor)
	require.Equal(t, uint64(1), counts(r, "a")[1], "the hour ahead is not waited for")
	require.Equal(t, number(0), r.FinalThrough)
}

// Guards against counts in wrong windows when one clock of several is wrong or jumps, and against a process that
// stands still and reads replies late.
func TestOneClockDoesNotChangeTheTime(t *testing.T) {
	c := bluebellusage.NewClock()
	mono := 100 * second
	observe := func(source string, ahead time.Duration) {
		c.Observe(source, epoch.Add(mono+ahead).UnixNano(), mono-100*time.Millisecond, mono)
	}
	near := func(own time.Duration, why string) {
		t.Helper()
		require.WithinDuration(t, epoch.Add(mono), c.Now(mono, epoch.Add(mono+own)), 500*time.Millisecond, why)
	}
	near(0, "its own clock alone")
	observe("x", 0)
	near(time.Hour, "of two clocks the one that has not jumped counts")
	observe("y", 100*time.Millisecond)
	observe("z", -time.Hour)
	near(time.Hour, "one of the sources and the own clock are wrong")
	require.InDelta(t, time.Hour, c.OwnAhead(), float64(second))
	near(0, "one source is wrong")
	mono += 6 * second
	c.Observe("x", epoch.Add(mono-4*second).UnixNano(), mono-5*second, mono)
	near(0, "a reply that was read late, and statements that are old, do not count")
	c.Observe("x", 0, mono, mono)
	near(0, "a source of an earlier release states no time")
}
