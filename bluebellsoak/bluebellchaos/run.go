package bluebellchaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"bluebellhaven.org/bluebellfake/bluebellstub"
)

const (
	peerPort    = 7700
	controlPort = 8000
	callerPort  = 8005
	readyPort   = 8002
	// heartbeat of the endpoints.
	heartbeat = 300 * time.Millisecond
	// startWithin and recoverWithin bound the time until calls are served at the start
	// and after the last fault.
	startWithin   = 20 * time.Second
	recoverWithin = 15 * time.Second
	// servedInRow is the number of calls that must be served for that.
	servedInRow  = 10
	callersCount = 8
	// settle is how long endpoints may still begin a late call after all callers left.
	settle = time.Second
	secret = "the secret of a drill on loopback"
)

// Config sets up a drill.
type Config struct {
	// Bin is the folder of the programs, Data the one for data and logs.
	Bin, Data               string
	Seed                    uint64
	Duration                time.Duration
	Gates, Cores, Endpoints int
}

// Report tells what a drill saw.
type Report struct {
	Calls, Served, Runs, Faults, Reads int
	Acknowledged                       uint64
	Findings                           []string
}

func (r Report) String() string {
	return fmt.Sprintf("%d calls, %d served, %d runs, %d faults, %d reads, version %d acknowledged, %d findings",
		r.Calls, r.Served, r.Runs, r.Faults, r.Reads, r.Acknowledged, len(r.Findings))
}

// backend is one endpoint with its way to it.
type backend struct {
	proxy  *proxy
	listen string
	number int
	// crashing lets one crash end before the next begins.
	crashing sync.Mutex

	mu      sync.Mutex
	current *bluebellstub.Endpoint
	starts  int
	// past endpoints were crashed; their runs still count.
	past []*bluebellstub.Endpoint
}

// drill is a running deployment.
type drill struct {
	cfg      Config
	rng      *rand.Rand
	cores    []*process
	ways     []*proxy
	gates    []*process
	backends []*backend
	controls []string
	callers  *callers
	operator *operator
	faults   int
	findings []string
}

// address returns the loopback address of a VM; drills of different seeds do not
// meet.
func (d *drill) address(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+d.cfg.Seed%200, group, n+1)
}

// Run runs one drill. An error means that it could not be run.
func Run(ctx context.Context, cfg Config) (Report, error) {
	d := &drill{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 77))}
	if err := os.RemoveAll(cfg.Data); err != nil {
		return Report{}, err
	}
	if err := os.MkdirAll(cfg.Data, 0o700); err != nil {
		return Report{}, err
	}
	defer d.end()
	if err := d.set(); err != nil {
		return Report{}, err
	}
	d.operator = newOperator(d.controls)
	var load conc.WaitGroup
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for _, b := range d.backends {
		load.Go(func() { d.register(loadCtx, b) })
	}
	if !d.serves(ctx, startWithin, true) {
		stopLoad()
		load.Wait()
		return Report{}, fmt.Errorf("not served within %v of the start; see %s", startWithin, cfg.Data)
	}
	if err := d.endBootstrap(); err != nil {
		return Report{}, err
	}
	callCtx, stopCalls := context.WithCancel(loadCtx)
	defer stopCalls()
	var calls conc.WaitGroup
	for n := range callersCount {
		calls.Go(func() { d.callers.run(callCtx, n, cfg.Seed) })
	}
	calls.Go(func() { d.operator.run(callCtx, cfg.Seed) })
	d.inject(ctx)
	if !d.serves(ctx, recoverWithin, false) {
		d.findings = append(d.findings, fmt.Sprintf("not served again within %v of the last fault", recoverWithin))
	}
	stopCalls()
	calls.Wait()
	time.Sleep(settle)
	d.readBack()
	stopLoad()
	load.Wait()
	return d.report(), nil
}

