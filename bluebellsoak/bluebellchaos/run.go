package bluebellchaos

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/bluebellsoak/bluebellanswer"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	peerPort    = 7700
	controlPort = 8000
	callerPort  = 8005
	readyPort   = 8002
	// heartbeatInterval is the interval at which an endpoint renews its registration.
	heartbeatInterval = 300 * time.Millisecond
	// startTimeout bounds the time from the start of the processes until calls are served, and
	// recoveryTimeout the time from the end of the last fault.
	startTimeout    = 20 * time.Second
	recoveryTimeout = 15 * time.Second
	// servedPerGate is the number of calls for each gate that must be served in succession until
	// the deployment counts as serving.
	servedPerGate = 10
	// concurrentProbes is the number of these calls that are made at a time.
	concurrentProbes = 8
	// minCallers is the least number of callers. With more gates than that there is one for each, and all
	// together make as many calls.
	minCallers = 30
	// failureDomains is the number of failure domains, and outDomain the one that is taken out of service.
	// outTime is how long after recovery no call may reach it any longer.
	failureDomains = 3
	outDomain      = 2
	outTime        = 3 * time.Second
	// weightsBound is the time from the acknowledgement of a version of weights until calls no longer begin on
	// older ones, and weightsTimeout the time for it after recovery.
	weightsBound   = 10 * time.Second
	weightsTimeout = weightsBound + outTime
	// spareEach is such that the last 2 of spareEach endpoints are of spare targets.
	spareEach = 6
	// releaseTimeout bounds the wait for the address of an endpoint that has stopped.
	releaseTimeout = time.Second
	// settleTime is how long endpoints may still begin a late call after all callers have stopped.
	settleTime = time.Second
	secret     = "the secret of a drill on loopback"
	// firstNetwork is the second number of the first loopback network that a run may have, and networks
	// their number. networkGroup is the group of addresses of which one is held while a network is used.
	firstNetwork = 20
	networks     = 200
	networkGroup = 6
)

// Config configures Run.
type Config struct {
	// ProgramFolder holds the programs bluebellgate and bluebellcore. DataFolder receives
	// settings, data and logs; Run first deletes what is in it.
	ProgramFolder, DataFolder string
	// OtherProgramFolder, if not "", holds another build of the programs. Run then replaces processes by
	// those of the other build, and back, as one more kind of fault.
	OtherProgramFolder string
	// WithoutCopies leaves out the faults in which endpoints write responses once more and restart in series.
	// Builds before 24312b5 do not withstand both together.
	WithoutCopies           bool
	Seed                    uint64
	Duration                time.Duration
	Gates, Cores, Endpoints int
}

// Report is the result of Run.
type Report struct {
	// Calls counts the calls of all callers, Served the complete answers with status 200, and
	// Runs the calls that endpoints began.
	Calls, Served, Runs, Faults, DeclarationReads int
	// Returned counts the calls that endpoints began after an incarnation at the same address had refused them
	// since they were for another one.
	Returned int
	// AcknowledgedVersion is the latest version of the declaration that was acknowledged.
	AcknowledgedVersion uint64
	// Findings describes each violation of a guarantee.
	Findings []string
	// Events lists what was done to the deployment, in order, with the time of day.
	Events []string
}

func (r Report) String() string {
	return fmt.Sprintf("%d calls, %d served, %d runs, %d returned, %d faults, %d reads, version %d acknowledged, %d findings",
		r.Calls, r.Served, r.Runs, r.Returned, r.Faults, r.DeclarationReads, r.AcknowledgedVersion, len(r.Findings))
}

// backend is the address of an endpoint behind a proxy. Each start of the endpoint is a new
// incarnation of it.
type backend struct {
	proxy  *proxy
	listen string
	index  int
	target string
	// crashMu is held from a crash until the endpoint has started again, so that crashes of the
	// same backend do not overlap.
	crashMu sync.Mutex
	// cutOff is set while none of its registrations reaches a core process.
	cutOff atomic.Bool
	// copying counts the reasons for which the endpoint writes responses once more, and maxCalls is the field
	// of the same name of its configuration.
	copying  atomic.Int32
	maxCalls int
	// crashes, crashAfter and onCrash are the fields of the same names of the endpoint's configuration.
	crashes    func(call bluebellplatform.IncomingCall) bool
	crashAfter time.Duration
	onCrash    func()

	mu      sync.Mutex
	current *bluebellstub.Endpoint
	starts  int
	// crashed holds the earlier incarnations; their runs still count.
	crashed []*bluebellstub.Endpoint
}

