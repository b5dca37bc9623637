package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runPoison sends a request that crashes each replica that begins to run it, again and again, beside sound ones. The
// heartbeats of the replicas are on their way for some seconds, so that the last ones arrive after the crash.
func runPoison(rec *record, trouble bool) (verdict, error) {
	s, err := startSystem(2)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	routes := []map[string]any{route("r-order", "order.example", "/a/", "non_idempotent", "floor")}
	if err := s.order("PUT", "/config", configuration(1, routes, []map[string]any{application("floor", 0)})); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	var live []*server
	var crashes []time.Time
	var poisoned []time.Time
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
		cfg := serverConfig{
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
				lost += len(x.cut) - 1
				crashes = append(crashes, time.Now())
				mu.Unlock()
				// The replica is back after some seconds, as a new boot.
				time.AfterFunc(2*time.Second, func() { _ = boot(zone) })
			},
		}
		if trouble {
			cfg.transit = func() time.Duration { return 3 * time.Second }
		}
		x, err := startServer(rec, s.controls, cfg)
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
	for _, zone := range zones {
		if err := boot(zone); err != nil {
			return verdict{}, err
		}
	}
	if err := s.awaitReady(30 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * contactTime)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			q := request{method: "POST", host: "order.example", path: fmt.Sprintf("/a/%d", i), timeLeft: 1500 * time.Millisecond}
			clients.Go(func() {
				x := attempt(rec, s.fronts[i%len(s.fronts)], q)
				mu.Lock()
				defer mu.Unlock()
				sound++
				if x.served() {
					soundServed++
				}
			})
		}
	})
	poison := request{method: "POST", host: "order.example", path: "/a/poison", body: "poison", timeLeft: 1500 * time.Millisecond}
	for i := range 22 {
		clients.Go(func() { attempt(rec, s.fronts[i%len(s.fronts)], poison) })
		time.Sleep(1600 * time.Millisecond)
	}
	close(stop)
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
