package bluebellprocess_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"

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
