package bluebellraft_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellraft"
)

const second = time.Second

// newNode returns a follower of a group of three.
func newNode(t testing.TB) *bluebellraft.Node {
	t.Helper()
	n, err := bluebellraft.New(bluebellraft.Config{
		ID: "a", Members: &pb.Members{Voters: []string{"a", "b", "c"}}, ElectionTimeout: second, HeartbeatInterval: second / 10,
		MaxClockDrift: 0.1, MaxEntriesPerMessage: 16, KeepEntries: 16, Rand: func(int64) int64 { return 0 },
	}, bluebellraft.DurableState{}, 0)
	require.NoError(t, err)
	return n
}

// newLeader returns the leader of a group of three.
func newLeader(t testing.TB) *bluebellraft.Node {
	t.Helper()
	n := newNode(t)
	now := 10 * second
	n.Tick(now)
	for n.Role() != bluebellraft.Leader {
		ready := n.Ready()
		require.NotEmpty(t, ready.Messages)
		for _, m := range ready.Messages {
			if m.To != "b" {
				continue
			}
			kind := map[pb.RaftKind]pb.RaftKind{pb.RaftKind_PreVote: pb.RaftKind_PreVoteReply, pb.RaftKind_Vote: pb.RaftKind_VoteReply}[m.Kind]
			require.NoError(t, n.Step(now, &pb.RaftMessage{Kind: kind, From: "b", To: "a", Term: m.Term}))
		}
	}
	return n
}

// One malformed or contradictory message of a peer ended the process, and with it a member of the
// log. It must be rejected and leave the node as it was.
func TestInvalidMessagesAreRejected(t *testing.T) {
	for name, m := range map[string]*pb.RaftMessage{
		"AcknowledgesMissingEntry": {Kind: pb.RaftKind_AppendReply, From: "b", Match: 1 << 40},
		"SecondLeaderOfTerm":       {Kind: pb.RaftKind_Append, From: "b"},
		"SecondLeaderInstalls":     {Kind: pb.RaftKind_Install, From: "b", Snapshot: &pb.RaftSnapshot{Index: 9, Members: &pb.Members{}}},
		"UnknownKind":              {Kind: 99, From: "b"},
		"NoSender":                 {Kind: pb.RaftKind_AppendReply},
	} {
		t.Run(name, func(t *testing.T) {
			n := newLeader(t)
			m.To, m.Term = "a", n.Term()
			require.ErrorIs(t, n.Step(10*second, m), bluebellraft.ErrInvalidMessage)
			require.Equal(t, bluebellraft.Leader, n.Role())
		})
	}
	for name, m := range map[string]*pb.RaftMessage{
		"NoSnapshot":      {Kind: pb.RaftKind_Install, From: "b", Term: 3},
		"GapInEntries":    {Kind: pb.RaftKind_Append, From: "b", Term: 3, Entries: []*pb.LogEntry{{Index: 1, Term: 3}, {Index: 3, Term: 3}}},
		"EntryOfLater":    {Kind: pb.RaftKind_Append, From: "b", Term: 3, Entries: []*pb.LogEntry{{Index: 1, Term: 4}}},
		"TermDecreases":   {Kind: pb.RaftKind_Append, From: "b", Term: 3, Entries: []*pb.LogEntry{{Index: 1, Term: 3}, {Index: 2, Term: 2}}},
		"MissingEntry":    {Kind: pb.RaftKind_Append, From: "b", Term: 3, Entries: []*pb.LogEntry{nil}},
		"AppendNoSender":  {Kind: pb.RaftKind_Append, Term: 3},
		"InstallNoSender": {Kind: pb.RaftKind_Install, Term: 3, Snapshot: &pb.RaftSnapshot{Index: 9, Members: &pb.Members{}}},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t)
			m.To = "a"
			require.ErrorIs(t, n.Step(second, m), bluebellraft.ErrInvalidMessage)
			require.Zero(t, n.LastIndex())
		})
	}
	n := newNode(t)
	require.NoError(t, n.Step(second, nil), "a message to nobody is ignored")
}

// FuzzStep passes arbitrary batches to a follower and to a leader, which must not panic.
func FuzzStep(f *testing.F) {
	for _, m := range []*pb.RaftMessage{
		{Kind: pb.RaftKind_Append, From: "b", To: "a", Term: 3, Commit: 1 << 60, Entries: []*pb.LogEntry{{Index: 1, Term: 3}}},
		{Kind: pb.RaftKind_Install, From: "b", To: "a", Term: 3, Snapshot: &pb.RaftSnapshot{Index: 5, Term: 2}},
		{Kind: pb.RaftKind_AppendReply, From: "b", To: "a", Term: 1, Match: 7, Refused: true},
		{Kind: pb.RaftKind_Vote, From: "b", To: "a", Term: 1 << 63},
	} {
		batch, err := proto.Marshal(&pb.RaftBatch{Messages: []*pb.RaftMessage{m}})
		require.NoError(f, err)
		f.Add(batch)
	}
	f.Fuzz(func(t *testing.T, batch []byte) {
		var messages pb.RaftBatch
		if proto.Unmarshal(batch, &messages) != nil {
			return
		}
		for _, n := range []*bluebellraft.Node{newNode(t), newLeader(t)} {
			for _, m := range messages.Messages {
				m.To = "a"
				// Invalid messages are rejected; this test looks for panics.
				_ = n.Step(11*second, m)
				n.MarkPersisted(n.Ready())
			}
		}
	})
}

// Guards against a node that takes itself for up to date although entries may be committed that it lacks or does not
// know to be committed.
func TestNodeIsCurrentOnceItHasWhatTheLeaderCommitted(t *testing.T) {
	n := newNode(t)
	entries := []*pb.LogEntry{{Index: 1, Term: 1}, {Index: 2, Term: 3}}
	appendTo := func(now time.Duration, previous, commit uint64, entries ...*pb.LogEntry) time.Duration {
		term := uint64(0)
		if previous > 0 {
			term = []uint64{1, 3}[previous-1]
		}
		require.NoError(t, n.Step(now, &pb.RaftMessage{Kind: pb.RaftKind_Append, From: "b", To: "a", Term: 3, LogIndex: previous, LogTerm: term, Entries: entries, Commit: commit}))
		return n.CurrentAt()
	}
	require.Zero(t, appendTo(second, 1, 2, entries[1]), "an entry is missing")
	require.Zero(t, appendTo(2*second, 0, 1, entries[0]), "the leader has committed no entry of its term")
	require.Zero(t, appendTo(3*second, 1, 1), "the leader has committed no entry of its term")
	require.Equal(t, 4*second, appendTo(4*second, 1, 2, entries[1]))
	require.Equal(t, 5*second, appendTo(5*second, 2, 2))
	n.Tick(9 * second)
	require.Equal(t, 5*second, n.CurrentAt(), "no leader is heard")
	leader := newLeader(t)
	require.Zero(t, leader.CurrentAt(), "a new leader does not know what is committed")
}
