package bluebellchaos

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stopTimeout bounds the wait for a process to exit after a signal. It is a little longer than a
// planned stop may take.
const stopTimeout = 10 * time.Second

// runtimeStartTime bounds the time in which a Go program that was started cannot handle signals yet: a
// SIGHUP ends it.
const runtimeStartTime = 50 * time.Millisecond

// process is a gate or core process, which can be started again after it has ended. It is
// signalled only through its own handle, never by name.
type process struct {
	name     string
	program  string
	settings string
	// values is the content of the settings file.
	values map[string]any
	// data is the data folder of a core process; gates have none.
	data string
	// address is one on which the process listens once it serves.
	address string
	logFile *os.File

	mu sync.Mutex
	// command is nil while the process is not running.
	command *exec.Cmd
	// ended is closed when command has exited.
	ended  chan struct{}
	paused bool
	// serving is set once the process was seen to listen since its start.
	serving bool
	// crashCount counts the exits that the soak did not ask for by SIGKILL or SIGTERM, and those with
	// an error status.
	crashCount int
	// startedAt is when command was started. earlyHangup is set if a SIGHUP was sent within
	// runtimeStartTime of it.
	startedAt   time.Time
	earlyHangup bool
	// stopRequested is set once SIGKILL or SIGTERM was sent.
	stopRequested bool
}

// newProcess writes the settings file of a process and creates its log file.
func newProcess(cfg Config, name, program, address string, settings map[string]any) (*process, error) {
	p := &process{
		name: name, program: filepath.Join(cfg.ProgramFolder, program), settings: filepath.Join(cfg.DataFolder, name+".jsonc"), values: settings,
		data: filepath.Join(cfg.DataFolder, name), address: address,
	}
	if err := p.writeSettings(); err != nil {
		return nil, err
	}
	var err error
	p.logFile, err = os.Create(filepath.Join(cfg.DataFolder, name+".log"))
	return p, err
}

// writeSettings replaces the settings file.
func (p *process) writeSettings() error {
	text, err := json.MarshalIndent(p.values, "", "  ")
	if err != nil {
		return err
	}
	next := p.settings + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.settings)
}

// changeSettings changes one setting in the settings file.
func (p *process) changeSettings(name string, value any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[name] = value
	return p.writeSettings()
}

// changeBuild makes the process run the program of the other build from its next start on.
func (p *process) changeBuild(cfg Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	folder := cfg.OtherProgramFolder
	if filepath.Dir(p.program) == filepath.Clean(folder) {
		folder = cfg.ProgramFolder
	}
	p.program = filepath.Join(folder, filepath.Base(p.program))
}

// start starts the program unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	command := exec.Command(p.program, p.settings)
	command.Stdout, command.Stderr = p.logFile, p.logFile
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := command.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	p.command, p.ended, p.paused, p.stopRequested, p.serving = command, make(chan struct{}), false, false, false
	p.startedAt, p.earlyHangup = time.Now(), false
	go p.wait(command, p.ended)
	return nil
}

// wait waits until command has exited and closes ended.
func (p *process) wait(command *exec.Cmd, ended chan struct{}) {
	var exit *exec.ExitError
	failed := errors.As(command.Wait(), &exit) && exit.Exited()
	status, _ := command.ProcessState.Sys().(syscall.WaitStatus)
	p.mu.Lock()
	if p.earlyHangup && status.Signaled() && status.Signal() == syscall.SIGHUP {
		p.stopRequested = true
	}
	// A process that has a signal handler exits with status 0 when it is told to stop. The log shows
	// the cause of a crash.
	if !p.stopRequested || failed {
		p.crashCount++
	}
	p.command = nil
	p.mu.Unlock()
	close(ended)
}

// signal sends s to the process if it is running.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.stopRequested = true
	case syscall.SIGHUP:
		p.earlyHangup = p.earlyHangup || time.Since(p.startedAt) < runtimeStartTime
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	// An error means that the process has ended in the meantime.
	_ = p.command.Process.Signal(s)
}

// signalStopping sends s to the process if it is running and was told to stop.
func (p *process) signalStopping(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.stopRequested {
		_ = p.command.Process.Signal(s)
	}
}

// signalServing sends s to the process if it is running and has started to listen. A signal that
// arrives sooner may find no handler.
func (p *process) signalServing(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	if !p.serving {
		conn, err := net.DialTimeout("tcp", p.address, signalGap)
		if err != nil {
			return
		}
		_ = conn.Close()
		p.serving = true
	}
	_ = p.command.Process.Signal(s)
}

// stop sends s to the process and waits until it has exited; after stopTimeout it kills the
// process and returns an error. A paused process is resumed first.
func (p *process) stop(s os.Signal) error {
	p.mu.Lock()
	ended, paused := p.ended, p.paused
	running := p.command != nil
	p.mu.Unlock()
	if !running {
		return nil
	}
	if paused {
		p.signal(syscall.SIGCONT)
	}
	p.signal(s)
	select {
	case <-ended:
		return nil
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-ended
		return errors.New(p.name + " did not exit in time after " + s.String())
	}
}

// crashes returns crashCount.
func (p *process) crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashCount
}

// panicLine returns the first line of the log that shows a panic or a data race, also one that the
// process has recovered from, or "".
func (p *process) panicLine() string {
	text, err := os.ReadFile(p.logFile.Name())
	if err != nil {
		return err.Error()
	}
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, "panic") || strings.Contains(line, "DATA RACE") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}
