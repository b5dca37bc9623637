package bluebellchaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/bluebellsoak/bluebellanswer"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// meanFaultGap is the mean time between the beginnings of two faults. It is shorter than a fault
	// usually lasts, so that faults overlap.
	meanFaultGap = 600 * time.Millisecond
	// coreCatchUpTime is how long a core process still counts as lost after the end of its fault.
	coreCatchUpTime = 4 * time.Second
	// burstEach is such that 1 of burstEach faults begins together with the next one.
	burstEach = 4
	// silentTime is the mean time for which a sound endpoint may be silent.
	silentTime = time.Second
	// allEach is such that 1 of allEach silences are of all endpoints.
	allEach = 3
	// startingTime bounds the time after its start at which a process is stopped again, and signalGap the
	// time between signals of a series.
	startingTime = 100 * time.Millisecond
	signalGap    = 40 * time.Millisecond
	// slowedPause is how long a process that is slowed is suspended at a time.
	slowedPause = 20 * time.Millisecond
	// drainTime is how long an endpoint that leaves serves calls after it has said so.
	drainTime = 2500 * time.Millisecond
	// leaveAttempts is how many core processes are told at most that an endpoint is gone.
	leaveAttempts = 4
	// turnGates bounds the gates that are restarted in turn, and turnHold is how long each is down.
	turnGates = 4
	turnHold  = 50 * time.Millisecond
	// staleConnectionTime is how long after an impairment gates may still use connections that have
	// become silent for good.
	staleConnectionTime = 3 * time.Second
	// meanRestartGap is the mean time between two restarts of an endpoint in a series, and maxDownTime bounds
	// the time for which it is down. maxUnregisteredTime bounds the time from its start until it registers.
	meanRestartGap      = 300 * time.Millisecond
	maxDownTime         = 20 * time.Millisecond
	maxUnregisteredTime = 100 * time.Millisecond
	// copiesFault and seriesFault are the names of the faults that Config.WithoutCopies leaves out.
	copiesFault = "endpoints write responses once more"
	seriesFault = "endpoints restart in series"
)

// fault is one kind of fault that inject draws.
type fault struct {
	name string
	// affectsCore marks the faults of core processes. They do not overlap, since the deployment
	// tolerates only one lost core process at a time.
	affectsCore bool
	// run injects the fault for the time hold and returns when it is healed. n selects the process,
	// endpoint or proxy and, where there are several, the way in which it fails.
	run func(d *deployment, n int, hold time.Duration) error
}

var faultKinds = []fault{
	{"gate killed", false, func(d *deployment, n int, hold time.Duration) error { return d.restartGate(n, syscall.SIGKILL, hold) }},
	{"gate stopped", false, func(d *deployment, n int, hold time.Duration) error { return d.restartGate(n, syscall.SIGTERM, hold) }},
	{"gate paused", false, func(d *deployment, n int, hold time.Duration) error { return d.pauseGate(n, hold) }},
	{"gate slowed", false, func(d *deployment, n int, hold time.Duration) error { return slowDown(d.gate(n), hold) }},
	{"gate reloads", false, func(d *deployment, n int, _ time.Duration) error { d.gate(n).signal(syscall.SIGHUP); return nil }},
	{"endpoint crashes", false, crashEndpoint},
	{"endpoint misbehaves", false, makeEndpointMisbehave},
	{"endpoint connections impaired", false, impairEndpoint},
	{"gate stopped while it starts", false, stopStartingGate},
	{"gate stopped by several signals", false, stopGateRepeatedly},
	{"gates restarted in turn", false, restartGatesInTurn},
	{"gate reloads in series", false, func(d *deployment, n int, hold time.Duration) error { return d.reloadRepeatedly(d.gate(n), n, hold) }},
	{"core reloads in series", false, func(d *deployment, n int, hold time.Duration) error { return d.reloadRepeatedly(d.core(n), n, hold) }},
	{"endpoints silent for a second", false, silenceEndpoints},
	{"endpoints pause in their answers", false, pauseAnswers},
	{"endpoint leaves", false, removeEndpoint},
	{copiesFault, false, copyResponses},
	{seriesFault, false, restartEndpointsRepeatedly},
	{"core killed", true, func(d *deployment, n int, hold time.Duration) error { return restart(d.core(n), syscall.SIGKILL, hold) }},
	{"core stopped", true, func(d *deployment, n int, hold time.Duration) error { return restart(d.core(n), syscall.SIGTERM, hold) }},
	{"core paused", true, func(d *deployment, n int, hold time.Duration) error { return pause(d.core(n), hold) }},
	{"core disk lost", true, loseCoreDisk},
	{"core connections impaired", true, func(d *deployment, n int, hold time.Duration) error { return impair(d.links[n%len(d.links)], n, hold) }},
	{"all cores killed", true, killCores},
}

