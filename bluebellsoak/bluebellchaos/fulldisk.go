package bluebellchaos

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

const (
	// fullTime is how long a disk is full, and roomTime how long all disks have room before the next one is.
	fullTime = 3 * time.Second
	roomTime = coreCatchUpTime
	// restartDelay is how long after a process has ended by itself it is started again.
	restartDelay = 200 * time.Millisecond
	// agreeTimeout bounds the time for a change once all disks have room.
	agreeTimeout = 4 * time.Second
)

// RunFullDisks lets the disk of one core process after the other take no more bytes for a time, while an
// operator changes the declaration. Processes that end are started again, as a supervisor does. It returns
// the violations, and how often processes ended.
//
// A limit on the size of the files that a process writes stands in for the full disk.
func RunFullDisks(ctx context.Context, cfg Config) (findings []string, ends int, err error) {
	d := newDeployment(cfg)
	err = d.whileServing(ctx, func(*backend) error { return nil }, func(ctx context.Context) {
		callCtx, stop := context.WithCancel(ctx)
		var changes conc.WaitGroup
		changes.Go(func() { d.operator.run(callCtx, d.cfg.Seed) })
		for n := range d.cores {
			ends += d.fillDisk(n)
			time.Sleep(roomTime)
		}
		stop()
		changes.Wait()
		for _, address := range d.controlAddresses {
			d.requireAgreement(address)
		}
		d.readDeclarationBack()
	})
	if err != nil {
		return nil, 0, err
	}
	return append(d.findings, d.operator.findings...), ends, nil
}

// fillDisk fills the disk of a core process for fullTime and returns how often the process ended.
func (d *deployment) fillDisk(n int) (ends int) {
	p := d.core(n)
	for deadline := time.Now().Add(fullTime); time.Now().Before(deadline); time.Sleep(restartDelay) {
		if !p.running() {
			ends++
			if err := p.start(); err != nil {
				d.findings = append(d.findings, err.Error())
			}
		}
		p.limitFileSize(1)
	}
	p.limitFileSize(unix.RLIM_INFINITY)
	if !p.running() {
		ends++
		if err := p.start(); err != nil {
			d.findings = append(d.findings, err.Error())
		}
	}
	return ends
}

// requireAgreement adds a finding if a core process does not accept a change within agreeTimeout.
func (d *deployment) requireAgreement(address string) {
	for deadline := time.Now().Add(agreeTimeout); ; time.Sleep(meanOperatorPause) {
		if d.operator.declare(address) {
			return
		}
		if time.Now().After(deadline) {
			d.findings = append(d.findings, fmt.Sprintf("%s accepts no change %v after all disks have room", address, agreeTimeout))
			return
		}
	}
}

// running reports whether the process runs.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil
}

// limitFileSize limits the size of the files that the process can write from now on, in bytes.
func (p *process) limitFileSize(bytes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	limit := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil && !errors.Is(err, syscall.ESRCH) {
		panic(err) // the limits of own processes can be set
	}
}
