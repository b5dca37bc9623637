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

// Mutation breaks one guard.
type Mutation string

// The mutations; None breaks nothing.
const (
	None Mutation = ""
	// IgnoreSync lets disks forget what was synced.
	IgnoreSync Mutation = "IgnoreSync"
	// SameIdentity lets a replaced disk vote under the old identity.
	SameIdentity Mutation = "SameIdentity"
	// VoteAtOnce lets a restarted member vote before an election timeout.
	VoteAtOnce Mutation = "VoteAtOnce"
	// Drift lets clocks differ by more than the allowed bound.
	Drift Mutation = "Drift"
	// DispatchHeld lets a client dispatch a call whose claim another one holds.
	DispatchHeld Mutation = "DispatchHeld"
	// ForgetReleased lets a client release a claim after it has dispatched.
	ForgetReleased Mutation = "ForgetReleased"
	// ForgetCommit drops the commit index from the durable state.
	ForgetCommit Mutation = "ForgetCommit"
	// SkipCorrupt starts a member with an empty log when its log is corrupt.
	SkipCorrupt Mutation = "SkipCorrupt"
)

// Mutations lists all that break something.
func Mutations() []Mutation {
	return []Mutation{IgnoreSync, SameIdentity, VoteAtOnce, Drift, DispatchHeld, ForgetReleased, ForgetCommit, SkipCorrupt}
}

// Config sets up a World.
type Config struct {
	Seed     uint64
	Steps    int
	Voters   int
	Mutation Mutation
}

// Report counts what a run has exercised.
type Report struct {
	Steps, Messages, Lost, Doubled                     int
	Crashes, TornRestarts, DiskLosses, Flips, SyncFail int
	Partitions, OneWay, Pauses                         int
	Elections, Committed, Snapshots, Installs          int
	MemberChanges                                      int
	ClaimOps, Dispatches, Settled, Expired             int
	Changes, Conflicts, Resent                         int
	Orders                                             int
	// SimulatedTime of the run.
	SimulatedTime time.Duration
}

// Add sums two reports.
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
	r.SimulatedTime += o.SimulatedTime
}

// Violation is a broken invariant, with the seed that shows it.
type Violation struct {
	Seed    uint64
	Step    int
	Message string
}

var _ error = (*Violation)(nil)

func (v *Violation) Error() string {
	return fmt.Sprintf("seed %d, step %d: %s", v.Seed, v.Step, v.Message)
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].order, h[j].order)) < 0
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop is part of heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// Simulation is one randomised history.
type Simulation struct {
	cfg    Config
	rand   *rand.Rand
	now    time.Duration
	events eventHeap
	order  uint64
	report Report

	members []*member
	// blocked links, from and to a place
	blocked  map[link]bool
	replaced int

	// what all members must agree on
	leaders   map[uint64]string
	committed map[uint64]committedEntry

	clients *clients
}

type link struct{ from, to int }

type committedEntry struct {
	term uint64
	data string
}

const (
	electionTimeout = 300 * time.Millisecond
	heartbeatEvery  = 50 * time.Millisecond
	allowedDrift    = 0.1
	tickEvery       = 20 * time.Millisecond
	// startTime is the wall clock at the start, long after 1970.
	startTime = int64(1_700_000_000) * int64(time.Second)
)

// New returns a world before its first step.
func New(cfg Config) *Simulation {
	w := &Simulation{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 0x5eed)),
		blocked: map[link]bool{}, leaders: map[uint64]string{}, committed: map[uint64]committedEntry{},
	}
	first := &pb.Members{}
	for i := range cfg.Voters {
		first.Voters = append(first.Voters, memberName(i, 0))
	}
	w.clients = newClients(w)
	for i := range cfg.Voters {
		m := newMember(w, i, first)
		w.members = append(w.members, m)
		m.start()
	}
	w.after(w.between(0, time.Second), w.nextFault)
	return w
}

// Run carries out the steps and checks the histories at the end.
func (w *Simulation) Run() (report Report, err error) {
	defer func() {
		report = w.report
		report.SimulatedTime = w.now
		if r := recover(); r != nil {
			if v, ok := r.(*Violation); ok {
				err = v
				return
			}
			err = &Violation{w.cfg.Seed, w.report.Steps, fmt.Sprintf("the program's own check: %v", r)}
		}
	}()
	for w.report.Steps < w.cfg.Steps && len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		w.report.Steps++
		e.run()
	}
	w.clients.checkHistories()
	return w.report, nil
}

func (w *Simulation) fail(format string, args ...any) {
	panic(&Violation{w.cfg.Seed, w.report.Steps, fmt.Sprintf(format, args...)})
}

func (w *Simulation) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, run})
}

// between returns a random duration in [low, high).
func (w *Simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rand.Int64N(int64(high-low)))
}

func (w *Simulation) oneIn(n int) bool { return w.rand.IntN(n) == 0 }

func (w *Simulation) wall() int64 { return startTime + int64(w.now) }

// deliver sends messages through the bad network.
func (w *Simulation) deliver(from *member, messages []*pb.RaftMessage) {
	for _, message := range messages {
		w.report.Messages++
		to := w.memberByID(message.To)
		if to == nil || w.blocked[link{from.place, to.place}] || w.oneIn(50) {
			w.report.Lost++
			continue
		}
		copies := 1
		if w.oneIn(50) {
			copies = 2
			w.report.Doubled++
		}
		for range copies {
			delay := w.between(time.Millisecond, 5*time.Millisecond)
			if w.oneIn(30) {
				delay = w.between(5*time.Millisecond, 2*electionTimeout)
			}
			sent := proto.CloneOf(message)
			w.after(delay, func() {
				if !w.blocked[link{from.place, to.place}] {
					to.receive(sent)
				}
			})
		}
	}
}

func (w *Simulation) memberByID(id string) *member {
	for _, m := range w.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// checkLeader holds the world to one leader in a term.
func (w *Simulation) checkLeader(term uint64, id string) {
	if known, ok := w.leaders[term]; ok && known != id {
		w.fail("term %d has two leaders: %s and %s", term, known, id)
	}
	if _, ok := w.leaders[term]; !ok {
		w.leaders[term] = id
		w.report.Elections++
	}
}

// checkLease holds the world to one lease at a time.
func (w *Simulation) checkLease(holder *member) {
	for _, m := range w.members {
		if m != holder && m.node != nil && !m.paused && m.node.HasLease(m.clock()) {
			w.fail("%s and %s hold a lease at the same time, in terms %d and %d", holder.id, m.id, holder.node.Term(), m.node.Term())
		}
	}
}

// checkCommitted holds all members to one committed log.
func (w *Simulation) checkCommitted(e *pb.LogEntry, id string) {
	got := committedEntry{e.Term, string(e.Data)}
	known, ok := w.committed[e.Index]
	if ok && known != got {
		w.fail("%s applied another entry %d: term %d, not %d", id, e.Index, e.Term, known.term)
	}
	if !ok {
		w.committed[e.Index] = got
		w.report.Committed++
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
