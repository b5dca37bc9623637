package main

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines. Machines differ in their loopback address.
const (
	frontPort   = 8005
	readyPort   = 8002
	controlPort = 8000
	peerPort    = 7700
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
)

// Bounds of the small deployment whose settings the scripts use.
const (
	seedLag    = 3 * time.Second
	contact    = 3 * time.Second
	ackBound   = 4 * time.Second
	catchup    = 4 * time.Second
	recoverIn  = 12 * time.Second
	orderLease = 3 * time.Second
	thaw       = 300 * time.Millisecond
)

// role is a role of the deploy file.
type role struct{ run, template, environment string }

// readRole reads a role of the deploy file.
func readRole(root, name string) (role, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return role{}, err
	}
	_, section, found := strings.Cut(string(text), "[roles."+name+"]")
	if !found {
		return role{}, fmt.Errorf("the deploy file has no role %s", name)
	}
	section, _, _ = strings.Cut(section, "\n[")
	value := func(pattern string) string {
		if m := regexp.MustCompile(`(?m)^` + pattern).FindStringSubmatch(section); m != nil {
			return m[1]
		}
		return ""
	}
	r := role{run: value(`run = "([^"]*)"`), environment: value(`env = \{ BLUEBELL_OPTIONAL_SETTINGS = '(.*)' \}`)}
	template := value(`template = "([^"]*)"`)
	if r.run == "" || template == "" {
		return role{}, fmt.Errorf("role %s of the deploy file has no run or template", name)
	}
	content, err := os.ReadFile(filepath.Join(root, template))
	r.template = string(content)
	return r, err
}

// machine is a machine of the platform with the one process that it runs.
type machine struct {
	platform *platform
	name     string
	role     role
	zone     string
	// place is where the machine lies in the network, its zone if it is "".
	place string
	ip    string
	// extra are settings that the script adds to those of the template.
	extra map[string]any
	core  bool

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// wanted is set while the platform keeps the process running.
	wanted bool
	// ends counts how often the process has ended by itself.
	ends int
}

// platform is the stand-in of the users' platform.
type platform struct {
	root, folder string
	network      int
	record       *recorder
	// bootstrap is true until all processes have been started for the first time.
	bootstrap bool
	machines  []*machine
	// firstPort is the first port of the range that is free on all machines.
	firstPort int

	mu sync.Mutex
	// list holds the control addresses that are served, as it changed over time.
	list []listVersion
}

// listVersion is the operator's list of control addresses from a time on.
type listVersion struct {
	from      time.Time
	addresses []string
}

func newPlatform(root string, record *recorder) (*platform, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	p := &platform{root: root, folder: folder, record: record, bootstrap: true, firstPort: peerPort}
	// Each run has its own network of loopback addresses.
	for n := 200 - os.Getpid()%100; n > 20; n-- {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", n, controlPort))
		if err == nil {
			_ = l.Close()
			p.network = n
			return p, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

func (p *platform) address(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", p.network, group, n)
}

// add adds a machine, which is not started.
func (p *platform) add(name, roleName, zone, ip string) (*machine, error) {
	r, err := readRole(p.root, roleName)
	if err != nil {
		return nil, err
	}
	m := &machine{platform: p, name: name, role: r, zone: zone, ip: ip, core: roleName == "core"}
	p.machines = append(p.machines, m)
	return m, nil
}

// placed returns the place of the machine in the network.
func (m *machine) placed() string { return cmp.Or(m.place, m.zone) }

func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.ip, controlPort) }

// served returns the control addresses that are served now.
func (p *platform) served() []string {
	var addresses []string
	for _, m := range p.machines {
		m.mu.Lock()
		running := m.command != nil && m.wanted
		m.mu.Unlock()
		if m.core && running {
			addresses = append(addresses, m.control())
		}
	}
	return addresses
}

// noteList records a change of what is served.
func (p *platform) noteList() {
	addresses := p.served()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, listVersion{time.Now(), addresses})
}

// operatorList returns the list of control addresses, which lags by seedLag. Before that time has passed it is the
// first one.
func (p *platform) operatorList() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for i, v := range p.list {
		if i == 0 || time.Since(v.from) >= seedLag {
			addresses = v.addresses
		}
	}
	return addresses
}

// seeds returns what the settings file of a machine names as seeds: at the first start, all machines that serve
// control; later, three of the operator's list, or fewer if it has fewer.
func (p *platform) seeds() []string {
	if !p.bootstrap {
		return firstThree(p.operatorList())
	}
	var all []string
	for _, m := range p.machines {
		if m.core {
			all = append(all, m.control())
		}
	}
	return firstThree(all)
}

