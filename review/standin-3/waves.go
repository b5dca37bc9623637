package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// repeats is how often the client repeats a request that has failed.
const repeats = 3

// readRoute returns a route of requests that may run more than once, each attempt of a client at one replica.
func readRoute(service string) map[string]any {
	r := route("r-read", "read.example", "/a/", "idempotent", service)
	r["attempts"] = 1
	return r
}

// runWaves sends a request that crashes each replica that begins to run it, again and again, beside sound ones. Its client
// repeats it three more times, at once, each time at another machine.
func runWaves(rec *record, trouble bool) (verdict, error) {
	s, err := startSystem(3)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	routes := []map[string]any{readRoute("floor")}
	if err := s.order("PUT", "/config", configuration(1, routes, []map[string]any{application("floor", 0)})); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	var live []*server
	var crashes, poisoned []time.Time
	boots, over := 0, false
	sound, soundServed, lost := 0, 0, 0 // lost are the sound requests that ran on a replica when it crashed
	var boot func(zone string) error
	boot = func(zone string) error {
		mu.Lock()
		defer mu.Unlock()
		if over {
			return nil
		}
		boots++
		x, err := startServer(rec, s.controls, serverConfig{
			id: fmt.Sprintf("i-floor%d", boots), service: "floor", zone: zone, address: join(s.host(), 8080), work: 30 * time.Millisecond,
			poison: func(r *http.Request) bool {
				if r.URL.Path != "/a/poison" {
					return false
				}
				mu.Lock()
				defer mu.Unlock()
				poisoned = append(poisoned, time.Now())
				return true
			},
			onCrash: func(x *server) {
				mu.Lock()
				crashes = append(crashes, time.Now())
				lost += len(x.cut) - 1
				mu.Unlock()
				// The replica is back after some seconds, as a new boot.
				time.AfterFunc(2*time.Second, func() { _ = boot(zone) })
			},
		})
		live = append(live, x)
		return err
	}
	defer func() {
		mu.Lock()
		over = true
		all := live
		mu.Unlock()
		for _, x := range all {
			x.end("is stopped")
		}
	}()
	for range 2 {
		for _, zone := range zones {
			if err := boot(zone); err != nil {
				return verdict{}, err
			}
		}
	}
	if err := s.awaitReady(30 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * contactTime)
	var clients sync.WaitGroup
	poison := request{method: "GET", host: "read.example", path: "/a/poison", timeLeft: 1500 * time.Millisecond}
	for second := range 27 {
		// Sound requests, some at a time at each gate.
		for k := range 12 * len(s.fronts) {
			q := request{method: "GET", host: "read.example", path: fmt.Sprintf("/a/%d", 100*second+k), timeLeft: 1500 * time.Millisecond}
			clients.Go(func() {
				x := attempt(rec, s.fronts[k%len(s.fronts)], q)
				mu.Lock()
				defer mu.Unlock()
				sound++
				if x.served() {
					soundServed++
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		if second%4 == 2 {
			clients.Go(func() {
				for k := range 1 + repeats {
					x := attempt(rec, s.fronts[(second/4+k)%len(s.fronts)], poison)
					if x.served() || x.status == http.StatusServiceUnavailable {
						return
					}
					if !trouble {
						// A client that does not repeat at once.
						time.Sleep(time.Second)
					}
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
	}
	clients.Wait()
	if gone := s.ended(); len(gone) > 0 {
		return verdict{}, fmt.Errorf("processes ended: %v", gone)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		return verdict{}, fmt.Errorf("only %d crashes", len(crashes))
	}
	late := 0
	for _, at := range poisoned {
		if at.Sub(crashes[2]) > contactTime {
			late++
		}
	}
	return verdict{
		broken: late > 3,
		text: fmt.Sprintf("the request crashed %d boots of replicas; it reached replicas %d times later than %v after the third crash; %d of %d sound requests were served, %d were lost at work in the crashes",
			len(crashes), late, contactTime, soundServed, sound, lost),
	}, nil
}
