package bluebellraft

import (
	"errors"
	"fmt"
	"slices"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// Role is the Raft role of a node in its current term.
type Role int

// The roles of a node.
const (
	// Follower accepts log entries from a leader, or waits for one.
	Follower Role = iota
	// PreCandidate asks the voters, before it increments the term, whether they would
	// vote for it.
	PreCandidate
	// Candidate has incremented the term and requests votes.
	Candidate
	// Leader accepts proposals and replicates the log.
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"Follower", "PreCandidate", "Candidate", "Leader"}[r]
}

// ErrNotLeader is returned by operations that only a leader can perform.
var ErrNotLeader = errors.New("this voter does not lead")

// Config configures a Node.
type Config struct {
	// ID is the identity of this node. After the loss of the node's disk it must not be
	// used again, since the node's vote and log entries are lost with the disk.
	ID string
	// Members are the initial members. They are used until the log has a snapshot or a
	// membership change.
	Members *pb.Members
	// ElectionTimeout is the shortest time without contact to a leader after which a
	// voter starts a pre-vote. The actual time is random, up to twice as long.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// MaxClockDrift is the largest relative difference in speed between the clocks of two
	// VMs. The leader lease is shorter than ElectionTimeout by this share.
	MaxClockDrift float64
	// MaxEntriesPerMessage is the largest number of log entries in one message.
	MaxEntriesPerMessage int
	// MaxBytesPerMessage limits the data of the entries in one message, unless a single one has more. If 0, there
	// is no limit.
	MaxBytesPerMessage int
	// KeepEntries is the number of entries that stay in memory although a snapshot covers
	// them. A member that lags a little gets these entries instead of the snapshot.
	KeepEntries uint64
	// KeepBytes limits the data of these entries. If 0, there is no limit.
	KeepBytes int
	// Rand returns a random number in [0, n).
	Rand func(n int64) int64
}

// DurableState is the state that a node restores from storage when it starts.
type DurableState struct {
	// HardState holds the term, the vote in that term and a commit index; nil in an empty
	// store.
	HardState *pb.HardState
	// Snapshot is the latest snapshot, or nil.
	Snapshot *pb.RaftSnapshot
	// Entries are the log entries after the snapshot.
	Entries []*pb.LogEntry
}

// Ready holds the pending output of a node. The package comment gives the order in which
// the caller must process it.
type Ready struct {
	// HardState must be made durable. It is nil if unchanged.
	HardState *pb.HardState
	// Snapshot, if set, replaces the durable log and the state of the caller.
	Snapshot *pb.RaftSnapshot
	// Entries must be made durable. They replace all stored entries from the index of the
	// first one on.
	Entries []*pb.LogEntry
	// Messages are to be sent to other members.
	Messages []*pb.RaftMessage
	// Committed holds the entries to apply. No entry is returned twice.
	Committed []*pb.LogEntry
}

// progress is a leader's record of the replication to another member.
type progress struct {
	// matchIndex is the last index that is known to be durable on the member. nextIndex
	// is the index of the next entry to send.
	matchIndex, nextIndex uint64
	// lastSentAt and lastHeardAt are times on this node's clock.
	lastSentAt, lastHeardAt time.Duration
	// inFlight is true if entries or a snapshot were sent and neither a reply nor the next
	// heartbeat followed.
	inFlight bool
	// sentCommitIndex is the commit index of the latest message to the member.
	sentCommitIndex uint64
	// ackedRound is the highest heartbeat round that the member has acknowledged.
	ackedRound uint64
}

// Node is one member of the log. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	role Role
	term uint64
	// votedFor is the node that got this node's vote in the current term, or "".
	votedFor string
	// leaderID is the known leader of the current term, or "".
	leaderID string
	log      raftLog
	// members are those of the latest log entry that changes them, committed or not.
	members *pb.Members

	// electionDeadline is the time at which a voter starts a pre-vote.
	electionDeadline time.Duration
	// lastContact is the time of the latest message from a leader. On a leader it is the
	// start of the latest heartbeat round that a quorum has acknowledged, or before that
	// the time at which it became leader.
	lastContact time.Duration
	// currentAt is the time of the latest message from a leader by which this node had all
	// entries that the leader knew to be committed, 0 before the first one.
	currentAt       time.Duration
	nextHeartbeatAt time.Duration
	// grantedVotes holds the voters that granted this node a pre-vote or vote.
	grantedVotes map[string]bool
	// peers holds the progress of all other members. Only a leader uses it.
	peers map[string]*progress
	// round is the number of the latest heartbeat round.
	round uint64
	// roundSentAt holds the start times of heartbeat rounds.
	roundSentAt map[uint64]time.Duration
	// leaseUntil is the end of the leader lease. Until then no other node can become
	// leader.
	leaseUntil time.Duration
	// termStartIndex is the index of the first entry that this node appended as leader of
	// its term.
	termStartIndex uint64

	// persistedHardState is the hard state that storage is known to hold.
	persistedHardState *pb.HardState
	// pendingSnapshot and messages are returned by the next Ready.
	pendingSnapshot *pb.RaftSnapshot
	messages        []*pb.RaftMessage
}

