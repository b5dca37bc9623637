package bluebellraft

import (
	"fmt"
	"slices"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// raftLog is the latest snapshot and the entries after base, which are numbered
// without gaps.
//
// Invariant: base <= snapshot.Index <= applied <= commit <= lastIndex.
type raftLog struct {
	snapshot *pb.RaftSnapshot
	// base is the entry before the first in entries. Some entries that the
	// snapshot covers are kept for members that lag a little.
	base     uint64
	baseTerm uint64
	entries  []*pb.LogEntry
	commit   uint64
	applied  uint64
	// stable is the last index known as durable here.
	stable uint64
}

func newLog(snapshot *pb.RaftSnapshot, entries []*pb.LogEntry, initial *pb.Members) raftLog {
	if snapshot == nil {
		snapshot = &pb.RaftSnapshot{Members: initial}
	}
	l := raftLog{
		snapshot: snapshot, entries: slices.Clone(entries),
		base: snapshot.Index, baseTerm: snapshot.Term,
	}
	l.commit, l.applied = snapshot.Index, snapshot.Index
	l.stable = l.lastIndex()
	for i, e := range l.entries {
		if e.Index != snapshot.Index+1+uint64(i) {
			panic(fmt.Sprintf("log has entry %d where %d belongs", e.Index, snapshot.Index+1+uint64(i)))
		}
	}
	return l
}

func (l *raftLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 { return l.term(l.lastIndex()) }

// term returns the term of an entry, or 0 where the log does not reach.
func (l *raftLog) term(index uint64) uint64 {
	switch {
	case index == l.base:
		return l.baseTerm
	case index < l.base || index > l.lastIndex():
		return 0
	}
	return l.entries[index-l.base-1].Term
}

// after returns up to limit entries that follow index.
func (l *raftLog) after(index uint64, limit int) []*pb.LogEntry {
	rest := l.entries[index-l.base:]
	return slices.Clone(rest[:min(len(rest), limit)])
}

func (l *raftLog) append(e *pb.LogEntry) { l.entries = append(l.entries, e) }

// truncateFrom drops the entry at index and all that follow.
func (l *raftLog) truncateFrom(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("committed entry %d would be overwritten, commit is %d", index, l.commit))
	}
	l.entries = slices.Clone(l.entries[:index-l.base-1])
	l.stable = min(l.stable, index-1)
}

func (l *raftLog) unstable() []*pb.LogEntry {
	if l.stable >= l.lastIndex() {
		return nil
	}
	return l.after(l.stable, len(l.entries))
}

// markStable notes that the entry at index is durable, unless it has been
// replaced since.
func (l *raftLog) markStable(index, term uint64) {
	if l.term(index) == term && index > l.stable {
		l.stable = index
	}
}

// committable is the last index that may be applied: committed and durable.
func (l *raftLog) committable() uint64 { return min(l.commit, l.stable) }

func (l *raftLog) takeCommitted() []*pb.LogEntry {
	to := l.committable()
	if to <= l.applied {
		return nil
	}
	taken := l.after(l.applied, int(to-l.applied))
	l.applied = to
	return taken
}

// compact makes a snapshot of the state at index, and drops entries but for
// the last keep before it.
func (l *raftLog) compact(index, keep uint64, data []byte) *pb.RaftSnapshot {
	l.snapshot = &pb.RaftSnapshot{Index: index, Term: l.term(index), Members: l.members(index), Data: data}
	if index > l.base+keep {
		base := index - keep
		term := l.term(base)
		l.entries = slices.Clone(l.entries[base-l.base:])
		l.base, l.baseTerm = base, term
	}
	return l.snapshot
}

// restore replaces the log by a snapshot from the leader. Entries after it are
// kept if they belong to the same history, since they may have been confirmed.
func (l *raftLog) restore(s *pb.RaftSnapshot) {
	if s.Index <= l.commit {
		panic(fmt.Sprintf("snapshot %d would take back commit %d", s.Index, l.commit))
	}
	if l.term(s.Index) == s.Term {
		l.entries = slices.Clone(l.entries[s.Index-l.base:])
	} else {
		l.entries = nil
	}
	l.base, l.baseTerm = s.Index, s.Term
	l.snapshot, l.commit, l.applied = s, s.Index, s.Index
	// The entries that are kept are saved again, behind the snapshot.
	l.stable = s.Index
}

// members returns the members in force after the entry at index.
func (l *raftLog) members(index uint64) *pb.Members {
	for i := int(index-l.base) - 1; i >= 0; i-- {
		if m := l.entries[i].Members; m != nil {
			return m
		}
	}
	return l.snapshot.Members
}

func (l *raftLog) lastMembersIndex() uint64 {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Members != nil {
			return l.entries[i].Index
		}
	}
	return l.snapshot.Index
}
