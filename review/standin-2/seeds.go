package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// darkFor is how long a machine of the core is down, as the users' sites name it for killed machines that serve
	// control.
	darkFor = 3500 * time.Millisecond
	// calmFor is the time between the return of one machine and the loss of the next: it exceeds catchup.
	calmFor = 7 * time.Second
)

// playSeeds lets each of the three machines of the core be down once, one after the other. Afterwards the operator
// reads the configuration back.
func playSeeds(p *platform, trouble bool) (broken bool, err error) {
	var cores []*machine
	for n := 1; n <= 3; n++ {
		m, err := p.add(fmt.Sprintf("core-z%d-1", n), "core", fmt.Sprintf("z%d", n), p.address(1, n))
		if err != nil {
			return false, err
		}
		cores = append(cores, m)
	}
	if err := p.startAll(); err != nil {
		return false, err
	}
	o := newOperator(p)
	version := 1
	if status, _ := o.call(http.MethodPut, "/config", configuration(version), 15*time.Second); status != http.StatusOK {
		return false, errors.New("the first configuration was not acknowledged")
	}
	time.Sleep(calmFor)
	for _, m := range cores {
		if trouble {
			m.kill()
			p.noteList()
		}
		time.Sleep(darkFor)
		if trouble {
			if err := m.start(); err != nil {
				return false, err
			}
			p.noteList()
		}
		if m == cores[2] {
			break
		}
		time.Sleep(calmFor)
		version++
		if status, _ := o.call(http.MethodPut, "/config", configuration(version), ackBound); status != http.StatusOK {
			p.record.note("check: version %d was not acknowledged within %v", version, ackBound)
			version--
		}
	}
	p.record.note("all machines are back; version %d is acknowledged", version)
	time.Sleep(recoverIn)
	// At the end of a day the configuration is requested repeatedly for at least contact_ms.
	status, answer := o.call(http.MethodGet, "/config", nil, 4*contact)
	if status != http.StatusOK {
		p.record.note("check: CONFIG is broken: the configuration does not come back, %v after all machines of the core are back", recoverIn+4*contact)
		return true, nil
	}
	if string(answer) != string(configuration(version)) {
		p.record.note("check: CONFIG is broken: the configuration read back is not version %d: %.60s", version, answer)
		return true, nil
	}
	p.record.note("check: version %d was read back", version)
	return false, nil
}
