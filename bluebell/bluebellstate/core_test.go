package bluebellstate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
)

// departure returns a command that records a departure at a time after the first one.
func departure(id string, born int64, state pb.RegistrationState, at time.Duration) *pb.Command {
	return &pb.Command{UnixNanos: int64(time.Hour + at), Body: &pb.Command_RecordDeparture{
		RecordDeparture: &pb.RecordDeparture{Registration: &pb.Registration{ID: id, BornUnixMillis: born, State: state}},
	}}
}

// recorded returns the departures of a machine as text.
func recorded(m *bluebellstate.Machine) []string {
	var list []string
	for _, d := range m.CoreState().Departures {
		list = append(list, fmt.Sprintf("%s/%d %v", d.Registration.ID, d.Registration.BornUnixMillis, d.Registration.State))
	}
	return list
}

func TestDepartureOfLatestIncarnationIsKept(t *testing.T) {
	m := bluebellstate.New()
	for _, c := range []*pb.Command{
		departure("a", 2, pb.RegistrationState_Draining, 0), departure("b", 1, pb.RegistrationState_Gone, 0),
		departure("a", 1, pb.RegistrationState_Gone, 0), departure("b", 1, pb.RegistrationState_Draining, 0),
	} {
		require.Equal(t, pb.Verdict_Accepted, m.Apply(c).Verdict)
	}
	require.Equal(t, []string{"a/2 Draining", "b/1 Gone"}, recorded(m))
	before := m.CoreState()
	m.Apply(departure("a", 2, pb.RegistrationState_Gone, 0))
	require.Equal(t, []string{"b/1 Gone", "a/2 Gone"}, recorded(m))
	require.Equal(t, "a", before.Departures[0].Registration.ID, "a published state is not modified")
	require.True(t, bluebellstate.HasDeparture(m.CoreState(), &pb.Registration{ID: "a", BornUnixMillis: 2, State: pb.RegistrationState_Draining}))
	require.False(t, bluebellstate.HasDeparture(m.CoreState(), &pb.Registration{ID: "a", BornUnixMillis: 3, State: pb.RegistrationState_Draining}))
}

func TestDeparturesAreBounded(t *testing.T) {
	m := bluebellstate.New()
	for n := range 5000 {
		m.Apply(departure(fmt.Sprint(n), 1, pb.RegistrationState_Gone, 0))
	}
	require.Len(t, m.CoreState().Departures, 4096)
	require.Equal(t, "4999", m.CoreState().Departures[4095].Registration.ID)
	m.Apply(departure("late", 1, pb.RegistrationState_Gone, 20*time.Minute))
	require.Len(t, m.CoreState().Departures, 1)
}

func TestSnapshotHoldsCoreState(t *testing.T) {
	m := bluebellstate.New()
	m.Apply(&pb.Command{Body: &pb.Command_SetCommandVersion{SetCommandVersion: &pb.SetCommandVersion{Version: 1}}})
	m.Apply(departure("a", 2, pb.RegistrationState_Draining, 0))
	revision := m.View().Revision
	data, err := m.Snapshot()
	require.NoError(t, err)
	restored, err := bluebellstate.Restore(data)
	require.NoError(t, err)
	require.Equal(t, []string{"a/2 Draining"}, recorded(restored))
	require.Equal(t, uint32(1), restored.CoreState().CommandVersion)
	require.Equal(t, revision, restored.View().Revision, "earlier releases, which skip these commands, have the same revision")
	require.Zero(t, revision)
}

func TestDepartureWithoutEndpointIsRefused(t *testing.T) {
	m := bluebellstate.New()
	require.Equal(t, pb.Verdict_Refused, m.Apply(&pb.Command{Body: &pb.Command_RecordDeparture{RecordDeparture: &pb.RecordDeparture{}}}).Verdict)
	require.Empty(t, m.CoreState().Departures)
}

// The holder of an earlier fencing number must learn from its barrier that a later one was taken.
func TestBarrierReturnsLatestFencingNumber(t *testing.T) {
	m := bluebellstate.New()
	barrier := &pb.Command{Body: &pb.Command_Barrier{Barrier: &pb.Barrier{}}}
	require.Zero(t, m.Apply(barrier).Fencing)
	for n := range uint64(2) {
		m.Apply(&pb.Command{Body: &pb.Command_TakeOrders{TakeOrders: &pb.TakeOrders{Holder: "c1"}}})
		require.Equal(t, n+1, m.Apply(barrier).Fencing)
	}
}
