package main_test

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

// TestScripts runs the command itself by scripts; bluebellscenario has those that
// need running entries.
func TestScripts(t *testing.T) {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(dir, "bluebellctl"), ".")
	output, err := build.CombinedOutput()
	require.NoError(t, err, "%s", output)
	examples, err := filepath.Abs("../examples")
	require.NoError(t, err)
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: func(env *testscript.Env) error {
		env.Setenv("PATH", dir+string(filepath.ListSeparator)+env.Getenv("PATH"))
		env.Setenv("EXAMPLES", examples)
		return nil
	}})
}
