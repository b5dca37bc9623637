// Package bluebellcloser lets the leader of the core processes close usage windows: it asks all core processes for
// what entries have reported, merges it (bluebellusage), and has the counts of the window decided in the
// replicated log. What is decided is reported to the provider by the holder of the duty.
//
// A Closer keeps nothing that a new leader would need. The totals are at the core processes that entries report
// to, and the decisions in the log. The first decision of a window stands, so two processes that both regard
// themselves as the leader do no harm.
//
// # Usage
//
//	closer := bluebellcloser.New(bluebellcloser.Config{...})
//	closer.Run(ctx)
package bluebellcloser

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
	"bluebellhaven.org/bluebell/bluebellusage"
)

const (
	// stepInterval is how often the leader looks whether a window can be closed.
	stepInterval = 100 * time.Millisecond
	// collectInterval is the shortest time between two requests to the other core processes. A reply contains
	// the counts of all entries, about 30 KB for 295 of them and a few customers.
	collectInterval = 700 * time.Millisecond
	// settleTime is how long after the end of a window the totals are first collected: entries report within
	// 0.2 s of it, and their clocks differ.
	settleTime = 700 * time.Millisecond
	// collectTimeout bounds a request to another core process; a process that does not answer is left out.
	collectTimeout = 400 * time.Millisecond
	// proposeTimeout bounds the agreement on one decision. The next step proposes it again.
	proposeTimeout = time.Second
	// lateCheckDelay is the number of windows after which a decision is compared with the totals.
	lateCheckDelay = 2
	// standstill is the time without a step from which on the process counts as suspended, and knownAfter how long
	// after a start or a suspension the entries that follow are known: several of their polls and retries.
	standstill = time.Second
	knownAfter = 3 * time.Second
	// maxSilentWindows is the number of windows in succession that may be decided although no entry, of those
	// that follow, has reported one of them as final.
	maxSilentWindows = 4
	// maxLoggedEntries bounds the missing entries that a log line names.
	maxLoggedEntries = 5
)

// Config sets up a Closer.
type Config struct {
	// Window is the length of a window, and Due the time after its end within which its report is due.
	Window, Due time.Duration
	Totals      *bluebellusage.Totals
	// Core returns the replicated state that this process has applied.
	Core func() *pb.CoreState
	// IsLeader reports whether this process leads. Only then it closes windows.
	IsLeader func() bool
	// Entries returns the entries that follow a core process.
	Entries func() []string
	// Peers returns the addresses of the other core processes, and Collect asks one of them.
	Peers   func() []string
	Collect func(ctx context.Context, core string, r *pb.CollectUsageRequest) (*pb.CollectUsageReply, error)
	// Propose commits a command to the log and returns its result.
	Propose func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	// Now returns the time of a monotonic clock, TimeOfDay the time of day.
	Now       func() time.Duration
	TimeOfDay func() time.Time
	// AddCount adds to a counter, and SetGauge sets a gauge.
	AddCount func(name string, n uint64)
	SetGauge func(name string, value float64)
	Logger   *log.Logger
}

// Closer decides usage windows.
type Closer struct {
	cfg Config
	// collectedAt is when the other core processes were last asked. leading is set while this process leads and has
	// asked them.
	collectedAt time.Duration
	leading     bool
	// steppedAt is when the latest step ended, and knownAt from when on all entries are known.
	steppedAt, knownAt time.Duration
	// listedAt is when an entry was last listed while this process led, and answeredAt when another core
	// process last answered. Their counts are awaited although they cannot be heard at the moment.
	listedAt, answeredAt map[string]time.Duration
}

// New returns a Closer.
func New(cfg Config) *Closer {
	return &Closer{
		cfg: cfg, steppedAt: cfg.Now(), knownAt: cfg.Now() + knownAfter,
		listedAt: map[string]time.Duration{}, answeredAt: map[string]time.Duration{},
	}
}