// deployment is a running deployment with its callers, its operator and its faults.
type deployment struct {
	cfg Config
	rng *rand.Rand
	// network is the second number of the addresses, held by networkLock while the deployment runs.
	network     uint64
	networkLock net.Listener
	cores       []*process
	// links holds the proxies in front of the peer listeners of the core processes.
	links            []*proxy
	gates            []*process
	backends         []*backend
	controlAddresses []string
	callers          *callers
	operator         *operator
	timeline         *timeline
	// declarationDue is the time in which the gates must have declarations in force, 0 for the default.
	declarationDue time.Duration
	// otherPrograms holds the programs of every second process, if it is not "".
	otherPrograms string
	// varied is set if the versions of the declaration differ and some endpoints are of spare targets.
	varied bool
	// limitMemory is set if the processes know the smallest memory that they are specified for.
	limitMemory bool
	// coldRate is that of declarations.
	coldRate   float64
	faultCount int
	findings   []string
}

// address returns the loopback address with index n in a group: 1 for core processes, 2 for
// gates, 3 for the proxies in front of endpoints, 4 for endpoints, 5 for the peer listeners behind
// the proxies of core processes. Runs on one machine have different networks.
func (d *deployment) address(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.network, group, n+1)
}

// Run starts a deployment, injects faults for cfg.Duration and returns a report. An error means
// that the deployment could not be set up or served no calls; violations are in Report.Findings.
// The events of the report are also written to events.log in the data folder.
func Run(ctx context.Context, cfg Config) (Report, error) {
	d := newDeployment(cfg)
	d.varied = true
	prepare := func(*backend) error { return nil }
	if err := d.whileServing(ctx, prepare, func(ctx context.Context) { d.runUnderFaults(ctx) }); err != nil {
		return Report{}, err
	}
	report := d.report()
	return report, os.WriteFile(filepath.Join(cfg.DataFolder, "events.log"), []byte(strings.Join(report.Events, "\n")+"\n"), 0o600)
}

// whileServing starts the deployment, prepares its endpoints, calls f once calls are served, and
// stops the deployment.
func (d *deployment) whileServing(ctx context.Context, prepare func(b *backend) error, f func(ctx context.Context)) error {
	defer d.stopAll()
	if err := d.startAll(); err != nil {
		return err
	}
	var load conc.WaitGroup
	defer load.Wait()
	ctx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for _, b := range d.backends {
		if err := prepare(b); err != nil {
			return err
		}
		load.Go(func() { d.keepRegistered(ctx, b) })
	}
	if !d.waitUntilServing(ctx, startTimeout, true) {
		return fmt.Errorf("calls are not served within %v of the start; see the logs in %s", startTimeout, d.cfg.DataFolder)
	}
	if err := d.setLaterSettings(); err != nil {
		return err
	}
	f(ctx)
	return nil
}

// runUnderFaults makes calls and changes while it injects faults.
func (d *deployment) runUnderFaults(ctx context.Context) {
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var calls conc.WaitGroup
	callerCount := max(minCallers, d.cfg.Gates)
	for n := range callerCount {
		calls.Go(func() { d.callers.run(callCtx, n, d.cfg.Seed, meanCallPause*time.Duration(callerCount)/minCallers) })
	}
	calls.Go(func() { d.operator.run(callCtx, d.cfg.Seed) })
	outAcknowledged := make(chan bool, 1)
	calls.Go(func() { outAcknowledged <- d.operator.takeOut(callCtx, failureDomain(outDomain), d.cfg.Duration/2) })
	d.inject(ctx)
	d.killAllAfterAck(ctx)
	if !d.waitUntilServing(ctx, recoveryTimeout, false) {
		d.findings = append(d.findings, fmt.Sprintf("calls are not served within %v of the last fault", recoveryTimeout))
	}
	time.Sleep(outTime)
	outFrom := time.Now()
	time.Sleep(settleTime)
	stopCalls()
	calls.Wait()
	time.Sleep(settleTime)
	d.readDeclarationBack()
	d.awaitWeights()
	if <-outAcknowledged {
		d.checkOut(outFrom)
	}
}

