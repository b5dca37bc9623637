package main

import (
	"fmt"
	"sync"
	"time"
)

// brittleServers is the number of servers, and brittleReplaced that of those that are replaced.
const (
	brittleServers  = 5
	brittleReplaced = 2
)

// runBrittle makes the replicas of a service brittle under less load than they can take, and replaces them one after the
// other meanwhile.
func runBrittle(rec *record, trouble bool) (verdict, error) {
	s, err := startSystem(6)
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
	var since time.Time
	var live []*server
	boots, falls, lost, over := 0, 0, 0, false
	var boot func(zone string) (*server, error)
	boot = func(zone string) (*server, error) {
		mu.Lock()
		defer mu.Unlock()
		if over {
			return nil, nil
		}
		boots++
		x, err := startServer(rec, s.controls, serverConfig{
			id: fmt.Sprintf("i-floor%d", boots), service: "floor", zone: zone, address: join(s.host(), 8080), work: 100 * time.Millisecond,
			brittle: func() time.Time {
				mu.Lock()
				defer mu.Unlock()
				return since
			},
			onFall: func(x *server) {
				mu.Lock()
				falls++
				lost += len(x.cut)
				mu.Unlock()
				time.AfterFunc(2*time.Second, func() { _, _ = boot(zone) })
			},
		})
		live = append(live, x)
		return x, err
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
	var first []*server
	for i := range brittleServers {
		x, err := boot(zones[i%len(zones)])
		if err != nil {
			return verdict{}, err
		}
		first = append(first, x)
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(contactTime)
	replace := func(i int) error {
		if _, err := boot(zones[i%len(zones)]); err != nil {
			return err
		}
		time.Sleep(time.Second)
		return first[i].leave()
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	sent, served := 0, 0
	clients.Go(func() {
		q := request{method: "POST", host: "order.example", path: "/a/x", body: "order", timeLeft: 1500 * time.Millisecond}
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(3500 * time.Microsecond):
			}
			clients.Go(func() {
				x := attempt(rec, s.fronts[i%len(s.fronts)], q)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if x.served() {
					served++
				}
			})
		}
	})
	time.Sleep(2 * time.Second)
	mu.Lock()
	since = time.Now()
	mu.Unlock()
	rec.log("the servers are brittle from now on")
	time.Sleep(contactTime + 5*time.Second)
	mu.Lock()
	before := falls
	mu.Unlock()
	if trouble {
		// Two of five are replaced, one after the other: the new one starts first, the old one drains.
		for i := range brittleReplaced {
			if err := replace(i); err != nil {
				close(stop)
				clients.Wait()
				return verdict{}, err
			}
		}
	}
	time.Sleep(15 * time.Second)
	close(stop)
	clients.Wait()
	if gone := s.ended(); len(gone) > 0 {
		return verdict{}, fmt.Errorf("processes ended: %v", gone)
	}
	mu.Lock()
	defer mu.Unlock()
	bound := 2 + 0.1*float64(brittleServers)
	return verdict{
		broken: float64(falls) > bound,
		text: fmt.Sprintf("brittle servers fell over %d times, %d of them before the replacement (bound %.1f), with %d requests at work; %d of %d requests were served",
			falls, before, bound, lost, served, sent),
	}, nil
}
