package bluebellvoter

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellraft"
	"bluebellhaven.org/bluebell/bluebellstate"
	"bluebellhaven.org/bluebell/bluebellwal"
)

const (
	inboxSize     = 1024
	maxBatch      = 512 // inputs taken in before one write
	compactEvery  = 8192
	compactAtSize = 16 << 20 // bytes of log
	keepEntries   = 2048
	// minCompact is the least number of entries between two snapshots, so that a
	// log of few large entries is not written anew with each of them.
	minCompact = 64
	maxEntries = 256 // in one message
	maxDrift   = 0.1
)

// ErrLeaderChanged is returned when another leader's entry took the command's place. The
// command had no effect at that place; it may be sent again.
var ErrLeaderChanged = errors.New("the leader changed before the command was agreed")

// Config sets up a Voter.
type Config struct {
	// ID of this member of the log.
	ID string
	// Members of a log that is still empty.
	Members *pb.Members
	FS      bluebellwal.FS
	Folder  string
	// Send hands messages to the transport, which may lose them.
	Send func(messages []*pb.RaftMessage)
	// Publish is called with each new view, in order.
	Publish func(view *pb.View)
	// Now is monotonic; WallClock gives the time of the state.
	Now               func() time.Duration
	WallClock         func() time.Time
	Rand              func(n int64) int64
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// KeepEntries is the number of entries before a snapshot that stay in memory
	// for members that lag; 0 for the default.
	KeepEntries uint64
	Logger      *log.Logger
}

func (c Config) keepEntries() uint64 {
	if c.KeepEntries > 0 {
		return c.KeepEntries
	}
	return keepEntries
}

// Status is what a voter knows of the log.
type Status struct {
	Leader      string
	Term        uint64
	CommitIndex uint64
	Members     *pb.Members
	// LeaseUntil is the end of the leader's lease, by Now; 0 on others. What rests on
	// the lease has to compare it with the present time: a process may have been
	// paused since this status was made.
	LeaseUntil time.Duration
	// LeaderLastKnownAt is when a leader was last known, by Now.
	LeaderLastKnownAt time.Duration
	LogBytes          uint64
	// CaughtUpLearners are the learners that have all that is committed, as the leader knows.
	CaughtUpLearners []string
}

type proposal struct {
	command *pb.Command
	members *pb.Members
	reply   chan outcome
}

type outcome struct {
	result *pb.Result
	err    error
}

type waiter struct {
	term  uint64
	reply chan outcome
}

// Voter is a running member of the log.
type Voter struct {
	cfg       Config
	node      *bluebellraft.Node
	wal       *bluebellwal.Log
	machine   *bluebellstate.Machine
	inbox     chan []*pb.RaftMessage
	proposals chan proposal
	waiters   map[uint64]waiter
	status    atomic.Pointer[Status]
	done      chan struct{}

	applied     uint64
	sinceSnap   int
	published   *pb.View
	loggedRole  bluebellraft.Role
	lastContact time.Duration
}

// New opens the data folder and returns a voter that is ready to run.
func New(cfg Config) (*Voter, error) {
	wal, stored, err := bluebellwal.Open(cfg.FS, cfg.Folder)
	if err != nil {
		return nil, fmt.Errorf("voter %s: %w", cfg.ID, err)
	}
	machine := bluebellstate.New()
	if stored.Snapshot != nil && len(stored.Snapshot.Data) > 0 {
		if machine, err = bluebellstate.Restore(stored.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("voter %s: %w", cfg.ID, err)
		}
	}
	node, err := bluebellraft.New(bluebellraft.Config{
		ID: cfg.ID, Members: cfg.Members,
		ElectionTimeout: cfg.ElectionTimeout, HeartbeatInterval: cfg.HeartbeatInterval,
		MaxClockDrift: maxDrift, MaxEntriesPerMessage: maxEntries, KeepEntries: cfg.keepEntries(), Rand: cfg.Rand,
	}, stored, cfg.Now())
	if err != nil {
		return nil, fmt.Errorf("voter %s: %w", cfg.ID, err)
	}
	v := &Voter{
		cfg: cfg, node: node, wal: wal, machine: machine,
		inbox:     make(chan []*pb.RaftMessage, inboxSize),
		proposals: make(chan proposal, inboxSize),
		waiters:   map[uint64]waiter{},
		done:      make(chan struct{}),
	}
	// What was in force before a restart is in force again before anything else.
	if err := v.carryOut(); err != nil {
		return nil, fmt.Errorf("voter %s: %w", cfg.ID, err)
	}
	v.updateStatus()
	return v, nil
}

// Status returns the latest status.
func (v *Voter) Status() Status { return *v.status.Load() }

