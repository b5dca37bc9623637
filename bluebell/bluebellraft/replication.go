package bluebellraft

import (
	"slices"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// Step processes one message from another member. Messages may be lost, duplicated,
// delayed or reordered. Messages to other identities are ignored. A message that no correct
// member sends is rejected with ErrInvalidMessage and changes nothing: one member with a fault
// must not end the processes of the others.
func (n *Node) Step(now time.Duration, m *pb.RaftMessage) error {
	if m.GetTo() != n.cfg.ID {
		return nil
	}
	if err := n.check(m); err != nil {
		return err
	}
	if m.Kind == pb.RaftKind_PreVote || m.Kind == pb.RaftKind_Vote {
		n.handleVoteRequest(now, m)
		return nil
	}
	fromLeader := m.Kind == pb.RaftKind_Append || m.Kind == pb.RaftKind_Install
	// A granted pre-vote carries the term of the proposed election, which has not begun.
	if m.Term > n.term && m.Kind != pb.RaftKind_PreVoteReply || m.Term > n.term && m.Refused {
		n.becomeFollower(now, m.Term, "")
	}
	if m.Term < n.term {
		if fromLeader {
			// The refusal carries the current term, so that the former leader steps down.
			n.send(&pb.RaftMessage{Kind: pb.RaftKind_AppendReply, To: m.From, Refused: true, Match: n.log.commitIndex})
		}
		return nil
	}
	switch m.Kind {
	case pb.RaftKind_PreVoteReply, pb.RaftKind_VoteReply:
		n.handleVoteReply(now, m)
	case pb.RaftKind_Append, pb.RaftKind_Install:
		n.followLeader(now, m)
		if m.Kind == pb.RaftKind_Append {
			n.handleAppend(m)
			// A new leader learns what earlier ones have committed with the first entry of its own term.
			if n.log.commitIndex >= m.Commit && n.log.term(n.log.commitIndex) == n.term {
				n.currentAt = now
			}
		} else {
			n.handleInstall(m)
		}
	case pb.RaftKind_AppendReply:
		n.handleAppendReply(now, m)
	}
	return nil
}

// followLeader makes the node a follower of the sender.
func (n *Node) followLeader(now time.Duration, m *pb.RaftMessage) {
	n.becomeFollower(now, m.Term, m.From)
	n.lastContact = now
}

// handleAppend adds the leader's entries to the log, after removing entries that conflict
// with them. If the log does not have the entry before the first new one, the reply is
// a refusal with the last index at which the logs may still match.
func (n *Node) handleAppend(m *pb.RaftMessage) {
	reply := &pb.RaftMessage{Kind: pb.RaftKind_AppendReply, To: m.From, Round: m.Round}
	if m.LogIndex < n.log.commitIndex {
		// Entries up to the commit index are the same in both logs.
		n.skipCommitted(m)
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
	n.members = n.log.membersAt(n.log.lastIndex())
	reply.Match = m.LogIndex + uint64(len(m.Entries))
	n.log.commitIndex = max(n.log.commitIndex, min(m.Commit, reply.Match))
	n.send(reply)
}

// skipCommitted removes the entries up to the commit index from an append message.
func (n *Node) skipCommitted(m *pb.RaftMessage) {
	committed := min(n.log.commitIndex-m.LogIndex, uint64(len(m.Entries)))
	if committed < n.log.commitIndex-m.LogIndex {
		m.LogIndex, m.LogTerm, m.Entries = n.log.commitIndex, n.log.term(n.log.commitIndex), nil
		return
	}
	last := m.Entries[committed-1]
	m.LogIndex, m.LogTerm, m.Entries = last.Index, last.Term, m.Entries[committed:]
}

// handleInstall replaces the log by the leader's snapshot, unless the node has already
// committed all that the snapshot covers.
func (n *Node) handleInstall(m *pb.RaftMessage) {
	if m.Snapshot.Index > n.log.commitIndex {
		n.log.installSnapshot(m.Snapshot)
		n.pendingSnapshot = m.Snapshot
		n.members = n.log.membersAt(n.log.lastIndex())
	}
	n.send(&pb.RaftMessage{Kind: pb.RaftKind_AppendReply, To: m.From, Match: n.log.commitIndex, Round: m.Round})
}

// handleAppendReply updates the progress of a member and sends it the next entries that it
// lacks.
func (n *Node) handleAppendReply(now time.Duration, m *pb.RaftMessage) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.lastHeardAt = now
	p.inFlight = false
	p.ackedRound = max(p.ackedRound, m.Round)
	n.extendLease()
	if m.Refused {
		p.nextIndex = max(p.matchIndex+1, min(m.Match+1, p.nextIndex))
		n.replicate(now, m.From, true)
		return
	}
	if m.Match > p.matchIndex {
		p.matchIndex = m.Match
		n.advanceCommit()
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	// A member that had entries in flight when the commit index advanced has not yet
	// received that index, so an empty message is sent if there are no entries.
	n.replicate(now, m.From, p.sentCommitIndex < n.log.commitIndex)
}

// extendLease sets the end of the lease from the latest heartbeat round that a quorum has
// acknowledged. The members of the quorum grant no vote for one election timeout after
// they received its messages. The lease lasts that long from the start of the round, less
// the largest clock drift.
func (n *Node) extendLease() {
	rounds := []uint64{}
	for _, id := range n.members.Voters {
		if id == n.cfg.ID {
			rounds = append(rounds, n.round)
		} else if p := n.peers[id]; p != nil {
			rounds = append(rounds, p.ackedRound)
		}
	}
	if len(rounds) < n.quorumSize() {
		return
	}
	slices.SortFunc(rounds, func(a, b uint64) int { return int(int64(b) - int64(a)) })
	quorumRound := rounds[n.quorumSize()-1]
	sentAt, ok := n.roundSentAt[quorumRound]
	if !ok {
		return
	}
	leaseLength := time.Duration(float64(n.cfg.ElectionTimeout) * (1 - n.cfg.MaxClockDrift))
	n.leaseUntil = max(n.leaseUntil, sentAt+leaseLength)
	n.lastContact = max(n.lastContact, sentAt)
	for r := range n.roundSentAt {
		if r < quorumRound {
			delete(n.roundSentAt, r)
		}
	}
}

// tickLeader sends heartbeats when they are due. A leader that no quorum has answered for
// an election timeout steps down. A single voter renews its lease with each tick.
func (n *Node) tickLeader(now time.Duration) {
	if len(n.members.Voters) > 1 && now >= n.lastContact+n.cfg.ElectionTimeout {
		// No quorum has acknowledged a round for a whole election timeout.
		n.becomeFollower(now, n.term, "")
		return
	}
	if len(n.members.Voters) == 1 {
		n.lastContact = now
		n.leaseUntil = now + n.cfg.ElectionTimeout
	}
	if now >= n.nextHeartbeatAt {
		n.replicateAll(now, true)
	}
}

// replicateAll sends new entries to all other members. A heartbeat starts a new round and
// also goes to members that lack no entry.
func (n *Node) replicateAll(now time.Duration, heartbeat bool) {
	if heartbeat {
		n.round++
		n.roundSentAt[n.round] = now
		n.nextHeartbeatAt = now + n.cfg.HeartbeatInterval
	}
	for _, id := range n.otherMembers() {
		p := n.peers[id]
		if heartbeat {
			// A message or its reply may be lost, so each heartbeat resends all entries
			// that are not acknowledged.
			p.inFlight = false
			p.nextIndex = p.matchIndex + 1
		}
		n.replicate(now, id, heartbeat)
	}
}

// replicate sends a member the entries from its nextIndex on, or the snapshot if these
// entries are no longer in the log. Without sendEmpty it sends nothing if there are no
// entries to send, or if earlier ones are still in flight.
func (n *Node) replicate(now time.Duration, id string, sendEmpty bool) {
	p := n.peers[id]
	if p.inFlight && !sendEmpty {
		return
	}
	p.lastSentAt = now
	if p.nextIndex <= n.log.baseIndex {
		n.send(&pb.RaftMessage{Kind: pb.RaftKind_Install, To: id, Snapshot: n.log.snapshot, Round: n.round})
		p.inFlight = true
		return
	}
	entries := withinBytes(n.log.entriesAfter(p.nextIndex-1, n.cfg.MaxEntriesPerMessage), n.cfg.MaxBytesPerMessage)
	if len(entries) == 0 && !sendEmpty {
		return
	}
	n.send(&pb.RaftMessage{
		Kind: pb.RaftKind_Append, To: id, Round: n.round,
		LogIndex: p.nextIndex - 1, LogTerm: n.log.term(p.nextIndex - 1),
		Entries: entries, Commit: n.log.commitIndex,
	})
	p.inFlight = len(entries) > 0
	p.sentCommitIndex = n.log.commitIndex
}

// appendEntry adds an entry of the current term to the leader's log and returns its index.
// A membership change takes effect at once.
func (n *Node) appendEntry(e *pb.LogEntry) uint64 {
	e.Index, e.Term = n.log.lastIndex()+1, n.term
	n.log.append(e)
	if e.Members != nil {
		n.members = e.Members
		n.syncPeers(n.lastContact)
	}
	return e.Index
}

// syncPeers adds a progress for each new member and removes those of former members.
func (n *Node) syncPeers(now time.Duration) {
	ids := n.otherMembers()
	for _, id := range ids {
		if n.peers[id] == nil {
			n.peers[id] = &progress{nextIndex: n.log.lastIndex() + 1, lastHeardAt: now}
		}
	}
	for id := range n.peers {
		if !slices.Contains(ids, id) {
			delete(n.peers, id)
		}
	}
}

// advanceCommit sets the commit index to the last entry that is durable on a quorum, if
// that entry is of the current term (Raft, section 5.4.2), and sends it to the members
// that have no entries in flight.
func (n *Node) advanceCommit() {
	var matches []uint64
	for _, id := range n.members.Voters {
		if id == n.cfg.ID {
			matches = append(matches, n.log.durableIndex)
		} else if p := n.peers[id]; p != nil {
			matches = append(matches, p.matchIndex)
		}
	}
	if len(matches) < n.quorumSize() {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.quorumSize()]
	if index <= n.log.commitIndex || n.log.term(index) != n.term {
		return
	}
	n.log.commitIndex = index
	if !n.isVoter() && n.log.lastMembersIndex() <= index {
		// A leader that is no longer a voter steps down once that change is committed.
		n.role, n.leaderID, n.leaseUntil = Follower, "", 0
		return
	}
	for _, id := range n.otherMembers() {
		if p := n.peers[id]; p != nil && !p.inFlight && p.matchIndex >= n.log.baseIndex {
			p.sentCommitIndex = n.log.commitIndex
			n.send(&pb.RaftMessage{
				Kind: pb.RaftKind_Append, To: id, Round: n.round,
				LogIndex: p.matchIndex, LogTerm: n.log.term(p.matchIndex), Commit: n.log.commitIndex,
			})
		}
	}
}
