package bluebellmoves_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellconfig"
	"bluebellhaven.org/bluebellsim/bluebellmoves"
)

// TestMoveOutcomes checks that at most 1 of 100 moves to a good version is taken back and
// the others are done in time, and that all moves to a faulty version are taken back.
func TestMoveOutcomes(t *testing.T) {
	for _, team := range []string{"konzorcium", "vlechtwerkbond"} {
		q, err := bluebellconfig.LoadQuestionnaire("../../examples/" + team + "/answers.jsonc")
		require.NoError(t, err)
		policy := bluebellconfig.Generate(q).Policy
		for _, kind := range bluebellmoves.Kinds() {
			t.Run(team+"/"+string(kind), func(t *testing.T) {
				t.Parallel()
				const runs = 100
				r := bluebellmoves.Run(bluebellmoves.Config{Policy: policy, Kind: kind, Runs: runs, Seed: 1})
				if kind == bluebellmoves.Good {
					require.LessOrEqual(t, r.TakenBack, runs/100)
					require.Equal(t, runs, r.Done+r.TakenBack)
					require.Zero(t, r.Late)
					return
				}
				require.Equal(t, runs, r.TakenBack)
			})
		}
	}
}