// New returns a node that continues from its durable state. The node grants no vote for
// one election timeout after its start: before it stopped it may have acknowledged a
// heartbeat, and the leader's lease relies on that acknowledgement.
func New(cfg Config, stored DurableState, now time.Duration) (*Node, error) {
	switch {
	case cfg.ID == "":
		return nil, errors.New("Config.ID is empty")
	case cfg.HeartbeatInterval <= 0 || cfg.ElectionTimeout < 3*cfg.HeartbeatInterval:
		return nil, fmt.Errorf("election timeout %v must be at least three times the heartbeat interval %v, which must be positive", cfg.ElectionTimeout, cfg.HeartbeatInterval)
	case cfg.Rand == nil || cfg.MaxEntriesPerMessage <= 0:
		return nil, errors.New("Config.Rand must be set and Config.MaxEntriesPerMessage must be positive")
	}
	n := &Node{cfg: cfg, peers: map[string]*progress{}, roundSentAt: map[uint64]time.Duration{}}
	if stored.HardState == nil {
		stored.HardState = &pb.HardState{}
	}
	n.term, n.votedFor, n.persistedHardState = stored.HardState.Term, stored.HardState.Vote, stored.HardState
	members := cfg.Members
	if members == nil {
		members = &pb.Members{}
	}
	n.log = newLog(stored.Snapshot, stored.Entries, members)
	n.log.commitIndex = max(n.log.commitIndex, min(stored.HardState.Commit, n.log.lastIndex()))
	n.members = n.log.membersAt(n.log.lastIndex())
	n.lastContact = now
	n.resetElectionTimer(now)
	return n, nil
}

// ID returns the node's identity.
func (n *Node) ID() string { return n.cfg.ID }

// Role returns the node's role in the current term.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// LeaderID returns the identity of the current term's leader, or "" if it is not known.
func (n *Node) LeaderID() string { return n.leaderID }

// CommitIndex returns the last index that is known to be committed.
func (n *Node) CommitIndex() uint64 { return n.log.commitIndex }

// LastIndex returns the index of the last log entry, committed or not.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// TermStartIndex returns the index of the first entry that this node appended as leader of its term, or of its
// last term as leader.
func (n *Node) TermStartIndex() uint64 { return n.termStartIndex }

// Members returns the members that are in force. A membership change is in force as soon
// as it is in the log, before it is committed.
func (n *Node) Members() *pb.Members { return n.members }

// MembersIndex returns the index of the last log entry that changes the members or, if there is none, of the snapshot.
// It is 0 if the log holds no members, so that the initial ones are in force.
func (n *Node) MembersIndex() uint64 { return n.log.lastMembersIndex() }

// CurrentAt returns the latest time at which this node is known to have had all committed entries, or 0 if there is
// none. On a follower it may be too late by up to an election timeout, while its leader has lost the quorum.
func (n *Node) CurrentAt() time.Duration {
	if n.role == Leader && n.log.commitIndex >= n.termStartIndex {
		return max(n.currentAt, n.lastContact)
	}
	return n.currentAt
}

// EntriesAfter returns the log entries that follow index, committed or not. The caller must not modify them.
func (n *Node) EntriesAfter(index uint64) []*pb.LogEntry {
	return n.log.entriesAfter(index, int(n.log.lastIndex()-index))
}

// HasLease reports whether this node is the leader and its lease has not expired, so that
// no other node can be leader now.
func (n *Node) HasLease(now time.Duration) bool {
	return n.role == Leader && now < n.leaseUntil
}

// LeaseUntil returns the end of this node's lease if it is the leader, and 0 otherwise.
func (n *Node) LeaseUntil() time.Duration {
	if n.role != Leader {
		return 0
	}
	return n.leaseUntil
}

// Tick performs what is due at time now. A voter starts a pre-vote once its election
// deadline has passed. A leader sends heartbeats, or steps down if no quorum has answered
// for an election timeout.
func (n *Node) Tick(now time.Duration) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if n.isVoter() && now >= n.electionDeadline {
		n.startPreVote(now)
	}
}

// Propose appends an entry with data to the leader's log and returns the entry's index and
// term. It returns ErrNotLeader on other nodes.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = n.appendEntry(&pb.LogEntry{Data: data})
	n.replicateAll(now, false)
	return index, n.term, nil
}

