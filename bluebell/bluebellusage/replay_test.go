package bluebellusage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
	"bluebellhaven.org/bluebell/bluebellusage"
)

const (
	tick       = 50 * time.Millisecond
	entryCount = 78
	coreCount  = 5
)

// replay is a deployment whose entries count calls and report to three of five core processes each. Its clock is
// true time after epoch.
type replay struct {
	now     time.Duration
	random  *rand.Rand
	truth   map[string]uint64 // by window and customer
	entries []*replayEntry
	cores   []*replayCore
	machine *bluebellstate.Machine
	// reports holds what the provider was sent, encoded, by window, and late the windows that were sent late.
	reports map[int64]string
	late    map[int64]bool
	// leader is the core process that closes windows, -1 for none. sendsAt is from when its holder of the duty
	// sends.
	leader  int
	sendsAt time.Duration
}

type replayEntry struct {
	name        string
	incarnation uint64
	counter     *bluebellusage.Counter
	clockAhead  time.Duration
	cursors     [coreCount]bluebellusage.Cursor
	// downUntil and frozenUntil are the ends of a restart and of a freeze, cutUntil that of a cut from all core
	// processes.
	downUntil, frozenUntil, cutUntil time.Duration
	pollAt                           time.Duration
}

type replayCore struct {
	totals  *bluebellusage.Totals
	heardAt map[string]time.Duration
	down    bool
}

func newReplay(seed uint64) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 1)), truth: map[string]uint64{}, machine: bluebellstate.New(), reports: map[int64]string{}, late: map[int64]bool{},
	}
	for range coreCount {
		r.cores = append(r.cores, &replayCore{totals: bluebellusage.NewTotals(window), heardAt: map[string]time.Duration{}})
	}
	for i := range entryCount {
		e := &replayEntry{name: fmt.Sprint("entry-", i), clockAhead: time.Duration(r.random.Int64N(int64(200*time.Millisecond))) - 100*time.Millisecond}
		e.start(r)
		r.entries = append(r.entries, e)
	}
	return r
}

// start starts an entry, which forgets its counts.
func (e *replayEntry) start(r *replay) {
	e.incarnation = r.random.Uint64()
	e.counter = bluebellusage.NewCounter(bluebellusage.CounterConfig{Window: window, Incarnation: e.incarnation})
	e.cursors = [coreCount]bluebellusage.Cursor{}
	e.pollAt = r.now + time.Duration(r.random.Int64N(int64(500*time.Millisecond)))
}

// kill kills an entry, which is back after a time.
func (r *replay) kill(e *replayEntry, d time.Duration) {
	e.start(r)
	e.downUntil = r.now + d
}

// run lets the deployment run for a time. At each step it calls fault, if that is not nil.
func (r *replay) run(d time.Duration, fault func()) {
	for end := r.now + d; r.now < end; r.now += tick {
		if fault != nil {
			fault()
		}
		for i, e := range r.entries {
			if r.now >= e.downUntil && r.now >= e.frozenUntil {
				r.serve(i, e)
			}
		}
		if r.leader >= 0 {
			r.closeWindows()
			r.send()
		}
	}
}

// serve lets an entry count about 3 calls a second of two customers, and report.
func (r *replay) serve(i int, e *replayEntry) {
	if r.random.Float64() < 0.15 {
		customer := []string{"huvo", "puhu", "puhu"}[r.random.IntN(3)]
		r.truth[fmt.Sprint(bluebellusage.At(epoch.Add(r.now), window), customer)]++
		e.counter.Count(epoch.Add(r.now+e.clockAhead), customer)
	}
	ended := bluebellusage.At(epoch.Add(r.now+e.clockAhead), window) != bluebellusage.At(epoch.Add(r.now+e.clockAhead-tick), window)
	if r.now < e.cutUntil || r.now < e.pollAt && !ended {
		return
	}
	e.pollAt = r.now + 500*time.Millisecond
	for k := range 3 {
		at := (i + k) % coreCount
		c := r.cores[at]
		if c.down {
			continue
		}
		c.heardAt[e.name] = r.now
		report, cursor := e.counter.Report(epoch.Add(r.now+e.clockAhead), e.cursors[at])
		if report == nil {
			continue
		}
		c.totals.Record(epoch.Add(r.now), e.name, proto.CloneOf(report))
		// One reply in ten is lost, so the same counts are reported again.
		if r.random.IntN(10) > 0 {
			e.cursors[at] = cursor
		}
	}
}

