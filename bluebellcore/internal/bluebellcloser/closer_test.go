package bluebellcloser_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
	"bluebellhaven.org/bluebell/bluebellusage"
	"bluebellhaven.org/bluebellcore/internal/bluebellcloser"
)

const (
	second = time.Second
	window = 5 * second
)

// epoch is the start of a window.
var epoch = time.Unix(1_767_225_600, 0)

func number(n int64) int64 { return epoch.Unix()/5 + n }

// core is a core process of a deployment with a common log. Its clocks are those of the deployment.
type core struct {
	*deployment
	name     string
	totals   *bluebellusage.Totals
	leads    bool
	cut      bool
	entries  []string
	closer   *bluebellcloser.Closer
	mu       sync.Mutex // protects counters
	counters map[string]uint64
	gauges   map[string]float64
	log      strings.Builder
}

type deployment struct {
	now      time.Duration
	machine  *bluebellstate.Machine
	cores    map[string]*core
	collects atomic.Int64
	// agrees is unset while no majority can be reached.
	agrees bool
}

func newDeployment() *deployment {
	d := &deployment{machine: bluebellstate.New(), cores: map[string]*core{}, agrees: true}
	d.machine.Apply(&pb.Command{Body: &pb.Command_SetCommandVersion{SetCommandVersion: &pb.SetCommandVersion{Version: bluebellstate.UsageVersion}}})
	for _, name := range []string{"x", "y", "z"} {
		c := &core{deployment: d, name: name, totals: bluebellusage.NewTotals(window), counters: map[string]uint64{}, gauges: map[string]float64{}}
		c.closer = bluebellcloser.New(bluebellcloser.Config{
			Window: window, Due: 2 * window, Totals: c.totals, Core: d.machine.CoreState, IsLeader: func() bool { return c.leads },
			Entries: func() []string { return c.entries },
			Peers:   c.peers, Collect: d.collect, Propose: d.propose,
			Now: func() time.Duration { return d.now }, TimeOfDay: func() time.Time { return epoch.Add(d.now) },
			AddCount: func(name string, n uint64) {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.counters[name] += n
			},
			SetGauge: func(name string, value float64) { c.gauges[name] = value },
			Logger:   log.New(&c.log),
		})
		d.cores[name] = c
	}
	return d
}

func (c *core) peers() []string {
	var list []string
	for name := range c.cores {
		if name != c.name {
			list = append(list, name)
		}
	}
	return list
}

func (d *deployment) collect(_ context.Context, name string, r *pb.CollectUsageRequest) (*pb.CollectUsageReply, error) {
	d.collects.Add(1)
	if d.cores[name].cut {
		return nil, errors.New("no answer")
	}
	return &pb.CollectUsageReply{Entries: d.cores[name].totals.Collect(r.Windows)}, nil
}

func (d *deployment) propose(_ context.Context, c *pb.Command) (*pb.Result, error) {
	if !d.agrees {
		return nil, errors.New("not agreed in time")
	}
	return d.machine.Apply(proto.CloneOf(c)), nil
}

// run lets the core processes step until a time after epoch.
func (d *deployment) run(until time.Duration) {
	for ; d.now < until; d.now += 100 * time.Millisecond {
		for _, c := range d.cores {
			c.closer.Step(context.Background())
		}
	}
}

// report reports the count of a window by an entry.
func (c *core) report(entry string, n int64, count uint64, final int64) {
	c.totals.Record(epoch.Add(c.now), entry, &pb.UsageReport{Incarnation: 1, FinalThrough: number(final), Windows: []*pb.UsageWindow{
		{Window: number(n), Customers: []string{"a"}, Counts: []uint64{count}},
	}})
}

// decided returns the counts of the decided windows.
func (d *deployment) decided() map[int64]uint64 {
	counts := map[int64]uint64{}
	for _, u := range d.machine.CoreState().Usage {
		counts[u.Usage.Window-number(0)] = 0
		for _, n := range u.Usage.Counts {
			counts[u.Usage.Window-number(0)] += n
		}
	}
	return counts
}

// Guards against counts that only one of the core processes has, against a window that waits for nothing, and
// against windows before the first call.
func TestWindowIsClosedOnceAllEntriesAreFinal(t *testing.T) {
	d := newDeployment()
	d.now = 12 * second
	x := d.cores["x"]
	x.leads, x.entries = true, []string{"e", "f"}
	d.run(13 * second)
	require.Empty(t, d.decided())
	x.report("e", 2, 5, 1)
	d.cores["y"].report("f", 2, 7, 1)
	d.run(15 * second)
	x.report("e", 2, 5, 2)
	d.run(16500 * time.Millisecond)
	require.Empty(t, d.decided(), "an entry has not reported the window as final")
	d.cores["y"].report("f", 2, 8, 2)
	d.run(17500 * time.Millisecond)
	require.Equal(t, map[int64]uint64{2: 13}, d.decided())
	require.Contains(t, x.log.String(), "usage window decided")
	require.Zero(t, x.counters["usage_windows_incomplete"])
}

// Guards against requests to the other core processes at each step: they cross failure domains.
func TestCoresAreAskedSeldom(t *testing.T) {
	d := newDeployment()
	x := d.cores["x"]
	x.leads, x.entries = true, []string{"e"}
	for n := range int64(10) {
		d.run(time.Duration(n+1)*window - second)
		x.report("e", n, 1, n-1)
		d.run(time.Duration(n+1)*window + 200*time.Millisecond)
		x.report("e", n, 1, n)
	}
	d.run(10*window + second)
	require.Len(t, d.decided(), 10)
	// Until the first window is decided at 6.3 s, both others are asked every 0.7 s, and then once for each window.
	require.LessOrEqual(t, d.collects.Load(), int64(2*(10+9)))
}

