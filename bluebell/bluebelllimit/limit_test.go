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

// TestScripts drives a gate:
//
//	gate queue=N
//	limits at=D warm=N cold=N [incarnation=I] [cold-until=D] [closed]
//	offer at=D id=N customer=C [priority=N] [weight=N] [deadline=D]
//	release at=D id=N [failed]
func TestScripts(t *testing.T) {
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

func number(t *testing.T, d *datadriven.TestData, name string, otherwise int) int {
	if d.HasArg(name) {
		d.ScanArgs(t, name, &otherwise)
	}
	return otherwise
}

func duration(t *testing.T, d *datadriven.TestData, name string, otherwise time.Duration) time.Duration {
	if !d.HasArg(name) {
		return otherwise
	}
	var text string
	d.ScanArgs(t, name, &text)
	parsed, err := time.ParseDuration(text)
	require.NoError(t, err)
	return parsed
}

// TestNeverOverTheLimit offers, releases, cancels and changes limits at random. The
// gate itself panics when an endpoint would get more than its slots.
func TestNeverOverTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gate := bluebelllimit.NewGate(bluebelllimit.GateConfig{QueueLimit: 20})
		now := time.Duration(0)
		running, waiting := map[uint64]*bluebelllimit.Request{}, map[uint64]*bluebelllimit.Request{}
		starts := func(started []*bluebelllimit.Request) {
			for _, r := range started {
				require.Contains(t, waiting, r.ID)
				delete(waiting, r.ID)
				running[r.ID] = r
			}
		}
		pick := func(m map[uint64]*bluebelllimit.Request) *bluebelllimit.Request {
			var least *bluebelllimit.Request
			for _, r := range m {
				if least == nil || r.ID < least.ID {
					least = r
				}
			}
			return least
		}
		nextID := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"limits": func(t *rapid.T) {
				warm := rapid.IntRange(0, 6).Draw(t, "warm")
				starts(gate.SetLimits(now, bluebelllimit.SlotLimits{
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
				if r := pick(running); r != nil {
					delete(running, r.ID)
					starts(gate.Release(now, r, rapid.Bool().Draw(t, "ok")))
				}
			},
			"cancel": func(t *rapid.T) {
				if r := pick(waiting); r != nil {
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

// TestRetriesStayWithinTheBudget holds retries to their share of a long row of
// failing first attempts.
func TestRetriesStayWithinTheBudget(t *testing.T) {
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

// TestASuspectIsCold holds an endpoint that may have lost its memory to its cold
// slots, and lets it back by evidence.
func TestASuspectIsCold(t *testing.T) {
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

// TestABurstStarvesNobody lets one customer fill its part of the queue again and
// again, while another asks now and then: that one waits for one service time at the
// most, since it is next whenever a slot is free.
func TestABurstStarvesNobody(t *testing.T) {
	const (
		service = 100 * time.Millisecond
		tick    = 5 * time.Millisecond
		slots   = 4
	)
	gate := bluebelllimit.NewGate(bluebelllimit.GateConfig{QueueLimit: 60})
	gate.SetLimits(0, bluebelllimit.SlotLimits{Warm: slots, Cold: slots})
	ends := map[*bluebelllimit.Request]time.Duration{}
	offeredAt := map[*bluebelllimit.Request]time.Duration{}
	worst, served, nextID := time.Duration(0), 0, uint64(0)
	start := func(now time.Duration, r *bluebelllimit.Request) {
		ends[r] = now + service
		if r.Customer == "modest" {
			worst = max(worst, now-offeredAt[r])
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
		for r, end := range ends {
			if end <= now {
				delete(ends, r)
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
	require.LessOrEqual(t, worst, service)
}
