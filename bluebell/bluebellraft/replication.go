package bluebellraft

import (
	"fmt"
	"slices"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// Step takes in one message. Messages may be lost, doubled, late or crossed.
func (n *Node) Step(now time.Duration, m *pb.RaftMessage) {
	if m.To != n.cfg.ID {
		return
	}
	if m.Kind == pb.RaftKind_PreVote || m.Kind == pb.RaftKind_Vote {
		n.answerVote(now, m)
		return
	}
	fromLeader := m.Kind == pb.RaftKind_Append || m.Kind == pb.RaftKind_Install
	if m.Term > n.term && m.Kind != pb.RaftKind_PreVoteReply || m.Term > n.term && m.Refused {
		n.becomeFollower(now, m.Term, "")
	}
	if m.Term < n.term {
		if fromLeader {
			// Tells an old leader that its term is over.
			n.send(&pb.RaftMessage{Kind: pb.RaftKind_AppendReply, To: m.From, Refused: true, Match: n.log.commit})
		}
		return
	}
	switch m.Kind {
	case pb.RaftKind_PreVoteReply, pb.RaftKind_VoteReply:
		n.handleVoteReply(now, m)
	case pb.RaftKind_Append, pb.RaftKind_Install:
		n.followLeader(now, m)
		if m.Kind == pb.RaftKind_Append {
			n.handleAppend(m)
		} else {
			n.handleInstall(m)
		}
	case pb.RaftKind_AppendReply:
		n.handleAppendReply(now, m)
	}
}

func (n *Node) followLeader(now time.Duration, m *pb.RaftMessage) {
	if n.role == Leader {
		panic(fmt.Sprintf("two leaders in term %d: %s and %s", n.term, n.cfg.ID, m.From))
	}
	n.becomeFollower(now, m.Term, m.From)
	n.lastContact = now
}

func (n *Node) handleAppend(m *pb.RaftMessage) {
	reply := &pb.RaftMessage{Kind: pb.RaftKind_AppendReply, To: m.From, Round: m.Round}
	if m.LogIndex < n.log.commit {
		// All up to the commit index is known to match.
		n.skipKnown(m)
	}
	if m.LogIndex > n.log.lastIndex() || n.log.term(m.LogIndex) != m.LogTerm {
		reply.Refused = true
		reply.Match = min(n.log.lastIndex(), m.LogIndex-1)
		n.send(reply)
		return
	}
	for i, e := range m.Entries {
		if e.Index <= n.log.lastIndex() {
			if n.log.term(e.Index) == e.Term {
				continue
			}
			n.log.truncateFrom(e.Index)
		}
		for _, rest := range m.Entries[i:] {
			n.log.append(rest)
		}
		break
	}
	n.members = n.log.members(n.log.lastIndex())
	reply.Match = m.LogIndex + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, reply.Match))
	n.send(reply)
}

// skipKnown shortens an append so that it starts at the commit index.
func (n *Node) skipKnown(m *pb.RaftMessage) {
	known := min(n.log.commit-m.LogIndex, uint64(len(m.Entries)))
	if known < n.log.commit-m.LogIndex {
		m.LogIndex, m.LogTerm, m.Entries = n.log.commit, n.log.term(n.log.commit), nil
		return
	}
	last := m.Entries[known-1]
	m.LogIndex, m.LogTerm, m.Entries = last.Index, last.Term, m.Entries[known:]
}

func (n *Node) handleInstall(m *pb.RaftMessage) {
	if m.Snapshot.Index > n.log.commit {
		n.log.restore(m.Snapshot)
		n.install = m.Snapshot
		n.members = n.log.members(n.log.lastIndex())
	}
	n.send(&pb.RaftMessage{Kind: pb.RaftKind_AppendReply, To: m.From, Match: n.log.commit, Round: m.Round})
}

func (n *Node) handleAppendReply(now time.Duration, m *pb.RaftMessage) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.lastHeard = now
	p.inFlight = false
	p.round = max(p.round, m.Round)
	n.extendLease()
	if m.Refused {
		p.next = max(p.match+1, min(m.Match+1, p.next))
		n.replicate(now, m.From, true)
		return
	}
	if m.Match > n.log.lastIndex() {
		panic(fmt.Sprintf("%s confirms entry %d, the leader's log ends at %d", m.From, m.Match, n.log.lastIndex()))
	}
	if m.Match > p.match {
		p.match = m.Match
		n.advanceCommit()
	}
	p.next = max(p.next, p.match+1)
	// A node that was still busy when the commit index moved hears of it now.
	n.replicate(now, m.From, p.commit < n.log.commit)
}

