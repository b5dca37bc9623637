package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// downFor is how long all processes are down in the final fault.
	downFor = 600 * time.Millisecond
	// askEvery is the time between two requests of the consumer.
	askEvery = 150 * time.Millisecond
)

// playWriter kills all processes right after a configuration was acknowledged, as at the end of a day. Afterwards
// another writer sends one heartbeat for the address of each replica, which names a service that no configuration has.
func playWriter(p *platform, trouble bool) (broken bool, err error) {
	n := &network{platform: p}
	for i := 1; i <= 3; i++ {
		zone := fmt.Sprintf("z%d", i)
		if _, err := p.add("core-"+zone+"-1", "core", zone, p.address(1, i)); err != nil {
			return false, err
		}
	}
	front, err := p.add("front-z1-1", "gate", "z1", p.address(2, 1))
	if err != nil {
		return false, err
	}
	if err := p.startAll(); err != nil {
		return false, err
	}
	done := make(chan struct{})
	defer close(done)
	var all []*replica
	for i := 1; i <= replicas; i++ {
		address := fmt.Sprintf("%s:9000", p.address(4, i))
		r, err := newReplica(p, n, fmt.Sprintf("i-%d", i), fmt.Sprintf("z%d", i), address, address)
		if err != nil {
			return false, err
		}
		all = append(all, r)
		go r.keepRegistered(done)
	}
	o := newOperator(p)
	if status, _ := o.call(http.MethodPut, "/config", configuration(1), 15*time.Second); status != http.StatusOK {
		return false, errors.New("the first configuration was not acknowledged")
	}
	c := newConsumer(p, front, "key-one")
	if !c.askUntilServed("start", "shared", 15*time.Second) {
		return false, errors.New("requests are not served")
	}
	time.Sleep(2 * contact)
	before := c.askFor("before", 5*time.Second)
	if status, _ := o.call(http.MethodPut, "/config", configuration(2), ackBound); status != http.StatusOK {
		return false, errors.New("the second configuration was not acknowledged")
	}
	if err := p.restartAll(downFor); err != nil {
		return false, err
	}
	back := time.Now()
	p.record.note("all machines are back")
	time.Sleep(time.Second)
	for i, r := range all {
		if !trouble {
			break
		}
		status, err := sendOther(p, fmt.Sprintf("other-%d", i+1), r)
		if err != nil {
			return false, err
		}
		p.record.note("other writer: heartbeat of other-%d at the address of %s with a service that no configuration names, answered %d", i+1, r.id, status)
	}
	time.Sleep(time.Until(back.Add(recoverIn)))
	after := c.askFor("after", 8*time.Second)
	p.record.note("check: served %.2f of the requests before the final fault, %.2f of those later than %v after the machines were back", before, after, recoverIn)
	if before >= 0.25 && after < 0.25 {
		p.record.note("check: RECOVER is broken")
		return true, nil
	}
	return false, nil
}

// sendOther sends the heartbeat of another writer to a core process and returns the status of the answer.
func sendOther(p *platform, id string, r *replica) (status int, err error) {
	body, err := json.Marshal(map[string]any{
		"service": "another-system", "addr": r.address, "zone": r.zone, "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0,
		"seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/instances/%s", p.machines[0].control(), id), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// askFor sends requests for a time and returns the share that was served.
func (c *consumer) askFor(name string, length time.Duration) float64 {
	asked, served := 0, 0
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(askEvery) {
		asked++
		if _, status := c.ask(name, "shared"); status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(asked)
}

// restartAll kills all processes at once and starts them again after a time.
func (p *platform) restartAll(down time.Duration) error {
	var kills sync.WaitGroup
	for _, m := range p.machines {
		kills.Go(m.kill)
	}
	kills.Wait()
	time.Sleep(down)
	for _, m := range p.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}
