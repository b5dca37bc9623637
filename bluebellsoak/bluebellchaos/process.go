package bluebellchaos

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// stopPatience is a little more than the time of a planned stop.
const stopPatience = 10 * time.Second

// process is one of the programs, started again whenever it ends unless it is held
// back. The drill alone signals it, by its own handle.
type process struct {
	name     string
	program  string
	settings string
	data     string
	logFile  *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	paused  bool
	// crashed counts the times that it ended without having been told.
	crashed int
	told    bool
}

// newProcess writes the settings of a process and opens its log.
func newProcess(cfg Config, name, program string, settings map[string]any) (*process, error) {
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	p := &process{
		name: name, program: filepath.Join(cfg.ProgramFolder, program), settings: filepath.Join(cfg.DataFolder, name+".jsonc"),
		data: filepath.Join(cfg.DataFolder, name),
	}
	if err := os.WriteFile(p.settings, text, 0o600); err != nil {
		return nil, err
	}
	p.logFile, err = os.Create(filepath.Join(cfg.DataFolder, name+".log"))
	return p, err
}

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
	p.command, p.ended, p.paused, p.told = command, make(chan struct{}), false, false
	go p.wait(command, p.ended)
	return nil
}

func (p *process) wait(command *exec.Cmd, ended chan struct{}) {
	// How it ended shows in its log; a crash is counted.
	_ = command.Wait()
	p.mu.Lock()
	if !p.told {
		p.crashed++
	}
	p.command = nil
	p.mu.Unlock()
	close(ended)
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.told = true
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	// It may have ended in the meantime.
	_ = p.command.Process.Signal(s)
}

// stop ends the process by a signal and waits for it.
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
	case <-time.After(stopPatience):
		p.signal(syscall.SIGKILL)
		<-ended
		return errors.New(p.name + " did not end in time after " + s.String())
	}
}

func (p *process) crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashed
}