// ChangeMembers proposes new members, which may differ from the present ones by at most
// one voter. A new voter must be a learner that has caught up; see CaughtUp. Only one
// change can be pending, and the leader must have committed an entry of its own term. It
// returns ErrNotLeader on other nodes.
func (n *Node) ChangeMembers(now time.Duration, next *pb.Members) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.log.commitIndex < n.termStartIndex || n.log.lastMembersIndex() > n.log.commitIndex {
		return errors.New("an earlier change of members is not committed yet")
	}
	added, removed := 0, 0
	for _, v := range next.Voters {
		if slices.Contains(n.members.Voters, v) {
			continue
		}
		added++
		if !n.CaughtUp(v) {
			return fmt.Errorf("voter %s has not caught up as a learner", v)
		}
	}
	for _, v := range n.members.Voters {
		if !slices.Contains(next.Voters, v) {
			removed++
		}
	}
	if added+removed > 1 {
		return errors.New("members change by one voter at a time")
	}
	if len(next.Voters) == 0 {
		return errors.New("the last voter cannot leave")
	}
	n.appendEntry(&pb.LogEntry{Members: next})
	n.replicateAll(now, false)
	return nil
}

// CaughtUp reports whether this node is the leader and the given other member is known to
// store all committed entries.
func (n *Node) CaughtUp(id string) bool {
	p := n.peers[id]
	return n.role == Leader && p != nil && p.matchIndex >= n.log.commitIndex
}

// Compact makes data, the state after the last applied entry, the new snapshot. It returns
// the snapshot and the durable entries that follow it.
func (n *Node) Compact(data []byte) (*pb.RaftSnapshot, []*pb.LogEntry) {
	s := n.log.compact(n.log.appliedIndex, n.cfg.KeepEntries, n.cfg.KeepBytes, data)
	return s, n.log.entriesAfter(s.Index, int(n.log.durableIndex-s.Index))
}

// HasReady reports whether Ready would return any output.
func (n *Node) HasReady() bool {
	return n.pendingSnapshot != nil || len(n.messages) > 0 || n.hardStateChanged() ||
		n.log.durableIndex < n.log.lastIndex() || n.log.appliedIndex < n.log.applicableIndex()
}

// Ready returns the pending output; see the package comment for its processing.
func (n *Node) Ready() Ready {
	r := Ready{Snapshot: n.pendingSnapshot, Messages: n.messages, Entries: n.log.entriesToPersist()}
	if n.hardStateChanged() {
		r.HardState = &pb.HardState{Term: n.term, Vote: n.votedFor, Commit: n.persistedHardState.Commit}
	}
	r.Committed = n.log.takeCommitted()
	n.messages, n.pendingSnapshot = nil, nil
	return r
}

// MarkPersisted must be called once HardState, Snapshot and Entries of a Ready are durable.
// A leader then counts these entries towards the commit.
func (n *Node) MarkPersisted(r Ready) {
	if r.HardState != nil {
		n.persistedHardState = r.HardState
	}
	if len(r.Entries) == 0 {
		return
	}
	last := r.Entries[len(r.Entries)-1]
	n.log.markDurable(last.Index, last.Term)
	if n.role == Leader {
		n.advanceCommit()
	}
}

// HardStateWithCommit returns the persisted term and vote together with the last applied
// index as commit index, and takes this hard state as persisted. If the caller saves it
// before it publishes the effects of an entry, the node restores these effects right after
// a restart, before it has contact with a leader.
func (n *Node) HardStateWithCommit() *pb.HardState {
	n.persistedHardState = &pb.HardState{Term: n.persistedHardState.Term, Vote: n.persistedHardState.Vote, Commit: n.log.appliedIndex}
	return n.persistedHardState
}

// hardStateChanged reports whether the term or the vote differs from the persisted one.
func (n *Node) hardStateChanged() bool {
	return n.persistedHardState.Term != n.term || n.persistedHardState.Vote != n.votedFor
}

func (n *Node) isVoter() bool { return slices.Contains(n.members.Voters, n.cfg.ID) }

func (n *Node) quorumSize() int { return len(n.members.Voters)/2 + 1 }

// send adds a message to the output. A message without a term gets the current one.
func (n *Node) send(m *pb.RaftMessage) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// otherMembers returns all voters and learners except this node.
func (n *Node) otherMembers() []string {
	var ids []string
	for _, id := range append(slices.Clone(n.members.Voters), n.members.Learners...) {
		if id != n.cfg.ID {
			ids = append(ids, id)
		}
	}
	return ids
}

// becomeFollower makes the node a follower in the given term, which must not be below its
// own. The leader may be "" if it is not known.
func (n *Node) becomeFollower(now time.Duration, term uint64, leaderID string) {
	if term > n.term {
		n.term, n.votedFor = term, ""
	}
	n.role, n.leaderID, n.leaseUntil = Follower, leaderID, 0
	n.resetElectionTimer(now)
}

// resetElectionTimer sets the election deadline to a random time between one and two
// election timeouts from now, so that voters rarely start elections at the same time.
func (n *Node) resetElectionTimer(now time.Duration) {
	jitter := n.cfg.Rand(int64(n.cfg.ElectionTimeout))
	n.electionDeadline = now + n.cfg.ElectionTimeout + time.Duration(jitter)
}