// closeWindows lets the leader decide the windows that can be closed.
func (r *replay) closeWindows() {
	now := epoch.Add(r.now)
	ended := bluebellusage.At(now, window) - 1
	next := ended
	if last, decided := bluebellstate.LastUsageWindow(r.machine.CoreState()); decided {
		next = last + 1
	}
	for ; next <= ended; next++ {
		var replies [][]*pb.EntryUsage
		entries := map[string]bool{}
		var following []string
		for _, c := range r.cores {
			if c.down {
				continue
			}
			replies = append(replies, c.totals.Collect([]int64{next}))
			for name, at := range c.heardAt {
				if r.now-at <= 2*second && !entries[name] {
					entries[name] = true
					following = append(following, name)
				}
			}
		}
		merged := bluebellusage.Merge(replies...)
		if _, counted := merged.First(); !counted && len(r.machine.CoreState().Usage) == 0 {
			return
		}
		usage, _, ok := bluebellusage.Close(bluebellusage.CloseInput{Window: next, Length: window, Totals: merged, Entries: following, Now: now})
		if !ok {
			return
		}
		r.machine.Apply(&pb.Command{Body: &pb.Command_DecideUsage{DecideUsage: usage}})
	}
}

// send sends the decided windows to the provider.
func (r *replay) send() {
	reporter := bluebellusage.Reporter{Window: window, Core: r.machine.CoreState}
	for r.now >= r.sendsAt {
		number, customers, counts, dueIn, ok := reporter.Next(epoch.Add(r.now))
		if !ok {
			return
		}
		text := fmt.Sprint(customers, counts)
		if before, sent := r.reports[number]; sent && before != text {
			panic(fmt.Sprintf("window %d was reported with %s and %s", number, before, text))
		}
		r.reports[number] = text
		r.late[number] = dueIn < 0
		// The record of one report in ten is lost with its sender, so it is sent again.
		if r.random.IntN(10) > 0 {
			r.machine.Apply(&pb.Command{Body: &pb.Command_RecordUsageSent{RecordUsageSent: &pb.RecordUsageSent{Window: number}}})
		}
	}
}

// check requires that each window of a span was reported in time and within the tolerance.
func (r *replay) check(t *testing.T, from, to int64) {
	t.Helper()
	for n := from; n < to; n++ {
		w := number(n)
		require.Contains(t, r.reports, w, "window %d", n)
		require.False(t, r.late[w], "window %d", n)
		usage := bluebellstate.UsageOf(r.machine.CoreState(), w)
		for i, customer := range usage.GetCustomers() {
			truth := r.truth[fmt.Sprint(w, customer)]
			require.InEpsilon(t, truth, usage.Counts[i], 0.05, "window %d, customer %s", n, customer)
		}
		require.Len(t, usage.GetCustomers(), 2)
	}
}

// entry returns a random entry.
func (r *replay) entry() *replayEntry { return r.entries[r.random.IntN(len(r.entries))] }

// Guards against counts that differ from the truth by more than 5 % while every second an entry is killed, frozen or
// cut off for up to 3 s, or its time of day jumps, and against windows that are reported with different counts.
func TestUsageWhileEntriesAreKilledFrozenAndCutOff(t *testing.T) {
	for seed := range uint64(4) {
		r := newReplay(seed)
		r.run(2*window, nil)
		r.run(10*window, func() {
			short := time.Duration(r.random.Int64N(int64(3 * second)))
			switch r.random.IntN(60) {
			case 0:
				r.kill(r.entry(), short)
			case 1:
				r.entry().frozenUntil = r.now + short
			case 2:
				r.entry().cutUntil = r.now + short
			case 3:
				r.entry().clockAhead = 2*short - 3*second
			}
		})
		r.run(4*window, nil)
		r.check(t, 0, 14)
	}
}

// Guards against a report that depends on the leader. It changes every 15 s, with the loss of another core process,
// and the new holder of the duty sends 4 s after the change.
func TestUsageWhileLeadersChange(t *testing.T) {
	r := newReplay(9)
	r.run(2*window, nil)
	r.run(10*window, func() {
		if r.random.IntN(300) == 0 {
			for _, c := range r.cores {
				c.down = false
			}
			r.cores[r.random.IntN(coreCount)].down = true
			r.leader, r.sendsAt = r.random.IntN(coreCount), r.now+4*second
		}
	})
	r.run(4*window, nil)
	r.check(t, 0, 14)
}

// Guards against windows that are left out, or out of order, after a time without a leader, and against counts that
// were reported before being lost by it.
func TestUsageAfterTimeWithoutLeader(t *testing.T) {
	r := newReplay(4)
	r.run(3*window, nil)
	r.leader = -1
	r.run(6*window, nil)
	r.leader = 2
	r.run(2*window, nil)
	for i, d := range r.machine.CoreState().Usage {
		require.Equal(t, r.machine.CoreState().Usage[0].Usage.Window+int64(i), d.Usage.Window)
	}
	for w := number(0); w < number(9); w++ {
		usage := bluebellstate.UsageOf(r.machine.CoreState(), w)
		for i, customer := range usage.GetCustomers() {
			require.InEpsilon(t, r.truth[fmt.Sprint(w, customer)], usage.Counts[i], 0.05)
		}
	}
	require.True(t, r.late[number(3)])
	require.False(t, r.late[number(9)])
}

