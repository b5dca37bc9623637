package main_test

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

// TestScripts runs the scripts in testdata against the built program. Scripts that need
// running entries are in bluebellscenario.
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
