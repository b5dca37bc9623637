package bluebelllink_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelllink"
)

const (
	// step is how often the tracker is advanced, dialTimeout how long a dial of an endpoint that
	// cannot be reached takes.
	step        = 20 * time.Millisecond
	dialTimeout = 400 * time.Millisecond
)

// world is a tracker of one target whose endpoints can be reached or not.
type world struct {
	t         *testing.T
	tracker   *bluebelllink.Tracker
	now       time.Duration
	endpoints []bluebelllink.Endpoint
	// up reports whether a connection to an endpoint opens.
	up      func(e bluebelllink.Endpoint) bool
	pending []pendingDial
	dialed  []bluebelllink.Endpoint
	changes []bluebelllink.Change
}

type pendingDial struct {
	bluebelllink.Dial
	at time.Duration
}

func newWorld(t *testing.T, endpoints int) *world {
	t.Helper()
	return newWorldWithSeed(t, endpoints, 1)
}

func newWorldWithSeed(t *testing.T, endpoints int, seed uint64) *world {
	t.Helper()
	w := &world{t: t, now: time.Second, up: func(bluebelllink.Endpoint) bool { return true }}
	random := rand.New(rand.NewPCG(seed, uint64(endpoints)))
	w.tracker = bluebelllink.New(bluebelllink.Config{
		Dial: func(d bluebelllink.Dial) {
			w.dialed = append(w.dialed, d.Endpoint)
			at := w.now + time.Millisecond
			if !w.up(d.Endpoint) {
				at = w.now + dialTimeout
			}
			w.pending = append(w.pending, pendingDial{d, at})
		},
		Random: random.Float64, Changed: func(c bluebelllink.Change) { w.changes = append(w.changes, c) },
	})
	for i := range endpoints {
		w.endpoints = append(w.endpoints, endpoint(i, 1))
	}
	w.update()
	return w
}

func endpoint(i int, start int64) bluebelllink.Endpoint {
	return bluebelllink.Endpoint{ID: fmt.Sprint("i-", i), Address: fmt.Sprint("a-", i), FailureDomain: string(rune('a' + i%3)), StartUnixMillis: start}
}

func (w *world) update() {
	w.tracker.Update(w.now, map[string][]bluebelllink.Endpoint{"app": w.endpoints})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += step
		due := w.pending
		w.pending = nil
		for _, p := range due {
			if p.at > w.now {
				w.pending = append(w.pending, p)
				continue
			}
			w.tracker.RecordDial(w.now, p.Dial, w.up(p.Endpoint))
		}
		w.tracker.Advance(w.now)
	}
}

func (w *world) fail(ids ...int) {
	for _, i := range ids {
		w.tracker.RecordFailure(w.now, "app", w.endpoints[i].ID)
	}
}

func (w *world) state() bluebelllink.State { return w.tracker.State("app") }

func nothingUp(bluebelllink.Endpoint) bool { return false }

// An entry that can reach no endpoint finds that out with one check, whatever their number, and finds
// out within a second that they are back.
func TestLinksAreLostAndBack(t *testing.T) {
	for _, n := range []int{1, 2, 3, 240} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newWorld(t, n)
			w.up = nothingUp
			w.fail(0)
			if n > 1 {
				require.Equal(t, bluebelllink.Linked, w.state(), "one endpoint alone may be down")
				w.fail(1)
			}
			require.Equal(t, bluebelllink.Checking, w.state())
			w.run(dialTimeout + step)
			require.Equal(t, bluebelllink.Lost, w.state())
			require.Equal(t, []string{"app"}, w.tracker.Lost())
			require.LessOrEqual(t, len(w.dialed), 3)
			require.Len(t, w.changes, 1)
			require.Equal(t, time.Second, w.changes[0].FailedSince)
			w.dialed = nil
			w.run(10 * time.Second)
			require.Equal(t, bluebelllink.Lost, w.state())
			require.LessOrEqual(t, len(w.dialed), 2*27, "probes are two every 0.375 s at most")
			w.up = func(bluebelllink.Endpoint) bool { return true }
			w.run(time.Second)
			require.Equal(t, bluebelllink.Linked, w.state())
			require.Empty(t, w.tracker.Lost())
			require.Len(t, w.changes, 2)
			require.False(t, w.changes[1].Lost)
		})
	}
}

// Calls that get no answer in time for a second, at all endpoints, lose no links: connections open.
func TestSilentEndpointsLoseNoLinks(t *testing.T) {
	for _, n := range []int{1, 3, 240} {
		w := newWorld(t, n)
		for range 50 {
			for i := range n {
				w.fail(i)
			}
			require.NotEqual(t, bluebelllink.Lost, w.state())
			w.run(step)
		}
		require.Empty(t, w.changes)
		require.LessOrEqual(t, len(w.dialed), 3*3, "checks are half a second apart")
	}
}

// Links are not lost while one failure domain can be reached, whichever it is.
func TestLinksToOneDomainSuffice(t *testing.T) {
	for _, domain := range []string{"a", "b", "c"} {
		for _, n := range []int{3, 6, 240} {
			w := newWorld(t, n)
			w.up = func(e bluebelllink.Endpoint) bool { return e.FailureDomain == domain }
			for range 100 {
				for i, e := range w.endpoints {
					if !w.up(e) {
						w.fail(i)
					}
				}
				require.NotEqual(t, bluebelllink.Lost, w.state())
				w.run(step)
			}
		}
	}
}

