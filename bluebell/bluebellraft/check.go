package bluebellraft

import (
	"errors"
	"fmt"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// ErrInvalidMessage means that no correct member sends such a message.
var ErrInvalidMessage = errors.New("invalid Raft message")

func invalid(m *pb.RaftMessage, format string, arguments ...any) error {
	return fmt.Errorf("%w: %s from %q in term %d: %s", ErrInvalidMessage, m.Kind, m.From, m.Term, fmt.Sprintf(format, arguments...))
}

// check returns an error for a message that no correct member sends to this node.
func (n *Node) check(m *pb.RaftMessage) error {
	current := n.role == Leader && m.Term == n.term
	switch m.Kind {
	case pb.RaftKind_PreVote, pb.RaftKind_Vote, pb.RaftKind_PreVoteReply, pb.RaftKind_VoteReply:
	case pb.RaftKind_Append, pb.RaftKind_Install:
		if current {
			return invalid(m, "this node leads the same term")
		}
		if m.Kind == pb.RaftKind_Install {
			return checkSnapshot(m)
		}
		return checkEntries(m)
	case pb.RaftKind_AppendReply:
		if last := n.log.lastIndex(); current && !m.Refused && m.Match > last {
			return invalid(m, "acknowledges entry %d, but the log of the leader ends at %d", m.Match, last)
		}
	default:
		return invalid(m, "unknown kind")
	}
	if m.From == "" {
		return invalid(m, "it has no sender")
	}
	return nil
}

// checkSnapshot returns an error for a message without a usable snapshot.
func checkSnapshot(m *pb.RaftMessage) error {
	if m.From == "" || m.Snapshot.GetIndex() == 0 || m.Snapshot.Term > m.Term {
		return invalid(m, "snapshot at entry %d of term %d", m.Snapshot.GetIndex(), m.Snapshot.GetTerm())
	}
	return nil
}

// checkEntries returns an error for entries that do not follow each other.
func checkEntries(m *pb.RaftMessage) error {
	term := m.LogTerm
	for i, e := range m.Entries {
		if e == nil || e.Index != m.LogIndex+1+uint64(i) || e.Term < term || e.Term > m.Term {
			return invalid(m, "entry %d of term %d at position %d after entry %d of term %d", e.GetIndex(), e.GetTerm(), i, m.LogIndex, m.LogTerm)
		}
		term = e.Term
	}
	if m.From == "" {
		return invalid(m, "it has no sender")
	}
	return nil
}
