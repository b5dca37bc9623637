package bluebellgateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellusage"
	"bluebellhaven.org/bluebellfake/bluebellstub"
)

// startUsageCluster starts a cluster whose entries report usage by windows of a length.
func startUsageCluster(t *testing.T, window time.Duration) *cluster {
	t.Helper()
	c := startCluster(t, 3)
	c.usageWindow, c.usage = window, bluebellusage.NewTotals(window)
	return c
}

// reported returns the runs of the customer that entries have reported, over all windows that are kept.
func (c *cluster) reported() int {
	var windows []int64
	for w, i := bluebellusage.At(time.Now(), c.usageWindow), int64(0); i < bluebellusage.KeptWindows; i++ {
		windows = append(windows, w-i)
	}
	merged, sum := bluebellusage.Merge(c.usage.Collect(windows)), 0
	for _, w := range windows {
		usage := merged.Usage(w)
		for i, customer := range usage.Customers {
			require.Equal(c.t, "c", customer)
			sum += int(usage.Counts[i])
		}
	}
	return sum
}

// begunRuns returns the number of runs that endpoints began.
func (c *cluster) begunRuns() int {
	n := 0
	for _, runs := range c.runs() {
		n += runs
	}
	return n
}

// Guards against runs that are not counted, or counted by the wrong number: refusals, calls that ran although their
// answer was useless, calls that are repeated elsewhere, and calls that another entry takes, which both could count.
func TestUsageIsWhatEndpointsRan(t *testing.T) {
	t.Parallel()
	c := startUsageCluster(t, time.Minute)
	a := c.startGate("a")
	c.startGate("b")
	send := func(n int, paths ...string) {
		for range n {
			for _, path := range paths {
				a.do(http.MethodPost, path, "body")
			}
		}
	}
	send(10, "/once/x", "/read/x", "/stream/x")
	for _, b := range []bluebellstub.Behaviour{bluebellstub.Declining, bluebellstub.Truncating, bluebellstub.Normal} {
		c.endpoints[0].SetBehaviour(b)
		send(5, "/once/x", "/read/x", "/stream/x")
	}
	// A stream without an event does not count, so these are no streams.
	for _, b := range []bluebellstub.Behaviour{bluebellstub.Unavailable, bluebellstub.Failing, bluebellstub.Unsealed, bluebellstub.Normal} {
		c.endpoints[0].SetBehaviour(b)
		send(5, "/once/x", "/read/x")
	}
	a.cutOff(reset)
	send(10, "/once/x", "/read/x", "/stream/x")
	require.Eventually(t, func() bool { return c.reported() == c.begunRuns() }, testTimeout, 50*time.Millisecond,
		"reported runs differ from those of the endpoints")
	time.Sleep(time.Second)
	require.Equal(t, c.begunRuns(), c.reported(), "nothing is counted twice")
	require.Greater(t, c.reported(), 120)
}

// Guards against windows that the leader cannot close: an entry must report within 0.7 s of its end that a window is
// final, also if it has no calls.
func TestEntryReportsEndedWindowAtOnce(t *testing.T) {
	t.Parallel()
	const window = 2 * time.Second
	c := startUsageCluster(t, window)
	c.startGate("a")
	for range 3 {
		w := bluebellusage.At(time.Now(), window)
		time.Sleep(time.Until(bluebellusage.EndOf(w, window).Add(700 * time.Millisecond)))
		require.Empty(t, bluebellusage.Merge(c.usage.Collect([]int64{w})).Missing(w, c.core.Entries()))
		require.Len(t, c.core.Entries(), 1)
	}
}

// Guards against counts that are lost at each planned restart: entries are restarted in turn, so a window would lack
// those of up to half a second of all of them.
func TestPlannedStopReportsLastUsage(t *testing.T) {
	t.Parallel()
	c := startUsageCluster(t, time.Minute)
	a := c.startGate("a")
	for range 5 {
		a.do(http.MethodPost, "/once/x", "body")
	}
	a.stop()
	err := <-a.ended
	a.ended <- err
	require.NoError(t, err)
	require.Equal(t, c.begunRuns(), c.reported())
}

// Guards against reports where the deployment does not ask for them.
func TestUsageIsNotReportedWithoutWindow(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	c.usage = bluebellusage.NewTotals(time.Second)
	c.startGate("a").do(http.MethodPost, "/once/x", "body")
	time.Sleep(2 * time.Second)
	require.Empty(t, c.usage.Collect(nil))
}
