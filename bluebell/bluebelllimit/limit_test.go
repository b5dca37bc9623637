package bluebelllimit_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhaven.org/bluebell/bluebelllimit"
)

// TestGateScripts runs the scripts in testdata against a Gate. Their commands are:
//
//	gate queue=N
//	limits at=D warm=N cold=N [incarnation=I] [cold-until=D] [closed]
//	offer at=D id=N customer=C [priority=N] [weight=N] [deadline=D]
//	release at=D id=N [failed]
func TestGateScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var gate *bluebelllimit.Gate
		requests := map[int]*bluebelllimit.Request{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			at := duration(t, d, "at", 0)
			switch d.Cmd {
			case "gate":
				gate = bluebelllimit.NewGate(bluebelllimit.GateConfig{QueueLimit: number(t, d, "queue", 10)})
				return ""
			case "limits":
				incarnation := "i1"
				d.MaybeScanArgs(t, "incarnation", &incarnation)
				return describe(gate, gate.SetLimits(at, bluebelllimit.SlotLimits{
					Warm: number(t, d, "warm", 0), Cold: number(t, d, "cold", 0), Incarnation: incarnation,
					ColdUntil: duration(t, d, "cold-until", 0), Closed: d.HasArg("closed"),
				}))
			case "offer":
				r := &bluebelllimit.Request{
					ID: uint64(number(t, d, "id", 0)), Weight: float64(number(t, d, "weight", 1)),
					Priority: number(t, d, "priority", 0), Deadline: duration(t, d, "deadline", time.Hour),
				}
				d.ScanArgs(t, "customer", &r.Customer)
				requests[int(r.ID)] = r
				started, _, err := gate.Offer(at, r)
				if err != nil {
					return err.Error() + "\n"
				}
				if started {
					return "started " + describe(gate, nil)
				}
				return "waits " + describe(gate, nil)
			case "release":
				return describe(gate, gate.Release(at, requests[number(t, d, "id", 0)], !d.HasArg("failed")))
			}
			return "unknown command\n"
		})
	})
}

func describe(g *bluebelllimit.Gate, started []*bluebelllimit.Request) string {
	var ids []string
	for _, r := range started {
		ids = append(ids, fmt.Sprint(r.ID))
	}
	s := fmt.Sprintf("running %d waiting %d slots %d", g.Running(), g.Waiting(), g.Slots())
	if len(ids) > 0 {
		s += " started " + strings.Join(ids, " ")
	}
	return s + "\n"
}

func number(t *testing.T, d *datadriven.TestData, name string, fallback int) int {
	if d.HasArg(name) {
		d.ScanArgs(t, name, &fallback)
	}
	return fallback
}

func duration(t *testing.T, d *datadriven.TestData, name string, fallback time.Duration) time.Duration {
	if !d.HasArg(name) {
		return fallback
	}
	var text string
	d.ScanArgs(t, name, &text)
	parsed, err := time.ParseDuration(text)
	require.NoError(t, err)
	return parsed
}

// TestGateNeverExceedsSlots offers, releases and cancels requests and changes limits
// at random. The gate itself panics if it would start a request without a free slot.
func TestGateNeverExceedsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gate := bluebelllimit.NewGate(bluebelllimit.GateConfig{QueueLimit: 20})
		now := time.Duration(0)
		running, waiting := map[uint64]*bluebelllimit.Request{}, map[uint64]*bluebelllimit.Request{}
		moveToRunning := func(started []*bluebelllimit.Request) {
			for _, r := range started {
				require.Contains(t, waiting, r.ID)
				delete(waiting, r.ID)
				running[r.ID] = r
			}
		}
		lowestID := func(m map[uint64]*bluebelllimit.Request) *bluebelllimit.Request {
			var lowest *bluebelllimit.Request
			for _, r := range m {
				if lowest == nil || r.ID < lowest.ID {
					lowest = r
				}
			}
			return lowest
		}
		nextID := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"limits": func(t *rapid.T) {
				warm := rapid.IntRange(0, 6).Draw(t, "warm")
				moveToRunning(gate.SetLimits(now, bluebelllimit.SlotLimits{
					Warm: warm, Cold: min(warm, rapid.IntRange(0, 3).Draw(t, "cold")),
					Incarnation: rapid.SampledFrom([]string{"i1", "i2"}).Draw(t, "incarnation"),
					ColdUntil:   now + time.Duration(rapid.IntRange(-1, 5).Draw(t, "cold for"))*time.Second,
					Closed:      rapid.IntRange(0, 9).Draw(t, "closed") == 0,
				}))
			},
			"offer": func(t *rapid.T) {
				nextID++
				r := &bluebelllimit.Request{
					ID: nextID, Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
					Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Deadline: now + time.Duration(rapid.IntRange(0, 5).Draw(t, "deadline"))*time.Second,
				}
				started, _, err := gate.Offer(now, r)
				switch {
				case err != nil:
				case started:
					running[r.ID] = r
				default:
					waiting[r.ID] = r
				}
			},
			"release": func(t *rapid.T) {
				if r := lowestID(running); r != nil {
					delete(running, r.ID)
					moveToRunning(gate.Release(now, r, rapid.Bool().Draw(t, "ok")))
				}
			},
			"cancel": func(t *rapid.T) {
				if r := lowestID(waiting); r != nil {
					require.True(t, gate.Cancel(r))
					delete(waiting, r.ID)
				}
			},
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond },
			"": func(t *rapid.T) {
				require.Len(t, running, gate.Running())
				require.Len(t, waiting, gate.Waiting())
			},
		})
	})
}