func firstThree(addresses []string) []string {
	addresses = slices.Clone(addresses)
	return addresses[:min(len(addresses), 3)]
}

// fields returns the fields of the settings of a machine.
func (m *machine) fields(seeds []string) map[string]any {
	p := m.platform
	fields := map[string]any{
		"node": m.name, "zone": m.zone, "ip": m.ip, "region": "r",
		"zones":      map[string]any{"z1": "r", "z2": "r", "z3": "r"},
		"listen":     map[string]any{"front": fmt.Sprintf("%s:%d", m.ip, frontPort), "ready": fmt.Sprintf("%s:%d", m.ip, readyPort), "control": m.control()},
		"port_range": []any{p.firstPort, p.firstPort + 15},
		"bootstrap":  p.bootstrap,
		"limits":     map[string]any{"memory_mb": 280, "cores": 1},
		"data_dir":   nil, "heartbeat_ms": 1200,
		"tolerate": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"grace_s": 8, "lease_ms": 3000, "version_ms": 10000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52,
			"cold_over": 1.5, "cold_slack": 5, "reuse_after_s": 2, "require_fence": false,
		},
	}
	var list []any
	for _, s := range seeds {
		list = append(list, s)
	}
	fields["seeds"] = list
	if m.core {
		fields["data_dir"] = filepath.Join(p.folder, m.name)
	}
	return fields
}

// start writes the settings file and starts the process, again each time that it ends, until stop.
func (m *machine) start() error {
	p := m.platform
	seeds := p.seeds()
	fields := m.fields(seeds)
	settings, err := fill(m.role.template, fields)
	if err != nil {
		return err
	}
	environment, err := fill(m.role.environment, fields)
	if err != nil {
		return err
	}
	if len(m.extra) > 0 {
		at := strings.LastIndex(settings, "}")
		for name, value := range m.extra {
			settings = settings[:at] + fmt.Sprintf(",\n  %q: %q\n}", name, value)
		}
	}
	path := filepath.Join(p.folder, m.name+".jsonc")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	words := strings.Fields(m.role.run)
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(p.root, words[0]), path)
	command.Dir, command.Stdout, command.Stderr = p.root, log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.folder, "LANG=C", "BLUEBELLHAVEN_BOOT=" + path, "BLUEBELL_OPTIONAL_SETTINGS=" + environment}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	m.command, m.ended, m.wanted = command, make(chan struct{}), true
	p.record.note("platform: %s started, bootstrap %v, seeds %v", m.name, p.bootstrap, seeds)
	go m.wait(command, m.ended, log)
	return nil
}

// wait waits for the end of a process. The platform starts one again that ended by itself.
func (m *machine) wait(command *exec.Cmd, ended chan struct{}, log *os.File) {
	err := command.Wait()
	_ = log.Close()
	m.mu.Lock()
	m.command = nil
	wanted := m.wanted
	if wanted {
		m.ends++
	}
	m.mu.Unlock()
	close(ended)
	if !wanted {
		return
	}
	m.platform.record.note("platform: %s ended by itself: %v", m.name, err)
	time.Sleep(restartDelay)
	m.mu.Lock()
	wanted = m.wanted && m.command == nil
	m.mu.Unlock()
	if wanted {
		if err := m.start(); err != nil {
			m.platform.record.note("platform: %s not started: %v", m.name, err)
		}
	}
}

// signal sends a signal to the process, if it runs.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s)
	}
}

// kill kills the process and keeps it from being started again.
func (m *machine) kill() {
	m.mu.Lock()
	m.wanted = false
	ended, running := m.ended, m.command != nil
	if running {
		_ = m.command.Process.Kill()
	}
	m.mu.Unlock()
	if running {
		<-ended
	}
	m.platform.record.note("platform: %s killed", m.name)
}

// startAll starts all machines within the time that the pages name for the first start.
func (p *platform) startAll() error {
	for _, m := range p.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	p.noteList()
	p.bootstrap = false
	return nil
}

// stopAll ends all processes and removes the folder.
func (p *platform) stopAll() {
	for _, m := range p.machines {
		m.mu.Lock()
		m.wanted = false
		m.mu.Unlock()
	}
	for _, m := range p.machines {
		m.signal(syscall.SIGCONT)
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.folder)
	}
}
