package bluebellplacement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebellplacement"
)

// plainDay replays 70 entries in front of 3 plain endpoints of 6 slots, one in each failure domain. Other
// load takes five slots of the first one during the first five of every ten seconds.
type plainDay struct {
	reports bool
	// idle is set if there is no other load.
	idle bool
	// work is how long a call runs, perSecond the number of calls.
	work      time.Duration
	perSecond int
	// alter changes a report on its way, nil for none.
	alter func(endpoint int, r bluebellplacement.LoadReport) bluebellplacement.LoadReport
}

// plainResult counts the calls, by endpoint, and those that waited at an endpoint for a slot.
type plainResult struct {
	calls        [3]int
	waited       int
	sum, longest time.Duration
}

type plainCall struct {
	entry  *bluebellplacement.Placer
	choice bluebellplacement.Choice
	until  time.Duration
}

func (d plainDay) run(t *testing.T) plainResult {
	t.Helper()
	const entries, slots, step = 70, 6, time.Millisecond
	rng := rand.New(rand.NewPCG(3, 3))
	f := bluebellplacement.Fleet{RegistrationsLive: true}
	for i := range 3 {
		f.Endpoints = append(f.Endpoints, bluebellfleet.Endpoint{
			ID: fmt.Sprint("p-", i), Target: "plain", FailureDomain: string(rune('a' + i)), State: bluebellfleet.Serving, ReceivedAt: second, Slots: slots,
		})
	}
	var placers []*bluebellplacement.Placer
	for i := range entries {
		c := config
		c.Self, c.FailureDomain = fmt.Sprintf("e%02d", i), string(rune('a'+i%3))
		placers = append(placers, placer(c, f))
	}
	var running, waiting [3][]plainCall
	var result plainResult
	other := func(now time.Duration, endpoint int) int {
		if endpoint == 0 && !d.idle && now/(5*second)%2 == 0 {
			return slots - 1
		}
		return 0
	}
	var before map[string]bluebellplacement.EndpointUse
	start := func(now time.Duration, endpoint int, c plainCall) {
		result.sum += now - c.until
		result.longest = max(result.longest, now-c.until)
		c.until = now + d.work*time.Duration(70+rng.IntN(60))/100
		running[endpoint] = append(running[endpoint], c)
	}
	answer := func(now time.Duration, endpoint int, c plainCall) {
		if d.reports {
			r := bluebellplacement.LoadReport{Running: len(running[endpoint]) + other(now, endpoint), Waiting: len(waiting[endpoint]), Slots: slots, At: now}
			if d.alter != nil {
				r = d.alter(endpoint, r)
			}
			c.entry.RecordLoadReport(c.choice, r)
		}
		c.entry.FirstEvent(c.choice, now)
		c.entry.Done(c.choice, now, bluebellplacement.Answered)
	}
	for now := second; now < 31*second; now += step {
		if now%(200*time.Millisecond) == 0 {
			// What the entries reported 200 ms ago reaches all of them.
			next := f
			next.At, next.UseByOthers = now, before
			sums := map[string]bluebellplacement.EndpointUse{}
			for _, p := range placers {
				p.Update(next)
				for id, u := range p.Uses(now) {
					sums[id] = sums[id].Add(u)
				}
			}
			before = sums
		}
		for i := range 3 {
			ended := slices.IndexFunc(running[i], func(c plainCall) bool { return c.until <= now })
			for ; ended >= 0; ended = slices.IndexFunc(running[i], func(c plainCall) bool { return c.until <= now }) {
				c := running[i][ended]
				running[i] = slices.Delete(running[i], ended, ended+1)
				answer(now, i, c)
			}
			for len(waiting[i]) > 0 && len(running[i])+other(now, i) < slots {
				first := waiting[i][0]
				waiting[i] = waiting[i][1:]
				start(now, i, first)
			}
		}
		if rng.Float64() >= float64(d.perSecond)*step.Seconds() {
			continue
		}
		c := plainCall{entry: placers[rng.IntN(entries)], until: now}
		choice, picked := c.entry.Pick(now, bluebellplacement.Request{Target: "plain"})
		require.Equal(t, bluebellplacement.Picked, picked)
		c.entry.Sent(&choice, now)
		c.choice = choice
		at := int(choice.Endpoint.ID[2] - '0')
		result.calls[at]++
		if len(running[at])+other(now, at) < slots {
			start(now, at, c)
			continue
		}
		result.waited++
		waiting[at] = append(waiting[at], c)
	}
	return result
}

// An entry that knows only its own calls finds out by late answers that other load takes an endpoint's
// slots, and later never that it no longer does.
func TestLoadReportsKeepCallsFromBusyEndpoints(t *testing.T) {
	for _, d := range []plainDay{{work: 15 * time.Millisecond, perSecond: 170}, {work: 60 * time.Millisecond, perSecond: 153}, {work: 60 * time.Millisecond, perSecond: 80}} {
		without := d.run(t)
		d.reports = true
		with := d.run(t)
		t.Logf("%s, %d/s: without reports %+v, with %+v", d.work, d.perSecond, without, with)
		require.Less(t, with.waited, without.waited)
		require.Less(t, with.sum, without.sum)
	}
}

