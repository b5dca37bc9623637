package bluebellchaos

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// copyMaxCalls is the number of calls at a time above which an endpoint of RunCopies declines.
const copyMaxCalls = 3

// RunCopies runs a deployment for cfg.Duration in which the endpoints of the target of plain calls restart
// quickly under new IDs, decline calls when they are full, and write responses once more where those to the
// next calls on the same connections are due. All calls but those before are non-idempotent.
func RunCopies(ctx context.Context, cfg Config) (Report, error) {
	d := newDeployment(cfg)
	err := d.whileServing(ctx, (*backend).makeCopying, func(ctx context.Context) {
		d.callers.paths = []string{oncePath}
		d.whileCalling(ctx, max(minCallers, cfg.Gates), d.restartInSeries)
		time.Sleep(settleTime)
	})
	if err != nil {
		return Report{}, err
	}
	report := d.report()
	return report, os.WriteFile(filepath.Join(cfg.DataFolder, "events.log"), []byte(strings.Join(report.Events, "\n")+"\n"), 0o600)
}

// makeCopying replaces the endpoint of a backend by one that writes responses once more and declines calls
// when it is full.
func (b *backend) makeCopying() error {
	b.copying.Add(1)
	b.maxCalls = copyMaxCalls
	b.endpoint().Stop()
	return b.start()
}

// restartInSeries restarts the endpoints of the target of plain calls, independently of each other, for
// cfg.Duration.
func (d *deployment) restartInSeries(ctx context.Context) {
	until := time.Now().Add(d.cfg.Duration)
	restarts := pool.New().WithErrors()
	for _, b := range d.backends {
		if b.index%2 == 1 {
			continue
		}
		rng := rand.New(rand.NewPCG(d.cfg.Seed, uint64(2000+b.index)))
		restarts.Go(func() error { return d.restartRepeatedly(ctx, b, rng, until) })
	}
	if err := restarts.Wait(); err != nil {
		d.findings = append(d.findings, err.Error())
	}
}