// Run closes windows until ctx ends.
func (c *Closer) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.Step(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Step closes the windows that can be closed now. It does nothing while this process does not lead, or while a core
// process does not know the command. It must not be called concurrently.
func (c *Closer) Step(ctx context.Context) {
	if now := c.cfg.Now(); now-c.steppedAt > standstill {
		c.knownAt = now + knownAfter
	}
	defer func() { c.steppedAt = c.cfg.Now() }()
	core := c.cfg.Core()
	if !c.cfg.IsLeader() || core.GetCommandVersion() < bluebellstate.UsageVersion {
		if c.leading {
			c.leading = false
			c.cfg.SetGauge("usage_windows_open", 0)
			c.cfg.SetGauge("usage_windows_overdue", 0)
		}
		return
	}
	c.listEntries()
	// The age of a window is that before the totals are collected: if the process stands still in between, the
	// totals are older than the window seems to be.
	now := c.cfg.TimeOfDay()
	last, decided := bluebellstate.LastUsageWindow(core)
	ended := bluebellusage.At(now.Add(-settleTime), c.cfg.Window) - 1
	c.setGauges(core, now)
	if decided && last >= ended || c.leading && c.cfg.Now()-c.collectedAt < collectInterval {
		return
	}
	c.leading, c.collectedAt = true, c.cfg.Now()
	first := ended - bluebellusage.KeptWindows + 2
	if decided {
		// Windows that the log would not keep are not decided.
		first = max(last+1, ended-bluebellstate.MaxUsageWindows+1)
	}
	merged, answered, complete := c.collect(ctx, first, ended, core)
	if !decided {
		oldest, counted := merged.First()
		if !counted || oldest > ended {
			return
		}
		first = oldest
	}
	entries := slices.Sorted(maps.Keys(c.listedAt))
	if final, reported := merged.LastFinal(); reported && len(entries) > 0 {
		// No entry has seen the end of a much later window: this process's time of day is wrong. Windows that
		// are decided too early would keep the real ones from being decided.
		ended = min(ended, final+maxSilentWindows)
	}
	for window := first; window <= ended && c.cfg.IsLeader(); window++ {
		usage, missing, ok := bluebellusage.Close(bluebellusage.CloseInput{
			Window: window, Length: c.cfg.Window, Due: c.cfg.Due, Totals: merged, Entries: entries, EntriesUnknown: !complete || c.cfg.Now() < c.knownAt, Now: now,
		})
		if !ok || !c.decide(ctx, usage, len(entries), missing, answered) {
			return
		}
		c.logLate(core, merged, window-lateCheckDelay)
	}
}

// listEntries notes which entries follow a core process. Those that were listed within the time in which a window
// is open for them are kept: an entry or a failure domain that was cut off a moment ago has counts that are not
// known yet.
func (c *Closer) listEntries() {
	now := c.cfg.Now()
	for _, entry := range c.cfg.Entries() {
		c.listedAt[entry] = now
	}
	maps.DeleteFunc(c.listedAt, func(_ string, at time.Duration) bool { return now-at > c.awaited() })
	maps.DeleteFunc(c.answeredAt, func(_ string, at time.Duration) bool { return now-at > c.awaited() })
}

// awaited returns how long an entry or core process that is not heard is awaited.
func (c *Closer) awaited() time.Duration {
	return c.cfg.Window + bluebellusage.CloseAfter(c.cfg.Due)
}

// collect returns the totals of the windows from first to last, and of those whose decisions are to be compared with
// them, of this process and the others, and the number of core processes that they are from. complete is unset if
// one that has answered lately does not answer now.
func (c *Closer) collect(ctx context.Context, first, last int64, core *pb.CoreState) (merged bluebellusage.Merged, answered int, complete bool) {
	var windows []int64
	for w := max(first-lateCheckDelay, last-bluebellusage.KeptWindows+1); w <= last; w++ {
		// A decided window is compared once.
		if w >= first || bluebellstate.UsageOf(core, w) != nil && w <= last-lateCheckDelay {
			windows = append(windows, w)
		}
	}
	var mu sync.Mutex
	complete = true
	replies := [][]*pb.EntryUsage{c.cfg.Totals.Collect(windows)}
	var calls conc.WaitGroup
	for _, peer := range c.cfg.Peers() {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, collectTimeout)
			defer cancel()
			reply, err := c.cfg.Collect(callCtx, peer, &pb.CollectUsageRequest{Windows: windows})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				c.cfg.AddCount("usage_collect_failures", 1)
				if _, lately := c.answeredAt[peer]; lately {
					complete = false
				}
				return
			}
			c.answeredAt[peer] = c.cfg.Now()
			replies = append(replies, reply.Entries)
		})
	}
	calls.Wait()
	return bluebellusage.Merge(replies...), len(replies), complete
}

// decide has the usage of a window decided and logs the result. It reports whether the window is decided.
func (c *Closer) decide(ctx context.Context, usage *pb.DecideUsage, entries int, missing []string, answered int) bool {
	callCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.cfg.Propose(callCtx, &pb.Command{Body: &pb.Command_DecideUsage{DecideUsage: usage}})
	runs := uint64(0)
	for _, n := range result.GetUsage().GetCounts() {
		runs += n
	}
	age := c.cfg.TimeOfDay().Sub(bluebellusage.EndOf(usage.Window, c.cfg.Window))
	c.cfg.Logger.Info("usage window decided", "Window", usage.Window, "Customers", len(result.GetUsage().GetCustomers()), "Runs", runs,
		"Final", entries-len(missing), "Missing", len(missing), "MissingEntries", missing[:min(len(missing), maxLoggedEntries)], "Cores", answered,
		"Age", age.Round(time.Millisecond), "Verdict", result.GetVerdict(), "Text", result.GetText(), "Error", err)
	if err != nil || result.GetVerdict() != pb.Verdict_Accepted {
		c.cfg.AddCount("usage_decisions_failed", 1)
		return false
	}
	c.cfg.AddCount("usage_windows_decided", 1)
	if len(missing) > 0 {
		c.cfg.AddCount("usage_windows_incomplete", 1)
	}
	return true
}

// logLate logs and counts the runs of a decided window that were reported after its decision.
func (c *Closer) logLate(core *pb.CoreState, merged bluebellusage.Merged, window int64) {
	decided := bluebellstate.UsageOf(core, window)
	if decided == nil {
		return
	}
	if late := merged.Late(decided); late > 0 {
		c.cfg.AddCount("usage_runs_late", late)
		c.cfg.Logger.Warn("usage arrived after the decision", "Window", window, "Runs", late)
	}
}

// setGauges sets the numbers of windows that are decided and not sent, and of those that are overdue, decided or not.
func (c *Closer) setGauges(core *pb.CoreState, now time.Time) {
	open, overdue := 0, 0
	for _, d := range core.GetUsage() {
		if d.Sent {
			continue
		}
		open++
		if now.Sub(bluebellusage.EndOf(d.Usage.Window, c.cfg.Window)) > c.cfg.Due {
			overdue++
		}
	}
	if last, decided := bluebellstate.LastUsageWindow(core); decided {
		ended := bluebellusage.At(now, c.cfg.Window) - 1
		due := bluebellusage.At(now.Add(-c.cfg.Due), c.cfg.Window) - 1
		open += int(max(ended-last, 0))
		overdue += int(max(due-last, 0))
	}
	c.cfg.SetGauge("usage_windows_open", float64(open))
	c.cfg.SetGauge("usage_windows_overdue", float64(overdue))
}
