package bluebellraft

import (
	"fmt"
	"slices"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// raftLog holds the latest snapshot and the log entries after baseIndex, whose indexes
// have no gaps.
//
// Invariant: baseIndex <= snapshot.Index <= appliedIndex <= commitIndex <= lastIndex.
type raftLog struct {
	snapshot *pb.RaftSnapshot
	// baseIndex and baseTerm belong to the entry before the first of entries. It may be
	// older than the snapshot: some entries that the snapshot covers are kept for members
	// that lag a little.
	baseIndex uint64
	baseTerm  uint64
	entries   []*pb.LogEntry
	// commitIndex is the last index that is known to be committed.
	commitIndex uint64
	// appliedIndex is the last index that was returned by takeCommitted, or that a
	// snapshot covers.
	appliedIndex uint64
	// durableIndex is the last index that is known to be durable on this node.
	durableIndex uint64
}

// newLog returns a log with the given snapshot and the entries that follow it. A log
// without a snapshot starts with the initial members. It panics if the entries have a
// gap.
func newLog(snapshot *pb.RaftSnapshot, entries []*pb.LogEntry, initial *pb.Members) raftLog {
	if snapshot == nil {
		snapshot = &pb.RaftSnapshot{Members: initial}
	}
	l := raftLog{
		snapshot: snapshot, entries: slices.Clone(entries),
		baseIndex: snapshot.Index, baseTerm: snapshot.Term,
	}
	l.commitIndex, l.appliedIndex = snapshot.Index, snapshot.Index
	l.durableIndex = l.lastIndex()
	for i, e := range l.entries {
		if e.Index != snapshot.Index+1+uint64(i) {
			panic(fmt.Sprintf("log has entry %d at the position of entry %d", e.Index, snapshot.Index+1+uint64(i)))
		}
	}
	return l
}

func (l *raftLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 { return l.term(l.lastIndex()) }

// term returns the term of the entry at index. It returns 0 if the index is before
// baseIndex or after lastIndex.
func (l *raftLog) term(index uint64) uint64 {
	switch {
	case index == l.baseIndex:
		return l.baseTerm
	case index < l.baseIndex || index > l.lastIndex():
		return 0
	}
	return l.entries[index-l.baseIndex-1].Term
}

// entriesAfter returns at most limit entries that follow index.
func (l *raftLog) entriesAfter(index uint64, limit int) []*pb.LogEntry {
	rest := l.entries[index-l.baseIndex:]
	return slices.Clone(rest[:min(len(rest), limit)])
}

// withinBytes returns the first entries whose data has at most limit bytes, but at least one, or all if limit is 0.
func withinBytes(entries []*pb.LogEntry, limit int) []*pb.LogEntry {
	bytes := 0
	for i, e := range entries {
		bytes += len(e.Data)
		if limit > 0 && bytes > limit {
			return entries[:max(i, 1)]
		}
	}
	return entries
}

func (l *raftLog) append(e *pb.LogEntry) { l.entries = append(l.entries, e) }

// truncateFrom removes the entry at index and all entries after it. It panics if the
// entry is committed.
func (l *raftLog) truncateFrom(index uint64) {
	if index <= l.commitIndex {
		panic(fmt.Sprintf("truncation at entry %d would remove committed entries, commit index is %d", index, l.commitIndex))
	}
	l.entries = slices.Clone(l.entries[:index-l.baseIndex-1])
	l.durableIndex = min(l.durableIndex, index-1)
}

// entriesToPersist returns the entries that are not yet known to be durable.
func (l *raftLog) entriesToPersist() []*pb.LogEntry {
	if l.durableIndex >= l.lastIndex() {
		return nil
	}
	return l.entriesAfter(l.durableIndex, len(l.entries))
}

// markDurable records that all entries up to index are durable. It does nothing if the
// entry at index has another term: it was replaced in the meantime.
func (l *raftLog) markDurable(index, term uint64) {
	if l.term(index) == term && index > l.durableIndex {
		l.durableIndex = index
	}
}

// applicableIndex returns the last index that may be applied: it must be committed, and
// durable on this node.
func (l *raftLog) applicableIndex() uint64 { return min(l.commitIndex, l.durableIndex) }

// takeCommitted returns the entries from appliedIndex+1 to applicableIndex and advances
// appliedIndex.
func (l *raftLog) takeCommitted() []*pb.LogEntry {
	to := l.applicableIndex()
	if to <= l.appliedIndex {
		return nil
	}
	taken := l.entriesAfter(l.appliedIndex, int(to-l.appliedIndex))
	l.appliedIndex = to
	return taken
}

// compact makes data the snapshot at index and removes the entries that it covers, except
// the last keepEntries of them, or those with the last keepBytes bytes of data if these are fewer. If keepBytes is
// 0, it does not count.
func (l *raftLog) compact(index, keepEntries uint64, keepBytes int, data []byte) *pb.RaftSnapshot {
	keepEntries = min(keepEntries, l.entriesWithin(index, keepBytes))
	l.snapshot = &pb.RaftSnapshot{Index: index, Term: l.term(index), Members: l.membersAt(index), Data: data}
	if index > l.baseIndex+keepEntries {
		newBase := index - keepEntries
		term := l.term(newBase)
		l.entries = slices.Clone(l.entries[newBase-l.baseIndex:])
		l.baseIndex, l.baseTerm = newBase, term
	}
	return l.snapshot
}

// entriesWithin returns the number of entries up to index whose data has at most limit bytes, or all of them if limit
// is 0.
func (l *raftLog) entriesWithin(index uint64, limit int) uint64 {
	bytes := 0
	for i := index; i > l.baseIndex; i-- {
		bytes += len(l.entries[i-l.baseIndex-1].Data)
		if limit > 0 && bytes > limit {
			return index - i
		}
	}
	return index - l.baseIndex
}

// installSnapshot replaces the log by a snapshot from the leader. If the log has the
// snapshot's last entry, the entries after it are kept, since this node may have
// acknowledged them. It panics if the snapshot is not after the commit index.
func (l *raftLog) installSnapshot(s *pb.RaftSnapshot) {
	if s.Index <= l.commitIndex {
		panic(fmt.Sprintf("snapshot at index %d is not after commit index %d", s.Index, l.commitIndex))
	}
	if l.term(s.Index) == s.Term {
		l.entries = slices.Clone(l.entries[s.Index-l.baseIndex:])
	} else {
		l.entries = nil
	}
	l.baseIndex, l.baseTerm = s.Index, s.Term
	l.snapshot, l.commitIndex, l.appliedIndex = s, s.Index, s.Index
	// Storage replaces its log by the snapshot, so the kept entries must be saved again.
	l.durableIndex = s.Index
}

// membersAt returns the members that are in force once the entry at index is appended.
func (l *raftLog) membersAt(index uint64) *pb.Members {
	for i := int(index-l.baseIndex) - 1; i >= 0; i-- {
		if m := l.entries[i].Members; m != nil {
			return m
		}
	}
	return l.snapshot.Members
}

// lastMembersIndex returns the index of the latest membership change, or the snapshot's
// index if no entry is one.
func (l *raftLog) lastMembersIndex() uint64 {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Members != nil {
			return l.entries[i].Index
		}
	}
	return l.snapshot.Index
}
