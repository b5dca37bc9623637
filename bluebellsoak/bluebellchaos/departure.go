package bluebellchaos

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// departureBound is how long after the acknowledgement of a departure calls may still reach the endpoint,
	// and departureWatch how long it is watched from then on. The bound includes the time that the deployment
	// has to recover from the loss of core processes.
	departureBound = 5 * time.Second
	departureWatch = 3 * time.Second
	// downAfterDeparture is how long the lost core processes are down.
	downAfterDeparture = 100 * time.Millisecond
	// leavingEndpoints is the number of endpoints that leave at the same time.
	leavingEndpoints = 2
)

// CoreLoss is what happens to core processes right after an acknowledgement.
type CoreLoss struct {
	Name string
	// all is set if all core processes are killed, and not only the one that acknowledged.
	all bool
	// times is how often they are killed.
	times int
	// disk is set if the process that acknowledged also loses its disk.
	disk bool
}

// CoreLosses lists the losses that an acknowledgement must survive.
var CoreLosses = []CoreLoss{
	{Name: "one killed", times: 1},
	{Name: "one killed, disk lost", times: 1, disk: true},
	{Name: "all killed", all: true, times: 1},
	{Name: "all killed twice", all: true, times: 2},
}

// RunDepartures lets endpoints that reach only one core process report a state to it, Draining or Gone. Core
// processes are lost as soon as it has acknowledged that. The endpoints go on serving what reaches them. It
// returns the violations, and the number of acknowledged departures.
func RunDepartures(ctx context.Context, cfg Config, state bluebellfleet.State, loss CoreLoss) (findings []string, acknowledged int, err error) {
	d := newDeployment(cfg)
	err = d.whileServing(ctx, func(*backend) error { return nil }, func(ctx context.Context) {
		d.whileCalling(ctx, minCallers, func(ctx context.Context) { acknowledged = d.leave(ctx, state, loss) })
	})
	return d.findings, acknowledged, err
}

// leave lets leavingEndpoints leave at the core process that the seed selects and adds a finding for each that
// gets calls later than departureBound.
func (d *deployment) leave(ctx context.Context, state bluebellfleet.State, loss CoreLoss) int {
	core := int(d.cfg.Seed) % len(d.cores)
	leaving := d.backends[:leavingEndpoints]
	for _, b := range leaving {
		b.cutOff.Store(true)
	}
	// Registrations that were sent before reach all core processes.
	time.Sleep(time.Second)
	acknowledgements := make(chan error, len(leaving))
	for _, b := range leaving {
		go func() { acknowledgements <- d.reportState(ctx, b, state, d.controlAddresses[core]) }()
	}
	acknowledged := 0
	for range leaving {
		if err := <-acknowledgements; err != nil {
			d.findings = append(d.findings, err.Error())
			continue
		}
		acknowledged++
	}
	from := time.Now().Add(departureBound)
	if err := d.lose(core, loss); err != nil {
		d.findings = append(d.findings, err.Error())
	}
	time.Sleep(time.Until(from.Add(departureWatch)))
	for _, b := range leaving {
		late := 0
		for _, at := range b.endpoint().ArrivalTimes() {
			if at.After(from) {
				late++
			}
		}
		if late > 0 {
			d.findings = append(d.findings, fmt.Sprintf("%s got %d calls later than %v after %v was acknowledged", b.name(), late, departureBound, state))
		}
	}
	return acknowledged
}

// reportState sends the last message of an endpoint about its state to one core process.
func (d *deployment) reportState(ctx context.Context, b *backend, state bluebellfleet.State, address string) error {
	if state == bluebellfleet.Draining {
		b.endpoint().Drain()
		return b.endpoint().Register(ctx, &http.Client{Timeout: operatorTimeout}, []string{address})
	}
	registration := b.endpoint().NextRegistration()
	body, err := bluebellplatform.EncodeLeave(registration.StartUnixMillis)
	if err != nil {
		return err
	}
	return d.operator.require(address, bluebellplatform.Operation{Verb: bluebellplatform.Leave, Subject: registration.ID}, body)
}

// lose kills core processes, as the loss describes, and starts them again.
func (d *deployment) lose(core int, loss CoreLoss) error {
	lost := d.cores[core : core+1]
	if loss.all {
		lost = d.cores
	}
	for n := range loss.times {
		if n > 0 {
			time.Sleep(time.Second)
		}
		for _, p := range lost {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range lost {
			if err := p.stop(syscall.SIGKILL); err != nil {
				return err
			}
		}
		if loss.disk {
			if err := os.RemoveAll(d.cores[core].data); err != nil {
				return err
			}
		}
		time.Sleep(downAfterDeparture)
		for _, p := range lost {
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	return nil
}
