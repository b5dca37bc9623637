// Package bluebelllog provides loggers whose log calls never block.
//
// Lines go through a bounded queue to one writing goroutine. Lines are dropped when
// the queue is full or the limit of lines per second is exceeded; a separate log line
// gives the number of dropped lines.
//
// # Usage
//
//	logger, closer := bluebelllog.New(bluebelllog.Config{Writer: os.Stdout, Level: log.InfoLevel})
//	defer closer()
//	logger.Info("started", "Name", name)
package bluebelllog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"
)

const (
	// queueLines is the maximum number of queued lines. Lines have about 250 bytes,
	// so a full queue holds half a megabyte.
	queueLines = 2048
	// maxLinesPerSecond limits the log volume. It allows four lines for each of 100
	// calls a second, several times the call rate of one entry (a process that
	// accepts calls).
	maxLinesPerSecond = 400
)

// Config configures a logger.
type Config struct {
	Writer io.Writer
	Level  log.Level
}

// New returns a logger, and a function that writes the queued lines and stops the
// writing goroutine.
func New(cfg Config) (*log.Logger, func()) {
	q := &queue{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	var writer conc.WaitGroup
	writer.Go(func() { q.run(cfg.Writer) })
	logger := log.NewWithOptions(q, log.Options{
		Level: cfg.Level, Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
	})
	return logger, func() {
		close(q.done)
		writer.Wait()
	}
}

// queue is an io.Writer that queues lines without blocking.
type queue struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	// second is the Unix time for which linesInSecond counts the lines.
	second        atomic.Int64
	linesInSecond atomic.Int64
}

// Write queues a copy of one line, or drops the line. It never returns an error.
func (q *queue) Write(line []byte) (int, error) {
	if !q.allow(time.Now().Unix()) {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// allow reports whether the rate limit permits another line in the given second.
func (q *queue) allow(second int64) bool {
	if old := q.second.Load(); old != second && q.second.CompareAndSwap(old, second) {
		q.linesInSecond.Store(0)
	}
	return q.linesInSecond.Add(1) <= maxLinesPerSecond
}

// run writes queued lines until done is closed, and then the remaining ones.
func (q *queue) run(w io.Writer) {
	for {
		select {
		case line := <-q.lines:
			q.write(w, line)
		case <-q.done:
			for len(q.lines) > 0 {
				q.write(w, <-q.lines)
			}
			q.writeDropped(w)
			return
		}
	}
}

func (q *queue) write(w io.Writer, line []byte) {
	q.writeDropped(w)
	_, _ = w.Write(line)
}

// writeDropped writes the number of lines dropped since its previous call. Write errors
// are ignored, since there is no other place to report them.
func (q *queue) writeDropped(w io.Writer) {
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "time=%s level=warn msg=\"log lines dropped\" Lines=%d\n", time.Now().Format(time.RFC3339Nano), n)
	}
}