// Guards against counts that are lost with the entry that has reported them, or counted twice because several core
// processes have them.
func TestReportedCountsSurviveTheEntry(t *testing.T) {
	totals := []*bluebellusage.Totals{bluebellusage.NewTotals(window), bluebellusage.NewTotals(window)}
	report := func(totals *bluebellusage.Totals, incarnation, count uint64, final int64) {
		totals.Record(epoch.Add(4*second), "e", &pb.UsageReport{Incarnation: incarnation, FinalThrough: number(final), Windows: []*pb.UsageWindow{
			{Window: number(0), Customers: []string{"a"}, Counts: []uint64{count}},
		}})
	}
	report(totals[0], 1, 5, -1)
	report(totals[1], 1, 4, -1)
	report(totals[0], 1, 3, -1) // delivered late
	report(totals[1], 2, 2, 0)
	merged := bluebellusage.Merge(totals[0].Collect([]int64{number(0)}), totals[1].Collect([]int64{number(0)}))
	require.Equal(t, []uint64{7}, merged.Usage(number(0)).Counts)
	require.Empty(t, merged.Missing(number(0), []string{"e"}))
	require.Equal(t, []string{"f"}, merged.Missing(number(0), []string{"e", "f"}))
	require.Equal(t, uint64(3), merged.Late(&pb.DecideUsage{Window: number(0), Customers: []string{"a"}, Counts: []uint64{4}}))
}

// Guards against a window that is held open by an entry that was cut off, and against one that is closed while an
// entry has not reported it.
func TestWindowClosesWithoutMissingEntry(t *testing.T) {
	in := bluebellusage.CloseInput{Window: number(0), Length: window, Totals: bluebellusage.Merge(), Entries: []string{"e"}}
	for after, closes := range map[time.Duration]bool{4 * second: false, 8 * second: false, 9 * second: true} {
		in.Now = epoch.Add(after)
		_, missing, ok := bluebellusage.Close(in)
		require.Equal(t, closes, ok, after)
		require.Equal(t, []string{"e"}, missing)
	}
	in.Due, in.Now = 5*second, epoch.Add(7*second)
	_, _, ok := bluebellusage.Close(in)
	require.True(t, ok, "a report that is due earlier is closed earlier")
	in.Entries, in.Now = nil, epoch.Add(4900*time.Millisecond)
	_, _, ok = bluebellusage.Close(in)
	require.False(t, ok, "the window has not ended")
	in.Now = epoch.Add(6 * second)
	_, _, ok = bluebellusage.Close(in)
	require.True(t, ok)
	in.EntriesUnknown = true
	_, _, ok = bluebellusage.Close(in)
	require.False(t, ok, "entries may be missing that are not known yet")
}

// Guards against memory that grows with what entries report.
func TestTotalsAreBounded(t *testing.T) {
	totals := bluebellusage.NewTotals(window)
	for i := range int64(1000) {
		totals.Record(epoch.Add(window*time.Duration(i)), "e", &pb.UsageReport{Incarnation: uint64(i), FinalThrough: number(i), Windows: []*pb.UsageWindow{
			{Window: number(i), Customers: []string{"a"}, Counts: []uint64{1}}, {Window: number(i + 1000), Customers: []string{"a"}, Counts: []uint64{1}},
		}})
	}
	require.LessOrEqual(t, len(totals.Collect(nil)), bluebellusage.KeptWindows)
}

// Guards against a backlog that makes later windows late as well.
func TestReporterSendsWindowsInTimeFirst(t *testing.T) {
	core := &pb.CoreState{}
	for n := range int64(4) {
		core.Usage = append(core.Usage, &pb.UsageDecision{Usage: &pb.DecideUsage{Window: number(n), Customers: []string{"a"}, Counts: []uint64{uint64(n)}}})
	}
	r := bluebellusage.Reporter{Window: window, Core: func() *pb.CoreState { return core }}
	var order []int64
	for range 4 {
		w, _, sums, dueIn, ok := r.Next(epoch.Add(22 * second))
		require.True(t, ok)
		require.Equal(t, uint64(w-number(0)), sums[0])
		require.Equal(t, time.Duration(15+5*(w-number(0))-22)*second, dueIn)
		order = append(order, w-number(0))
		core.Usage[w-number(0)].Sent = true
	}
	require.Equal(t, []int64{2, 3, 0, 1}, order)
	_, _, _, _, ok := r.Next(epoch)
	require.False(t, ok)
}