// Step takes in messages from other members.
func (v *Voter) Step(ctx context.Context, messages []*pb.RaftMessage) error {
	select {
	case v.inbox <- messages:
		return nil
	case <-v.done:
		return errors.New("voter has stopped")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Propose waits until a command is agreed on, and returns its result. After
// ErrNotLeader the command was not taken. After ErrLost or an expired context
// it may be sent again under the same identity.
func (v *Voter) Propose(ctx context.Context, c *pb.Command) (*pb.Result, error) {
	return v.submit(ctx, proposal{command: c, reply: make(chan outcome, 1)})
}

// ChangeMembers proposes new members; see bluebellraft.Node.ChangeMembers.
func (v *Voter) ChangeMembers(ctx context.Context, m *pb.Members) error {
	_, err := v.submit(ctx, proposal{members: m, reply: make(chan outcome, 1)})
	return err
}

func (v *Voter) submit(ctx context.Context, p proposal) (*pb.Result, error) {
	select {
	case v.proposals <- p:
	case <-v.done:
		return nil, errors.New("voter has stopped")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case o := <-p.reply:
		return o.result, o.err
	case <-v.done:
		return nil, errors.New("voter has stopped")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Run drives the voter until the context ends or storage fails.
func (v *Voter) Run(ctx context.Context) error {
	defer close(v.done)
	ticker := time.NewTicker(v.cfg.HeartbeatInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return v.wal.Close()
		case <-ticker.C:
		case messages := <-v.inbox:
			v.step(messages)
		case p := <-v.proposals:
			v.propose(p)
		}
		v.takeWaiting()
		v.node.Tick(v.cfg.Now())
		if err := v.carryOut(); err != nil {
			v.cfg.Logger.Error("storage failed", "ID", v.cfg.ID, "Error", err)
			return err
		}
		v.updateStatus()
	}
}

func (v *Voter) takeWaiting() {
	for range maxBatch {
		select {
		case messages := <-v.inbox:
			v.step(messages)
		case p := <-v.proposals:
			v.propose(p)
		default:
			return
		}
	}
}

func (v *Voter) step(messages []*pb.RaftMessage) {
	now := v.cfg.Now()
	for _, m := range messages {
		v.node.Step(now, m)
	}
}

func (v *Voter) propose(p proposal) {
	now := v.cfg.Now()
	if p.members != nil {
		err := v.node.ChangeMembers(now, p.members)
		if err != nil {
			p.reply <- outcome{err: err}
			return
		}
		v.waiters[v.node.LastIndex()] = waiter{v.node.Term(), p.reply}
		return
	}
	command := proto.CloneOf(p.command)
	command.UnixNanos = v.cfg.WallClock().UnixNano()
	data, err := proto.Marshal(command)
	if err != nil {
		p.reply <- outcome{err: fmt.Errorf("command: %w", err)}
		return
	}
	index, term, err := v.node.Propose(now, data)
	if err != nil {
		p.reply <- outcome{err: err}
		return
	}
	v.waiters[index] = waiter{term, p.reply}
}

// carryOut makes the core's outputs happen, in the order that it demands.
func (v *Voter) carryOut() error {
	for v.node.HasReady() {
		r := v.node.Ready()
		if err := v.wal.Save(r); err != nil {
			return err
		}
		v.node.MarkPersisted(r)
		if len(r.Messages) > 0 {
			v.cfg.Send(r.Messages)
		}
		if r.Snapshot != nil {
			machine, err := bluebellstate.Restore(r.Snapshot.Data)
			if err != nil {
				return err
			}
			v.machine, v.applied, v.sinceSnap = machine, r.Snapshot.Index, 0
		}
		for _, e := range r.Committed {
			if err := v.apply(e); err != nil {
				return err
			}
		}
		if err := v.publish(); err != nil {
			return err
		}
		if err := v.compact(); err != nil {
			return err
		}
	}
	return nil
}

func (v *Voter) apply(e *pb.LogEntry) error {
	var result *pb.Result
	if len(e.Data) > 0 {
		var c pb.Command
		if err := proto.Unmarshal(e.Data, &c); err != nil {
			return fmt.Errorf("entry %d: %w", e.Index, err)
		}
		result = v.machine.Apply(&c)
	}
	v.applied = e.Index
	v.sinceSnap++
	w, ok := v.waiters[e.Index]
	if !ok {
		return nil
	}
	delete(v.waiters, e.Index)
	if w.term != e.Term {
		w.reply <- outcome{err: ErrLeaderChanged}
		return nil
	}
	w.reply <- outcome{result: result}
	return nil
}

// publish shows a new view. The commit index is made durable first, so that a
// restart does not take back what was in force.
func (v *Voter) publish() error {
	view := v.machine.View()
	if view == v.published {
		return nil
	}
	if v.published != nil && view.Revision < v.published.Revision {
		panic(fmt.Sprintf("revision went back from %d to %d", v.published.Revision, view.Revision))
	}
	if err := v.wal.Save(bluebellraft.Ready{HardState: v.node.HardStateWithCommit()}); err != nil {
		return err
	}
	v.published = view
	v.cfg.Publish(view)
	return nil
}

func (v *Voter) compact() error {
	if v.sinceSnap < compactEvery && (v.wal.Size() < compactAtSize || v.sinceSnap < minCompact) {
		return nil
	}
	data, err := v.machine.Snapshot()
	if err != nil {
		return err
	}
	v.sinceSnap = 0
	snapshot, entries := v.node.Compact(data)
	return v.wal.Compact(snapshot, entries)
}

func (v *Voter) updateStatus() {
	now := v.cfg.Now()
	if v.node.Role() != v.loggedRole {
		v.loggedRole = v.node.Role()
		v.cfg.Logger.Info("role", "ID", v.cfg.ID, "Role", v.loggedRole, "Term", v.node.Term(), "Leader", v.node.LeaderID())
	}
	if v.node.LeaderID() != "" {
		v.lastContact = now
	}
	if v.node.Role() != bluebellraft.Leader {
		v.failWaiters()
	}
	v.status.Store(&Status{
		Leader: v.node.LeaderID(), Term: v.node.Term(), CommitIndex: v.node.CommitIndex(),
		Members: v.node.Members(), LeaseUntil: v.node.LeaseUntil(), LeaderLastKnownAt: v.lastContact,
		LogBytes: v.wal.Size(), CaughtUpLearners: v.caughtUp(),
	})
}

func (v *Voter) caughtUp() []string {
	var ids []string
	for _, id := range v.node.Members().GetLearners() {
		if v.node.CaughtUp(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// failWaiters lets those that wait ask the new leader. Their commands may still
// be agreed on.
func (v *Voter) failWaiters() {
	for index, w := range v.waiters {
		w.reply <- outcome{err: ErrLeaderChanged}
		delete(v.waiters, index)
	}
}
