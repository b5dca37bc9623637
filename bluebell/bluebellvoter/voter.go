package bluebellvoter

import (
	"context"
	"errors"
	"fmt"
	"slices"
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
	// inboxSize is the number of message batches and of proposals that can wait.
	inboxSize = 1024
	// maxInputsPerWrite is the largest number of waiting inputs that are processed
	// before one write.
	maxInputsPerWrite = 512
	// compactAfterEntries is the number of applied entries after which the log is
	// replaced by a snapshot.
	compactAfterEntries = 8192
	// compactAtBytes is the size of the log in bytes from which it is replaced by a
	// snapshot, even after fewer entries.
	compactAtBytes = 16 << 20
	// defaultKeepEntries is the default of Config.KeepEntries.
	defaultKeepEntries = 2048
	// minCompactGrowth is by how many bytes the log grows at least between two snapshots, so that it
	// is not rewritten for each of a few large entries.
	minCompactGrowth = 8 << 20
	// keepBytes limits the data of the entries that stay in memory although a snapshot covers them, and
	// maxBytesPerMessage that of the entries in one Raft message, unless a single one has more.
	keepBytes          = 4 << 20
	maxBytesPerMessage = 1 << 20
	// maxEntriesPerMessage is the largest number of log entries in one Raft message.
	maxEntriesPerMessage = 256
	// maxClockDrift is the largest relative difference in speed between the clocks of two
	// VMs that the leader lease tolerates.
	maxClockDrift = 0.1
)

// ErrLeaderChanged is returned if this voter lost the leadership before it applied the
// command, which may still be committed. It is also returned if an entry of another leader
// took the command's index in the log, so that the command had no effect at that index. The
// command may be sent again under the same change ID.
var ErrLeaderChanged = errors.New("the leader changed before the command was agreed")

// Config configures a Voter.
type Config struct {
	// ID is the identity of this member of the log; see LoadOrCreateIdentity.
	ID string
	// Members are the initial members of an empty log.
	Members *pb.Members
	// FS holds the file operations of the write-ahead log.
	FS bluebellwal.FS
	// Folder is the path of the folder that holds the write-ahead log.
	Folder string
	// Send passes messages to the transport, which may lose them.
	Send func(messages []*pb.RaftMessage)
	// Publish is called with each new view of the state, in order.
	Publish func(view *pb.View)
	// PublishCore is called with each new core state, in order. It may be nil.
	PublishCore func(core *pb.CoreState)
	// Now returns the time on a monotonic clock, from any fixed starting point.
	Now func() time.Duration
	// Uptime is a clock that goes on while the VM is suspended. If nil, it is Now.
	Uptime func() time.Duration
	// WallClock returns the time that is recorded in commands.
	WallClock func() time.Time
	// Rand returns a random number in [0, n).
	Rand func(n int64) int64
	// ElectionTimeout and HeartbeatInterval are those of bluebellraft.Config.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// KeepEntries is the number of entries that stay in memory for members that lag,
	// although a snapshot covers them; 0 means the default.
	KeepEntries uint64
	// Logger receives changes of the Raft role and storage failures.
	Logger *log.Logger
}

func (c Config) keepEntries() uint64 {
	if c.KeepEntries > 0 {
		return c.KeepEntries
	}
	return defaultKeepEntries
}

func (c Config) uptime() time.Duration {
	if c.Uptime == nil {
		return c.Now()
	}
	return c.Uptime()
}

// Status describes the log and its leader as seen by this voter.
type Status struct {
	// Leader is the identity of the current term's leader, or "" if it is not known.
	Leader      string
	Term        uint64
	CommitIndex uint64
	// AppliedIndex is the index of the last entry that this voter has applied.
	AppliedIndex uint64
	// Members are the members in force. MembersIndex is that of bluebellraft.Node.
	Members      *pb.Members
	MembersIndex uint64
	// LeaseUntil is the end of this voter's leader lease on the clock Now; 0 if it does not
	// lead. Code that relies on the lease must compare it with the present time, since the
	// process may have been paused after this status was made.
	LeaseUntil time.Duration
	// LeaderLastKnownAt is the latest time, on the clock Now, at which this voter had a
	// known leader.
	LeaderLastKnownAt time.Duration
	// CurrentAt is the latest time, on the clock Uptime, at which this voter is known to have
	// applied all committed entries; 0 if there is none. See bluebellraft.Node.
	CurrentAt time.Duration
	// SettledAt is the latest time, on the clock Uptime, at which this member was a voter and its log held no
	// declaration and no change of members that it had not applied; 0 if there is none.
	SettledAt time.Duration
	// LogBytes is the size of the write-ahead log in bytes.
	LogBytes uint64
	// CaughtUpLearners are the learners that store all committed entries. The list is empty
	// if this voter does not lead.
	CaughtUpLearners []string
}

