package bluebellraft

import (
	"errors"
	"fmt"
	"slices"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// Role is the part that a node plays in its term.
type Role int

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"Follower", "PreCandidate", "Candidate", "Leader"}[r]
}

// ErrNotLeader is returned by calls that only a leader can carry out.
var ErrNotLeader = errors.New("this voter does not lead")

// Config sets up a Node.
type Config struct {
	// ID of this node; never used again once its disk is lost.
	ID string
	// Members of a log that is still empty.
	Members *pb.Members
	// ElectionTimeout is the shortest silence of a leader before an election.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two messages of an idle leader.
	HeartbeatInterval time.Duration
	// MaxClockDrift is the largest relative error between two clocks.
	MaxClockDrift float64
	// MaxEntriesPerMessage is the number of entries in one message at most.
	MaxEntriesPerMessage int
	// KeepEntries is the number of entries before a snapshot that are kept for
	// members that lag a little.
	KeepEntries uint64
	// Rand returns a number in [0, n).
	Rand func(n int64) int64
}

// DurableState is the durable state that a node starts from.
type DurableState struct {
	HardState *pb.HardState
	Snapshot  *pb.RaftSnapshot
	Entries   []*pb.LogEntry
}

// Ready is what the caller has to carry out.
type Ready struct {
	// HardState is nil when unchanged.
	HardState *pb.HardState
	// Snapshot replaces the state and the log, if set.
	Snapshot *pb.RaftSnapshot
	// Entries follow on, or replace from the index of the first.
	Entries  []*pb.LogEntry
	Messages []*pb.RaftMessage
	// Committed entries to apply; none is returned twice.
	Committed []*pb.LogEntry
}

// progress is what a leader knows of another node.
type progress struct {
	match, next uint64
	// lastSent and lastHeard are times of this node's clock.
	lastSent, lastHeard time.Duration
	// inFlight entries were sent and not confirmed.
	inFlight bool
	// commit index that the node was told last.
	commit uint64
	// round confirmed by the latest reply.
	round uint64
}

// Node is one member of the log. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	role    Role
	term    uint64
	vote    string
	leader  string
	log     raftLog
	members *pb.Members

	electionAt  time.Duration
	lastContact time.Duration
	heartbeatAt time.Duration
	votes       map[string]bool
	peers       map[string]*progress
	round       uint64
	roundSentAt map[uint64]time.Duration
	leaseUntil  time.Duration
	termStart   uint64

	saved    *pb.HardState
	install  *pb.RaftSnapshot
	messages []*pb.RaftMessage
}

// New returns a node that continues from its durable state. It does not vote
// before one election timeout has passed, since it may have promised a leader
// that time before it stopped.
func New(cfg Config, stored DurableState, now time.Duration) (*Node, error) {
	switch {
	case cfg.ID == "":
		return nil, errors.New("node has no ID")
	case cfg.HeartbeatInterval <= 0 || cfg.ElectionTimeout < 3*cfg.HeartbeatInterval:
		return nil, fmt.Errorf("election timeout %v must be at least three heartbeats of %v", cfg.ElectionTimeout, cfg.HeartbeatInterval)
	case cfg.Rand == nil || cfg.MaxEntriesPerMessage <= 0:
		return nil, errors.New("node needs Rand and MaxEntries")
	}
	n := &Node{cfg: cfg, peers: map[string]*progress{}, roundSentAt: map[uint64]time.Duration{}}
	if stored.HardState == nil {
		stored.HardState = &pb.HardState{}
	}
	n.term, n.vote, n.saved = stored.HardState.Term, stored.HardState.Vote, stored.HardState
	members := cfg.Members
	if members == nil {
		members = &pb.Members{}
	}
	n.log = newLog(stored.Snapshot, stored.Entries, members)
	n.log.commit = max(n.log.commit, min(stored.HardState.Commit, n.log.lastIndex()))
	n.members = n.log.members(n.log.lastIndex())
	n.lastContact = now
	n.resetElection(now)
	return n, nil
}

// ID returns the node's identity.
func (n *Node) ID() string { return n.cfg.ID }

// Role returns the node's part in its term.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// LeaderID returns the leader that the node knows of, or "".
func (n *Node) LeaderID() string { return n.leader }

// CommitIndex returns the last index known as committed.
func (n *Node) CommitIndex() uint64 { return n.log.commit }

// LastIndex returns the index of the last entry.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// Members returns the members in force.
func (n *Node) Members() *pb.Members { return n.members }

// HasLease tells whether no other node can lead at this time.
func (n *Node) HasLease(now time.Duration) bool {
	return n.role == Leader && now < n.leaseUntil
}

