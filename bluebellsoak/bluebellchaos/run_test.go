package bluebellchaos_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
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
	return buildIn(t, "../..")
}

// buildIn compiles the programs of a checkout and returns their folder.
func buildIn(t *testing.T, tree string) string {
	t.Helper()
	bin := t.TempDir()
	for _, program := range []string{"bluebellgate", "bluebellcore"} {
		command := exec.Command("go", "build", "-o", bin+string(filepath.Separator), "./"+program)
		command.Dir = tree
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

// lastLanding is the commit whose programs run beside today's while machines are replaced one after another.
const lastLanding = "7a9ff78"

// Processes of the last landing and of this build run side by side under faults, and replace each other with the
// state that the other has written.
func TestReplacingLastLandingHasNoFindings(t *testing.T) {
	git := func(args ...string) error {
		command := exec.Command("git", args...)
		command.Dir = "../.."
		return command.Run()
	}
	if git("cat-file", "-e", lastLanding+"^{commit}") != nil {
		t.Skipf("the history does not contain %s", lastLanding)
	}
	tree := filepath.Join(t.TempDir(), "tree")
	require.NoError(t, git("worktree", "add", "--detach", tree, lastLanding))
	t.Cleanup(func() { require.NoError(t, git("worktree", "remove", "--force", tree)) })
	report, err := bluebellchaos.Run(context.Background(), bluebellchaos.Config{
		ProgramFolder: buildIn(t, tree), OtherProgramFolder: build(t), DataFolder: filepath.Join(t.TempDir(), "soak"), Seed: 1, Duration: 12 * time.Second,
		Gates: 3, Cores: 3, Endpoints: 6,
		// lastLanding is before 24312b5.
		WithoutCopies: true,
	})
	require.NoError(t, err)
	require.Empty(t, report.Findings)
	require.Positive(t, report.Served)
	require.True(t, slices.ContainsFunc(report.Events, func(e string) bool { return strings.Contains(e, "core replaced by the other build") }))
}