// proposal is a command or, if members is set, a membership change that waits for Run to
// propose it.
type proposal struct {
	command *pb.Command
	// after is as in ProposeAfter, 0 if nothing is checked.
	after   uint64
	members *pb.Members
	reply   chan outcome
}

// outcome is the result or the error of a proposal.
type outcome struct {
	result *pb.Result
	err    error
}

// pendingProposal is a proposal that is in the log and not yet applied.
type pendingProposal struct {
	// term in which the proposal was appended. If the entry that is applied at its index
	// has another term, it is another entry.
	term  uint64
	reply chan outcome
}

// Voter is a running member of the log.
type Voter struct {
	cfg          Config
	node         *bluebellraft.Node
	wal          *bluebellwal.Log
	stateMachine *bluebellstate.Machine
	inbox        chan []*pb.RaftMessage
	proposals    chan proposal
	// pendingByIndex holds the pending proposals by their index in the log.
	pendingByIndex map[uint64]pendingProposal
	status         atomic.Pointer[Status]
	// done is closed when Run returns.
	done chan struct{}

	// appliedIndex is the index of the last entry that the state machine holds.
	appliedIndex uint64
	// entriesSinceSnapshot is the number of entries applied since the latest snapshot.
	entriesSinceSnapshot int
	// lastOrderIndex is the index of the last order that was applied, or appended while this voter leads. After
	// the installation of a snapshot it is that of the snapshot.
	lastOrderIndex uint64
	// compactedSize is the size of the log in bytes after the latest snapshot, 0 before the first one.
	compactedSize uint64
	// publishedView and publishedCore are the latest ones passed to Publish and PublishCore.
	publishedView *pb.View
	publishedCore *pb.CoreState
	// loggedRole is the role in the latest log line about it.
	loggedRole        bluebellraft.Role
	leaderLastKnownAt time.Duration
	// currentAt is that of the Raft node, and currentUptime the same time on the clock Uptime.
	currentAt, currentUptime time.Duration
	settledAt                time.Duration
	// settled is valid for a log with the last index settledLast of which settledApplied was applied.
	settled                     bool
	settledLast, settledApplied uint64
}

// New restores the voter's state from its folder, publishes the view that was in force
// before the restart, and returns a voter that is ready to run.
func New(cfg Config) (*Voter, error) {
	wal, stored, err := bluebellwal.Open(cfg.FS, cfg.Folder)
	if err != nil {
		return nil, fmt.Errorf("voter %s: %w", cfg.ID, err)
	}
	stateMachine := bluebellstate.New()
	if stored.Snapshot != nil && len(stored.Snapshot.Data) > 0 {
		if stateMachine, err = bluebellstate.Restore(stored.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("voter %s: %w", cfg.ID, err)
		}
	}
	node, err := bluebellraft.New(bluebellraft.Config{
		ID: cfg.ID, Members: cfg.Members,
		ElectionTimeout: cfg.ElectionTimeout, HeartbeatInterval: cfg.HeartbeatInterval,
		MaxClockDrift: maxClockDrift, MaxEntriesPerMessage: maxEntriesPerMessage, MaxBytesPerMessage: maxBytesPerMessage,
		KeepEntries: cfg.keepEntries(), KeepBytes: keepBytes, Rand: cfg.Rand,
	}, stored, cfg.Now())
	if err != nil {
		return nil, fmt.Errorf("voter %s: %w", cfg.ID, err)
	}
	v := &Voter{
		cfg: cfg, node: node, wal: wal, stateMachine: stateMachine,
		inbox:          make(chan []*pb.RaftMessage, inboxSize),
		proposals:      make(chan proposal, inboxSize),
		pendingByIndex: map[uint64]pendingProposal{},
		done:           make(chan struct{}),
	}
	if stored.Snapshot != nil {
		v.appliedIndex, v.lastOrderIndex = stored.Snapshot.Index, stored.Snapshot.Index
	}
	// Applies the entries that are known to be committed and publishes the resulting view,
	// so that the state from before the restart is in force before any new input.
	if err := v.processReady(); err != nil {
		return nil, fmt.Errorf("voter %s: %w", cfg.ID, err)
	}
	v.updateStatus()
	return v, nil
}

