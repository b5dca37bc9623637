package bluebellprocess_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellprocess"
)

const settings = `{"Name": "e1", "FailureDomain": "d1", "Address": "127.0.0.1", "CallerAddress": "127.0.0.1:8000", "ReadyAddress": "127.0.0.1:8001",
	"PeerPort": 7700, "Seeds": ["127.0.0.1:9000"], "Secret": "a secret of these tests"}`

// A SIGHUP that arrives while the process starts must not end it.
func TestHangupDuringStartEndsNoProcess(t *testing.T) {
	ran := false
	program := bluebellprocess.Program[*pb.GateSettings]{
		Open: func(path string) (*bluebellprocess.SettingsFile[*pb.GateSettings], error) {
			require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
			return bluebellprocess.OpenGateSettings(path)
		},
		Limits: func(*pb.GateSettings) (float64, uint32) { return 0, 0 },
		Run: func(context.Context, func() *pb.GateSettings, *log.Logger) error {
			ran = true
			return nil
		},
	}
	path := filepath.Join(t.TempDir(), "gate.jsonc")
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	require.NoError(t, program.Main(bluebellprocess.Arguments{Settings: path, LogLevel: "error"}))
	require.True(t, ran)
}

// Guards against optional settings that replace those of the file, that are lost at a reload, or that are accepted
// although they cannot be parsed.
func TestOptionalSettingsAreAddedToFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gate.jsonc")
	require.NoError(t, os.WriteFile(path, []byte(settings[:len(settings)-1]+`, "Bounds": {"RetryRatio": 0.2}}`), 0o600))
	t.Setenv(bluebellprocess.OptionalSettings, `{"Bounds": {"UsageWindow": "5s",},}`)
	file, err := bluebellprocess.OpenGateSettings(path)
	require.NoError(t, err)
	require.Equal(t, "e1", file.Current().Name)
	require.InDelta(t, 0.2, file.Current().Bounds.RetryRatio, 0)
	require.Equal(t, 5*time.Second, file.Current().Bounds.UsageWindow.AsDuration())
	t.Setenv(bluebellprocess.OptionalSettings, `{"Bounds": {"UsageWindow": 5}}`)
	_, err = bluebellprocess.OpenGateSettings(path)
	require.ErrorContains(t, err, "UsageWindow")
}
