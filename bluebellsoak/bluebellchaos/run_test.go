package bluebellchaos_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellsoak/bluebellchaos"
)

// regressions are seeds that once produced findings, each with its cause.
var regressions = []uint64{
	1,  // the test harness started an endpoint twice after two overlapping crashes
	43, // streams of endpoints that were silent for a second were broken off
}

// build compiles the programs and returns their folder.
func build(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	for _, program := range []string{"bluebellgate", "bluebellcore"} {
		command := exec.Command("go", "build", "-o", bin+string(filepath.Separator), "./"+program)
		command.Dir = "../.."
		out, err := command.CombinedOutput()
		require.NoError(t, err, string(out))
	}
	return bin
}

func TestShortRunHasNoFindings(t *testing.T) {
	bin := build(t)
	for _, seed := range append([]uint64{101}, regressions...) {
		report, err := bluebellchaos.Run(context.Background(), bluebellchaos.Config{
			ProgramFolder: bin, DataFolder: filepath.Join(t.TempDir(), "soak"), Seed: seed, Duration: 8 * time.Second, Gates: 3, Cores: 3, Endpoints: 6,
		})
		require.NoError(t, err)
		require.Empty(t, report.Findings, "seed %d", seed)
		require.Positive(t, report.Served)
		require.Positive(t, report.DeclarationReads)
		require.Positive(t, report.Faults)
		require.Len(t, report.Events, report.Faults+1, "each fault is listed, and the end of all processes")
	}
}
