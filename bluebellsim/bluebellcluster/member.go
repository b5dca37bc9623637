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
	compactEvery = 60
	keepEntries  = 20
	logFolder    = "log"
)

// member is one VM that takes part in the log.
type member struct {
	world   *Simulation
	place   int
	id      string
	first   *pb.Members
	disk    *disk
	rate    float64 // of its clock
	node    *bluebellraft.Node
	wal     *bluebellwal.Log
	machine *bluebellstate.Machine
	// waiting proposals by index
	waiting map[uint64]waiter
	// since the latest snapshot
	applied int
	// revision that was in force here, over restarts
	inForce uint64
	paused  bool
	// held are messages that came during a pause.
	held []*pb.RaftMessage
	// life counts starts, so that old ticks end.
	life int
}

type waiter struct {
	term  uint64
	reply func(r *pb.Result, lost bool)
}

func memberName(place, replacement int) string {
	if replacement == 0 {
		return fmt.Sprintf("vm%d", place)
	}
	return fmt.Sprintf("vm%d/%d", place, replacement)
}

func newMember(w *Simulation, place int, first *pb.Members) *member {
	drift := allowedDrift / 2.2
	if w.cfg.Mutation == Drift {
		drift = 0.6
	}
	return &member{
		world: w, place: place, id: memberName(place, 0), first: first,
		disk: w.newDisk(), rate: 1 - drift + 2*drift*w.rand.Float64(),
	}
}

func (w *Simulation) newDisk() *disk {
	d := newDisk(rand.New(rand.NewPCG(w.rand.Uint64(), 1)))
	d.ignoreSync = w.cfg.Mutation == IgnoreSync
	return d
}

// clock is the member's own time.
func (m *member) clock() time.Duration { return time.Duration(float64(m.world.now) * m.rate) }

// start opens the disk and takes part.
func (m *member) start() {
	w := m.world
	wal, stored, err := bluebellwal.Open(m.disk.fs(), logFolder)
	if errors.Is(err, bluebellwal.ErrCorrupt) {
		if w.cfg.Mutation != SkipCorrupt {
			m.replaceDisk()
			return
		}
		m.disk, m.inForce = w.newDisk(), 0
		wal, stored, err = bluebellwal.Open(m.disk.fs(), logFolder)
	}
	if err != nil {
		// A sync failed while opening: the process is started again later.
		w.after(w.between(10*time.Millisecond, time.Second), m.restart)
		return
	}
	if w.cfg.Mutation == ForgetCommit && stored.HardState != nil {
		stored.HardState.Commit = 0
	}
	m.machine = bluebellstate.New()
	if data := stored.Snapshot.GetData(); len(data) > 0 {
		if m.machine, err = bluebellstate.Restore(data); err != nil {
			w.fail("%s cannot restore its snapshot: %v", m.id, err)
		}
	}
	now := m.clock()
	if w.cfg.Mutation == VoteAtOnce {
		now -= 2 * electionTimeout
	}
	node, err := bluebellraft.New(bluebellraft.Config{
		ID: m.id, Members: m.first, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatEvery,
		MaxClockDrift: allowedDrift, MaxEntriesPerMessage: 16, KeepEntries: keepEntries,
		Rand: func(n int64) int64 { return w.rand.Int64N(n) },
	}, stored, now)
	if err != nil {
		w.fail("%s cannot start: %v", m.id, err)
	}
	m.node, m.wal = node, wal
	m.waiting = map[uint64]waiter{}
	m.applied, m.held, m.paused = 0, nil, false
	m.life++
	m.carryOut()
	if m.node != nil && m.machine.View().Revision < m.inForce {
		w.fail("%s has revision %d in force after its restart, and had %d", m.id, m.machine.View().Revision, m.inForce)
	}
	m.tick(m.life)
}

func (m *member) restart() {
	if m.node == nil {
		m.start()
	}
}

// stop ends the process; what was not synced is lost.
func (m *member) stop() {
	m.node, m.wal, m.waiting = nil, nil, nil
	m.disk.crash()
}

// replaceDisk starts anew with an empty disk under a new identity.
func (m *member) replaceDisk() {
	w := m.world
	m.node, m.wal, m.waiting = nil, nil, nil
	m.disk = w.newDisk()
	m.inForce = 0
	if w.cfg.Mutation != SameIdentity {
		w.replaced++
		m.id = memberName(m.place, w.replaced)
		m.first = &pb.Members{}
	}
	w.report.DiskLosses++
	m.start()
}

func (m *member) tick(life int) {
	if m.life != life || m.node == nil {
		return
	}
	if !m.paused {
		m.node.Tick(m.clock())
		m.carryOut()
	}
	m.world.after(tickEvery, func() { m.tick(life) })
}

func (m *member) receive(message *pb.RaftMessage) {
	switch {
	case m.node == nil:
	case m.paused:
		m.held = append(m.held, message)
	default:
		m.node.Step(m.clock(), message)
		m.carryOut()
	}
}