// Open connections may live on while new ones are refused: their answers do not keep the links.
func TestAnswersOnOpenConnectionsKeepNoLinks(t *testing.T) {
	w := newWorld(t, 6)
	w.up = nothingUp
	w.fail(0)
	w.tracker.RecordAnswer(w.now, "app")
	w.fail(1)
	w.tracker.RecordAnswer(w.now, "app")
	w.run(dialTimeout + step)
	require.Equal(t, bluebelllink.Lost, w.state())
	require.True(t, w.tracker.Live(w.now, "app"))
	w.run(time.Second)
	require.False(t, w.tracker.Live(w.now, "app"))
}

// A connection that opens between two failures shows that the links hold.
func TestNewConnectionClearsFailures(t *testing.T) {
	w := newWorld(t, 6)
	w.fail(0)
	w.tracker.RecordOpened(w.now, "a-4")
	w.fail(1)
	require.Equal(t, bluebelllink.Linked, w.state())
	w.up = nothingUp
	w.fail(2)
	w.run(dialTimeout + step)
	require.Equal(t, bluebelllink.Lost, w.state())
	w.tracker.RecordOpened(w.now, "a-5")
	require.Equal(t, bluebelllink.Linked, w.state())
}

// Failures long ago say nothing about now.
func TestOldFailuresDoNotCount(t *testing.T) {
	w := newWorld(t, 6)
	w.fail(0)
	w.run(time.Minute)
	w.fail(1)
	require.Equal(t, bluebelllink.Linked, w.state())
}

// After all endpoints were down, the first one that registers again is found at the next probe.
func TestReturnedEndpointIsProbedFirst(t *testing.T) {
	w := newWorld(t, 240)
	w.up = nothingUp
	w.fail(0, 1)
	w.run(5 * time.Second)
	require.Equal(t, bluebelllink.Lost, w.state())
	w.endpoints = append([]bluebelllink.Endpoint(nil), w.endpoints...)
	w.endpoints[200] = endpoint(200, 2)
	w.update()
	w.up = func(e bluebelllink.Endpoint) bool { return e.StartUnixMillis == 2 }
	w.run(700 * time.Millisecond)
	require.Equal(t, bluebelllink.Linked, w.state())
}

// Links that come and go cost a bounded number of connections.
func TestFlappingLinksAreCheckedAtIntervals(t *testing.T) {
	w := newWorld(t, 12)
	for i := range 500 {
		down := i/10%2 == 0
		w.up = func(bluebelllink.Endpoint) bool { return !down }
		if down && w.state() != bluebelllink.Lost {
			w.fail(i%12, (i+1)%12)
		}
		w.run(step)
	}
	require.LessOrEqual(t, len(w.dialed), 10*(3*2+2*3), "3 dials a check, 2 a probe")
}

// A target without open endpoints has no links to lose, and one that comes back starts anew.
func TestTargetWithoutEndpointsIsNotLost(t *testing.T) {
	w := newWorld(t, 2)
	w.up = nothingUp
	w.fail(0, 1)
	w.run(time.Second)
	require.Equal(t, bluebelllink.Lost, w.state())
	list := w.endpoints
	w.endpoints = nil
	w.update()
	require.Equal(t, bluebelllink.Linked, w.state())
	w.endpoints = list
	w.update()
	w.run(5 * time.Second)
	require.Equal(t, bluebelllink.Linked, w.state())
}

// The result of a dial of an earlier check or probe decides nothing.
func TestLateDialDoesNotEndCheck(t *testing.T) {
	w := newWorld(t, 6)
	w.up = nothingUp
	w.fail(0, 1)
	w.pending, w.dialed = nil, nil // Their results are late.
	w.tracker.RecordOpened(w.now, "a-1")
	w.run(time.Second)
	w.fail(2, 3)
	require.Equal(t, bluebelllink.Checking, w.state())
	require.Len(t, w.dialed, 3)
	require.NotContains(t, w.dialed, w.endpoints[2], "others than those that failed are dialed first")
}

// Endpoints of one failure domain that can be reached again are found within three seconds, however many
// of others cannot and in whatever order they are listed.
func TestProbesFindReachableDomain(t *testing.T) {
	for _, up := range []string{"a", "b", "c"} {
		t.Run(up, func(t *testing.T) {
			w := newWorld(t, 0)
			for i := range 240 {
				w.endpoints = append(w.endpoints, endpoint(i, 1))
			}
			slices.SortStableFunc(w.endpoints, func(a, b bluebelllink.Endpoint) int { return strings.Compare(a.FailureDomain, b.FailureDomain) })
			w.update()
			w.up = nothingUp
			w.fail(0, 1)
			w.run(2 * time.Second)
			require.Equal(t, bluebelllink.Lost, w.state())
			w.up = func(e bluebelllink.Endpoint) bool { return e.FailureDomain == up }
			w.run(3 * time.Second)
			require.Equal(t, bluebelllink.Linked, w.state())
		})
	}
}

// Entries that lose their links together do not all probe the same endpoints.
func TestEntriesProbeDifferentEndpoints(t *testing.T) {
	probed := map[string]int{}
	for i := range 295 {
		w := newWorldWithSeed(t, 240, uint64(i))
		w.up = nothingUp
		w.fail(0, 1)
		w.run(dialTimeout + step)
		w.dialed = nil
		w.run(time.Second)
		require.NotEmpty(t, w.dialed)
		for _, e := range w.dialed {
			probed[e.ID]++
		}
	}
	for id, n := range probed {
		require.Less(t, n, 295/10, "endpoint %s", id)
	}
}
