package bluebelllog_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelllog"
)

// maxLinesInTwoSeconds is twice the limit of 400 lines a second.
const maxLinesInTwoSeconds = 800

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	logger, end := bluebelllog.New(bluebelllog.Config{Writer: &out, Level: log.InfoLevel})
	logger.Info("first", "Call", "c1")
	logger.Debug("not shown")
	logger.Warn("second")
	end()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], "msg=first Call=c1")
	require.Contains(t, lines[1], "msg=second")
}

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.out.Write(p)
}

// TestLoggingDoesNotBlockOnABlockedWriter guards against a caller that hangs because the
// log output is not read.
func TestLoggingDoesNotBlockOnABlockedWriter(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	logger, end := bluebelllog.New(bluebelllog.Config{Writer: w, Level: log.InfoLevel})
	for range 10_000 {
		logger.Info("call")
	}
	close(w.release)
	logger.Info("call")
	end()
	require.LessOrEqual(t, strings.Count(w.out.String(), "msg=call"), maxLinesInTwoSeconds, "the number of lines is limited")
}

func TestDroppedLinesAreCounted(t *testing.T) {
	var out bytes.Buffer
	logger, end := bluebelllog.New(bluebelllog.Config{Writer: &out, Level: log.InfoLevel})
	for range 5_000 {
		logger.Info("burst")
	}
	end()
	logged := strings.Count(out.String(), "msg=burst")
	require.LessOrEqual(t, logged, maxLinesInTwoSeconds, "the burst may span two seconds, each with its own limit")
	require.Positive(t, logged)
	dropped := 0
	for line := range strings.Lines(out.String()) {
		n := 0
		if _, count, found := strings.Cut(line, "dropped\" Lines="); found {
			_, err := fmt.Sscan(count, &n)
			require.NoError(t, err)
		}
		dropped += n
	}
	require.Equal(t, 5_000, logged+dropped, "each line is either written or counted as dropped")
}