// Status returns the latest status.
func (v *Voter) Status() Status { return *v.status.Load() }

// Step passes messages from other members to Run. It blocks while the inbox is full.
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

// Propose proposes a command, waits until it is committed and applied, and returns its
// result. After bluebellraft.ErrNotLeader the command is not in the log. After
// ErrLeaderChanged or an expired context it may still be committed; it may be sent again
// under the same change ID.
func (v *Voter) Propose(ctx context.Context, c *pb.Command) (*pb.Result, error) {
	return v.submit(ctx, proposal{command: c, reply: make(chan outcome, 1)})
}

// ProposeAfter is like Propose, but appends nothing, and returns a result with the verdict Conflict, if the log
// may hold an order behind the entry with index after; see bluebellstate.IsOrder. It thus has no effect, however
// late the command arrives here, if a newer order than the command's was accepted meanwhile.
func (v *Voter) ProposeAfter(ctx context.Context, c *pb.Command, after uint64) (*pb.Result, error) {
	return v.submit(ctx, proposal{command: c, after: after, reply: make(chan outcome, 1)})
}

// ChangeMembers proposes new members and waits until the change is committed; see
// bluebellraft.Node.ChangeMembers.
func (v *Voter) ChangeMembers(ctx context.Context, m *pb.Members) error {
	_, err := v.submit(ctx, proposal{members: m, reply: make(chan outcome, 1)})
	return err
}

// submit passes a proposal to Run and waits for its outcome.
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

// Run processes messages, proposals and time until the context ends or storage fails.
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
		v.drainInputs()
		v.node.Tick(v.cfg.Now())
		if err := v.processReady(); err != nil {
			v.cfg.Logger.Error("storage failed", "ID", v.cfg.ID, "Error", err)
			return err
		}
		v.updateStatus()
	}
}

// drainInputs processes waiting messages and proposals, at most maxInputsPerWrite of them.
func (v *Voter) drainInputs() {
	for range maxInputsPerWrite {
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
		if err := v.node.Step(now, m); err != nil {
			v.cfg.Logger.Error("message of another member rejected", "Error", err)
		}
	}
}