// replacements are the kinds of faults that replace a process by one of the other build, in a planned stop.
var replacements = []fault{
	{"gate replaced by the other build", false, func(d *deployment, n int, hold time.Duration) error {
		d.gate(n).changeBuild(d.cfg)
		return d.restartGate(n, syscall.SIGTERM, hold/4)
	}},
	{"core replaced by the other build", true, func(d *deployment, n int, hold time.Duration) error {
		d.core(n).changeBuild(d.cfg)
		return restart(d.core(n), syscall.SIGTERM, hold/4)
	}},
}

// kindsOfFaults returns the kinds of faults that a run draws from. Replacements are as frequent as all others.
func (d *deployment) kindsOfFaults() []fault {
	kinds := slices.Clone(faultKinds)
	if d.cfg.WithoutCopies {
		kinds = slices.DeleteFunc(kinds, func(f fault) bool { return f.name == copiesFault || f.name == seriesFault })
	}
	if d.cfg.OtherProgramFolder == "" {
		return kinds
	}
	for range len(kinds) / len(replacements) {
		kinds = append(kinds, replacements...)
	}
	return kinds
}

// gate and core return the process that n selects.
func (d *deployment) gate(n int) *process { return d.gates[n%len(d.gates)] }
func (d *deployment) core(n int) *process { return d.cores[n%len(d.cores)] }

// inject draws and starts faults until cfg.Duration is over, then waits until all are healed.
func (d *deployment) inject(ctx context.Context) {
	var active conc.WaitGroup
	nextCoreFault := time.Now()
	errs := make(chan error, 1000)
	kinds := d.kindsOfFaults()
	for deadline := time.Now().Add(d.cfg.Duration); time.Now().Before(deadline) && ctx.Err() == nil; {
		f, n := kinds[d.rng.IntN(len(kinds))], d.rng.IntN(1000)
		hold := time.Duration(d.rng.Int64N(int64(2500*time.Millisecond))) + 100*time.Millisecond
		gap := time.Duration(d.rng.Int64N(int64(2 * meanFaultGap)))
		if f.affectsCore && time.Now().Before(nextCoreFault) {
			time.Sleep(gap / 4)
			continue
		}
		if f.affectsCore {
			nextCoreFault = time.Now().Add(hold + coreCatchUpTime)
		}
		d.faultCount++
		d.timeline.note("%s, number %d, for %v", f.name, n, hold.Round(time.Millisecond))
		active.Go(func() {
			if err := f.run(d, n, hold); err != nil {
				errs <- fmt.Errorf("%s: %w", f.name, err)
			}
		})
		if d.rng.IntN(burstEach) > 0 {
			time.Sleep(gap)
		}
	}
	active.Wait()
	close(errs)
	for err := range errs {
		d.findings = append(d.findings, err.Error())
	}
}

// restart stops a process by a signal and starts it again after the time hold.
func restart(p *process, s os.Signal, hold time.Duration) error {
	if err := p.stop(s); err != nil {
		return err
	}
	time.Sleep(hold)
	return p.start()
}

// pause suspends a process for the time hold.
func pause(p *process, hold time.Duration) error {
	p.signal(syscall.SIGSTOP)
	time.Sleep(hold)
	p.signal(syscall.SIGCONT)
	return nil
}

// restartGate restarts a gate by a signal.
func (d *deployment) restartGate(n int, s os.Signal, hold time.Duration) error {
	p := d.gate(n)
	effect := bluebellanswer.GateInterrupted
	if s == syscall.SIGTERM {
		effect = bluebellanswer.GateStopping
	}
	end := d.timeline.begin(effect, p.name)
	err := p.stop(s)
	end(0)
	if err != nil {
		return err
	}
	time.Sleep(hold)
	return p.start()
}

// stopStartingGate restarts a gate and stops it again while it starts.
func stopStartingGate(d *deployment, n int, hold time.Duration) error {
	if err := d.restartGate(n, syscall.SIGTERM, turnHold); err != nil {
		return err
	}
	time.Sleep(hold % startingTime)
	return d.restartGate(n, syscall.SIGTERM, hold/2)
}

// stopGateRepeatedly sends further signals to a gate that stops.
func stopGateRepeatedly(d *deployment, n int, hold time.Duration) error {
	p := d.gate(n)
	var signals conc.WaitGroup
	defer signals.Wait()
	stopped := make(chan struct{})
	signals.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			case <-time.After(hold/4 + signalGap):
			}
			p.signalStopping([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT}[(n+i)%3])
		}
	})
	err := d.restartGate(n, syscall.SIGTERM, hold/2)
	close(stopped)
	return err
}

