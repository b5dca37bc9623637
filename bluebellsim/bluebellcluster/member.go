package bluebellcluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellraft"
	"bluebellhaven.org/bluebell/bluebellstate"
	"bluebellhaven.org/bluebell/bluebellwal"
)

const (
	// compactAfterEntries is the number of applied entries after which a member compacts
	// its log. It then keeps the latest keepEntries entries.
	compactAfterEntries = 60
	keepEntries         = 20
	logFolder           = "log"
)

// member is one VM that runs a node of the replicated log.
type member struct {
	sim            *Simulation
	vmIndex        int
	id             string
	initialMembers *pb.Members
	disk           *disk
	clockRate      float64 // clock time per simulated time
	node           *bluebellraft.Node
	wal            *bluebellwal.Log
	machine        *bluebellstate.Machine
	// pending holds the proposals that have no result yet, by log index.
	pending map[uint64]pendingProposal
	// appliedSinceSnapshot counts the entries applied since the latest snapshot.
	appliedSinceSnapshot int
	// revisionInForce is the revision of the latest published view, kept over restarts.
	revisionInForce uint64
	paused          bool
	// heldMessages holds the messages that arrived during a pause.
	heldMessages []*pb.RaftMessage
	// startCount counts starts of the process. The callbacks of ticks and pauses compare it
	// with the count at their scheduling, and do nothing after a restart.
	startCount int
}

// pendingProposal is a proposal without a result. reply is called with lost set if an
// entry of another term took its index.
type pendingProposal struct {
	term  uint64
	reply func(r *pb.Result, lost bool)
}

// memberName returns the ID of the member on a VM. Each replaced disk gives the member a
// new ID.
func memberName(vmIndex, replacement int) string {
	if replacement == 0 {
		return fmt.Sprintf("vm%d", vmIndex)
	}
	return fmt.Sprintf("vm%d/%d", vmIndex, replacement)
}

func newMember(sim *Simulation, vmIndex int, initial *pb.Members) *member {
	// The rate of a clock deviates by up to this share from simulated time. The divisor
	// 2.2 keeps the difference between the rates of any two clocks below maxClockDrift.
	deviation := maxClockDrift / 2.2
	if sim.cfg.Mutation == Drift {
		deviation = 0.6
	}
	return &member{
		sim: sim, vmIndex: vmIndex, id: memberName(vmIndex, 0), initialMembers: initial,
		disk: sim.newDisk(), clockRate: 1 - deviation + 2*deviation*sim.rand.Float64(),
	}
}

func (sim *Simulation) newDisk() *disk {
	d := newDisk(rand.New(rand.NewPCG(sim.rand.Uint64(), 1)))
	d.ignoreSyncs = sim.cfg.Mutation == IgnoreSync
	return d
}

// clock returns the time of the member's drifting clock.
func (m *member) clock() time.Duration { return time.Duration(float64(m.sim.now) * m.clockRate) }

// start opens the write-ahead log and starts the node. A corrupt log makes it replace
// the disk.
func (m *member) start() {
	sim := m.sim
	wal, stored, err := bluebellwal.Open(m.disk.fs(), logFolder)
	if errors.Is(err, bluebellwal.ErrCorrupt) {
		if sim.cfg.Mutation != SkipCorrupt {
			m.replaceDisk()
			return
		}
		m.disk, m.revisionInForce = sim.newDisk(), 0
		wal, stored, err = bluebellwal.Open(m.disk.fs(), logFolder)
	}
	if err != nil {
		// A sync failed while the log was opened. The process restarts later.
		sim.after(sim.between(10*time.Millisecond, time.Second), m.restart)
		return
	}
	if sim.cfg.Mutation == ForgetCommit && stored.HardState != nil {
		stored.HardState.Commit = 0
	}
	m.machine = bluebellstate.New()
	if data := stored.Snapshot.GetData(); len(data) > 0 {
		if m.machine, err = bluebellstate.Restore(data); err != nil {
			sim.fail("%s cannot restore its stored snapshot: %v", m.id, err)
		}
	}
	now := m.clock()
	if sim.cfg.Mutation == VoteAtOnce {
		now -= 2 * electionTimeout
	}
	node, err := bluebellraft.New(bluebellraft.Config{
		ID: m.id, Members: m.initialMembers, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
		MaxClockDrift: maxClockDrift, MaxEntriesPerMessage: 16, KeepEntries: keepEntries,
		Rand: func(n int64) int64 { return sim.rand.Int64N(n) },
	}, stored, now)
	if err != nil {
		sim.fail("%s cannot start its node: %v", m.id, err)
	}
	m.node, m.wal = node, wal
	m.pending = map[uint64]pendingProposal{}
	m.appliedSinceSnapshot, m.heldMessages, m.paused = 0, nil, false
	m.startCount++
	m.processReady()
	if m.node != nil && m.machine.View().Revision < m.revisionInForce {
		sim.fail("%s has revision %d in force after its restart, and had %d", m.id, m.machine.View().Revision, m.revisionInForce)
	}
	m.tick(m.startCount)
}

