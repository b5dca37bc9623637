package bluebellraft

import (
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// startPreVote asks whether an election could be won, without raising the
// term, so that a node that comes back from a partition disturbs nobody.
func (n *Node) startPreVote(now time.Duration) {
	n.role, n.leader = PreCandidate, ""
	n.resetElection(now)
	n.votes = map[string]bool{n.cfg.ID: true}
	n.requestVotes(pb.RaftKind_PreVote, n.term+1)
	n.countVotes(now)
}

func (n *Node) startElection(now time.Duration) {
	n.role, n.leader = Candidate, ""
	n.term++
	n.vote = n.cfg.ID
	n.resetElection(now)
	n.votes = map[string]bool{n.cfg.ID: true}
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

func (n *Node) countVotes(now time.Duration) {
	granted := 0
	for _, id := range n.members.Voters {
		if n.votes[id] {
			granted++
		}
	}
	if granted < n.quorum() {
		return
	}
	if n.role == PreCandidate {
		n.startElection(now)
		return
	}
	n.becomeLeader(now)
}

// answerVote decides on a request to vote. A node that has heard from a leader
// within the election timeout refuses: the leader's lease rests on that.
func (n *Node) answerVote(now time.Duration, m *pb.RaftMessage) {
	reply := pb.RaftKind_VoteReply
	if m.Kind == pb.RaftKind_PreVote {
		reply = pb.RaftKind_PreVoteReply
	}
	refuse := func() {
		n.send(&pb.RaftMessage{Kind: reply, To: m.From, Refused: true})
	}
	leased := now < n.lastContact+n.cfg.ElectionTimeout
	if leased || n.role == Leader && m.Term <= n.term {
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
	if n.vote != "" && n.vote != m.From {
		refuse()
		return
	}
	n.vote = m.From
	n.resetElection(now)
	n.send(&pb.RaftMessage{Kind: reply, To: m.From})
}

func (n *Node) handleVoteReply(now time.Duration, m *pb.RaftMessage) {
	waiting := n.role == PreCandidate && m.Kind == pb.RaftKind_PreVoteReply && m.Term == n.term+1 ||
		n.role == Candidate && m.Kind == pb.RaftKind_VoteReply && m.Term == n.term
	if !waiting || m.Refused {
		return
	}
	n.votes[m.From] = true
	n.countVotes(now)
}

func (n *Node) becomeLeader(now time.Duration) {
	n.role, n.leader = Leader, n.cfg.ID
	n.leaseUntil = 0
	n.lastContact = now
	n.peers = map[string]*progress{}
	n.roundSentAt = map[uint64]time.Duration{}
	n.syncPeers(now)
	// An entry of the own term commits those of earlier terms.
	n.termStart = n.appendEntry(&pb.LogEntry{})
	n.replicateAll(now, true)
}