// resume ends a pause: the messages that came meanwhile arrive all at once.
func (m *member) resume() {
	m.paused = false
	held := m.held
	m.held = nil
	for _, message := range held {
		m.receive(message)
	}
}

// propose offers a command. The reply comes when it is applied here, or never.
func (m *member) propose(c *pb.Command, reply func(r *pb.Result, lost bool)) bool {
	if m.node == nil || m.paused {
		return false
	}
	c = proto.CloneOf(c)
	c.UnixNanos = m.world.wall()
	data, err := proto.Marshal(c)
	if err != nil {
		m.world.fail("command: %v", err)
	}
	index, term, err := m.node.Propose(m.clock(), data)
	if err != nil {
		return false
	}
	m.waiting[index] = waiter{term, reply}
	m.carryOut()
	return true
}

// carryOut does what the voter's own loop does.
func (m *member) carryOut() {
	w := m.world
	for m.node != nil && m.node.HasReady() {
		if m.node.Role() == bluebellraft.Leader {
			w.checkLeader(m.node.Term(), m.id)
		}
		r := m.node.Ready()
		if err := m.wal.Save(r); err != nil {
			m.crashBySync()
			return
		}
		m.node.MarkPersisted(r)
		w.deliver(m, r.Messages)
		if r.Snapshot != nil {
			w.report.Installs++
			machine, err := bluebellstate.Restore(r.Snapshot.Data)
			if err != nil {
				w.fail("%s cannot restore a snapshot: %v", m.id, err)
			}
			m.machine = machine
		}
		for _, e := range r.Committed {
			m.apply(e)
		}
		if !m.show() || !m.compact() {
			m.crashBySync()
			return
		}
	}
	if m.node != nil && m.node.HasLease(m.clock()) {
		w.checkLease(m)
	}
}

func (m *member) crashBySync() {
	w := m.world
	w.report.SyncFail++
	m.stop()
	w.after(w.between(10*time.Millisecond, time.Second), m.restart)
}

func (m *member) apply(e *pb.LogEntry) {
	m.world.checkCommitted(e, m.id)
	m.applied++
	var result *pb.Result
	if len(e.Data) > 0 {
		var c pb.Command
		if err := proto.Unmarshal(e.Data, &c); err != nil {
			m.world.fail("entry %d: %v", e.Index, err)
		}
		result = m.machine.Apply(&c)
		if c.ChangeID != "" {
			m.world.clients.logged[c.ChangeID] = result
		}
	}
	if wt, ok := m.waiting[e.Index]; ok {
		delete(m.waiting, e.Index)
		wt.reply(result, wt.term != e.Term)
	}
}

// show puts a new view in force once the commit index is durable.
func (m *member) show() bool {
	revision := m.machine.View().Revision
	if revision == m.inForce {
		return true
	}
	if err := m.wal.Save(bluebellraft.Ready{HardState: m.node.HardStateWithCommit()}); err != nil {
		return false
	}
	if revision < m.inForce {
		// Only a restart may leave a member behind, and start checks that.
		m.world.fail("%s went back from revision %d to %d", m.id, m.inForce, revision)
	}
	m.inForce = revision
	return true
}

func (m *member) compact() bool {
	if m.applied < compactEvery {
		return true
	}
	m.applied = 0
	data, err := m.machine.Snapshot()
	if err != nil {
		m.world.fail("snapshot: %v", err)
	}
	m.world.report.Snapshots++
	s, entries := m.node.Compact(data)
	return m.wal.Compact(s, entries) == nil
}

// repairMembers makes members that replaced others learners, then voters, and
// lets the old identities go, one step at a time.
func (w *Simulation) repairMembers() {
	leader := w.currentLeader()
	if leader == nil {
		return
	}
	members := proto.CloneOf(leader.node.Members())
	for _, m := range w.members {
		if slices.Contains(members.Voters, m.id) {
			continue
		}
		if !slices.Contains(members.Learners, m.id) {
			members.Learners = []string{m.id}
			if leader.node.ChangeMembers(leader.clock(), members) == nil {
				w.report.MemberChanges++
			}
			leader.carryOut()
			return
		}
		w.replaceVoter(leader, members, m)
		return
	}
}

// replaceVoter makes a learner that has caught up a voter, and then lets the old
// identity of its place go.
func (w *Simulation) replaceVoter(leader *member, members *pb.Members, m *member) {
	for i, v := range members.Voters {
		if w.memberByID(v) == nil && len(members.Voters) > w.cfg.Voters-1 {
			members.Voters = slices.Delete(members.Voters, i, i+1)
			if leader.node.ChangeMembers(leader.clock(), members) == nil {
				w.report.MemberChanges++
			}
			leader.carryOut()
			return
		}
	}
	members.Voters = append(members.Voters, m.id)
	members.Learners = nil
	if leader.node.ChangeMembers(leader.clock(), members) == nil {
		w.report.MemberChanges++
	}
	leader.carryOut()
}

func (w *Simulation) currentLeader() *member {
	for _, m := range w.members {
		if m.node != nil && !m.paused && m.node.HasLease(m.clock()) {
			return m
		}
	}
	return nil
}