// restart starts the member unless it is running.
func (m *member) restart() {
	if m.node == nil {
		m.start()
	}
}

// stop ends the process. Unsynced data may be lost.
func (m *member) stop() {
	m.node, m.wal, m.pending = nil, nil, nil
	m.disk.crash()
}

// replaceDisk starts the member with an empty disk under a new ID, since the new disk
// lacks the votes and entries that were saved under the old one.
func (m *member) replaceDisk() {
	sim := m.sim
	m.node, m.wal, m.pending = nil, nil, nil
	m.disk = sim.newDisk()
	m.revisionInForce = 0
	if sim.cfg.Mutation != SameIdentity {
		sim.replacements++
		m.id = memberName(m.vmIndex, sim.replacements)
		m.initialMembers = &pb.Members{}
	}
	sim.report.DiskLosses++
	m.start()
}

// tick advances the clock of the node and schedules the next tick, until the process of
// this start ends.
func (m *member) tick(startCount int) {
	if m.startCount != startCount || m.node == nil {
		return
	}
	if !m.paused {
		m.node.Tick(m.clock())
		m.processReady()
	}
	m.sim.after(tickInterval, func() { m.tick(startCount) })
}

// receive delivers a message to the node, or holds it during a pause.
func (m *member) receive(message *pb.RaftMessage) {
	switch {
	case m.node == nil:
	case m.paused:
		m.heldMessages = append(m.heldMessages, message)
	default:
		if err := m.node.Step(m.clock(), message); err != nil {
			// All members are correct here, so the protocol itself is broken.
			panic(err)
		}
		m.processReady()
	}
}

// resume ends a pause and delivers the messages that arrived during it.
func (m *member) resume() {
	m.paused = false
	held := m.heldMessages
	m.heldMessages = nil
	for _, message := range held {
		m.receive(message)
	}
}

// propose proposes a command and reports whether the node accepted the proposal. reply is
// called when an entry is applied at its index on this member, or never.
func (m *member) propose(c *pb.Command, reply func(r *pb.Result, lost bool)) bool {
	if m.node == nil || m.paused {
		return false
	}
	c = proto.CloneOf(c)
	c.UnixNanos = m.sim.wallNanos()
	data, err := proto.Marshal(c)
	if err != nil {
		m.sim.fail("cannot encode command: %v", err)
	}
	index, term, err := m.node.Propose(m.clock(), data)
	if err != nil {
		return false
	}
	m.pending[index] = pendingProposal{term, reply}
	m.processReady()
	return true
}

// processReady persists, sends and applies the output of the node, as the event loop of a
// production voter does.
func (m *member) processReady() {
	sim := m.sim
	for m.node != nil && m.node.HasReady() {
		if m.node.Role() == bluebellraft.Leader {
			sim.checkLeader(m.node.Term(), m.id)
		}
		r := m.node.Ready()
		if err := m.wal.Save(r); err != nil {
			m.crashOnSyncFailure()
			return
		}
		m.node.MarkPersisted(r)
		sim.send(m, r.Messages)
		if r.Snapshot != nil {
			sim.report.Installs++
			machine, err := bluebellstate.Restore(r.Snapshot.Data)
			if err != nil {
				sim.fail("%s cannot restore a received snapshot: %v", m.id, err)
			}
			m.machine = machine
		}
		for _, e := range r.Committed {
			m.apply(e)
		}
		if !m.publishView() || !m.compact() {
			m.crashOnSyncFailure()
			return
		}
	}
	if m.node != nil && m.node.HasLease(m.clock()) {
		sim.checkLease(m)
	}
}