// set starts all processes and endpoints.
func (d *drill) set() error {
	var seeds []string
	for n := range d.cfg.Cores {
		seeds = append(seeds, fmt.Sprintf("%s:%d", d.address(1, n), controlPort))
	}
	d.controls = seeds
	for n := range d.cfg.Cores {
		if err := d.addCore(n, true); err != nil {
			return err
		}
	}
	d.callers = &callers{}
	for n := range d.cfg.Gates {
		if err := d.addGate(n); err != nil {
			return err
		}
	}
	for n := range d.cfg.Endpoints {
		b := &backend{listen: fmt.Sprintf("%s:9000", d.address(4, n)), number: n}
		if err := b.start(); err != nil {
			return err
		}
		way, err := newProxy(fmt.Sprintf("%s:9000", d.address(3, n)), b.listen)
		if err != nil {
			return err
		}
		b.proxy = way
		d.backends = append(d.backends, b)
	}
	return nil
}

func (d *drill) coreSettings(n int, bootstrap bool) map[string]any {
	address := d.address(1, n)
	return map[string]any{
		"Name": fmt.Sprint("core-", n), "FailureDomain": fmt.Sprint("domain-", n%3), "Address": address,
		"ControlAddress": fmt.Sprintf("%s:%d", address, controlPort), "PeerPort": peerPort,
		"PeerListen": fmt.Sprintf("%s:%d", d.address(5, n), peerPort), "Seeds": d.controls, "Secret": secret,
		"DataFolder": fmt.Sprintf("%s/core-%d", d.cfg.Data, n), "Bootstrap": bootstrap, "TolerateLostVMs": (d.cfg.Cores - 1) / 2,
		"Bounds": map[string]any{"OrderLeaseMillis": 3000, "WeightsMillis": 10000},
	}
}

func (d *drill) addCore(n int, bootstrap bool) error {
	p, err := newProcess(d.cfg, fmt.Sprint("core-", n), "bluebellcore", d.coreSettings(n, bootstrap))
	if err != nil {
		return err
	}
	way, err := newProxy(fmt.Sprintf("%s:%d", d.address(1, n), peerPort), fmt.Sprintf("%s:%d", d.address(5, n), peerPort))
	if err != nil {
		return err
	}
	d.cores, d.ways = append(d.cores, p), append(d.ways, way)
	return p.start()
}

func (d *drill) addGate(n int) error {
	address := d.address(2, n)
	d.callers.gates = append(d.callers.gates, fmt.Sprintf("%s:%d", address, callerPort))
	p, err := newProcess(d.cfg, fmt.Sprint("gate-", n), "bluebellgate", map[string]any{
		"Name": fmt.Sprint("gate-", n), "FailureDomain": fmt.Sprint("domain-", n%3), "Address": address,
		"CallerAddress": fmt.Sprintf("%s:%d", address, callerPort), "ReadyAddress": fmt.Sprintf("%s:%d", address, readyPort),
		"PeerPort": peerPort, "Seeds": d.controls, "Secret": secret,
		"Bounds": map[string]any{
			"Stop": "8s", "WeightsMillis": 10000, "RetryRatio": 0.2, "RetryWindow": "10s", "RetrySlack": 52,
			"ColdFactor": 1.5, "ColdSlack": 5,
		},
	})
	if err != nil {
		return err
	}
	d.gates = append(d.gates, p)
	return p.start()
}

// endBootstrap lets core processes that start from now on join what there is.
func (d *drill) endBootstrap() error {
	for n, p := range d.cores {
		again, err := newProcess(d.cfg, "next-"+p.name, "bluebellcore", d.coreSettings(n, false))
		if err != nil {
			return err
		}
		if err := os.Rename(again.settings, p.settings); err != nil {
			return err
		}
		if err := again.logFile.Close(); err != nil {
			return err
		}
	}
	return nil
}