// restartGatesInTurn restarts one gate after the other, as an update does.
func restartGatesInTurn(d *deployment, n int, _ time.Duration) error {
	for i := range min(len(d.gates), turnGates) {
		if err := d.restartGate(n+i, syscall.SIGTERM, turnHold); err != nil {
			return err
		}
	}
	return nil
}

// reloadRepeatedly changes the order of the seeds in the settings of a process and sends it SIGHUP, again
// and again for the time hold.
func (d *deployment) reloadRepeatedly(p *process, n int, hold time.Duration) error {
	rng := rand.New(rand.NewPCG(d.cfg.Seed, uint64(n)))
	for deadline := time.Now().Add(hold); time.Now().Before(deadline); {
		seeds := slices.Clone(d.controlAddresses)
		rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
		if err := p.changeSettings("Seeds", seeds); err != nil {
			return err
		}
		p.signalServing(syscall.SIGHUP)
		time.Sleep(time.Duration(rng.Int64N(int64(2 * signalGap))))
	}
	return nil
}

// slowDown suspends a process for short times again and again for the time hold, and so leaves it about
// a third of its processor time.
func slowDown(p *process, hold time.Duration) error {
	for deadline := time.Now().Add(hold); time.Now().Before(deadline); {
		if err := pause(p, slowedPause); err != nil {
			return err
		}
		time.Sleep(slowedPause / 2)
	}
	return nil
}

// silenceEndpoints holds the data of all connections to an endpoint, or to all of them, back for about
// silentTime.
func silenceEndpoints(d *deployment, n int, hold time.Duration) error {
	for _, b := range d.oneOrAll(n) {
		b.proxy.setMode(modeHold)
		defer b.proxy.setMode(modePass)
	}
	time.Sleep(silentTime/2 + hold%silentTime)
	return nil
}

// pauseAnswers makes an endpoint, or all of them, pause in each answer, for the time hold.
func pauseAnswers(d *deployment, n int, hold time.Duration) error {
	for _, b := range d.oneOrAll(n) {
		e := b.endpoint()
		e.SetBehaviour(bluebellstub.Pausing)
		defer e.SetBehaviour(bluebellstub.Normal)
	}
	time.Sleep(hold)
	return nil
}

// oneOrAll returns the endpoint that n selects, or all of them.
func (d *deployment) oneOrAll(n int) []*backend {
	if n%allEach == 0 {
		return d.backends
	}
	i := n % len(d.backends)
	return d.backends[i : i+1]
}

// removeEndpoint lets an endpoint leave, stops it once it is drained and starts its next incarnation after the time
// hold. The endpoint says so in its registrations and answers, or only in its last message to the core.
func removeEndpoint(d *deployment, n int, hold time.Duration) error {
	b := d.backends[n%len(d.backends)]
	b.crashMu.Lock()
	defer b.crashMu.Unlock()
	if n%2 == 0 {
		b.endpoint().Drain()
		b.endpoint().Say(bluebellplatform.LeavingHeader("1"))
	} else {
		b.cutOff.Store(true)
		defer b.cutOff.Store(false)
		for i := range leaveAttempts {
			if d.reportState(context.Background(), b, bluebellfleet.Gone, d.controlAddresses[(n+i)%len(d.controlAddresses)]) == nil {
				break
			}
		}
	}
	time.Sleep(drainTime)
	for deadline := time.Now().Add(clientTimeout); b.endpoint().ActiveCalls() > 0 && time.Now().Before(deadline); {
		time.Sleep(holdPollInterval)
	}
	end := d.timeline.begin(bluebellanswer.EndpointInterrupted, b.name())
	defer end(0)
	b.endpoint().Stop()
	time.Sleep(hold)
	return b.start()
}

// pauseGate suspends a gate for the time hold.
func (d *deployment) pauseGate(n int, hold time.Duration) error {
	p := d.gate(n)
	end := d.timeline.begin(bluebellanswer.GateInterrupted, p.name)
	defer end(0)
	return pause(p, hold)
}

// impairEndpoint impairs the connections to an endpoint. Connections whose data was dropped stay silent
// until gates give them up.
func impairEndpoint(d *deployment, n int, hold time.Duration) error {
	b := d.backends[n%len(d.backends)]
	end := d.timeline.begin(bluebellanswer.EndpointInterrupted, b.name())
	defer end(staleConnectionTime)
	return impair(b.proxy, n, hold)
}

