package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the record of a case.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func newRecorder() *recorder { return &recorder{start: time.Now()} }

// note adds a line with the time since the start.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.lines = append(r.lines, line)
	fmt.Println(line)
}

func (r *recorder) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