// killAllAfterAck kills all processes right after the acknowledgement of a declaration and of a version
// of weights, and starts them again.
func (d *deployment) killAllAfterAck(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	changes := []func(address string) bool{d.operator.declare, d.operator.nameWeights}
	if d.rng.IntN(2) == 0 {
		slices.Reverse(changes)
	}
	for _, change := range changes {
		for n := 0; ctx.Err() == nil && !change(d.controlAddresses[n%len(d.controlAddresses)]); n++ {
			time.Sleep(meanOperatorPause)
		}
	}
	d.timeline.note("all processes killed")
	processes := append(slices.Clone(d.cores), d.gates...)
	for _, p := range processes {
		end := d.timeline.begin(bluebellanswer.GateInterrupted, p.name)
		defer func() { end(0) }()
		p.signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		if err := errors.Join(p.stop(syscall.SIGKILL), p.start()); err != nil {
			d.findings = append(d.findings, err.Error())
		}
	}
}

// awaitWeights waits until all engines have the acknowledged version of the weights, or a later one that
// was named. It adds a finding for engines that do not get it within weightsTimeout.
func (d *deployment) awaitWeights() {
	deadline := time.Now().Add(weightsTimeout)
	for _, b := range d.backends {
		for b.index%2 == 1 && b.endpoint().Weights(model) < d.operator.acknowledgedWeights {
			if time.Now().After(deadline) {
				d.findings = append(d.findings, fmt.Sprintf("%s has version %d of the weights %v after recovery, version %d was acknowledged",
					b.name(), b.endpoint().Weights(model), weightsTimeout, d.operator.acknowledgedWeights))
				break
			}
			time.Sleep(meanOperatorPause)
		}
	}
}

// checkOut adds a finding if calls reached endpoints of the failure domain that is out of service.
func (d *deployment) checkOut(from time.Time) {
	for _, b := range d.backends {
		if b.index%failureDomains != outDomain {
			continue
		}
		for _, at := range b.endpoint().ArrivalTimes() {
			if at.After(from) {
				d.findings = append(d.findings, fmt.Sprintf("%s got a call at %s although its failure domain is out of service", b.name(), at.Format("15:04:05.000")))
				break
			}
		}
	}
}

func newDeployment(cfg Config) *deployment {
	return &deployment{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 77)), timeline: &timeline{}}
}

