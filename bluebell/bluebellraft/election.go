package bluebellraft

import (
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// startPreVote asks the other voters whether they would vote for this node. It does
// not increment the term, so a node that returns from a network partition does not
// depose a working leader.
func (n *Node) startPreVote(now time.Duration) {
	n.role, n.leaderID = PreCandidate, ""
	n.resetElectionTimer(now)
	n.grantedVotes = map[string]bool{n.cfg.ID: true}
	n.requestVotes(pb.RaftKind_PreVote, n.term+1)
	n.countVotes(now)
}

// startElection increments the term, votes for this node and requests the votes of the
// other voters.
func (n *Node) startElection(now time.Duration) {
	n.role, n.leaderID = Candidate, ""
	n.term++
	n.votedFor = n.cfg.ID
	n.resetElectionTimer(now)
	n.grantedVotes = map[string]bool{n.cfg.ID: true}
	n.requestVotes(pb.RaftKind_Vote, n.term)
	n.countVotes(now)
}

func (n *Node) requestVotes(kind pb.RaftKind, term uint64) {
	for _, id := range n.members.Voters {
		if id == n.cfg.ID {
			continue
		}
		n.send(&pb.RaftMessage{
			Kind: kind, To: id, Term: term,
			LogIndex: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
		})
	}
}

// countVotes moves on when a quorum has granted its votes: a pre-candidate starts the
// election, a candidate becomes leader.
func (n *Node) countVotes(now time.Duration) {
	granted := 0
	for _, id := range n.members.Voters {
		if n.grantedVotes[id] {
			granted++
		}
	}
	if granted < n.quorumSize() {
		return
	}
	if n.role == PreCandidate {
		n.startElection(now)
		return
	}
	n.becomeLeader(now)
}

// handleVoteRequest grants or refuses a vote or pre-vote. A node that had contact with a
// leader within the election timeout refuses, since the leader's lease relies on that.
func (n *Node) handleVoteRequest(now time.Duration, m *pb.RaftMessage) {
	reply := pb.RaftKind_VoteReply
	if m.Kind == pb.RaftKind_PreVote {
		reply = pb.RaftKind_PreVoteReply
	}
	refuse := func() {
		n.send(&pb.RaftMessage{Kind: reply, To: m.From, Refused: true})
	}
	hasRecentLeader := now < n.lastContact+n.cfg.ElectionTimeout
	if hasRecentLeader || n.role == Leader && m.Term <= n.term {
		refuse()
		return
	}
	if m.Kind == pb.RaftKind_Vote && m.Term > n.term {
		n.becomeFollower(now, m.Term, "")
	}
	upToDate := m.LogTerm > n.log.lastTerm() ||
		m.LogTerm == n.log.lastTerm() && m.LogIndex >= n.log.lastIndex()
	if !upToDate || m.Term < n.term {
		refuse()
		return
	}
	if m.Kind == pb.RaftKind_PreVote {
		n.send(&pb.RaftMessage{Kind: reply, To: m.From, Term: m.Term})
		return
	}
	if n.votedFor != "" && n.votedFor != m.From {
		refuse()
		return
	}
	n.votedFor = m.From
	n.resetElectionTimer(now)
	n.send(&pb.RaftMessage{Kind: reply, To: m.From})
}

func (n *Node) handleVoteReply(now time.Duration, m *pb.RaftMessage) {
	expected := n.role == PreCandidate && m.Kind == pb.RaftKind_PreVoteReply && m.Term == n.term+1 ||
		n.role == Candidate && m.Kind == pb.RaftKind_VoteReply && m.Term == n.term
	if !expected || m.Refused {
		return
	}
	n.grantedVotes[m.From] = true
	n.countVotes(now)
}

// becomeLeader resets the leader's state, appends an empty log entry and sends the first
// heartbeat of the term.
func (n *Node) becomeLeader(now time.Duration) {
	n.role, n.leaderID = Leader, n.cfg.ID
	n.leaseUntil = 0
	n.lastContact = now
	n.peers = map[string]*progress{}
	n.roundSentAt = map[uint64]time.Duration{}
	n.syncPeers(now)
	// Entries of earlier terms are committed only together with an entry of the
	// leader's own term, so the leader appends an empty one.
	n.termStartIndex = n.appendEntry(&pb.LogEntry{})
	n.replicateAll(now, true)
}
