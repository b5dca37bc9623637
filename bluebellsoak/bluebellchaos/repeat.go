package bluebellchaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// repeatedID begins the IDs of the attempts of the repeated call, and soundID those of sound calls.
	repeatedID, soundID = "repeated-", "sound-"
	// popularEach is such that 1 of popularEach sound calls is the same call as others.
	popularEach = 4
	// downTime is how long an endpoint is down after a crash.
	downTime = 3 * time.Second
	// otherCrashGap is the mean time between crashes of endpoints for other reasons, and otherDownTime
	// how long they are down.
	otherCrashGap = 1200 * time.Millisecond
	otherDownTime = 1500 * time.Millisecond
	// calmTime is how long before the end of a run its disruptions end.
	calmTime = 11 * time.Second
)

// Repeated describes a call that crashes each endpoint that runs it, and what happens beside it.
type Repeated struct {
	// Path is the prefix of the route.
	Path string
	// Work is how long the call runs before it crashes its endpoint, 0 for until the header of the answer.
	Work time.Duration
	// Interval is the mean time between two attempts of its callers.
	Interval time.Duration
	// Disruption is what happens beside the call. It may be nil.
	Disruption *Disruption
	// OtherProgramFolder holds the programs of every second process, if it is not "".
	OtherProgramFolder string
}

// Disruption is something that happens to a deployment again and again until calmTime before the end of a
// run.
type Disruption struct {
	Name string
	// excuses is set if it disturbs gates or core processes, which then need time to hear of crashes.
	excuses bool
	run     func(ctx context.Context, r *repeatRun) error
}

// Disruptions lists the disruptions that there are.
var Disruptions = []Disruption{
	{"endpoints crash", false, func(ctx context.Context, r *repeatRun) error { return r.crashOthers(ctx, 0) }},
	{"endpoints crash together", false, func(ctx context.Context, r *repeatRun) error { return r.crashOthers(ctx, 1) }},
	{"connections are reset", false, func(ctx context.Context, r *repeatRun) error { return r.resetConnections(ctx) }},
	{"core processes are killed", true, func(ctx context.Context, r *repeatRun) error {
		return r.restartInTurn(ctx, r.cores, syscall.SIGKILL, coreCatchUpTime)
	}},
	{"core processes are paused", true, func(ctx context.Context, r *repeatRun) error { return r.pauseCores(ctx) }},
	{"gates are killed", true, func(ctx context.Context, r *repeatRun) error {
		return r.restartInTurn(ctx, r.gates, syscall.SIGKILL, time.Second)
	}},
	{"gates are stopped", true, func(ctx context.Context, r *repeatRun) error {
		return r.restartInTurn(ctx, r.gates, syscall.SIGTERM, time.Second)
	}},
}

// RepeatedOf returns the repeated call, and what happens beside it, that a seed selects.
func RepeatedOf(seed uint64) Repeated {
	rng := rand.New(rand.NewPCG(seed, 5))
	r := Repeated{
		Path:     []string{oncePath, readPath, resumablePath, streamPath}[rng.IntN(4)],
		Work:     []time.Duration{0, 30 * time.Millisecond, 150 * time.Millisecond, 900 * time.Millisecond}[rng.IntN(4)],
		Interval: []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second}[rng.IntN(3)],
	}
	if n := rng.IntN(len(Disruptions) + 1); n < len(Disruptions) {
		r.Disruption = &Disruptions[n]
	}
	return r
}

func (r Repeated) String() string {
	beside := "nothing"
	if r.Disruption != nil {
		beside = r.Disruption.Name
	}
	return fmt.Sprintf("%s for %v, each %v, beside: %s", r.Path, r.Work, r.Interval, beside)
}

// CoreCutOff cuts all core processes off from all other processes, so that each gate decides by itself.
var CoreCutOff = Disruption{"core processes are cut off", true, func(ctx context.Context, r *repeatRun) error {
	for _, link := range r.links {
		link.setMode(modeDropAll)
		defer link.setMode(modePass)
	}
	<-ctx.Done()
	return nil
}}

// RepeatReport is the result of RunRepeated.
type RepeatReport struct {
	// Crashes holds the times at which the repeated call crashed endpoints.
	Crashes []time.Time
	// Reached holds the attempts that reached endpoints, by time.
	Reached []ReachedAttempt
	// CalmFrom is when a disruption that excuses processes ended, the zero time if there was none.
	CalmFrom time.Time
	// Attempts counts the attempts of callers.
	Attempts int
	// Sound holds the sound calls of the same customer on the same route.
	Sound []SoundCall
	// Untrue lists the attempts that were refused as not run, but reached an endpoint.
	Untrue   []string
	Findings []string
}

// ReachedAttempt is an attempt that reached an endpoint.
type ReachedAttempt struct {
	At time.Time
	ID string
}

const (
	// contactTime is within what time of the third crash all processes have to know the call.
	contactTime = 3 * time.Second
	// maxLate is how many attempts may reach endpoints later.
	maxLate = 3
	// minServedShare is the share of the sound calls made from settledTime after the third crash that
	// have to be served, as a share of those before the first one.
	minServedShare = 0.5
	settledTime    = 2 * contactTime
)

