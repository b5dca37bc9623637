// Package bluebelllog makes loggers that never block what they log about.
//
// Lines go through a queue of bounded size to one writer. When the queue is full,
// or more lines come in a second than allowed, lines are dropped; their number is
// written as a line of its own.
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
	// queueLines is the number of lines that wait for the writer: with lines of
	// about 250 bytes, half a megabyte.
	queueLines = 2048
	// maxLinesPerSecond bounds the volume: four lines for each of 100 calls a
	// second, several times what one entry serves.
	maxLinesPerSecond = 400
)

// Config sets up a logger.
type Config struct {
	Writer io.Writer
	Level  log.Level
}

// New returns a logger, and a function that writes what waits and ends it.
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

// queue takes lines without blocking.
type queue struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	second  atomic.Int64
	count   atomic.Int64
}

// Write queues one line, or drops it. It never fails.
func (q *queue) Write(line []byte) (int, error) {
	if !q.admit(time.Now().Unix()) {
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

func (q *queue) admit(second int64) bool {
	if old := q.second.Load(); old != second && q.second.CompareAndSwap(old, second) {
		q.count.Store(0)
	}
	return q.count.Add(1) <= maxLinesPerSecond
}

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

// writeDropped writes how many lines were dropped since the last time. A log that cannot
// be written has nowhere to say so.
func (q *queue) writeDropped(w io.Writer) {
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "time=%s level=warn msg=\"log lines dropped\" Lines=%d\n", time.Now().Format(time.RFC3339Nano), n)
	}
}
