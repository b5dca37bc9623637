package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// startIn is the time from the start of the machines to the traffic, and otherFirstPort the first port of a range
	// of another day.
	startIn        = 10 * time.Second
	otherFirstPort = 7701
	// maxEnds is how often a process may not end by itself.
	maxEnds = 3
)

// playPorts starts a deployment on a day whose port range begins with another port.
func playPorts(p *platform, trouble bool) (broken bool, err error) {
	if trouble {
		p.firstPort = otherFirstPort
	}
	for i := 1; i <= 3; i++ {
		zone := fmt.Sprintf("z%d", i)
		if _, err := p.add("core-"+zone+"-1", "core", zone, p.address(1, i)); err != nil {
			return false, err
		}
		if _, err := p.add("front-"+zone+"-1", "gate", zone, p.address(2, i)); err != nil {
			return false, err
		}
	}
	if err := p.startAll(); err != nil {
		return false, err
	}
	o := newOperator(p)
	status, _ := o.call(http.MethodPut, "/config", configuration(1), 2*startIn)
	for _, m := range p.machines {
		m.mu.Lock()
		ends := m.ends
		m.mu.Unlock()
		p.record.note("check: %s has ended %d times by itself", m.name, ends)
		broken = broken || ends >= maxEnds
	}
	if status != http.StatusOK {
		p.record.note("check: the first configuration is not acknowledged")
	}
	return broken, nil
}