// Violations describes each violation of a guarantee.
func (r RepeatReport) Violations() []string {
	broken := slices.Clone(r.Findings)
	if len(r.Untrue) > 0 {
		broken = append(broken, fmt.Sprintf("attempts were refused as not run, but reached an endpoint: %v", r.Untrue))
	}
	if late := r.Late(); len(late) > maxLate {
		broken = append(broken, fmt.Sprintf("%d attempts reached endpoints later than %v after the third crash, %d may", len(late), contactTime, maxLate))
	}
	if before, after := r.servedShares(); after < minServedShare*before {
		broken = append(broken, fmt.Sprintf("%.2f of the sound calls are served after the third crash, %.2f before the first", after, before))
	}
	return broken
}

// servedShares returns the share of sound calls that were served before the first crash and from
// settledTime after the third.
func (r RepeatReport) servedShares() (before, after float64) {
	if len(r.Crashes) < 3 {
		return 0, 1
	}
	var calls, served [2]float64
	for _, s := range r.Sound {
		period := 0
		switch {
		case s.At.After(r.lateFrom().Add(settledTime - contactTime)):
			period = 1
		case !s.At.Before(r.Crashes[0]):
			continue
		}
		calls[period]++
		if s.Served {
			served[period]++
		}
	}
	return served[0] / max(calls[0], 1), served[1] / max(calls[1], 1)
}

// lateFrom is when all processes have to know the call: contactTime after the third crash, and after the
// end of the disruptions that excuse processes.
func (r RepeatReport) lateFrom() time.Time {
	from := r.Crashes[2]
	if r.CalmFrom.After(from) {
		from = r.CalmFrom
	}
	return from.Add(contactTime)
}

func (r RepeatReport) String() string {
	before, after := r.servedShares()
	return fmt.Sprintf("%d attempts, %d reached endpoints, %d late, %d crashes, sound calls served %.2f before and %.2f after",
		r.Attempts, len(r.Reached), len(r.Late()), len(r.Crashes), before, after)
}

// Late returns the IDs of the attempts that reached endpoints although all processes had to know the call.
func (r RepeatReport) Late() []string {
	if len(r.Crashes) < 3 {
		return nil
	}
	var late []string
	for _, reached := range r.Reached {
		if reached.At.After(r.lateFrom()) && !slices.Contains(late, reached.ID) {
			late = append(late, reached.ID)
		}
	}
	return late
}

// repeatRun is a deployment with callers that repeat a call that crashes endpoints.
type repeatRun struct {
	*deployment
	repeated Repeated

	mu       sync.Mutex
	report   RepeatReport
	refused  map[string]bool
	restarts conc.WaitGroup
}

// RunRepeated runs a deployment for cfg.Duration in which callers repeat one call, each time with a new ID
// and at a random gate, that crashes each endpoint that runs it. Sound calls of the same customer use the
// same route.
func RunRepeated(ctx context.Context, cfg Config, repeated Repeated) (RepeatReport, error) {
	r := &repeatRun{deployment: newDeployment(cfg), repeated: repeated, refused: map[string]bool{}}
	r.otherPrograms = repeated.OtherProgramFolder
	err := r.whileServing(ctx, r.makeCrashable, func(ctx context.Context) {
		r.run(ctx)
		r.restarts.Wait()
	})
	if err != nil {
		return RepeatReport{}, err
	}
	return r.result(), nil
}

// makeCrashable replaces the endpoint of a backend by one that the repeated call crashes, and that refuses
// connections until it starts again.
func (r *repeatRun) makeCrashable(b *backend) error {
	b.crashes = func(call bluebellplatform.IncomingCall) bool { return strings.HasPrefix(call.CallID, repeatedID) }
	b.crashAfter = r.repeated.Work
	b.onCrash = func() {
		r.mu.Lock()
		r.report.Crashes = append(r.report.Crashes, time.Now())
		r.mu.Unlock()
		r.restarts.Go(func() { r.down(b, downTime) })
	}
	b.endpoint().Stop()
	return b.start()
}

// down ends an endpoint, unless it is down, and starts its next incarnation after a time.
func (r *repeatRun) down(b *backend, hold time.Duration) {
	if !b.crashMu.TryLock() {
		return
	}
	defer b.crashMu.Unlock()
	b.proxy.refuse()
	b.proxy.setMode(modeReset)
	b.endpoint().Stop()
	time.Sleep(hold)
	b.proxy.setMode(modePass)
	r.note(b.start())
	r.note(b.proxy.listenAgain())
}

// note adds an error to the findings.
func (r *repeatRun) note(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, err.Error())
}

