package bluebellgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/bluebellgate/internal/bluebellhandover"
)

// callLimit is the time limit of the calls that do sends.
const callLimit = 2 * time.Second

// startStranded starts an entry that has lost its links to all endpoints, and another one that runs its
// calls.
func startStranded(t *testing.T, endpoints int) (c *cluster, a, b *gate) {
	t.Helper()
	c = startCluster(t, endpoints)
	a, b = c.startGate("a"), c.startGate("b")
	a.setCut(reset)
	require.Eventually(t, func() bool { return a.do(http.MethodPost, "/once/x", "").whole() }, testTimeout, 20*time.Millisecond)
	return c, a, b
}

// startPair starts two entries that have their links and of which the first knows that the other helps.
func startPair(t *testing.T, endpoints int) (c *cluster, a, b *gate) {
	t.Helper()
	c, a, b = startStranded(t, endpoints)
	a.setCut(connected)
	require.Eventually(t, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.open) > 0
	}, testTimeout, time.Millisecond)
	// Links are checked each half second at most.
	time.Sleep(600 * time.Millisecond)
	return c, a, b
}

// A stream that has begun can get no other answer, also if another entry runs it. It must not be broken
// off before its time limit.
func TestBegunStreamAtHelperIsNotCutBeforeItsLimit(t *testing.T) {
	c, a, _ := startStranded(t, 3)
	c.behave(bluebellstub.Stalling)
	started := time.Now()
	got := a.do(http.MethodPost, "/stream/x", "prompt")
	took := time.Since(started)
	require.Error(t, got.err)
	require.Contains(t, got.body, bluebellstub.Event(got.id, 1))
	require.GreaterOrEqual(t, took, callLimit)
	require.Less(t, took, callLimit+500*time.Millisecond)
}

// A caller that leaves is noticed at the endpoint to which another entry has sent its call.
func TestCallerThatLeavesIsNoticedBehindHelper(t *testing.T) {
	for _, path := range []string{"/once/x", "/read/x", "/stream/x"} {
		t.Run(path[1:len(path)-2], func(t *testing.T) {
			c, a, _ := startStranded(t, 3)
			c.behave(bluebellstub.Unresponsive)
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			r, id := a.request(ctx, http.MethodPost, path, "prompt", callLimit)
			ended := make(chan call, 1)
			go func() { ended <- a.send(r, id) }()
			require.Eventually(t, func() bool { return c.activeCalls() == 1 }, testTimeout, time.Millisecond)
			leave()
			left := time.Now()
			require.Error(t, (<-ended).err)
			require.Eventually(t, func() bool { return c.activeCalls() == 0 }, testTimeout, time.Millisecond)
			require.Less(t, time.Since(left), 500*time.Millisecond)
			require.Equal(t, 1, c.runs()[id])
		})
	}
}

// Callers cannot set what entries tell each other, and neither callers nor endpoints see it.
func TestHandoverHeadersOfCallersAreIgnored(t *testing.T) {
	_, a, b := startStranded(t, 3)
	for _, g := range []*gate{a, b} {
		r, id := g.request(context.Background(), http.MethodPost, "/once/x", "order", callLimit)
		bluebellhandover.Offer{Revision: 1 << 40, Target: "other", Tried: []string{"i-0", "i-1", "i-2"}, TimeLeft: time.Hour, ResumeAfter: "3"}.Encode(r.Header)
		bluebellhandover.Result{Outcome: bluebellhandover.Declined}.Encode(r.Header)
		got := g.send(r, id)
		require.True(t, got.whole(), "status %d", got.status)
		stripped := got.header.Clone()
		bluebellhandover.Strip(stripped)
		require.Equal(t, stripped, got.header)
	}
}

// Entries that have all lost their links hand no call around: they refuse it at once.
func TestCallsAreRefusedAtOnceIfAllEntriesHaveLostTheirLinks(t *testing.T) {
	c, a, b := startStranded(t, 3)
	b.setCut(reset)
	require.Eventually(t, func() bool { return b.do(http.MethodPost, "/once/x", "").status == http.StatusServiceUnavailable }, testTimeout, 20*time.Millisecond)
	time.Sleep(time.Second)
	for _, g := range []*gate{a, b} {
		started := time.Now()
		got := g.do(http.MethodPost, "/read/x", "")
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Less(t, time.Since(started), 100*time.Millisecond)
		require.Zero(t, c.runs()[got.id])
	}
}

// An open connection may live on while new ones are refused. A stream on it that is silent for a second
// must not end because another entry might take it and then does not.
func TestSilentStreamIsNotGivenUpForHelperThatDeclines(t *testing.T) {
	c, a, b := startPair(t, 2)
	c.behave(bluebellstub.Pausing)
	for _, e := range c.endpoints {
		e.SetPauseTime(1500 * time.Millisecond)
	}
	ended := make(chan call, 1)
	go func() { ended <- a.do(http.MethodPost, "/stream/again/x", "prompt") }()
	require.Eventually(t, func() bool { return c.activeCalls() == 1 }, testTimeout, time.Millisecond)
	c.behave(bluebellstub.Normal)
	a.setCut(refusing)
	b.stop()
	a.load(2*time.Millisecond, 0, 500*time.Millisecond)
	got := <-ended
	require.NoError(t, got.err)
	require.True(t, got.whole(), "body %q", got.body)
}

// A stream that has begun at an endpoint to which the links are then lost goes on through another entry.
func TestBegunStreamGoesOnThroughHelper(t *testing.T) {
	for _, k := range []cut{reset, hanging} {
		t.Run(k.String(), func(t *testing.T) {
			c, a, _ := startPair(t, 3)
			for _, e := range c.endpoints {
				e.SetProcessingTime(50 * time.Millisecond)
			}
			ended := make(chan call, 1)
			r, id := a.request(context.Background(), http.MethodPost, "/stream/again/x", "prompt", 3*time.Second)
			go func() { ended <- a.send(r, id) }()
			require.Eventually(t, func() bool { return c.runs()[id] == 1 }, testTimeout, time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			a.setCut(k)
			a.load(20*time.Millisecond, 0, time.Second)
			got := <-ended
			require.NoError(t, got.err)
			require.True(t, got.whole(), "body %q", got.body)
			require.Equal(t, 2, c.runs()[id])
		})
	}
}

// An endpoint that an entry could not reach has not had the call: another entry may send it there.
func TestHelperUsesUnreachedEndpointsOfSmallTarget(t *testing.T) {
	for _, endpoints := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(endpoints), func(t *testing.T) {
			_, a, _ := startPair(t, endpoints)
			a.setCut(reset)
			for range 20 {
				got := a.do(http.MethodPost, "/once/x", "order")
				require.True(t, got.whole(), "status %d", got.status)
			}
		})
	}
}
