package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, those of the site files.
const (
	drainMillis  = 2000
	configMillis = 2000
	evacMillis   = 5000
	contact      = 3 * time.Second
	heartbeat    = 1200 * time.Millisecond
	gateMemoryMB = 284
	coreMemoryMB = 280
)

var zones = []string{"gyor", "papa", "tata"}

// site is a small deployment on loopback: three core processes and some gates.
type site struct {
	dir     string
	network int
	hold    net.Listener
	rec     *record
	cores   []*process
	gates   []*process
}

// record writes the lines of record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// process is one process of the system.
type process struct {
	name, ip, zone string
	words          []string
	log            *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	status  string
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = exec.Command(p.words[0], p.words[1:]...)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	// The process ends with this one, whatever happens.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	ended, command := make(chan struct{}), p.command
	p.ended = ended
	go func() {
		_ = command.Wait()
		p.mu.Lock()
		p.status = command.ProcessState.String()
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) kill() {
	if p.command == nil || p.command.Process == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// newSite takes a free loopback network and a temporary folder.
func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, rec: rec}
	for s.network = 20 + os.Getpid()%200; s.network < 240; s.network++ {
		if s.hold, err = net.Listen("tcp", fmt.Sprintf("127.%d.9.1:7700", s.network)); err == nil {
			return s, nil
		}
	}
	return nil, err
}

func (s *site) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.network, group, n+1) }

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// section is a part of a template that is filled in only if its field is present, as none is here.
var section = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}.*?\{\{/[a-z_.0-9]+\}\}`)

// render fills in a template of deploy/, as the platform does.
func render(template string, fields map[string]any) (string, error) {
	var missing error
	text := placeholder.ReplaceAllStringFunc(section.ReplaceAllString(template, ""), func(found string) string {
		m := placeholder.FindStringSubmatch(found)
		var value any = fields
		for name := range strings.SplitSeq(m[1], ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[name]
			case []any:
				value = v[int(name[0]-'0')]
			}
		}
		if value == nil {
			missing = errors.Join(missing, fmt.Errorf("no value for %s", found))
		}
		if text, ok := value.(string); ok && m[2] == "" {
			return text
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	})
	return text, missing
}

// role returns the words of the command and the template of a role of the deploy file.
func role(name string) (words []string, template string, err error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, "", err
	}
	_, section, _ := strings.Cut(string(text), "[roles."+name+"]")
	section, _, _ = strings.Cut(section, "\n[")
	get := func(key string) string {
		m := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindStringSubmatch(section)
		if m == nil {
			return ""
		}
		return m[1]
	}
	content, err := os.ReadFile(get("template"))
	return strings.Fields(get("run")), string(content), err
}

func (s *site) newProcess(roleName, class string, group, n int, zone string) (*process, error) {
	words, template, err := role(roleName)
	if err != nil {
		return nil, err
	}
	p := &process{name: fmt.Sprintf("%s-%s-%d", class, zone, n+1), ip: s.ip(group, n), zone: zone}
	seeds, regions := []any{}, map[string]any{}
	for i := range zones {
		seeds = append(seeds, s.ip(1, i)+":8000")
		regions[zones[i]] = "hu-west"
	}
	data, memory := filepath.Join(s.dir, p.name), gateMemoryMB
	if class == "core" {
		memory = coreMemoryMB
	}
	fields := map[string]any{
		"node": p.name, "zone": zone, "ip": p.ip, "zones": regions, "seeds": seeds, "bootstrap": true, "data_dir": data,
		"listen":     map[string]any{"control": p.ip + ":8000", "front": p.ip + ":8005", "ready": p.ip + ":8002"},
		"port_range": []any{7700, 7715}, "heartbeat_ms": heartbeat.Milliseconds(),
		"limits": map[string]any{"memory_mb": memory, "cores": 1}, "tolerate": map[string]any{"machines": 1},
		"bounds": map[string]any{
			"grace_s": 8, "lease_ms": 3000, "version_ms": 10000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52,
			"cold_over": 1.5, "cold_slack": 5, "reuse_after_s": 2,
		},
	}
	settings, err := render(template, fields)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.dir, p.name+".settings")
	if err := errors.Join(os.WriteFile(path, []byte(settings), 0o600), os.MkdirAll(data, 0o700)); err != nil {
		return nil, err
	}
	for i, w := range words {
		if w == "/etc/bluebellhaven/node.yaml" {
			words[i] = path
		}
	}
	p.words = words
	p.log, err = os.Create(filepath.Join(s.dir, p.name+".log"))
	return p, err
}

// startAll starts three core processes and a number of gates.
func (s *site) startAll(gates int) error {
	for n, zone := range zones {
		p, err := s.newProcess("core", "core", 1, n, zone)
		if err != nil {
			return err
		}
		s.cores = append(s.cores, p)
	}
	for n := range gates {
		p, err := s.newProcess("gate", "front", 2, n, zones[n%len(zones)])
		if err != nil {
			return err
		}
		s.gates = append(s.gates, p)
	}
	for _, p := range append(append([]*process{}, s.cores...), s.gates...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// stopAll ends all processes of the site and removes its folder, except the logs if they are kept.
func (s *site) stopAll() {
	for _, p := range append(append([]*process{}, s.cores...), s.gates...) {
		p.kill()
		_ = p.log.Close()
	}
	if s.hold != nil {
		_ = s.hold.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.MkdirAll(keep, 0o755)
		logs, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
		for _, path := range logs {
			if text, err := os.ReadFile(path); err == nil {
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(path)), text, 0o644)
			}
		}
	}
	_ = os.RemoveAll(s.dir)
}
