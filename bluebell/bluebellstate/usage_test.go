package bluebellstate_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
)

func decideUsage(window int64, count uint64) *pb.Command {
	return &pb.Command{Body: &pb.Command_DecideUsage{DecideUsage: &pb.DecideUsage{Window: window, Customers: []string{"a"}, Counts: []uint64{count}}}}
}

func recordUsageSent(window int64) *pb.Command {
	return &pb.Command{Body: &pb.Command_RecordUsageSent{RecordUsageSent: &pb.RecordUsageSent{Window: window}}}
}

// Guards against two leaders that report different counts of a window, also after a restart from a snapshot.
func TestUsageOfWindowIsDecidedOnce(t *testing.T) {
	m := bluebellstate.New()
	require.Equal(t, uint64(5), m.Apply(decideUsage(7, 5)).Usage.Counts[0])
	published := m.CoreState()
	require.Equal(t, uint64(5), m.Apply(decideUsage(7, 6)).Usage.Counts[0])
	m.Apply(recordUsageSent(7))
	require.False(t, published.Usage[0].Sent, "a published state is not modified")
	data, err := m.Snapshot()
	require.NoError(t, err)
	restored, err := bluebellstate.Restore(data)
	require.NoError(t, err)
	require.Equal(t, uint64(5), restored.Apply(decideUsage(7, 9)).Usage.Counts[0])
	require.True(t, restored.CoreState().Usage[0].Sent)
	restored.Apply(departure("e", 1, pb.RegistrationState_Gone, 0))
	require.Len(t, restored.CoreState().Usage, 1, "other changes keep the decisions")
}

// Guards against a second decision of a window whose first one is no longer kept.
func TestUsageOfOlderWindowIsRefused(t *testing.T) {
	m := bluebellstate.New()
	m.Apply(decideUsage(7, 5))
	r := m.Apply(decideUsage(6, 5))
	require.Equal(t, pb.Verdict_Refused, r.Verdict)
	require.Nil(t, r.Usage)
}

// Guards against the loss of an unsent window while sent ones are kept, and against growth without bound.
func TestSentUsageWindowsAreDroppedFirst(t *testing.T) {
	m := bluebellstate.New()
	for w := range int64(bluebellstate.MaxUsageWindows) {
		m.Apply(decideUsage(w, 1))
	}
	m.Apply(recordUsageSent(3))
	m.Apply(decideUsage(200, 1))
	require.Len(t, m.CoreState().Usage, bluebellstate.MaxUsageWindows)
	require.NotNil(t, bluebellstate.UsageOf(m.CoreState(), 0))
	require.Nil(t, bluebellstate.UsageOf(m.CoreState(), 3))
	m.Apply(decideUsage(201, 1))
	require.Len(t, m.CoreState().Usage, bluebellstate.MaxUsageWindows)
	require.Nil(t, bluebellstate.UsageOf(m.CoreState(), 0), "without a sent window the oldest is dropped")
	require.Equal(t, pb.Verdict_Refused, m.Apply(decideUsage(0, 9)).Verdict)
}

// Guards against a report whose counts belong to other customers, or whose bytes depend on the leader.
func TestMalformedUsageIsRefused(t *testing.T) {
	m := bluebellstate.New()
	for _, d := range []*pb.DecideUsage{
		{Window: 1, Customers: []string{"a"}},
		{Window: 1, Customers: []string{"b", "a"}, Counts: []uint64{1, 2}},
		{Window: 1, Customers: []string{"a", "a"}, Counts: []uint64{1, 2}},
	} {
		require.Equal(t, pb.Verdict_Refused, m.Apply(&pb.Command{Body: &pb.Command_DecideUsage{DecideUsage: d}}).Verdict)
	}
	require.Empty(t, m.CoreState().Usage)
}
