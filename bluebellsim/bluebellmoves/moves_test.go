package bluebellmoves_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellconfig"
	"bluebellhaven.org/bluebellsim/bluebellmoves"
)

// TestMoves holds moves to what is promised: good ones are done in time and are
// taken back in no more than 1 of 100, bad ones are all taken back.
func TestMoves(t *testing.T) {
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