// startAll starts all processes and endpoints with an empty data folder.
func (d *deployment) startAll() error {
	if err := os.RemoveAll(d.cfg.DataFolder); err != nil {
		return err
	}
	if err := os.MkdirAll(d.cfg.DataFolder, 0o700); err != nil {
		return err
	}
	if err := d.takeNetwork(); err != nil {
		return err
	}
	var addresses []string
	for n := range d.cfg.Cores {
		addresses = append(addresses, fmt.Sprintf("%s:%d", d.address(1, n), controlPort))
	}
	d.controlAddresses = addresses
	for n := range d.cfg.Cores {
		if err := d.addCore(n); err != nil {
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
		b := &backend{listen: fmt.Sprintf("%s:9000", d.address(4, n)), index: n, target: []string{"app", "llm"}[n%2]}
		if d.varied && n%spareEach >= spareEach-2 {
			b.target += spareSuffix
		}
		if err := b.start(); err != nil {
			return err
		}
		endpointProxy, err := newProxy(fmt.Sprintf("%s:9000", d.address(3, n)), b.listen)
		if err != nil {
			return err
		}
		b.proxy = endpointProxy
		d.backends = append(d.backends, b)
	}
	d.operator = newOperator(d.controlAddresses, declarations{seed: d.cfg.Seed, varied: d.varied, coldRate: d.coldRate})
	return nil
}

// coreSettings returns the settings of a core process at the first start of the deployment.
func (d *deployment) coreSettings(n int) map[string]any {
	address := d.address(1, n)
	return map[string]any{
		"Name": fmt.Sprint("core-", n), "FailureDomain": failureDomain(n), "Address": address,
		"ControlAddress": fmt.Sprintf("%s:%d", address, controlPort), "PeerPort": peerPort,
		"PeerListen": fmt.Sprintf("%s:%d", d.address(5, n), peerPort), "Seeds": d.controlAddresses, "Secret": secret,
		"DataFolder": fmt.Sprintf("%s/core-%d", d.cfg.DataFolder, n), "Bootstrap": true, "TolerateLostVMs": (d.cfg.Cores - 1) / 2,
		"Bounds": map[string]any{"OrderLeaseMillis": 3000, "WeightsMillis": weightsBound.Milliseconds()},
	}
}

// addCore starts a core process with a proxy in front of its peer listener.
func (d *deployment) addCore(n int) error {
	settings := d.coreSettings(n)
	if d.limitMemory {
		settings["MemoryMB"] = coreMemoryMB
	}
	p, err := newProcess(d.programs(n), fmt.Sprint("core-", n), "bluebellcore", d.controlAddresses[n], settings)
	if err != nil {
		return err
	}
	link, err := newProxy(fmt.Sprintf("%s:%d", d.address(1, n), peerPort), fmt.Sprintf("%s:%d", d.address(5, n), peerPort))
	if err != nil {
		return err
	}
	d.cores, d.links = append(d.cores, p), append(d.links, link)
	return p.start()
}

// programs returns the configuration with the folder of the programs of process n.
func (d *deployment) programs(n int) Config {
	cfg := d.cfg
	if n%2 == 1 && d.otherPrograms != "" {
		cfg.ProgramFolder = d.otherPrograms
	}
	return cfg
}

// stopTimeout returns how long a planned stop of a gate may take, which depends on the seed.
func (d *deployment) stopTimeout() time.Duration {
	return []time.Duration{8 * time.Second, 5 * time.Second, 3 * time.Second}[d.cfg.Seed%3]
}

// failureDomain returns the name of the failure domain of process or endpoint n.
func failureDomain(n int) string { return fmt.Sprint("domain-", n%failureDomains) }

// gateName returns the name of gate n.
func gateName(n int) string { return fmt.Sprint("gate-", n) }

// addGate starts a gate, the process that accepts callers' calls.
func (d *deployment) addGate(n int) error {
	address := d.address(2, n)
	d.callers.gates = append(d.callers.gates, fmt.Sprintf("%s:%d", address, callerPort))
	settings := map[string]any{
		"Name": gateName(n), "FailureDomain": failureDomain(n), "Address": address,
		"CallerAddress": fmt.Sprintf("%s:%d", address, callerPort), "ReadyAddress": fmt.Sprintf("%s:%d", address, readyPort),
		"PeerPort": peerPort, "Seeds": d.controlAddresses, "Secret": secret,
		"Bounds": map[string]any{
			"Stop": d.stopTimeout().String(), "WeightsMillis": weightsBound.Milliseconds(), "RetryRatio": 0.2, "RetryWindow": "10s", "RetrySlack": 52,
			"ColdFactor": coldFactor, "ColdSlack": coldSlack,
		},
	}
	if d.limitMemory {
		settings["MemoryMB"] = gateMemoryMB
	}
	if d.declarationDue > 0 {
		settings["Bounds"].(map[string]any)["DeclarationMillis"] = d.declarationDue.Milliseconds()
	}
	p, err := newProcess(d.programs(n), gateName(n), "bluebellgate", d.callers.gates[n], settings)
	if err != nil {
		return err
	}
	d.gates = append(d.gates, p)
	return p.start()
}

// setLaterSettings rewrites the settings of the core processes so that a process started from now on joins the
// existing deployment instead of bootstrapping a new one. Its seeds lack the process itself, as a list that is made
// while it is down. Programs of earlier releases do not bear that.
func (d *deployment) setLaterSettings() error {
	for n, p := range d.cores {
		if err := p.changeSettings("Bootstrap", false); err != nil {
			return err
		}
		if d.otherPrograms != "" || d.cfg.OtherProgramFolder != "" {
			continue
		}
		others := slices.DeleteFunc(slices.Clone(d.controlAddresses), func(a string) bool { return a == d.controlAddresses[n] })
		if err := p.changeSettings("Seeds", others); err != nil {
			return err
		}
	}
	return nil
}

// name returns the name by which the timeline knows the backend.
func (b *backend) name() string { return fmt.Sprint("endpoint-", b.index) }

// start starts the endpoint as a new incarnation.
func (b *backend) start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	weights := map[string]uint64{}
	if b.index%2 == 1 {
		weights[model] = initialWeights
	}
	e, err := startStub(bluebellstub.Config{
		ID: fmt.Sprintf("i-%d-%d", b.index, b.starts), Target: b.target, FailureDomain: failureDomain(b.index),
		Listen: b.listen, Advertise: b.advertisedAddress(), Weights: weights, ProcessingTime: 4 * time.Millisecond, StartUnixMillis: time.Now().UnixMilli(),
		Crashes: b.crashes, CrashAfter: b.crashAfter, OnCrash: b.onCrash, Copies: b.copies, MaxCalls: b.maxCalls,
	})
	if err != nil {
		return err
	}
	if b.current != nil {
		b.crashed = append(b.crashed, b.current)
	}
	b.current = e
	return nil
}