// start starts an endpoint anew, as another incarnation.
func (b *backend) start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	target := []string{"app", "llm"}[b.number%2]
	weights := map[string]uint64{}
	if target == "llm" {
		weights["m0"] = 1
	}
	e, err := bluebellstub.Start(bluebellstub.Config{
		ID: fmt.Sprintf("i-%d-%d", b.number, b.starts), Target: target, FailureDomain: fmt.Sprint("domain-", b.number%3),
		Listen: b.listen, Advertise: b.advertised(), Weights: weights, ProcessingTime: 4 * time.Millisecond, StartUnixMillis: time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	if b.current != nil {
		b.past = append(b.past, b.current)
	}
	b.current = e
	return nil
}

// advertised is the address of the proxy: the third group for the fourth.
func (b *backend) advertised() string {
	var net, n int
	if _, err := fmt.Sscanf(b.listen, "127.%d.4.%d:9000", &net, &n); err != nil {
		return b.listen
	}
	return fmt.Sprintf("127.%d.3.%d:9000", net, n)
}

func (b *backend) endpoint() *bluebellstub.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// register sends heartbeats until ctx ends.
func (d *drill) register(ctx context.Context, b *backend) {
	client := &http.Client{}
	rng := rand.New(rand.NewPCG(d.cfg.Seed, uint64(1000+b.number)))
	for ctx.Err() == nil {
		controls := append([]string(nil), d.controls...)
		rng.Shuffle(len(controls), func(i, j int) { controls[i], controls[j] = controls[j], controls[i] })
		// The next heartbeat makes up for one that fails.
		_ = b.endpoint().Register(ctx, client, controls)
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

// serves waits until calls through every gate are served. While the system starts,
// the first version is declared.
func (d *drill) serves(ctx context.Context, within time.Duration, declare bool) bool {
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	until := time.Now().Add(within)
	row, n := 0, 0
	for row < servedInRow*len(d.callers.gates) && time.Now().Before(until) && ctx.Err() == nil {
		if declare && row == 0 {
			d.operator.declare(d.controls[n%len(d.controls)])
		}
		n++
		o := call(client, d.callers.gates[n%len(d.callers.gates)], fmt.Sprintf("probe-%v-%d", declare, n), readPath)
		d.callers.mu.Lock()
		d.callers.outcomes = append(d.callers.outcomes, o)
		d.callers.mu.Unlock()
		row++
		if o.status != http.StatusOK || !o.whole {
			row = 0
			time.Sleep(callPause)
		}
	}
	return row >= servedInRow*len(d.callers.gates)
}

// readBack reads the declaration at every process in the end.
func (d *drill) readBack() {
	reads := d.operator.reads
	for range 20 {
		for _, control := range d.controls {
			d.operator.read(control)
		}
		if d.operator.reads >= reads+len(d.controls) {
			return
		}
		time.Sleep(operatorPause)
	}
	d.findings = append(d.findings, "the declaration could not be read back")
}

func (d *drill) report() Report {
	var runs []run
	for _, b := range d.backends {
		for _, e := range append(b.past, b.endpoint()) {
			for _, r := range e.Runs() {
				runs = append(runs, run{endpoint: r.Call.Endpoint, Run: r})
			}
		}
	}
	for _, p := range append(append([]*process(nil), d.cores...), d.gates...) {
		if n := p.crashes(); n > 0 {
			d.findings = append(d.findings, fmt.Sprintf("%s ended %d times by itself", p.name, n))
		}
	}
	findings := append(d.findings, d.operator.findings...)
	return Report{
		Calls: len(d.callers.outcomes), Served: d.callers.served, Runs: len(runs), Faults: d.faults, Reads: d.operator.reads,
		Acknowledged: d.operator.acked, Findings: append(findings, checkCalls(d.callers.outcomes, runs)...),
	}
}

// end stops everything that the drill has started.
func (d *drill) end() {
	for _, p := range append(append([]*process(nil), d.cores...), d.gates...) {
		_ = p.stop(syscall.SIGKILL)
		_ = p.logFile.Close()
	}
	for _, way := range d.ways {
		way.close()
	}
	for _, b := range d.backends {
		b.endpoint().Stop()
		if b.proxy != nil {
			b.proxy.close()
		}
	}
}
