package bluebellchaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// brittleInterval is the mean time between two calls of RunBrittle, several times as many as the
	// engines can take with brittleProcessing for each event.
	brittleInterval   = 3 * time.Millisecond
	brittleProcessing = 60 * time.Millisecond
)

// BrittleReport is the result of RunBrittle.
type BrittleReport struct {
	// Fallen is the number of engines that crashed, and MostRefusals the highest number of calls that an
	// engine turned away within a second.
	Fallen, MostRefusals int
	// Calls counts the calls made while engines were brittle and let none wait, and Served those that
	// were answered.
	Calls, Served int
	// Refusals holds how long the refused calls waited.
	Refusals []time.Duration
}

// RunBrittle runs a deployment whose engines say after a while that they crash if they turn away more
// than a number of calls in a second, and after settle let no calls wait. They get several times the calls
// that they can take. With restartProcesses, gates and core processes are killed meanwhile.
func RunBrittle(ctx context.Context, cfg Config, perSecond int, settle time.Duration, restartProcesses bool) (BrittleReport, error) {
	r := &brittleRun{deployment: newDeployment(cfg), perSecond: perSecond, settle: settle, restartProcesses: restartProcesses}
	prepare := func(*backend) error { return nil }
	if err := r.whileServing(ctx, prepare, r.run); err != nil {
		return BrittleReport{}, err
	}
	return r.report, nil
}

// brittleRun is a deployment whose engines are brittle.
type brittleRun struct {
	*deployment
	perSecond        int
	settle           time.Duration
	restartProcesses bool

	mu     sync.Mutex
	report BrittleReport
	from   time.Time
}

// run makes calls to the engines for the configured time.
func (r *brittleRun) run(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, r.cfg.Duration)
	defer stop()
	var engines []*backend
	for _, b := range r.backends {
		if b.index%2 == 1 {
			b.endpoint().SetProcessingTime(brittleProcessing)
			engines = append(engines, b)
		}
	}
	var calls conc.WaitGroup
	if r.restartProcesses {
		calls.Go(func() { killInTurn(ctx, r.deployment) })
	}
	calls.Go(func() { r.makeCalls(ctx) })
	time.Sleep(poisonWarmup)
	for _, b := range engines {
		b.endpoint().SetBrittle(r.perSecond, r.settle)
	}
	r.mu.Lock()
	r.from = time.Now().Add(r.settle)
	r.mu.Unlock()
	calls.Wait()
	for _, b := range engines {
		refusals, fell := b.endpoint().Refusals()
		if fell {
			r.report.Fallen++
		}
		r.report.MostRefusals = max(r.report.MostRefusals, mostWithin(refusals, time.Second))
	}
}

// mostWithin returns the highest number of times within a span.
func mostWithin(times []time.Time, span time.Duration) int {
	most := 0
	for i, first := range times {
		n, _ := slices.BinarySearchFunc(times[i:], first.Add(span), time.Time.Compare)
		most = max(most, n)
	}
	return most
}

// record counts a call that was made once the engines let no calls wait.
func (r *brittleRun) record(at time.Time, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.from.IsZero() || at.Before(r.from) {
		return
	}
	r.report.Calls++
	switch o.status {
	case http.StatusOK:
		r.report.Served++
	case http.StatusServiceUnavailable:
		r.report.Refusals = append(r.report.Refusals, time.Since(at))
	}
}

// makeCalls makes calls to engines through random gates until ctx ends.
func (r *brittleRun) makeCalls(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 5))
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var calls conc.WaitGroup
	defer calls.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		gate := r.callers.gates[rng.IntN(len(r.callers.gates))]
		shared := append(slices.Clone(usualBlocks), bluebellplatform.Block{ID: fmt.Sprintf("50b%d", rng.IntN(24)), Tokens: 150})
		calls.Go(func() {
			at := time.Now()
			r.record(at, call(client, gate, fmt.Sprint("brittle-", n), resumablePath, shared))
		})
		time.Sleep(time.Duration(rng.Int64N(int64(2 * brittleInterval))))
	}
}
