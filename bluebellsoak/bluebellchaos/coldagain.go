package bluebellchaos

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	// coldTime is how long an endpoint is cold, and coldAgain how long before the end of that it becomes cold again.
	coldTime  = 2 * time.Second
	coldAgain = 100 * time.Millisecond
	// coldPeriods is how often it becomes cold.
	coldPeriods = 4
	// coldNotice is the time in which entries learn that an endpoint is cold.
	coldNotice = time.Second
	// A cold endpoint may get coldRate*coldFactor+coldSlack calls in each second.
	coldRate   = 9
	coldFactor = 1.5
	coldSlack  = 5
)

// ColdTrouble is what happens while an endpoint becomes cold again.
type ColdTrouble struct {
	Name string
	// at is when it happens, relative to the moment at which the endpoint becomes cold again.
	at     time.Duration
	happen func(d *deployment, b *backend) error
}

// ColdTroubles lists what happens.
var ColdTroubles = []ColdTrouble{
	{"Nothing", 0, func(*deployment, *backend) error { return nil }},
	{"CoreProcessKilled", -200 * time.Millisecond, func(d *deployment, _ *backend) error { return restartAtOnce(d.cores[:1]) }},
	{"AllCoreProcessesKilled", -500 * time.Millisecond, func(d *deployment, _ *backend) error { return restartAtOnce(d.cores) }},
	{"CoreProcessesKilledInTurn", -400 * time.Millisecond, func(d *deployment, _ *backend) error {
		return errors.Join(restartAtOnce(d.cores[:1]), restartAtOnce(d.cores[1:2]), restartAtOnce(d.cores[2:]))
	}},
	{"CoreProcessPaused", -100 * time.Millisecond, func(d *deployment, _ *backend) error {
		d.cores[0].signal(syscall.SIGSTOP)
		time.Sleep(coldTime / 2)
		d.cores[0].signal(syscall.SIGCONT)
		return nil
	}},
	{"EntryKilled", -50 * time.Millisecond, func(d *deployment, _ *backend) error { return restartAtOnce(d.gates[:1]) }},
	{"AllEntriesKilled", coldAgain / 2, func(d *deployment, _ *backend) error { return restartAtOnce(d.gates) }},
	{"RegistrationLost", -heartbeatInterval / 2, func(_ *deployment, b *backend) error {
		b.cutOff.Store(true)
		time.Sleep(heartbeatInterval)
		b.cutOff.Store(false)
		return nil
	}},
}

// RunColdAgain makes an endpoint cold again each time before it ceases to be cold, with trouble each time. It returns
// the violations, and the number of calls that the endpoint got while it was cold.
func RunColdAgain(ctx context.Context, cfg Config, trouble ColdTrouble) (findings []string, calls int, err error) {
	d := newDeployment(cfg)
	d.coldRate = coldRate
	err = d.whileServing(ctx, func(*backend) error { return nil }, func(ctx context.Context) {
		d.whileCalling(ctx, minCallers, func(context.Context) {
			b := d.backends[0]
			time.Sleep(settleTime)
			from := time.Now().Add(coldNotice)
			until := time.Now().Add(coldTime)
			b.endpoint().BecomeCold(until)
			for range coldPeriods - 1 {
				again := until.Add(-coldAgain)
				time.Sleep(time.Until(again.Add(min(trouble.at, 0))))
				done := make(chan error, 1)
				happen := func() { done <- trouble.happen(d, b) }
				if trouble.at < 0 {
					go happen()
				}
				time.Sleep(time.Until(again))
				until = again.Add(coldTime)
				b.endpoint().BecomeCold(until)
				if trouble.at >= 0 {
					time.Sleep(trouble.at)
					go happen()
				}
				if err := <-done; err != nil {
					d.findings = append(d.findings, err.Error())
				}
			}
			time.Sleep(time.Until(until))
			calls = d.checkCold(b, from, until)
		})
	})
	return d.findings, calls, err
}

// checkCold adds a finding if a cold endpoint got too many calls in a second, and returns how many it got in all.
func (d *deployment) checkCold(b *backend, from, until time.Time) int {
	var arrivals []time.Time
	for _, at := range b.endpoint().ArrivalTimes() {
		if at.After(from) && at.Before(until) {
			arrivals = append(arrivals, at)
		}
	}
	most, first := 0, 0
	for n, at := range arrivals {
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, n-first+1)
	}
	if float64(most) > coldRate*coldFactor+coldSlack {
		d.findings = append(d.findings, fmt.Sprintf("%s got %d calls in a second while it was cold", b.name(), most))
	}
	return len(arrivals)
}

// restartAtOnce kills processes and starts them again.
func restartAtOnce(processes []*process) error {
	var errs []error
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		errs = append(errs, p.stop(syscall.SIGKILL), p.start())
	}
	return errors.Join(errs...)
}
