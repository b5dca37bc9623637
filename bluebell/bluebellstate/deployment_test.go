package bluebellstate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
)

func declare(version uint64, document string) *pb.Command {
	return &pb.Command{Body: &pb.Command_DeclareDeployment{
		DeclareDeployment: &pb.DeclareDeployment{Version: version, Document: []byte(document)},
	}}
}

func nameWeights(model string, version uint64) *pb.Command {
	return &pb.Command{Body: &pb.Command_NameWeights{NameWeights: &pb.NameWeights{Model: model, Version: version}}}
}

func orderDomain(name string, out bool) *pb.Command {
	return &pb.Command{Body: &pb.Command_OrderDomain{OrderDomain: &pb.OrderDomain{Name: name, Out: out}}}
}

func TestDeclareDeploymentKeepsHighestVersion(t *testing.T) {
	m := bluebellstate.New()
	for _, c := range []*pb.Command{
		declare(3, "three"), declare(7, "seven"), declare(5, "five"), declare(7, "another seven"), declare(3, "three"),
	} {
		require.Equal(t, pb.Verdict_Accepted, m.Apply(c).Verdict, "a declaration is accepted even if it is outdated or repeated")
	}
	require.Equal(t, uint64(7), m.View().Deployment.Version)
	require.Equal(t, "seven", string(m.View().Deployment.Document), "a different document with the current version is ignored")
}

func TestCommandsWithoutEffectKeepRevision(t *testing.T) {
	m := bluebellstate.New()
	m.Apply(declare(1, "one"))
	revision := m.View().Revision
	for _, c := range []*pb.Command{
		declare(1, "one"), orderDomain("a", false), nameWeights("m0", 0),
		{Body: &pb.Command_Barrier{Barrier: &pb.Barrier{}}},
	} {
		require.Equal(t, revision, m.Apply(c).Revision)
	}
	require.Equal(t, revision+1, m.Apply(orderDomain("a", true)).Revision)
}

func TestPublishedDeploymentIsNotModified(t *testing.T) {
	m := bluebellstate.New()
	m.Apply(nameWeights("m0", 1))
	m.Apply(orderDomain("a", true))
	before := m.View()
	m.Apply(nameWeights("m0", 2))
	m.Apply(nameWeights("m1", 1))
	m.Apply(orderDomain("a", false))
	require.Equal(t, uint64(1), bluebellstate.WeightsVersion(before.Deployment, "m0"))
	require.Equal(t, []string{"a"}, before.Deployment.DomainsOut)
	require.Equal(t, uint64(2), bluebellstate.WeightsVersion(m.View().Deployment, "m0"))
	require.Empty(t, m.View().Deployment.DomainsOut)
}

func TestEarlierWeightsKeepNamedAt(t *testing.T) {
	m := bluebellstate.New()
	for i := range 40 {
		c := nameWeights("m0", uint64(i+1))
		c.UnixNanos = int64(1000 + i)
		m.Apply(c)
	}
	w := m.View().Deployment.Weights[0]
	require.Equal(t, uint64(40), w.Version)
	require.Equal(t, int64(1039), w.NamedAt)
	require.Len(t, w.Earlier, 16)
	require.Equal(t, uint64(39), w.Earlier[15].Version)
	require.Equal(t, int64(1038), w.Earlier[15].NamedAt)
}

func TestSnapshotKeepsDeployment(t *testing.T) {
	m := bluebellstate.New()
	m.Apply(declare(4, "four"))
	m.Apply(nameWeights("m0", 3))
	m.Apply(orderDomain("b", true))
	data, err := m.Snapshot()
	require.NoError(t, err)
	restored, err := bluebellstate.Restore(data)
	require.NoError(t, err)
	require.Equal(t, "four", string(restored.View().Deployment.Document))
	require.Equal(t, uint64(3), bluebellstate.WeightsVersion(restored.View().Deployment, "m0"))
	require.Equal(t, []string{"b"}, restored.View().Deployment.DomainsOut)
}

func setQuarantine(at int64, key uint64, lifted bool) *pb.Command {
	return &pb.Command{UnixNanos: at, Body: &pb.Command_SetQuarantine{SetQuarantine: &pb.SetQuarantine{Key: key, Depth: 2, Lifted: lifted}}}
}

// A quarantine outlives restarts through snapshots, ends by itself, and lasts longer each time until
// it is lifted.
func TestQuarantineTerms(t *testing.T) {
	minute := int64(time.Minute)
	m := bluebellstate.New()
	m.Apply(setQuarantine(minute, 7, false))
	revision := m.View().Revision
	require.Equal(t, revision, m.Apply(setQuarantine(2*minute, 7, false)).Revision, "a verdict that is agreed on twice counts once")
	data, err := m.Snapshot()
	require.NoError(t, err)
	m, err = bluebellstate.Restore(data)
	require.NoError(t, err)
	require.Equal(t, 11*minute, m.View().Deployment.Quarantines[0].Until)
	m.Apply(setQuarantine(20*minute, 7, false))
	require.Equal(t, 40*minute, m.View().Deployment.Quarantines[0].Until, "the second term is twice as long")
	m.Apply(setQuarantine(21*minute, 7, true))
	require.Equal(t, 21*minute, m.View().Deployment.Quarantines[0].Until)
	require.True(t, m.View().Deployment.Quarantines[0].Lifted)
	m.Apply(setQuarantine(30*minute, 7, false))
	require.Equal(t, 40*minute, m.View().Deployment.Quarantines[0].Until, "after it was lifted, the terms begin anew")
}

// The number of quarantines is bounded: ended ones make room, and further ones are refused while all
// are in force.
func TestQuarantinesAreBounded(t *testing.T) {
	minute := int64(time.Minute)
	m := bluebellstate.New()
	for key := range uint64(256) {
		require.Equal(t, pb.Verdict_Accepted, m.Apply(setQuarantine(minute+int64(key), key+1, false)).Verdict)
	}
	require.Equal(t, pb.Verdict_Refused, m.Apply(setQuarantine(2*minute, 999, false)).Verdict)
	require.Equal(t, pb.Verdict_Accepted, m.Apply(setQuarantine(20*minute, 999, false)).Verdict)
	require.Len(t, m.View().Deployment.Quarantines, 256)
}