// propose appends a proposal to the log with the wall-clock time, and registers it as
// pending. If the Raft node rejects the proposal, the error is the outcome.
func (v *Voter) propose(p proposal) {
	now := v.cfg.Now()
	if p.members != nil {
		err := v.node.ChangeMembers(now, p.members)
		if err != nil {
			p.reply <- outcome{err: err}
			return
		}
		v.pendingByIndex[v.node.LastIndex()] = pendingProposal{v.node.Term(), p.reply}
		return
	}
	if p.after > 0 && v.node.Role() == bluebellraft.Leader && v.mayHoldOrderAfter(p.after) {
		p.reply <- outcome{result: &pb.Result{Verdict: pb.Verdict_Conflict, Text: fmt.Sprintf("another order may have been accepted after entry %d", p.after)}}
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
	if bluebellstate.IsOrder(command) {
		v.lastOrderIndex = index
	}
	v.pendingByIndex[index] = pendingProposal{term, p.reply}
}

// mayHoldOrderAfter reports whether the log of this leader may hold an order behind an index. Entries of earlier
// terms are known once they are applied.
func (v *Voter) mayHoldOrderAfter(index uint64) bool {
	return v.lastOrderIndex > index || v.appliedIndex < v.node.TermStartIndex()
}

// processReady saves, sends, applies and publishes the output of the Raft node, in the
// order that bluebellraft requires, until there is none left.
func (v *Voter) processReady() error {
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
			stateMachine, err := bluebellstate.Restore(r.Snapshot.Data)
			if err != nil {
				return err
			}
			v.stateMachine, v.appliedIndex, v.entriesSinceSnapshot = stateMachine, r.Snapshot.Index, 0
			v.lastOrderIndex = max(v.lastOrderIndex, r.Snapshot.Index)
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

// apply applies a committed entry to the state machine and completes the proposal that is
// pending at its index.
func (v *Voter) apply(e *pb.LogEntry) error {
	var result *pb.Result
	if len(e.Data) > 0 {
		var c pb.Command
		if err := proto.Unmarshal(e.Data, &c); err != nil {
			return fmt.Errorf("decode command of log entry %d: %w", e.Index, err)
		}
		result = v.stateMachine.Apply(&c)
		if bluebellstate.IsOrder(&c) {
			v.lastOrderIndex = max(v.lastOrderIndex, e.Index)
		}
	}
	v.appliedIndex = e.Index
	v.entriesSinceSnapshot++
	pending, ok := v.pendingByIndex[e.Index]
	if !ok {
		return nil
	}
	delete(v.pendingByIndex, e.Index)
	if pending.term != e.Term {
		pending.reply <- outcome{err: ErrLeaderChanged}
		return nil
	}
	pending.reply <- outcome{result: result}
	return nil
}

// publish passes a new view to Config.Publish. It saves the commit index first, so that the
// view is in force again after a restart.
func (v *Voter) publish() error {
	if core := v.stateMachine.CoreState(); core != v.publishedCore && v.cfg.PublishCore != nil {
		v.publishedCore = core
		v.cfg.PublishCore(core)
	}
	view := v.stateMachine.View()
	if view == v.publishedView {
		return nil
	}
	if v.publishedView != nil && view.Revision < v.publishedView.Revision {
		panic(fmt.Sprintf("revision of the view decreased from %d to %d", v.publishedView.Revision, view.Revision))
	}
	if err := v.wal.Save(bluebellraft.Ready{HardState: v.node.HardStateWithCommit()}); err != nil {
		return err
	}
	v.publishedView = view
	v.cfg.Publish(view)
	return nil
}

// compact replaces the log by a snapshot if enough entries were applied since the latest
// one, or if the log is large.
func (v *Voter) compact() error {
	size := v.wal.Size()
	if v.entriesSinceSnapshot < compactAfterEntries && (size < compactAtBytes || size < v.compactedSize+minCompactGrowth) {
		return nil
	}
	data, err := v.stateMachine.Snapshot()
	if err != nil {
		return err
	}
	v.entriesSinceSnapshot = 0
	snapshot, entries := v.node.Compact(data)
	if err := v.wal.Compact(snapshot, entries); err != nil {
		return err
	}
	v.compactedSize = v.wal.Size()
	return nil
}

// updateStatus stores a new Status and logs a change of the role. If the voter does not
// lead, all pending proposals fail.
func (v *Voter) updateStatus() {
	now := v.cfg.Now()
	if v.node.Role() != v.loggedRole {
		v.loggedRole = v.node.Role()
		v.cfg.Logger.Info("raft role changed", "ID", v.cfg.ID, "Role", v.loggedRole, "Term", v.node.Term(), "Leader", v.node.LeaderID())
	}
	if v.node.LeaderID() != "" {
		v.leaderLastKnownAt = now
	}
	if at := v.node.CurrentAt(); at != v.currentAt {
		v.currentAt, v.currentUptime = at, v.cfg.uptime()-(now-at)
	}
	if v.isSettled() {
		v.settledAt = v.cfg.uptime()
	}
	if v.node.Role() != bluebellraft.Leader {
		v.failPending()
	}
	v.status.Store(&Status{
		Leader: v.node.LeaderID(), Term: v.node.Term(), CommitIndex: v.node.CommitIndex(), AppliedIndex: v.appliedIndex,
		Members: v.node.Members(), MembersIndex: v.node.MembersIndex(), LeaseUntil: v.node.LeaseUntil(), LeaderLastKnownAt: v.leaderLastKnownAt, CurrentAt: v.currentUptime, SettledAt: v.settledAt,
		LogBytes: v.wal.Size(), CaughtUpLearners: v.caughtUpLearners(),
	})
}

// isSettled reports whether this member is a voter whose log holds no declaration and no change of members that it has
// not applied.
func (v *Voter) isSettled() bool {
	last := v.node.LastIndex()
	if last != v.settledLast || v.appliedIndex != v.settledApplied {
		v.settledLast, v.settledApplied = last, v.appliedIndex
		v.settled = !slices.ContainsFunc(v.node.EntriesAfter(v.appliedIndex), func(e *pb.LogEntry) bool {
			return e.Members != nil || bluebellstate.MayDeclare(e.Data)
		})
	}
	return v.settled && slices.Contains(v.node.Members().GetVoters(), v.cfg.ID)
}

// caughtUpLearners returns the learners that store all committed entries.
func (v *Voter) caughtUpLearners() []string {
	var ids []string
	for _, id := range v.node.Members().GetLearners() {
		if v.node.CaughtUp(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// failPending ends all pending proposals with ErrLeaderChanged, so that their callers can
// ask the new leader. The commands may still be committed.
func (v *Voter) failPending() {
	for index, w := range v.pendingByIndex {
		w.reply <- outcome{err: ErrLeaderChanged}
		delete(v.pendingByIndex, index)
	}
}
