package bluebellchaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
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
	r := &poisonRun{deployment: newDeployment(cfg), refused: map[string]bool{}}
	defer r.stopAll()
	if err := r.startAll(); err != nil {
		return LimitReport{}, err
	}
	var load conc.WaitGroup
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for _, b := range r.backends {
		load.Go(func() { r.keepRegistered(loadCtx, b) })
	}
	defer load.Wait()
	defer stopLoad()
	if !r.waitUntilServing(ctx, startTimeout, true) {
		return LimitReport{}, fmt.Errorf("calls are not served within %v of the start; see the logs in %s", startTimeout, cfg.DataFolder)
	}
	if err := r.disableBootstrap(); err != nil {
		return LimitReport{}, err
	}
	return r.runLimited(ctx, limit, all, restartProcesses), nil
}

// runLimited makes calls to the engines for the configured time.
func (r *poisonRun) runLimited(ctx context.Context, limit string, all, restartProcesses bool) LimitReport {
	var report LimitReport
	ctx, stop := context.WithTimeout(ctx, r.cfg.Duration)
	defer stop()
	var calls conc.WaitGroup
	if restartProcesses {
		calls.Go(func() { killInTurn(ctx, r.deployment) })
	}
	calls.Go(func() {
		r.makeLimitedCalls(ctx, func(at time.Time, o outcome) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if report.LimitedAt.IsZero() || at.Before(report.LimitedAt) || !report.FreeAt.IsZero() {
				return
			}
			report.Calls++
			switch o.status {
			case http.StatusOK:
				report.Served++
			case http.StatusServiceUnavailable:
				report.Refusals = append(report.Refusals, time.Since(at))
			}
		})
	})
	set := func(text string, at *time.Time) {
		for _, b := range r.limited(all) {
			b.endpoint().SetRateLimit(text)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		*at = time.Now()
	}
	time.Sleep(poisonWarmup)
	set(limit, &report.LimitedAt)
	time.Sleep(r.cfg.Duration - 3*poisonWarmup)
	set("", &report.FreeAt)
	calls.Wait()
	for _, b := range r.limited(all) {
		report.Arrivals = append(report.Arrivals, b.endpoint().ArrivalTimes())
	}
	return report
}

// limited returns the engines that name a limit: one, or all.
func (r *poisonRun) limited(all bool) []*backend {
	var engines []*backend
	for _, b := range r.backends {
		if b.index%2 == 1 && (all || len(engines) == 0) {
			engines = append(engines, b)
		}
	}
	return engines
}

// makeLimitedCalls makes calls to engines through random gates until ctx ends, and passes on when
// each began and how it ended.
func (r *poisonRun) makeLimitedCalls(ctx context.Context, record func(at time.Time, o outcome)) {
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
			record(at, call(client, gate, fmt.Sprint("limited-", n), resumablePath, shared))
		})
		time.Sleep(time.Duration(rng.Int64N(int64(2 * limitedInterval))))
	}
}