// impair sets a proxy to the mode that n selects, for the time hold.
func impair(p *proxy, n int, hold time.Duration) error {
	p.setMode([]mode{modeDelay, modeDropAll, modeDropAnswers, modeReset}[n%4])
	time.Sleep(hold)
	p.setMode(modePass)
	return nil
}

// crashEndpoint stops an endpoint and starts its next incarnation after the time hold.
func crashEndpoint(d *deployment, n int, hold time.Duration) error {
	b := d.backends[n%len(d.backends)]
	b.crashMu.Lock()
	defer b.crashMu.Unlock()
	end := d.timeline.begin(bluebellanswer.EndpointInterrupted, b.name())
	defer end(0)
	b.endpoint().Stop()
	time.Sleep(hold)
	return b.start()
}

// copyResponses makes an endpoint, or all of them, write the response to each call on a connection once more
// when the next call arrives there, for the time hold. It goes on when the endpoint restarts.
func copyResponses(d *deployment, n int, hold time.Duration) error {
	for _, b := range d.oneOrAll(n) {
		b.copying.Add(1)
		defer b.copying.Add(-1)
	}
	time.Sleep(hold)
	return nil
}

// copies reports whether a fault makes the endpoint write responses once more.
func (b *backend) copies() bool { return b.copying.Load() > 0 }

// restartEndpointsRepeatedly restarts an endpoint, or each of them, under new IDs for the time hold.
func restartEndpointsRepeatedly(d *deployment, n int, hold time.Duration) error {
	until := time.Now().Add(hold)
	restarts := pool.New().WithErrors()
	for _, b := range d.oneOrAll(n) {
		restarts.Go(func() error {
			b.crashMu.Lock()
			defer b.crashMu.Unlock()
			return d.restartRepeatedly(context.Background(), b, rand.New(rand.NewPCG(d.cfg.Seed, uint64(1000*n+b.index))), until)
		})
	}
	return restarts.Wait()
}

// restartRepeatedly restarts the endpoint of a backend under new IDs until a time.
func (d *deployment) restartRepeatedly(ctx context.Context, b *backend, rng *rand.Rand, until time.Time) error {
	for time.Now().Before(until) {
		end := d.timeline.begin(bluebellanswer.EndpointInterrupted, b.name())
		b.endpoint().Stop()
		time.Sleep(time.Duration(rng.Int64N(int64(maxDownTime))))
		err := b.start()
		end(0)
		if err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.Int64N(int64(maxUnregisteredTime))))
		// A failed registration needs no retry: keepRegistered repeats it.
		_ = b.endpoint().Register(ctx, http.DefaultClient, d.controlAddresses)
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanRestartGap))))
	}
	return nil
}

// makeEndpointMisbehave gives an endpoint the faulty behaviour that n selects, for the time hold.
func makeEndpointMisbehave(d *deployment, n int, hold time.Duration) error {
	b := d.backends[n%len(d.backends)]
	e := b.endpoint()
	behaviours := []bluebellstub.Behaviour{
		bluebellstub.Unresponsive, bluebellstub.Declining, bluebellstub.Failing, bluebellstub.Truncating,
		bluebellstub.Unsealed, bluebellstub.Duplicating, bluebellstub.Unavailable, bluebellstub.Unframed,
	}
	// Programs of earlier releases pass odd heads on.
	if d.cfg.OtherProgramFolder == "" {
		behaviours = append(behaviours, bluebellstub.OddHead, bluebellstub.ResettingEarly)
	}
	behaviour := behaviours[n%len(behaviours)]
	if behaviour == bluebellstub.Truncating || behaviour == bluebellstub.OddHead || behaviour == bluebellstub.ResettingEarly {
		end := d.timeline.begin(bluebellanswer.EndpointInterrupted, b.name())
		defer end(0)
	}
	e.SetBehaviour(behaviour)
	time.Sleep(hold)
	e.SetBehaviour(bluebellstub.Normal)
	return nil
}

// loseCoreDisk kills a core process, deletes its data folder and starts it again after the time hold.
func loseCoreDisk(d *deployment, n int, hold time.Duration) error {
	p := d.core(n)
	if err := p.stop(syscall.SIGKILL); err != nil {
		return err
	}
	if err := os.RemoveAll(p.data); err != nil {
		return err
	}
	time.Sleep(hold)
	return p.start()
}

// killCores kills all core processes at once and starts them again.
func killCores(d *deployment, _ int, _ time.Duration) error {
	for _, p := range d.cores {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range d.cores {
		if err := p.stop(syscall.SIGKILL); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}