// TestRetryBudgetLimitsRetries checks that retries stay within their percentage when
// all of many first attempts fail.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	b := bluebelllimit.RetryBudget{Percent: 10}
	retries := 0
	for i := range 10_000 {
		now := time.Duration(i) * time.Millisecond
		b.RecordAttempt(now)
		if b.AllowRetry(now) {
			retries++
		}
	}
	require.LessOrEqual(t, retries, 1000+7)
	require.GreaterOrEqual(t, retries, 900)
}

// TestMarkColdLimitsToColdSlots checks that an endpoint marked as cold gets its cold
// slots, and its warm slots again after it has completed requests.
func TestMarkColdLimitsToColdSlots(t *testing.T) {
	gate := bluebelllimit.NewGate(bluebelllimit.GateConfig{QueueLimit: 10})
	gate.SetLimits(time.Minute, bluebelllimit.SlotLimits{Warm: 4, Cold: 1, Incarnation: "i1"})
	require.Equal(t, 4, gate.Slots())
	gate.MarkCold(time.Minute)
	require.Equal(t, 1, gate.Slots())
	for id := range uint64(6) {
		r := &bluebelllimit.Request{ID: id, Customer: "a", Deadline: time.Hour}
		started, _, err := gate.Offer(time.Minute, r)
		require.NoError(t, err)
		require.True(t, started)
		gate.Release(time.Minute, r, true)
	}
	require.Equal(t, 4, gate.Slots())
}

// TestBurstDoesNotStarveOtherCustomers has one customer fill its part of the queue
// continuously while another sends a request every 250 ms. A request of the second
// customer is next when a slot becomes free, so it waits at most one service time.
func TestBurstDoesNotStarveOtherCustomers(t *testing.T) {
	const (
		serviceTime = 100 * time.Millisecond
		tick        = 5 * time.Millisecond
		slots       = 4
	)
	gate := bluebelllimit.NewGate(bluebelllimit.GateConfig{QueueLimit: 60})
	gate.SetLimits(0, bluebelllimit.SlotLimits{Warm: slots, Cold: slots})
	endTimes := map[*bluebelllimit.Request]time.Duration{}
	offeredAt := map[*bluebelllimit.Request]time.Duration{}
	longestWait, served, nextID := time.Duration(0), 0, uint64(0)
	start := func(now time.Duration, r *bluebelllimit.Request) {
		endTimes[r] = now + serviceTime
		if r.Customer == "modest" {
			longestWait = max(longestWait, now-offeredAt[r])
			served++
		}
	}
	offer := func(now time.Duration, customer string) {
		nextID++
		r := &bluebelllimit.Request{ID: nextID, Customer: customer, Deadline: now + time.Minute}
		offeredAt[r] = now
		if started, _, err := gate.Offer(now, r); err == nil && started {
			start(now, r)
		}
	}
	for now := time.Duration(0); now < 20*time.Second; now += tick {
		for r, end := range endTimes {
			if end <= now {
				delete(endTimes, r)
				for _, next := range gate.Release(now, r, true) {
					start(now, next)
				}
			}
		}
		for range 10 {
			offer(now, "greedy")
		}
		if now%(250*time.Millisecond) == 0 {
			offer(now, "modest")
		}
	}
	require.GreaterOrEqual(t, served, 79)
	require.LessOrEqual(t, longestWait, serviceTime)
}
