package bluebellcluster

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// Mutation names a safeguard that a run disables.
type Mutation string

// The mutations. None leaves all safeguards on.
const (
	None Mutation = ""
	// IgnoreSync makes syncs have no effect, so that a crash loses synced data.
	IgnoreSync Mutation = "IgnoreSync"
	// SameIdentity lets a member with a replaced, empty disk vote under its old ID.
	SameIdentity Mutation = "SameIdentity"
	// VoteAtOnce lets a restarted member vote before an election timeout has passed.
	VoteAtOnce Mutation = "VoteAtOnce"
	// Drift lets clock rates differ by more than the allowed bound.
	Drift Mutation = "Drift"
	// DispatchHeld lets a client dispatch a call whose claim another attempt holds.
	DispatchHeld Mutation = "DispatchHeld"
	// ForgetReleased makes a client release a claim after the dispatch instead of closing
	// it.
	ForgetReleased Mutation = "ForgetReleased"
	// ForgetCommit drops the commit index from the stored state on restart.
	ForgetCommit Mutation = "ForgetCommit"
	// SkipCorrupt starts a member with an empty log when its log is corrupt.
	SkipCorrupt Mutation = "SkipCorrupt"
	// ReportUndecided reports the usage of a window before it is decided.
	ReportUndecided Mutation = "ReportUndecided"
)

// Mutations returns all mutations except None.
func Mutations() []Mutation {
	return []Mutation{IgnoreSync, SameIdentity, VoteAtOnce, Drift, DispatchHeld, ForgetReleased, ForgetCommit, SkipCorrupt, ReportUndecided}
}

// Config configures a Simulation.
type Config struct {
	Seed uint64
	// Steps is the largest number of events that a run executes.
	Steps int
	// Voters is the number of voting members.
	Voters   int
	Mutation Mutation
	// Usage adds members that decide usage windows and report them. Runs without it are the same as before they
	// were added. It is implied by the mutations of usage.
	Usage bool
}

// Report counts the events and faults of a run.
type Report struct {
	// Steps counts executed events. Messages counts sent Raft messages, of which Lost
	// were dropped and Doubled were delivered twice.
	Steps, Messages, Lost, Doubled int
	// TornRestarts counts crashes of members that had written to their disk; DiskLosses
	// counts replaced disks, Flips attempts to flip a bit, and SyncFail failed syncs.
	Crashes, TornRestarts, DiskLosses, Flips, SyncFail int
	// OneWay counts the Partitions that block only one direction.
	Partitions, OneWay, Pauses int
	// Elections counts terms with a leader, Committed log entries, Snapshots the
	// snapshots that members took of their own state, and Installs those received.
	Elections, Committed, Snapshots, Installs int
	// MemberChanges counts the changes of the membership that a leader proposed.
	MemberChanges int
	// ClaimOps counts submissions of claim commands, and Dispatches calls that were sent
	// to an endpoint. Settled and Expired count those verdicts on attempts to open a
	// claim.
	ClaimOps, Dispatches, Settled, Expired int
	// Changes counts accepted operators' changes, Conflicts those refused for their base
	// revision, and Resent repeated submissions.
	Changes, Conflicts, Resent int
	// Orders counts the checks that the leader alone holds the lease.
	Orders int
	// UsageDecisions counts decided usage windows, UsageReports the reports that were sent, repeats included.
	UsageDecisions, UsageReports int
	// SimulatedTime is the duration of the run in simulated time.
	SimulatedTime time.Duration
}

// Add adds the counts of o to r.
func (r *Report) Add(o Report) {
	r.Steps += o.Steps
	r.Messages += o.Messages
	r.Lost += o.Lost
	r.Doubled += o.Doubled
	r.Crashes += o.Crashes
	r.TornRestarts += o.TornRestarts
	r.DiskLosses += o.DiskLosses
	r.Flips += o.Flips
	r.SyncFail += o.SyncFail
	r.Partitions += o.Partitions
	r.OneWay += o.OneWay
	r.Pauses += o.Pauses
	r.Elections += o.Elections
	r.Committed += o.Committed
	r.Snapshots += o.Snapshots
	r.Installs += o.Installs
	r.MemberChanges += o.MemberChanges
	r.ClaimOps += o.ClaimOps
	r.Dispatches += o.Dispatches
	r.Settled += o.Settled
	r.Expired += o.Expired
	r.Changes += o.Changes
	r.Conflicts += o.Conflicts
	r.Resent += o.Resent
	r.Orders += o.Orders
	r.UsageDecisions += o.UsageDecisions
	r.UsageReports += o.UsageReports
	r.SimulatedTime += o.SimulatedTime
}

// Violation is the error for a violated invariant, with the seed that reproduces it.
type Violation struct {
	Seed    uint64
	Step    int
	Message string
}

var _ error = (*Violation)(nil)

func (v *Violation) Error() string {
	return fmt.Sprintf("seed %d, step %d: %s", v.Seed, v.Step, v.Message)
}

// event is a callback scheduled at a simulated time. Events at the same time run in
// order of sequence.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventHeap is a heap of events in order of time.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// Simulation is one randomised run of a cluster with its clients and faults.
type Simulation struct {
	cfg      Config
	rand     *rand.Rand
	now      time.Duration
	events   eventHeap
	sequence uint64
	report   Report

	members []*member
	// blockedLinks holds the links between VMs that drop all messages.
	blockedLinks map[link]bool
	// replacements counts replaced disks; it makes the IDs of their members unique.
	replacements int

	// leadersByTerm and committedByIndex hold what all members must agree on.
	leadersByTerm    map[uint64]string
	committedByIndex map[uint64]committedEntry

	clients *clients
	// usage is nil in runs without it.
	usage *usageClients
}

