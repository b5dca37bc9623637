package bluebellchaos

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"bluebellhaven.org/bluebellfake/bluebellstub"
)

const (
	// faultGap is the mean time between the beginnings of two faults; they last longer.
	faultGap = 600 * time.Millisecond
	// catchUp is how long a core process counts as lost after it is back.
	catchUp = 4 * time.Second
)

// fault is one kind of trouble. It lasts until it returns.
type fault struct {
	name string
	// core faults take a core process; one at a time is tolerated.
	core bool
	run  func(d *drill, n int, lasts time.Duration) error
}

var faults = []fault{
	{"gate killed", false, func(d *drill, n int, lasts time.Duration) error { return restart(d.gate(n), syscall.SIGKILL, lasts) }},
	{"gate stopped", false, func(d *drill, n int, lasts time.Duration) error { return restart(d.gate(n), syscall.SIGTERM, lasts) }},
	{"gate paused", false, func(d *drill, n int, lasts time.Duration) error { return pause(d.gate(n), lasts) }},
	{"gate reloads", false, func(d *drill, n int, _ time.Duration) error { d.gate(n).signal(syscall.SIGHUP); return nil }},
	{"endpoint crashes", false, crashEndpoint},
	{"endpoint misbehaves", false, misbehave},
	{"way to endpoint", false, func(d *drill, n int, lasts time.Duration) error {
		return impair(d.backends[n%len(d.backends)].proxy, n, lasts)
	}},
	{"core killed", true, func(d *drill, n int, lasts time.Duration) error { return restart(d.core(n), syscall.SIGKILL, lasts) }},
	{"core stopped", true, func(d *drill, n int, lasts time.Duration) error { return restart(d.core(n), syscall.SIGTERM, lasts) }},
	{"core paused", true, func(d *drill, n int, lasts time.Duration) error { return pause(d.core(n), lasts) }},
	{"core disk lost", true, loseDisk},
	{"way to core", true, func(d *drill, n int, lasts time.Duration) error { return impair(d.ways[n%len(d.ways)], n, lasts) }},
	{"all cores killed", true, killCores},
}

func (d *drill) gate(n int) *process { return d.gates[n%len(d.gates)] }
func (d *drill) core(n int) *process { return d.cores[n%len(d.cores)] }

// inject draws faults until the duration is over, and waits until all are healed.
func (d *drill) inject(ctx context.Context) {
	var running conc.WaitGroup
	coreFree := time.Now()
	results := make(chan error, 1000)
	for until := time.Now().Add(d.cfg.Duration); time.Now().Before(until) && ctx.Err() == nil; {
		f, n := faults[d.rng.IntN(len(faults))], d.rng.IntN(1000)
		lasts := time.Duration(d.rng.Int64N(int64(2500*time.Millisecond))) + 100*time.Millisecond
		gap := time.Duration(d.rng.Int64N(int64(2 * faultGap)))
		if f.core && time.Now().Before(coreFree) {
			time.Sleep(gap / 4)
			continue
		}
		if f.core {
			coreFree = time.Now().Add(lasts + catchUp)
		}
		d.faults++
		running.Go(func() {
			if err := f.run(d, n, lasts); err != nil {
				results <- fmt.Errorf("%s: %w", f.name, err)
			}
		})
		time.Sleep(gap)
	}
	running.Wait()
	close(results)
	for err := range results {
		d.findings = append(d.findings, err.Error())
	}
}

func restart(p *process, s os.Signal, lasts time.Duration) error {
	if err := p.stop(s); err != nil {
		return err
	}
	time.Sleep(lasts)
	return p.start()
}

func pause(p *process, lasts time.Duration) error {
	p.signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	p.signal(syscall.SIGCONT)
	return nil
}

func impair(way *proxy, n int, lasts time.Duration) error {
	way.set([]mode{delaying, silencing, deaf, refusing}[n%4])
	time.Sleep(lasts)
	way.set(passing)
	return nil
}

func crashEndpoint(d *drill, n int, lasts time.Duration) error {
	b := d.backends[n%len(d.backends)]
	b.crashing.Lock()
	defer b.crashing.Unlock()
	b.endpoint().Stop()
	time.Sleep(lasts)
	return b.start()
}

func misbehave(d *drill, n int, lasts time.Duration) error {
	e := d.backends[n%len(d.backends)].endpoint()
	e.SetBehaviour([]bluebellstub.Behaviour{
		bluebellstub.Unresponsive, bluebellstub.Declining, bluebellstub.Failing, bluebellstub.Truncating,
		bluebellstub.Unsealed, bluebellstub.Duplicating, bluebellstub.Unavailable, bluebellstub.Unframed,
	}[n%8])
	time.Sleep(lasts)
	e.SetBehaviour(bluebellstub.Normal)
	return nil
}

func loseDisk(d *drill, n int, lasts time.Duration) error {
	p := d.core(n)
	if err := p.stop(syscall.SIGKILL); err != nil {
		return err
	}
	if err := os.RemoveAll(p.data); err != nil {
		return err
	}
	time.Sleep(lasts)
	return p.start()
}

func killCores(d *drill, _ int, _ time.Duration) error {
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