// extendLease moves the lease to the start of the latest round that a quorum
// has confirmed, plus the time in which none of them votes, less clock drift.
func (n *Node) extendLease() {
	rounds := []uint64{}
	for _, id := range n.members.Voters {
		if id == n.cfg.ID {
			rounds = append(rounds, n.round)
		} else if p := n.peers[id]; p != nil {
			rounds = append(rounds, p.round)
		}
	}
	if len(rounds) < n.quorum() {
		return
	}
	slices.SortFunc(rounds, func(a, b uint64) int { return int(int64(b) - int64(a)) })
	confirmed := rounds[n.quorum()-1]
	sentAt, ok := n.roundSentAt[confirmed]
	if !ok {
		return
	}
	length := time.Duration(float64(n.cfg.ElectionTimeout) * (1 - n.cfg.MaxClockDrift))
	n.leaseUntil = max(n.leaseUntil, sentAt+length)
	n.lastContact = max(n.lastContact, sentAt)
	for r := range n.roundSentAt {
		if r < confirmed {
			delete(n.roundSentAt, r)
		}
	}
}

func (n *Node) tickLeader(now time.Duration) {
	if len(n.members.Voters) > 1 && now >= n.lastContact+n.cfg.ElectionTimeout {
		// No quorum has answered for a whole election timeout.
		n.becomeFollower(now, n.term, "")
		return
	}
	if len(n.members.Voters) == 1 {
		n.lastContact = now
		n.leaseUntil = now + n.cfg.ElectionTimeout
	}
	if now >= n.heartbeatAt {
		n.replicateAll(now, true)
	}
}

// replicateAll sends what is new to all members; a heartbeat starts a new
// round and goes also to those that lack nothing.
func (n *Node) replicateAll(now time.Duration, heartbeat bool) {
	if heartbeat {
		n.round++
		n.roundSentAt[n.round] = now
		n.heartbeatAt = now + n.cfg.HeartbeatInterval
	}
	for _, id := range n.others() {
		p := n.peers[id]
		if heartbeat {
			// A lost message is sent again at the next heartbeat.
			p.inFlight = false
			p.next = p.match + 1
		}
		n.replicate(now, id, heartbeat)
	}
}

func (n *Node) replicate(now time.Duration, id string, evenEmpty bool) {
	p := n.peers[id]
	if p.inFlight && !evenEmpty {
		return
	}
	p.lastSent = now
	if p.next <= n.log.base {
		n.send(&pb.RaftMessage{Kind: pb.RaftKind_Install, To: id, Snapshot: n.log.snapshot, Round: n.round})
		p.inFlight = true
		return
	}
	entries := n.log.after(p.next-1, n.cfg.MaxEntriesPerMessage)
	if len(entries) == 0 && !evenEmpty {
		return
	}
	n.send(&pb.RaftMessage{
		Kind: pb.RaftKind_Append, To: id, Round: n.round,
		LogIndex: p.next - 1, LogTerm: n.log.term(p.next - 1),
		Entries: entries, Commit: n.log.commit,
	})
	p.inFlight = len(entries) > 0
	p.commit = n.log.commit
}

func (n *Node) appendEntry(e *pb.LogEntry) uint64 {
	e.Index, e.Term = n.log.lastIndex()+1, n.term
	n.log.append(e)
	if e.Members != nil {
		n.members = e.Members
		n.syncPeers(n.lastContact)
	}
	return e.Index
}

// syncPeers keeps progress for exactly the other members.
func (n *Node) syncPeers(now time.Duration) {
	ids := n.others()
	for _, id := range ids {
		if n.peers[id] == nil {
			n.peers[id] = &progress{next: n.log.lastIndex() + 1, lastHeard: now}
		}
	}
	for id := range n.peers {
		if !slices.Contains(ids, id) {
			delete(n.peers, id)
		}
	}
}

// advanceCommit commits what a quorum holds durably. Only an entry of the own
// term is counted (Raft, section 5.4.2).
func (n *Node) advanceCommit() {
	var matches []uint64
	for _, id := range n.members.Voters {
		if id == n.cfg.ID {
			matches = append(matches, n.log.stable)
		} else if p := n.peers[id]; p != nil {
			matches = append(matches, p.match)
		}
	}
	if len(matches) < n.quorum() {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.quorum()]
	if index <= n.log.commit || n.log.term(index) != n.term {
		return
	}
	n.log.commit = index
	if !n.isVoter() && n.log.lastMembersIndex() <= index {
		// A leader that has been removed leads until its removal commits.
		n.role, n.leader, n.leaseUntil = Follower, "", 0
		return
	}
	for _, id := range n.others() {
		if p := n.peers[id]; p != nil && !p.inFlight && p.match >= n.log.base {
			p.commit = n.log.commit
			n.send(&pb.RaftMessage{
				Kind: pb.RaftKind_Append, To: id, Round: n.round,
				LogIndex: p.match, LogTerm: n.log.term(p.match), Commit: n.log.commit,
			})
		}
	}
}