// link is a network direction between two members, given by their VM indexes.
type link struct{ from, to int }

// committedEntry is the content of a committed log entry.
type committedEntry struct {
	term uint64
	data string
}

const (
	electionTimeout   = 300 * time.Millisecond
	heartbeatInterval = 50 * time.Millisecond
	// maxClockDrift is the largest relative difference between the rates of two clocks
	// that the nodes allow for.
	maxClockDrift = 0.1
	tickInterval  = 20 * time.Millisecond
	// startUnixNanos is the wall clock time at the start of a run, long after 1970.
	startUnixNanos = int64(1_700_000_000) * int64(time.Second)
)

// New returns a simulation with all members started, before its first step.
func New(cfg Config) *Simulation {
	sim := &Simulation{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 0x5eed)),
		blockedLinks: map[link]bool{}, leadersByTerm: map[uint64]string{}, committedByIndex: map[uint64]committedEntry{},
	}
	initial := &pb.Members{}
	for i := range cfg.Voters {
		initial.Voters = append(initial.Voters, memberName(i, 0))
	}
	sim.clients = newClients(sim)
	if cfg.Usage || cfg.Mutation == ReportUndecided {
		sim.usage = newUsageClients(sim)
	}
	for i := range cfg.Voters {
		m := newMember(sim, i, initial)
		sim.members = append(sim.members, m)
		m.start()
	}
	sim.after(sim.between(0, time.Second), sim.injectFault)
	return sim
}

// Run executes the steps and checks the histories at the end. It returns a *Violation as
// the error when an invariant is violated or the run panics, as production code does when
// a check of its own fails.
func (sim *Simulation) Run() (report Report, err error) {
	defer func() {
		report = sim.report
		report.SimulatedTime = sim.now
		if r := recover(); r != nil {
			if v, ok := r.(*Violation); ok {
				err = v
				return
			}
			err = &Violation{sim.cfg.Seed, sim.report.Steps, fmt.Sprintf("panic during the run: %v", r)}
		}
	}()
	for sim.report.Steps < sim.cfg.Steps && len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		sim.report.Steps++
		e.run()
	}
	sim.clients.checkHistories()
	if sim.usage != nil {
		sim.usage.check()
	}
	return sim.report, nil
}

// fail ends the run with a Violation.
func (sim *Simulation) fail(format string, args ...any) {
	panic(&Violation{sim.cfg.Seed, sim.report.Steps, fmt.Sprintf(format, args...)})
}

// after schedules run in d from now.
func (sim *Simulation) after(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, event{sim.now + d, sim.sequence, run})
}

// between returns a random duration in [low, high).
func (sim *Simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.rand.Int64N(int64(high-low)))
}

// oneIn reports true with probability 1/n.
func (sim *Simulation) oneIn(n int) bool { return sim.rand.IntN(n) == 0 }

// wallNanos returns the simulated wall clock time in Unix nanoseconds.
func (sim *Simulation) wallNanos() int64 { return startUnixNanos + int64(sim.now) }

// send sends messages over a network that loses, duplicates, delays and reorders them.
func (sim *Simulation) send(from *member, messages []*pb.RaftMessage) {
	for _, message := range messages {
		sim.report.Messages++
		to := sim.memberByID(message.To)
		if to == nil || sim.blockedLinks[link{from.vmIndex, to.vmIndex}] || sim.oneIn(50) {
			sim.report.Lost++
			continue
		}
		copies := 1
		if sim.oneIn(50) {
			copies = 2
			sim.report.Doubled++
		}
		for range copies {
			delay := sim.between(time.Millisecond, 5*time.Millisecond)
			if sim.oneIn(30) {
				delay = sim.between(5*time.Millisecond, 2*electionTimeout)
			}
			clone := proto.CloneOf(message)
			sim.after(delay, func() {
				if !sim.blockedLinks[link{from.vmIndex, to.vmIndex}] {
					to.receive(clone)
				}
			})
		}
	}
}

// memberByID returns the member with this ID, or nil if its disk was replaced.
func (sim *Simulation) memberByID(id string) *member {
	for _, m := range sim.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// checkLeader fails if the term has another leader, and records the first one.
func (sim *Simulation) checkLeader(term uint64, id string) {
	if previous, ok := sim.leadersByTerm[term]; ok && previous != id {
		sim.fail("term %d has two leaders: %s and %s", term, previous, id)
	}
	if _, ok := sim.leadersByTerm[term]; !ok {
		sim.leadersByTerm[term] = id
		sim.report.Elections++
	}
}

// checkLease fails if another running member holds the lease at the same time.
func (sim *Simulation) checkLease(holder *member) {
	for _, m := range sim.members {
		if m != holder && m.node != nil && !m.paused && m.node.HasLease(m.clock()) {
			sim.fail("%s and %s hold a lease at the same time, in terms %d and %d", holder.id, m.id, holder.node.Term(), m.node.Term())
		}
	}
}

// checkCommitted fails if another member has applied a different entry at the same
// index.
func (sim *Simulation) checkCommitted(e *pb.LogEntry, id string) {
	got := committedEntry{e.Term, string(e.Data)}
	previous, ok := sim.committedByIndex[e.Index]
	if ok && previous != got {
		sim.fail("%s applied a different entry at index %d: term %d, others applied term %d", id, e.Index, e.Term, previous.term)
	}
	if !ok {
		sim.committedByIndex[e.Index] = got
		sim.report.Committed++
	}
}

// sortedKeys returns the keys of m in order, since the order of map iteration is random
// and would make runs with the same seed differ.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