// startStub starts an endpoint at an address that its previous incarnation may have used until now.
// A process that is being started holds a copy of that listener between its fork and its exec, so
// the address may be in use for a moment longer.
func startStub(cfg bluebellstub.Config) (*bluebellstub.Endpoint, error) {
	deadline := time.Now().Add(releaseTimeout)
	for {
		e, err := bluebellstub.Start(cfg)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return e, err
		}
		time.Sleep(releaseTimeout / 100)
	}
}

// advertisedAddress returns the address of the proxy, which is in group 3 as the endpoint is in
// group 4.
func (b *backend) advertisedAddress() string {
	var network, n int
	if _, err := fmt.Sscanf(b.listen, "127.%d.4.%d:9000", &network, &n); err != nil {
		return b.listen
	}
	return fmt.Sprintf("127.%d.3.%d:9000", network, n)
}

// endpoint returns the current incarnation.
func (b *backend) endpoint() *bluebellstub.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// keepRegistered renews the registration of a backend every heartbeatInterval until ctx ends.
func (d *deployment) keepRegistered(ctx context.Context, b *backend) {
	client := &http.Client{}
	rng := rand.New(rand.NewPCG(d.cfg.Seed, uint64(1000+b.index)))
	for ctx.Err() == nil {
		addresses := append([]string(nil), d.controlAddresses...)
		rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		if !b.cutOff.Load() {
			// A failed registration needs no retry: the next heartbeat replaces it.
			_ = b.endpoint().Register(ctx, client, addresses)
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// waitUntilServing makes rounds of a call through each gate until all calls of servedPerGate rounds are
// served in succession, and reports whether that happens within timeout. With declare set, it also sends
// a declaration at first and after each round in which a call is not served.
func (d *deployment) waitUntilServing(ctx context.Context, timeout time.Duration, declare bool) bool {
	deadline := time.Now().Add(timeout)
	consecutive := 0
	for n := 0; consecutive < servedPerGate && time.Now().Before(deadline) && ctx.Err() == nil; n++ {
		if declare && consecutive == 0 {
			d.operator.declare(d.controlAddresses[n%len(d.controlAddresses)])
		}
		var failed atomic.Bool
		probes := pool.New().WithMaxGoroutines(concurrentProbes)
		for gate := range d.callers.gates {
			probes.Go(func() {
				o := d.probe(ctx, gate, fmt.Sprintf("probe-%v-%d-%d", declare, n, gate))
				d.callers.mu.Lock()
				d.callers.outcomes = append(d.callers.outcomes, o)
				d.callers.mu.Unlock()
				if o.status != http.StatusOK || !o.complete {
					failed.Store(true)
				}
			})
		}
		probes.Wait()
		consecutive++
		if failed.Load() {
			consecutive = 0
			time.Sleep(meanCallPause)
		}
	}
	return consecutive >= servedPerGate
}

// probe makes an idempotent call on a new connection.
func (d *deployment) probe(ctx context.Context, gate int, id string) outcome {
	o := outcome{id: id, gate: gate, path: readPath + id + "?n=1", requestBody: "body of " + id}
	r, err := newRequest(d.callers.gates[gate], o, usualBlocks)
	if err != nil {
		return o
	}
	conn, err := connect(ctx, d.callers.gates[gate])
	if err != nil {
		return o
	}
	defer conn.close()
	conn.do(r, oneWriteBytes, &o)
	return o
}

// readDeclarationBack reads the declaration from the core processes until it has got as many
// answers as there are core processes.
func (d *deployment) readDeclarationBack() {
	reads := d.operator.reads
	for range 20 {
		for _, address := range d.controlAddresses {
			d.operator.read(address)
		}
		if d.operator.reads >= reads+len(d.controlAddresses) {
			return
		}
		time.Sleep(meanOperatorPause)
	}
	d.findings = append(d.findings, "the declaration could not be read back")
}

// report runs the checks and returns the result.
func (d *deployment) report() Report {
	var executions []execution
	returned := 0
	for _, b := range d.backends {
		incarnations := append(b.crashed, b.endpoint())
		misdirected := map[string]bool{}
		for _, e := range incarnations {
			for _, id := range e.Misdirected() {
				misdirected[id] = true
			}
		}
		for _, e := range incarnations {
			for _, r := range e.Runs() {
				if misdirected[r.Call.CallID] {
					returned++
				}
				executions = append(executions, execution{endpoint: r.Call.Endpoint, backend: b.name(), Run: r})
			}
			d.findings = append(d.findings, checkOrders(b.name(), e.Orders())...)
		}
	}
	for _, p := range append(append([]*process(nil), d.cores...), d.gates...) {
		if n := p.crashes(); n > 0 {
			d.findings = append(d.findings, fmt.Sprintf("%s exited unexpectedly %d times", p.name, n))
		}
		if line := p.panicLine(); line != "" {
			d.findings = append(d.findings, fmt.Sprintf("%s logged: %s", p.name, line))
		}
	}
	findings := append(d.findings, d.operator.findings...)
	findings = append(findings, checkAnswered(d.callers.outcomes, executions, d.timeline, d.stopTimeout())...)
	return Report{
		Calls: len(d.callers.outcomes), Served: d.callers.served, Runs: len(executions), Returned: returned, Faults: d.faultCount, DeclarationReads: d.operator.reads,
		AcknowledgedVersion: d.operator.acknowledgedVersion, Findings: append(findings, checkCalls(d.callers.outcomes, executions)...), Events: d.timeline.lines(),
	}
}

// takeNetwork takes a network that no other run on this machine uses. It is held by a listener.
func (d *deployment) takeNetwork() error {
	for n := range uint64(networks) {
		d.network = firstNetwork + (d.cfg.Seed+n)%networks
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.address(networkGroup, 0), peerPort))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return err
		}
		if d.isUsed() {
			_ = listener.Close()
			continue
		}
		d.networkLock = listener
		return nil
	}
	return errors.New("all networks are in use")
}

// isUsed reports whether another program listens at the address of the first core process.
func (d *deployment) isUsed() bool {
	for _, port := range []int{peerPort, controlPort} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.address(1, 0), port))
		if err != nil {
			return true
		}
		_ = listener.Close()
	}
	return false
}

// stopAll stops all processes, proxies and endpoints.
func (d *deployment) stopAll() {
	for _, p := range append(append([]*process(nil), d.cores...), d.gates...) {
		_ = p.stop(syscall.SIGKILL)
		_ = p.logFile.Close()
	}
	for _, link := range d.links {
		link.close()
	}
	for _, b := range d.backends {
		b.endpoint().Stop()
		if b.proxy != nil {
			b.proxy.close()
		}
	}
	if d.networkLock != nil {
		_ = d.networkLock.Close()
	}
}