// crashOnSyncFailure stops the member after a failed write to its log and schedules a
// restart.
func (m *member) crashOnSyncFailure() {
	sim := m.sim
	sim.report.SyncFail++
	m.stop()
	sim.after(sim.between(10*time.Millisecond, time.Second), m.restart)
}

// apply applies a committed entry and completes the proposal at its index.
func (m *member) apply(e *pb.LogEntry) {
	m.sim.checkCommitted(e, m.id)
	m.appliedSinceSnapshot++
	var result *pb.Result
	if len(e.Data) > 0 {
		var c pb.Command
		if err := proto.Unmarshal(e.Data, &c); err != nil {
			m.sim.fail("cannot decode log entry %d: %v", e.Index, err)
		}
		result = m.machine.Apply(&c)
		if c.ChangeID != "" {
			m.sim.clients.appliedChanges[c.ChangeID] = result
		}
	}
	if proposal, ok := m.pending[e.Index]; ok {
		delete(m.pending, e.Index)
		proposal.reply(result, proposal.term != e.Term)
	}
}

// publishView persists the commit index and then publishes the current view. It reports
// whether the write to the log succeeded.
func (m *member) publishView() bool {
	revision := m.machine.View().Revision
	if revision == m.revisionInForce {
		return true
	}
	if err := m.wal.Save(bluebellraft.Ready{HardState: m.node.HardStateWithCommit()}); err != nil {
		return false
	}
	if revision < m.revisionInForce {
		// start checks that a restart does not lower the revision.
		m.sim.fail("the revision in force on %s decreased from %d to %d", m.id, m.revisionInForce, revision)
	}
	m.revisionInForce = revision
	return true
}

// compact takes a snapshot and compacts the log when enough entries were applied. It
// reports whether the write to the log succeeded.
func (m *member) compact() bool {
	if m.appliedSinceSnapshot < compactAfterEntries {
		return true
	}
	m.appliedSinceSnapshot = 0
	data, err := m.machine.Snapshot()
	if err != nil {
		m.sim.fail("cannot encode snapshot of the state: %v", err)
	}
	m.sim.report.Snapshots++
	s, entries := m.node.Compact(data)
	return m.wal.Compact(s, entries) == nil
}

// repairMembership advances the membership by one step: it adds a member with a replaced
// disk as a learner, removes the voter with the old ID, or makes the learner a voter.
func (sim *Simulation) repairMembership() {
	leader := sim.currentLeader()
	if leader == nil {
		return
	}
	members := proto.CloneOf(leader.node.Members())
	for _, m := range sim.members {
		if slices.Contains(members.Voters, m.id) {
			continue
		}
		if !slices.Contains(members.Learners, m.id) {
			members.Learners = []string{m.id}
			if leader.node.ChangeMembers(leader.clock(), members) == nil {
				sim.report.MemberChanges++
			}
			leader.processReady()
			return
		}
		sim.replaceVoter(leader, members, m)
		return
	}
}

// replaceVoter removes a voter whose disk was replaced. If there is none to remove, it
// makes the learner m a voter; the leader refuses a learner that has not caught up.
func (sim *Simulation) replaceVoter(leader *member, members *pb.Members, m *member) {
	for i, v := range members.Voters {
		if sim.memberByID(v) == nil && len(members.Voters) > sim.cfg.Voters-1 {
			members.Voters = slices.Delete(members.Voters, i, i+1)
			if leader.node.ChangeMembers(leader.clock(), members) == nil {
				sim.report.MemberChanges++
			}
			leader.processReady()
			return
		}
	}
	members.Voters = append(members.Voters, m.id)
	members.Learners = nil
	if leader.node.ChangeMembers(leader.clock(), members) == nil {
		sim.report.MemberChanges++
	}
	leader.processReady()
}

// currentLeader returns the running member that holds the lease, or nil.
func (sim *Simulation) currentLeader() *member {
	for _, m := range sim.members {
		if m.node != nil && !m.paused && m.node.HasLease(m.clock()) {
			return m
		}
	}
	return nil
}