// run makes calls for the configured time, beside the disruption.
func (r *repeatRun) run(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, r.cfg.Duration)
	defer stop()
	var running conc.WaitGroup
	defer running.Wait()
	running.Go(func() { r.callAtIntervals(ctx, soundInterval, 1, r.makeSoundCall) })
	time.Sleep(poisonWarmup)
	running.Go(func() { r.callAtIntervals(ctx, r.repeated.Interval, 2, r.makeRepeatedCall) })
	if d := r.repeated.Disruption; d != nil {
		running.Go(func() {
			disrupted, calm := context.WithTimeout(ctx, r.cfg.Duration-poisonWarmup-calmTime)
			defer calm()
			r.note(d.run(disrupted, r))
			if d.excuses {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.report.CalmFrom = time.Now()
			}
		})
	}
}

// callAtIntervals calls f through random gates at random intervals until ctx ends.
func (r *repeatRun) callAtIntervals(ctx context.Context, mean time.Duration, stream uint64, f func(client *http.Client, gate string, n int)) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, stream))
	client := &http.Client{Timeout: clientTimeout}
	defer client.CloseIdleConnections()
	var calls conc.WaitGroup
	defer calls.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		gate := r.callers.gates[rng.IntN(len(r.callers.gates))]
		calls.Go(func() { f(client, gate, n) })
		time.Sleep(time.Duration(rng.Int64N(int64(2 * mean))))
	}
}

func (r *repeatRun) makeSoundCall(client *http.Client, gate string, n int) {
	id, subject := fmt.Sprint(soundID, n), fmt.Sprint(n)
	if n%popularEach == 0 {
		subject = "popular"
	}
	at := time.Now()
	o := r.makeCall(client, gate, id, subject)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sound = append(r.report.Sound, SoundCall{At: at, Served: o.status == http.StatusOK && o.complete})
}

func (r *repeatRun) makeRepeatedCall(client *http.Client, gate string, n int) {
	id := fmt.Sprint(repeatedID, n)
	o := r.makeCall(client, gate, id, "deadly")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Attempts++
	r.refused[id] = o.status == http.StatusServiceUnavailable
}

// makeCall makes a call about a subject. All calls about one subject are the same apart from their IDs.
func (r *repeatRun) makeCall(client *http.Client, gate, id, subject string) outcome {
	o := outcome{id: id, path: r.repeated.Path + subject, requestBody: "about " + subject}
	request, err := newPrompt(gate, o, append(slices.Clone(usualBlocks), bluebellplatform.Block{ID: fmt.Sprintf("%x", subject), Tokens: 100}))
	if err != nil {
		return o
	}
	return send(client, request, o)
}

// crashOthers crashes random endpoints for reasons of their own until ctx ends: one at a time, or all of a
// failure domain.
func (r *repeatRun) crashOthers(ctx context.Context, together int) error {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 4))
	for ctx.Err() == nil {
		n := rng.IntN(len(r.backends))
		for _, b := range r.backends {
			if b.index == n || together > 0 && b.index%failureDomains == n%failureDomains {
				r.restarts.Go(func() { r.down(b, otherDownTime) })
			}
		}
		sleep(ctx, otherCrashGap)
	}
	return nil
}

// resetConnections resets the connections to one endpoint after the other, which goes on, until ctx ends.
func (r *repeatRun) resetConnections(ctx context.Context) error {
	for n := 0; ctx.Err() == nil; n++ {
		b := r.backends[n%len(r.backends)]
		if b.crashMu.TryLock() {
			b.proxy.setMode(modeReset)
			b.proxy.setMode(modePass)
			b.crashMu.Unlock()
		}
		sleep(ctx, meanFaultGap/2)
	}
	return nil
}

// restartInTurn restarts one process after the other until ctx ends.
func (r *repeatRun) restartInTurn(ctx context.Context, processes []*process, s syscall.Signal, gap time.Duration) error {
	for n := 0; ctx.Err() == nil; n++ {
		if err := restart(processes[n%len(processes)], s, turnHold); err != nil {
			return err
		}
		sleep(ctx, gap)
	}
	return nil
}

// pauseCores suspends one core process after the other for longer than a term of a leader lasts without
// heartbeats, until ctx ends.
func (r *repeatRun) pauseCores(ctx context.Context) error {
	for n := 0; ctx.Err() == nil; n++ {
		if err := pause(r.core(n), coreCatchUpTime/2); err != nil {
			return err
		}
		sleep(ctx, coreCatchUpTime/2)
	}
	return nil
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// result returns the report after all calls have ended.
func (r *repeatRun) result() RepeatReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.backends {
		for _, e := range append(b.crashed, b.endpoint()) {
			r.addRuns(e.Runs())
		}
	}
	slices.SortFunc(r.report.Crashes, time.Time.Compare)
	slices.SortFunc(r.report.Reached, func(a, b ReachedAttempt) int { return a.At.Compare(b.At) })
	r.report.Findings = r.findings
	return r.report
}

// addRuns adds the runs of the repeated call at one endpoint to the report.
func (r *repeatRun) addRuns(runs []bluebellstub.Run) {
	for _, run := range runs {
		if !strings.HasPrefix(run.Call.CallID, repeatedID) {
			continue
		}
		r.report.Reached = append(r.report.Reached, ReachedAttempt{At: run.At, ID: run.Call.CallID})
		if r.refused[run.Call.CallID] {
			r.report.Untrue = append(r.report.Untrue, run.Call.CallID)
		}
	}
}
