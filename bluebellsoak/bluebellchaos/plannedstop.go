package bluebellchaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// RunPlannedStops stops one gate after the other by SIGTERM, in calm, while callers go on using its
// connections until it is gone. Calls run for the time work. It returns the violations, and the number of
// calls that were sent to gates that were stopping.
func RunPlannedStops(ctx context.Context, cfg Config, work time.Duration) (findings []string, stopping int, err error) {
	d := newDeployment(cfg)
	err = d.whileServing(ctx, func(*backend) error { return nil }, func(ctx context.Context) {
		for _, b := range d.backends {
			b.endpoint().SetProcessingTime(work)
		}
		for n := range d.gates {
			stopping += d.stopUnderLoad(ctx, n)
		}
	})
	if err != nil {
		return nil, 0, err
	}
	return d.report().Findings, stopping, nil
}

// stopUnderLoad stops a gate while callers cling to it, and starts it again. It returns the number of calls
// that were sent while it stopped.
func (d *deployment) stopUnderLoad(ctx context.Context, n int) int {
	ctx, stop := context.WithCancel(ctx)
	var calls conc.WaitGroup
	for name := range minCallers {
		calls.Go(func() { d.clingTo(ctx, n, name) })
	}
	time.Sleep(clientTimeout)
	began := time.Now()
	err := d.restartGate(n, syscall.SIGTERM, turnHold)
	ended := time.Now()
	if err != nil {
		d.findings = append(d.findings, err.Error())
	}
	stop()
	calls.Wait()
	d.callers.mu.Lock()
	defer d.callers.mu.Unlock()
	sent := 0
	for _, o := range d.callers.outcomes {
		if o.gate == n && o.began.After(began) && o.sent.Before(ended) && !o.sent.IsZero() {
			sent++
		}
	}
	return sent
}

// clingTo makes calls through one gate until ctx ends, on one connection for as long as the gate keeps it.
func (d *deployment) clingTo(ctx context.Context, n, name int) {
	rng := rand.New(rand.NewPCG(d.cfg.Seed, uint64(n*minCallers+name)))
	self := &caller{kind: clinging, rng: rng, gates: d.callers.gates, kept: map[int]*connection{}, gate: n}
	defer self.close()
	for i := 0; ctx.Err() == nil; i++ {
		self.gate = n
		d.callers.record(self.call(context.WithoutCancel(ctx), fmt.Sprintf("stop-%d-%d-%d", n, name, i)))
		self.pause(meanCallPause)
	}
}
