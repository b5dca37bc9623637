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

	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// poisonedBlock is the block that crashes each engine that begins an answer on it.
	poisonedBlock = "dead"
	// poisonWarmup is how long only sound calls are made at first.
	poisonWarmup = 2 * time.Second
	// restartTime is how long a crashed engine is down.
	restartTime = time.Second
	// poisonedInterval and soundInterval are the mean times between two calls.
	poisonedInterval = 150 * time.Millisecond
	soundInterval    = 30 * time.Millisecond
)

// PoisonReport is the result of RunPoisoned.
type PoisonReport struct {
	// Crashes holds the times of the crashes of engines, and Reached the times at which calls
	// with the poisoned block reached one.
	Crashes, Reached []time.Time
	// Sound holds the sound calls that begin like the poisoned ones.
	Sound []SoundCall
	// Untrue lists the calls that were refused as not run, but reached an engine.
	Untrue []string
}

// SoundCall is the outcome of a call without the poisoned block.
type SoundCall struct {
	At     time.Time
	Served bool
}

// poisonRun is a deployment with calls whose prompts have a poisoned block.
type poisonRun struct {
	*deployment
	// restartProcesses is set if gates and core processes are killed during the run.
	restartProcesses bool

	mu       sync.Mutex
	report   PoisonReport
	refused  map[string]bool
	restarts conc.WaitGroup
}

// RunPoisoned runs a deployment for cfg.Duration in which a part of the calls have a block that
// crashes engines. No two of them are alike. They share their customer and their other blocks
// with sound calls. With restartProcesses, gates and core processes are killed meanwhile.
func RunPoisoned(ctx context.Context, cfg Config, restartProcesses bool) (PoisonReport, error) {
	r := &poisonRun{deployment: newDeployment(cfg), restartProcesses: restartProcesses, refused: map[string]bool{}}
	err := r.whileServing(ctx, r.makeCrashable, func(ctx context.Context) {
		r.makeCalls(ctx)
		r.restarts.Wait()
	})
	if err != nil {
		return PoisonReport{}, err
	}
	return r.result(), nil
}

// makeCrashable replaces the endpoint of a backend by one that calls with the poisoned block crash,
// and that starts again after restartTime.
func (r *poisonRun) makeCrashable(b *backend) error {
	b.crashes = func(call bluebellplatform.IncomingCall) bool {
		return slices.ContainsFunc(call.Blocks, func(block bluebellplatform.Block) bool { return block.ID == poisonedBlock })
	}
	b.onCrash = func() {
		r.mu.Lock()
		r.report.Crashes = append(r.report.Crashes, time.Now())
		r.mu.Unlock()
		r.restarts.Go(func() {
			// Calls that crash the same endpoint together start it again only once.
			if !b.crashMu.TryLock() {
				return
			}
			defer b.crashMu.Unlock()
			b.endpoint().Stop()
			time.Sleep(restartTime)
			if err := b.start(); err != nil {
				r.findings = append(r.findings, err.Error())
			}
		})
	}
	b.endpoint().Stop()
	return b.start()
}

// makeCalls makes calls for the configured time, each in a goroutine.
func (r *poisonRun) makeCalls(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, r.cfg.Duration)
	defer stop()
	var calls conc.WaitGroup
	defer calls.Wait()
	if r.restartProcesses {
		calls.Go(func() { killInTurn(ctx, r.deployment) })
	}
	poisonedFrom := time.Now().Add(poisonWarmup)
	calls.Go(func() {
		r.callAtIntervals(ctx, soundInterval, 1, func(client *http.Client, gate, id string, subject bluebellplatform.Block) {
			at := time.Now()
			o := call(client, gate, id, resumablePath, append(slices.Clone(usualBlocks), subject))
			r.mu.Lock()
			defer r.mu.Unlock()
			r.report.Sound = append(r.report.Sound, SoundCall{At: at, Served: o.status == http.StatusOK && o.complete})
		})
	})
	calls.Go(func() {
		time.Sleep(time.Until(poisonedFrom))
		r.callAtIntervals(ctx, poisonedInterval, 2, func(client *http.Client, gate, id string, subject bluebellplatform.Block) {
			o := call(client, gate, id, resumablePath, append(slices.Clone(usualBlocks), subject, bluebellplatform.Block{ID: poisonedBlock, Tokens: 50}))
			r.mu.Lock()
			defer r.mu.Unlock()
			r.refused[id] = o.status == http.StatusServiceUnavailable
		})
	})
}

// callAtIntervals calls f through random gates at random intervals until ctx ends.
func (r *poisonRun) callAtIntervals(ctx context.Context, mean time.Duration, stream uint64, f func(client *http.Client, gate, id string, subject bluebellplatform.Block)) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, stream))
	client := &http.Client{Timeout: clientTimeout}
	defer client.CloseIdleConnections()
	var calls conc.WaitGroup
	defer calls.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		gate := r.callers.gates[rng.IntN(len(r.callers.gates))]
		subject := bluebellplatform.Block{ID: fmt.Sprintf("50b%d", rng.IntN(6)), Tokens: 150}
		calls.Go(func() { f(client, gate, fmt.Sprintf("%d-%d", stream, n), subject) })
		time.Sleep(time.Duration(rng.Int64N(int64(2 * mean))))
	}
}

// result returns the report after all calls have ended.
func (r *poisonRun) result() PoisonReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.backends {
		for _, e := range append(b.crashed, b.endpoint()) {
			for _, run := range e.Runs() {
				if !strings.HasPrefix(run.Call.CallID, "2-") {
					continue
				}
				r.report.Reached = append(r.report.Reached, run.At)
				if r.refused[run.Call.CallID] {
					r.report.Untrue = append(r.report.Untrue, run.Call.CallID)
				}
			}
		}
	}
	slices.SortFunc(r.report.Crashes, time.Time.Compare)
	slices.SortFunc(r.report.Reached, time.Time.Compare)
	return r.report
}

// killInTurn kills and starts gates and core processes in turn until ctx ends.
func killInTurn(ctx context.Context, d *deployment) {
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-time.After(coreCatchUpTime):
		case <-ctx.Done():
			return
		}
		for _, p := range []*process{d.core(n), d.gate(n)} {
			if err := restart(p, syscall.SIGKILL, meanFaultGap); err != nil {
				d.findings = append(d.findings, err.Error())
			}
		}
	}
}
