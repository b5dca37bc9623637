package bluebelloverload_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellsim/bluebelloverload"
)

// TestSmallUrgentCallsAtCrest replays the crest of a wave of small urgent calls and of dossiers of 12,000
// tokens, at 79 entries and 60 engines. It guards against small calls that are late or refused behind
// the prompts of large ones, as about half of them were without ranks. A target that does not rank its
// calls has the decisions of before, and shows that this load is one that they fail on.
func TestSmallUrgentCallsAtCrest(t *testing.T) {
	l, err := bluebelloverload.ReadLoad("../../examples/loads/dossiers.jsonc")
	require.NoError(t, err)
	ranked := run(l, bluebelloverload.Product)
	l.RanksByUrgency = false
	unranked := run(l, bluebelloverload.Product)
	for _, kind := range []string{"fault classes", "ledger questions"} {
		t.Logf("%s: %+v, without ranks %+v", kind, *ranked.Kinds[kind], *unranked.Kinds[kind])
	}
	t.Logf("dossiers: %+v, without ranks %+v", *ranked.Kinds["dossiers"], *unranked.Kinds["dossiers"])
	require.GreaterOrEqual(t, ranked.Kinds["fault classes"].InTimeShare(), 0.7)
	require.Less(t, unranked.Kinds["fault classes"].InTimeShare(), 0.65)
	require.GreaterOrEqual(t, ranked.Kinds["ledger questions"].InTimeShare(), unranked.Kinds["ledger questions"].InTimeShare()+0.05)
	dossiers := ranked.Kinds["dossiers"]
	require.GreaterOrEqual(t, float64(dossiers.InTime+dossiers.Late), 0.5*float64(dossiers.Arrived), "large calls are delayed, not starved")
}