// Guards against a window that is held open by a core process or an entry that is cut off, and against late counts
// that nobody learns of.
func TestWindowIsClosedWithoutEntryThatIsCutOff(t *testing.T) {
	d := newDeployment()
	x := d.cores["x"]
	x.leads, x.entries, d.cores["z"].cut = true, []string{"e", "f"}, true
	d.now = second
	x.report("e", 0, 5, 0)
	d.run(8500 * time.Millisecond)
	require.Empty(t, d.decided())
	d.run(10 * second)
	require.Equal(t, map[int64]uint64{0: 5}, d.decided())
	require.Positive(t, x.counters["usage_collect_failures"])
	require.Equal(t, uint64(1), x.counters["usage_windows_incomplete"])
	require.Contains(t, x.log.String(), "MissingEntries=[f]")
	d.cores["y"].report("f", 0, 3, 0)
	d.run(25 * second)
	require.Equal(t, uint64(5), d.decided()[0])
	require.Equal(t, uint64(3), x.counters["usage_runs_late"])
}

// Guards against a new leader that decides a window anew, and against windows that are left out after a time without
// a majority.
func TestNewLeaderDecidesWhatIsMissing(t *testing.T) {
	d := newDeployment()
	x, y := d.cores["x"], d.cores["y"]
	x.leads = true
	x.report("e", 0, 5, 0)
	y.report("e", 0, 4, -1)
	d.run(7 * second)
	require.Equal(t, map[int64]uint64{0: 5}, d.decided())
	d.agrees = false
	d.run(18 * second)
	require.Positive(t, x.counters["usage_decisions_failed"])
	require.InDelta(t, 3, x.gauges["usage_windows_open"], 0, "one is decided and two are not")
	y.report("e", 0, 9, 0)
	y.report("e", 2, 2, 2)
	x.leads, y.leads, d.agrees = false, true, true
	d.run(19 * second)
	require.Equal(t, map[int64]uint64{0: 5, 1: 0, 2: 2}, d.decided())
	require.InDelta(t, 0, x.gauges["usage_windows_open"], 0)
	require.InDelta(t, 1, y.gauges["usage_windows_overdue"], 0)
}

// Guards against commands that core processes of an earlier release would skip, so that states differ.
func TestNothingIsDecidedWhileEarlierReleaseRuns(t *testing.T) {
	d := newDeployment()
	d.machine.Apply(&pb.Command{Body: &pb.Command_SetCommandVersion{SetCommandVersion: &pb.SetCommandVersion{Version: 1}}})
	d.cores["x"].leads = true
	d.cores["x"].report("e", 0, 5, 0)
	d.run(20 * second)
	require.Empty(t, d.decided())
}

// Guards against a window that is closed without the counts of entries that do not follow again yet, after all core
// processes have restarted, or by a leader that was suspended.
func TestEntriesAreAwaitedAfterStandstill(t *testing.T) {
	d := newDeployment()
	x := d.cores["x"]
	x.leads, x.entries = true, []string{"e"}
	d.now = 4 * second
	x.report("e", 0, 5, 0)
	d.run(6 * second)
	require.Empty(t, d.decided(), "it has just started")
	d.run(8 * second)
	require.Equal(t, map[int64]uint64{0: 5}, d.decided())
	d.now = 11 * second
	x.report("e", 1, 5, 1)
	d.run(12 * second)
	require.Len(t, d.decided(), 1, "it was suspended")
	d.run(15 * second)
	require.Len(t, d.decided(), 2)
}

// Guards against a window that is decided without the counts of entries, or of the core process that has them, which
// were cut off around its end and come back before it must be closed: a third of the calls would be missing.
func TestWindowWaitsForThoseCutOffLately(t *testing.T) {
	d := newDeployment()
	x, y := d.cores["x"], d.cores["y"]
	x.leads, x.entries = true, []string{"e", "f"}
	d.run(2700 * time.Millisecond)
	x.entries = []string{"e"}
	d.run(5200 * time.Millisecond)
	x.report("e", 0, 5, 0)
	d.run(7 * second)
	require.Empty(t, d.decided())
	x.entries = []string{"e", "f"}
	y.report("f", 0, 3, 0)
	d.run(8 * second)
	require.Equal(t, map[int64]uint64{0: 8}, d.decided())

	// The second window has its counts at a core process that does not answer for a moment.
	x.report("e", 1, 5, 1)
	y.report("f", 1, 3, 1)
	y.cut = true
	d.run(12 * second)
	y.cut = false
	d.run(13 * second)
	require.Equal(t, uint64(8), d.decided()[1])
}

// Guards against windows of the future that are decided by a wrong clock: the log refuses the real ones then.
func TestWrongClockDecidesNoWindows(t *testing.T) {
	d := newDeployment()
	x := d.cores["x"]
	x.leads, x.entries = true, []string{"e"}
	d.now = second
	x.report("e", 0, 5, -1)
	d.run(5300 * time.Millisecond)
	x.report("e", 0, 5, 0)
	d.run(7 * second)
	require.Len(t, d.decided(), 1)
	d.now += time.Hour
	d.run(d.now + 2*second)
	require.LessOrEqual(t, len(d.decided()), 5)
}