// An endpoint that always reports to be idle gets no more calls than one that reports the truth, whether it
// is idle or not.
func TestLyingEndpointGainsNothing(t *testing.T) {
	d := plainDay{work: 60 * time.Millisecond, perSecond: 80, reports: true, idle: true}
	honest := d.run(t)
	for _, lie := range []bluebellplacement.LoadReport{{Slots: 6}, {Slots: 60_000}, {Slots: 6, WorkPercent: 1}} {
		d.alter = func(endpoint int, r bluebellplacement.LoadReport) bluebellplacement.LoadReport {
			if endpoint == 1 {
				lie.At = r.At
				return lie
			}
			return r
		}
		lying := d.run(t)
		t.Logf("%+v: honest %+v, lying %+v", lie, honest, lying)
		require.Less(t, float64(lying.calls[1]), 1.1*float64(honest.calls[1]))
	}
	// The first endpoint has other load.
	d = plainDay{work: 60 * time.Millisecond, perSecond: 80, reports: true}
	honest = d.run(t)
	d.alter = func(endpoint int, r bluebellplacement.LoadReport) bluebellplacement.LoadReport {
		if endpoint == 0 {
			r.Running, r.Waiting = 0, 0
		}
		return r
	}
	lying := d.run(t)
	t.Logf("with other load: honest %+v, lying %+v", honest, lying)
	require.Less(t, lying.calls[0], honest.calls[0])
}

// reportingPlacer returns a placer of a plain endpoint with 6 slots that has made a report, and of a choice there.
func reportingPlacer(t *testing.T, target string, r bluebellplacement.LoadReport) (*bluebellplacement.Placer, bluebellplacement.Request) {
	t.Helper()
	f := fleet(1)
	f.Endpoints[0].Slots = 6
	request := prompt("")
	if target == "plain" {
		f.Endpoints[0].Target, request = target, bluebellplacement.Request{Target: target}
	}
	p := placer(config, f)
	choice, result := p.Pick(second, request)
	require.Equal(t, bluebellplacement.Picked, result)
	p.RecordLoadReport(choice, r)
	return p, request
}

// A report must neither make an endpoint look better than its calls in flight do, nor worse than a full
// one, and it must not outlive the calls that it counts.
func TestLoadReportIsBounded(t *testing.T) {
	for _, target := range []string{"plain", "llm"} {
		expected := func(r bluebellplacement.LoadReport, now time.Duration) time.Duration {
			p, request := reportingPlacer(t, target, r)
			choice, _ := p.Pick(now, request)
			return choice.Expected
		}
		at := func(r bluebellplacement.LoadReport) time.Duration {
			r.At = second
			return expected(r, second)
		}
		type report = bluebellplacement.LoadReport
		none, full := at(report{}), at(report{Running: 6, Slots: 6})
		require.Less(t, none, full)
		require.Less(t, at(report{Running: 3, Slots: 6}), full)
		require.Greater(t, at(report{Running: 3, Slots: 6}), none)
		require.Equal(t, none, at(report{Slots: 60_000, WorkPercent: 1}))
		require.Equal(t, full, at(report{Running: 60_000, Waiting: 60_000, Slots: 1, WorkPercent: 10_000}))
		require.Equal(t, full, at(report{Running: 3, Slots: 3}), "an endpoint that shrinks is full with fewer calls")
		require.Equal(t, none, expected(report{Running: 6, Slots: 6, At: second}, 2*second), "a stale report")
		p, request := reportingPlacer(t, target, report{Running: 1, Slots: 6, At: second})
		before, _ := p.Pick(second, request)
		p.Sent(&before, second)
		after, _ := p.Pick(second, request)
		require.Greater(t, after.Expected, before.Expected, "a call that was sent since counts on top")
	}
}

// A call takes longer while the machine of its endpoint does other work.
func TestWorkPercentRaisesExpectedTime(t *testing.T) {
	p, request := reportingPlacer(t, "llm", bluebellplacement.LoadReport{Slots: 64, WorkPercent: 100, At: second})
	choice, _ := p.Pick(second, request)
	p.RecordLoadReport(choice, bluebellplacement.LoadReport{Slots: 64, WorkPercent: 104, At: 3 * second})
	slower, _ := p.Pick(3*second, request)
	require.Greater(t, slower.Expected, choice.Expected)
	p.RecordLoadReport(choice, bluebellplacement.LoadReport{Slots: 64, WorkPercent: 100, At: 3*second + 10*time.Millisecond})
	smoothed, _ := p.Pick(3*second+10*time.Millisecond, request)
	require.Greater(t, smoothed.Expected, choice.Expected, "a single report changes little")
}

// An entry acts on the reports that other entries have got, but not on those of an earlier incarnation.
func TestEntriesShareLoadReports(t *testing.T) {
	p, request := reportingPlacer(t, "plain", bluebellplacement.LoadReport{Slots: 6, At: second})
	idle, _ := p.Pick(second, request)
	f := fleet(1)
	f.Endpoints[0].Target, f.Endpoints[0].Slots, f.Endpoints[0].StartUnixMillis = "plain", 6, 1
	f.At = 2 * second
	f.UseByOthers = map[string]bluebellplacement.EndpointUse{"i-0": {Report: bluebellplacement.LoadReport{Running: 6, Slots: 6, At: 1900 * time.Millisecond}}}
	p.Update(f)
	busy, _ := p.Pick(2*second, request)
	require.Greater(t, busy.Expected, idle.Expected)
	f.Endpoints[0].StartUnixMillis = 2
	p.Update(f)
	restarted, _ := p.Pick(2*second, request)
	require.Equal(t, idle.Expected, restarted.Expected)
	require.Equal(t, bluebellplacement.LoadReport{}, p.Uses(2 * second)["i-0"].Report, "a report of others is not repeated")
}
