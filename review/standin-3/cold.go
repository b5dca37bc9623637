package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// coldServers is the number of servers, of which one crashes.
const coldServers = 7

// coldRate is cold_per_s, and coldBound the number of requests that a cold replica may get in a second. A cold replica
// crashes when it gets coldCrash in a second, which is well above that.
const (
	coldRate  = 8.9
	coldBound = coldRate*1.5 + 5
	coldCrash = 2 * coldBound
	coldFor   = 3 * time.Second
)

// runCold crashes a replica that starts again under the id and at the address that it had, cold. Its heartbeats are on
// their way for some seconds, so that the last ones of the former boot arrive after the crash.
func runCold(rec *record, trouble bool) (verdict, error) {
	s, err := startSystem(2)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	routes := []map[string]any{route("r-order", "order.example", "/a/", "non_idempotent", "floor")}
	if err := s.order("PUT", "/config", configuration(1, routes, []map[string]any{application("floor", coldRate)})); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	var running []*server
	defer func() {
		for _, x := range running {
			x.end("is stopped")
		}
	}()
	var configs []serverConfig
	for i := range coldServers {
		configs = append(configs, serverConfig{
			id: fmt.Sprintf("i-floor%d", i+1), service: "floor", zone: zones[i%len(zones)], address: join(s.host(), 8080), work: 30 * time.Millisecond, coldFor: coldFor,
		})
	}
	if trouble {
		configs[0].transit = func() time.Duration { return 3 * time.Second }
	}
	lost, overloads := 0, 0
	configs[0].onArrival = func(x *server, id string) {
		now := time.Now()
		if now.Sub(x.born) >= coldFor || !x.cold.Load() || float64(x.mostInASecond(now.Add(-time.Second), now)) < coldCrash {
			return
		}
		if x.end("crashes, cold, from too many requests") {
			mu.Lock()
			defer mu.Unlock()
			overloads++
			lost += len(x.cut)
		}
		panic(http.ErrAbortHandler)
	}
	for _, cfg := range configs {
		x, err := startServer(rec, s.controls, cfg)
		if err != nil {
			return verdict{}, err
		}
		running = append(running, x)
	}
	if err := s.awaitReady(30 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(12 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	sent, served := 0, 0
	clients.Go(func() {
		q := request{method: "POST", host: "order.example", path: "/a/x", body: "order", timeLeft: 1500 * time.Millisecond}
		for i, start := 0, time.Now(); ; i++ {
			// The rate does not depend on how busy the machine is.
			select {
			case <-stop:
				return
			case <-time.After(time.Until(start.Add(time.Duration(i) * 4 * time.Millisecond))):
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
	most, restarts := 0, 5
	for range restarts {
		time.Sleep(6 * time.Second)
		running[0].end("crashes")
		time.Sleep(1500 * time.Millisecond)
		back, err := startServer(rec, s.controls, configs[0])
		if err != nil {
			close(stop)
			clients.Wait()
			return verdict{}, err
		}
		running[0] = back
		back.cold.Store(true)
		time.Sleep(coldFor)
		count := back.mostInASecond(back.born, back.born.Add(coldFor))
		rec.log("the cold boot got at most %d requests in a second", count)
		most = max(most, count)
	}
	close(stop)
	clients.Wait()
	if gone := s.ended(); len(gone) > 0 {
		return verdict{}, fmt.Errorf("processes ended: %v", gone)
	}
	return verdict{
		broken: float64(most) > coldBound,
		text: fmt.Sprintf("in %d restarts a cold replica got up to %d requests in a second (bound %.2f) and crashed %d times from them, with %d requests at work; %d of %d requests were served",
			restarts, most, coldBound, overloads, lost, served, sent),
	}, nil
}

// mostInASecond returns the largest number of requests that reached the replica in a second within a time.
func (s *server) mostInASecond(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for i, at := range s.arrivals {
		if at.Before(from) || at.After(to) {
			continue
		}
		n := 0
		for _, other := range s.arrivals[i:] {
			if other.Sub(at) < time.Second && !other.After(to) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
