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

// twoSeconds is the stated bound of 400 lines a second, twice.
const twoSeconds = 800

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

// stuck is a reader of the log that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

func TestAStuckReaderBlocksNothing(t *testing.T) {
	s := &stuck{release: make(chan struct{})}
	logger, end := bluebelllog.New(bluebelllog.Config{Writer: s, Level: log.InfoLevel})
	for range 10_000 {
		logger.Info("call")
	}
	close(s.release)
	logger.Info("call")
	end()
	require.LessOrEqual(t, strings.Count(s.out.String(), "msg=call"), twoSeconds, "the volume is bounded")
}

func TestDroppedLinesAreCounted(t *testing.T) {
	var out bytes.Buffer
	logger, end := bluebelllog.New(bluebelllog.Config{Writer: &out, Level: log.InfoLevel})
	for range 5_000 {
		logger.Info("burst")
	}
	end()
	logged := strings.Count(out.String(), "msg=burst")
	require.LessOrEqual(t, logged, twoSeconds, "a second's worth, or two where the burst crosses one")
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
	require.Equal(t, 5_000, logged+dropped, "none is lost without a word")
}
