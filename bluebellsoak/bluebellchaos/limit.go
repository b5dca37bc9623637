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

// limitedInterval is the mean time between two calls of RunLimited.
const limitedInterval = 12 * time.Millisecond

// LimitReport is the result of RunLimited.
type LimitReport struct {
	// LimitedAt and FreeAt are when endpoints began and ceased to name a limit.
	LimitedAt, FreeAt time.Time
	// Arrivals holds, for each endpoint that named a limit, when it received calls.
	Arrivals [][]time.Time
	// Calls counts the calls made while limits were named, and Served those that were answered.
	Calls, Served int
	// Refusals holds how long the refused calls waited.
	Refusals []time.Duration
}

// RunLimited runs a deployment in which endpoints name a limit of calls a second for the middle of
// cfg.Duration: one of the engines, or all of them. With restartProcesses, gates and core
// processes are killed meanwhile.
func RunLimited(ctx context.Context, cfg Config, limit string, all, restartProcesses bool) (LimitReport, error) {
	r := &limitRun{deployment: newDeployment(cfg), limit: limit, all: all, restartProcesses: restartProcesses}
	prepare := func(*backend) error { return nil }
	if err := r.whileServing(ctx, prepare, r.run); err != nil {
		return LimitReport{}, err
	}
	return r.report, nil
}

// limitRun is a deployment whose engines name a limit.
type limitRun struct {
	*deployment
	limit                 string
	all, restartProcesses bool

	mu     sync.Mutex
	report LimitReport
}

// run makes calls to the engines for the configured time.
func (r *limitRun) run(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, r.cfg.Duration)
	defer stop()
	var calls conc.WaitGroup
	if r.restartProcesses {
		calls.Go(func() { killInTurn(ctx, r.deployment) })
	}
	calls.Go(func() { r.makeCalls(ctx) })
	time.Sleep(poisonWarmup)
	r.setLimit(r.limit, &r.report.LimitedAt)
	time.Sleep(r.cfg.Duration - 3*poisonWarmup)
	r.setLimit("", &r.report.FreeAt)
	calls.Wait()
	for _, b := range r.limited() {
		r.report.Arrivals = append(r.report.Arrivals, b.endpoint().ArrivalTimes())
	}
}

// setLimit makes the engines name a limit, or none, and notes when.
func (r *limitRun) setLimit(text string, at *time.Time) {
	for _, b := range r.limited() {
		b.endpoint().SetRateLimit(text)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	*at = time.Now()
}

// limited returns the engines that name a limit: one, or all.
func (r *limitRun) limited() []*backend {
	var engines []*backend
	for _, b := range r.backends {
		if b.index%2 == 1 && (r.all || len(engines) == 0) {
			engines = append(engines, b)
		}
	}
	return engines
}

// record counts a call that was made while limits were named.
func (r *limitRun) record(at time.Time, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.report.LimitedAt.IsZero() || at.Before(r.report.LimitedAt) || !r.report.FreeAt.IsZero() {
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
func (r *limitRun) makeCalls(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 3))
	client := &http.Client{Timeout: clientTimeout}
	defer client.CloseIdleConnections()
	var calls conc.WaitGroup
	defer calls.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		gate := r.callers.gates[rng.IntN(len(r.callers.gates))]
		// Prompts with different blocks have different homes, so all engines get calls.
		shared := append(slices.Clone(usualBlocks), bluebellplatform.Block{ID: fmt.Sprintf("50b%d", rng.IntN(24)), Tokens: 150})
		calls.Go(func() {
			at := time.Now()
			r.record(at, call(client, gate, fmt.Sprint("limited-", n), resumablePath, shared))
		})
		time.Sleep(time.Duration(rng.Int64N(int64(2 * limitedInterval))))
	}
}
