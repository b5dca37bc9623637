package bluebellstate_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
)

// scaleOrder returns a command that orders a number of endpoints.
func scaleOrder(target, domain string, endpoints uint32) *pb.Command {
	return &pb.Command{Body: &pb.Command_OrderScale{OrderScale: &pb.OrderScale{Target: target, FailureDomain: domain, Endpoints: endpoints}}}
}

// ordered returns the ordered numbers of a machine as text.
func ordered(m *bluebellstate.Machine) []string {
	var list []string
	for _, o := range m.CoreState().Scales {
		list = append(list, fmt.Sprintf("%s/%s %d", o.Target, o.FailureDomain, o.Endpoints))
	}
	return list
}

// Guards against a number that is kept twice, against a change of a published state, and against a new state for
// a repeated order, which would wake every process that follows the core state.
func TestLatestOrderedNumberIsKept(t *testing.T) {
	m := bluebellstate.New()
	for _, c := range []*pb.Command{scaleOrder("a", "x", 20), scaleOrder("a", "y", 20), scaleOrder("b", "x", 3), scaleOrder("a", "x", 22)} {
		require.Equal(t, pb.Verdict_Accepted, m.Apply(c).Verdict)
	}
	before := m.CoreState()
	require.Equal(t, []string{"a/y 20", "b/x 3", "a/x 22"}, ordered(m))
	m.Apply(scaleOrder("a", "x", 22))
	require.Same(t, before, m.CoreState())
	m.Apply(scaleOrder("a", "y", 18))
	require.Equal(t, uint32(20), before.Scales[0].Endpoints)
	n, ok := bluebellstate.OrderedEndpoints(m.CoreState(), "a", "y")
	require.True(t, ok)
	require.Equal(t, uint32(18), n)
	_, ok = bluebellstate.OrderedEndpoints(m.CoreState(), "b", "y")
	require.False(t, ok)
}

// Guards against numbers that are lost with a later change of the core state, or with a snapshot.
func TestOrderedNumbersOutliveOtherChangesAndSnapshots(t *testing.T) {
	m := bluebellstate.New()
	m.Apply(scaleOrder("a", "x", 20))
	m.Apply(departure("e", 2, pb.RegistrationState_Draining, 0))
	m.Apply(&pb.Command{Body: &pb.Command_SetCommandVersion{SetCommandVersion: &pb.SetCommandVersion{Version: bluebellstate.CommandVersion}}})
	require.Equal(t, []string{"a/x 20"}, ordered(m))
	require.Zero(t, m.View().Revision, "earlier releases, which skip the command, have the same revision")
	data, err := m.Snapshot()
	require.NoError(t, err)
	restored, err := bluebellstate.Restore(data)
	require.NoError(t, err)
	require.Equal(t, []string{"a/x 20"}, ordered(restored))
}

// Guards against an order that would stop all endpoints of a target, and against a list that grows without end.
func TestMalformedOrdersAreRefusedAndTheListIsBounded(t *testing.T) {
	m := bluebellstate.New()
	for _, c := range []*pb.Command{scaleOrder("", "x", 1), scaleOrder("a", "", 1), scaleOrder("a", "x", 0), {Body: &pb.Command_OrderScale{}}} {
		require.Equal(t, pb.Verdict_Refused, m.Apply(c).Verdict)
	}
	require.Empty(t, m.CoreState().Scales)
	for n := range 1100 {
		m.Apply(scaleOrder(fmt.Sprint(n), "x", 1))
	}
	require.Len(t, m.CoreState().Scales, 1024)
	require.Equal(t, "1099", m.CoreState().Scales[1023].Target)
}
