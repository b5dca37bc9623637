package bluebellchaos_test

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellsoak/bluebellchaos"
)

// Endpoints that restart under new IDs refuse calls for the old ones, and write the refusals once more where the
// responses to these calls under the new IDs are due. Calls that they ran were refused as not run, or ran twice.
func TestCopiesOfRefusalsAreNotBelieved(t *testing.T) {
	t.Parallel()
	bin := build(t)
	takeTurn(t)
	report, err := bluebellchaos.RunCopies(context.Background(), bluebellchaos.Config{
		ProgramFolder: bin, DataFolder: filepath.Join(t.TempDir(), "soak"), Seed: 1, Duration: 15 * time.Second, Gates: 3, Cores: 3, Endpoints: 10,
	})
	require.NoError(t, err)
	t.Log(report)
	require.Empty(t, report.Findings)
	require.Positive(t, report.Served)
	require.Positive(t, report.Returned, "no call came back to its endpoint")
}
