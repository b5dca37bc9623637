package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Bounds of the sites kozos-himzo and wilgenhaven.
const (
	contactTime   = 3 * time.Second
	drainTime     = 2 * time.Second
	heartbeatTime = 1200 * time.Millisecond
	reuseAfter    = 2 * time.Second
)

// system is a small deployment: processes of the project on loopback addresses, each machine with its own.
type system struct {
	folder    string
	prefix    string
	processes []*process
	// controls and fronts are the addresses that the roles serve.
	controls, fronts []string
	readies          []string
	nextHost         int
}

// process is one running program.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
}

// zones are the failure domains of the deployment.
var zones = []string{"gyor", "papa", "tata"}

const (
	controlPort = 18000
	frontPort   = 18005
	readyPort   = 18002
	peerPort    = 17700
	metricsPort = 7701
)

// startSystem starts the processes and waits until they serve.
func startSystem(fronts int) (*system, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &system{folder: folder, prefix: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250)), nextHost: 1}
	var cores, gates []string
	for range zones {
		ip := s.host()
		cores = append(cores, ip)
		s.controls = append(s.controls, join(ip, controlPort))
	}
	for range fronts {
		ip := s.host()
		gates = append(gates, ip)
		s.fronts = append(s.fronts, join(ip, frontPort))
		s.readies = append(s.readies, join(ip, readyPort))
	}
	for i, ip := range cores {
		fields := s.fields(fmt.Sprintf("core-%s-1", zones[i]), ip, zones[i])
		fields["listen"] = map[string]any{"control": join(ip, controlPort)}
		fields["data_dir"] = filepath.Join(folder, "data-"+strconv.Itoa(i))
		if err := s.start("core", "bluebellcore", fields, `{ "Bounds": { } }`); err != nil {
			return s, err
		}
	}
	for i, ip := range gates {
		zone := zones[i%len(zones)]
		fields := s.fields(fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), ip, zone)
		fields["listen"] = map[string]any{"front": join(ip, frontPort), "ready": join(ip, readyPort)}
		if err := s.start("gate", "bluebellgate", fields, `{ "Bounds": { "DeclarationMillis": 2000, } }`); err != nil {
			return s, err
		}
	}
	return s, nil
}

func join(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// host returns a loopback address that nothing else in the deployment has.
func (s *system) host() string {
	s.nextHost++
	return s.prefix + strconv.Itoa(s.nextHost)
}

// fields returns what the platform fills the template of a machine with.
func (s *system) fields(node, ip, zone string) map[string]any {
	return map[string]any{
		"node": node, "ip": ip, "zone": zone, "zones": map[string]any{"gyor": "hu-west", "papa": "hu-west", "tata": "hu-west"},
		"port_range": []any{peerPort, peerPort + 15}, "seeds": s.controls, "bootstrap": true, "heartbeat_ms": heartbeatTime.Milliseconds(),
		"limits": map[string]any{"memory_mb": 284, "cores": 1}, "tolerate": map[string]any{"machines": 1}, "data_dir": nil,
		"bounds": map[string]any{
			"grace_s": 8, "version_ms": 10000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52, "cold_over": 1.5, "cold_slack": 5,
			"reuse_after_s": 2, "lease_ms": 3000, "config_ms": 2000,
		},
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// fill fills the placeholders of a template in.
func fill(template string, fields map[string]any) (string, error) {
	var failed error
	text := placeholder.ReplaceAllStringFunc(template, func(found string) string {
		m := placeholder.FindStringSubmatch(found)
		var value any = fields
		for _, name := range strings.Split(m[1], ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[name]
			case []any:
				i, err := strconv.Atoi(name)
				if err != nil || i >= len(v) {
					failed = fmt.Errorf("placeholder %s", found)
					return ""
				}
				value = v[i]
			}
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			failed = err
		}
		if m[2] == "" {
			return strings.Trim(string(encoded), `"`)
		}
		return string(encoded)
	})
	return text, failed
}

// start starts a program with the template of its role.
func (s *system) start(role, program string, fields map[string]any, optional string) error {
	template, err := os.ReadFile(filepath.Join("deploy", role+".jsonc"))
	if err != nil {
		return err
	}
	text, err := fill(string(template), fields)
	if err != nil {
		return err
	}
	name := fields["node"].(string)
	settings := filepath.Join(s.folder, name+".jsonc")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join("target", program), settings)
	command.Stdout, command.Stderr = output, output
	command.Env = append(os.Environ(), "BLUEBELL_OPTIONAL_SETTINGS="+optional)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{name: name, command: command, done: make(chan struct{})}
	s.processes = append(s.processes, p)
	go func() {
		defer close(p.done)
		_ = command.Wait()
	}()
	return nil
}

// stop ends all processes and removes the folder.
func (s *system) stop() {
	for _, p := range s.processes {
		_ = p.command.Process.Kill()
	}
	for _, p := range s.processes {
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
		return
	}
	fmt.Println("logs kept in", s.folder)
}

// ended returns the names of the processes that have ended by themselves.
func (s *system) ended() []string {
	var names []string
	for _, p := range s.processes {
		select {
		case <-p.done:
			names = append(names, p.name)
		default:
		}
	}
	return names
}

// awaitReady waits until all fronts answer the platform's question with 200.
func (s *system) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(timeout); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, address := range s.readies {
			response, err := client.Get("http://" + address + "/readyz")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.readies) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d fronts are ready", ready, len(s.readies))
		}
	}
}

// order sends a call of the operator to one node after the other until it gets a clear response.
func (s *system) order(method, path string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	var last error
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, address := range s.controls {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			status, err := send(ctx, method, "http://"+address+path, text)
			cancel()
			switch {
			case err != nil:
				last = err
			case status < 300:
				return nil
			case status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
				return fmt.Errorf("%s %s: status %d", method, path, status)
			default:
				last = fmt.Errorf("%s %s: status %d", method, path, status)
			}
		}
	}
	return errors.Join(errors.New("no clear response"), last)
}

func send(ctx context.Context, method, url string, body []byte) (int, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}