// LeaseUntil returns the end of the lease of a leader, and 0 for others.
func (n *Node) LeaseUntil() time.Duration {
	if n.role != Leader {
		return 0
	}
	return n.leaseUntil
}

// Tick lets time pass.
func (n *Node) Tick(now time.Duration) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if n.isVoter() && now >= n.electionAt {
		n.startPreVote(now)
	}
}

// Propose appends data to the log of a leader and returns its place.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = n.appendEntry(&pb.LogEntry{Data: data})
	n.replicateAll(now, false)
	return index, n.term, nil
}

// ChangeMembers proposes members that differ from the present ones by one
// voter at most. A new voter must be a learner that has caught up.
func (n *Node) ChangeMembers(now time.Duration, to *pb.Members) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.log.commit < n.termStart || n.log.lastMembersIndex() > n.log.commit {
		return errors.New("an earlier change of members is not committed yet")
	}
	added, removed := 0, 0
	for _, v := range to.Voters {
		if slices.Contains(n.members.Voters, v) {
			continue
		}
		added++
		if !n.CaughtUp(v) {
			return fmt.Errorf("voter %s has not caught up as a learner", v)
		}
	}
	for _, v := range n.members.Voters {
		if !slices.Contains(to.Voters, v) {
			removed++
		}
	}
	if added+removed > 1 {
		return errors.New("members change by one voter at a time")
	}
	if len(to.Voters) == 0 {
		return errors.New("the last voter cannot leave")
	}
	n.appendEntry(&pb.LogEntry{Members: to})
	n.replicateAll(now, false)
	return nil
}

// CaughtUp tells a leader whether a member has all that is committed.
func (n *Node) CaughtUp(id string) bool {
	p := n.peers[id]
	return n.role == Leader && p != nil && p.match >= n.log.commit
}

// Compact takes data as the state at the last applied index, and returns the
// snapshot and the durable entries that follow it.
func (n *Node) Compact(data []byte) (*pb.RaftSnapshot, []*pb.LogEntry) {
	s := n.log.compact(n.log.applied, n.cfg.KeepEntries, data)
	return s, n.log.after(s.Index, int(n.log.stable-s.Index))
}

// HasReady tells whether Ready would return anything to do.
func (n *Node) HasReady() bool {
	return n.install != nil || len(n.messages) > 0 || n.hardStateChanged() ||
		n.log.stable < n.log.lastIndex() || n.log.applied < n.log.committable()
}

// Ready returns what is to be carried out; see the package comment.
func (n *Node) Ready() Ready {
	r := Ready{Snapshot: n.install, Messages: n.messages, Entries: n.log.unstable()}
	if n.hardStateChanged() {
		r.HardState = &pb.HardState{Term: n.term, Vote: n.vote, Commit: n.saved.Commit}
	}
	r.Committed = n.log.takeCommitted()
	n.messages, n.install = nil, nil
	return r
}

// MarkPersisted tells that all of a Ready is durable.
func (n *Node) MarkPersisted(r Ready) {
	if r.HardState != nil {
		n.saved = r.HardState
	}
	if len(r.Entries) == 0 {
		return
	}
	last := r.Entries[len(r.Entries)-1]
	n.log.markStable(last.Index, last.Term)
	if n.role == Leader {
		n.advanceCommit()
	}
}

// HardStateWithCommit returns a hard state that also holds the commit index. A node whose
// storage saves it before the effects of an entry show will show them again right
// after a restart, without hearing from a leader.
func (n *Node) HardStateWithCommit() *pb.HardState {
	n.saved = &pb.HardState{Term: n.saved.Term, Vote: n.saved.Vote, Commit: n.log.applied}
	return n.saved
}

func (n *Node) hardStateChanged() bool {
	return n.saved.Term != n.term || n.saved.Vote != n.vote
}

func (n *Node) isVoter() bool { return slices.Contains(n.members.Voters, n.cfg.ID) }

func (n *Node) quorum() int { return len(n.members.Voters)/2 + 1 }

func (n *Node) send(m *pb.RaftMessage) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// others returns all members but this node.
func (n *Node) others() []string {
	var ids []string
	for _, id := range append(slices.Clone(n.members.Voters), n.members.Learners...) {
		if id != n.cfg.ID {
			ids = append(ids, id)
		}
	}
	return ids
}

func (n *Node) becomeFollower(now time.Duration, term uint64, leader string) {
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role, n.leader, n.leaseUntil = Follower, leader, 0
	n.resetElection(now)
}

func (n *Node) resetElection(now time.Duration) {
	spread := n.cfg.Rand(int64(n.cfg.ElectionTimeout))
	n.electionAt = now + n.cfg.ElectionTimeout + time.Duration(spread)
}
