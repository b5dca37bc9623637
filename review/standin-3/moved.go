package main

import (
	"fmt"
	"time"
)

// runMoved moves the server of a route that was added later: it drains, deletes itself, exits, and starts again under the
// id that it had at another address. Then its former address goes to a new server of another service.
func runMoved(rec *record, trouble bool) (verdict, error) {
	s, err := startSystem(2)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	routes := []map[string]any{route("r-first", "first.example", "/a/", "idempotent", "floor")}
	services := []map[string]any{application("floor", 0), application("desk", 0)}
	if err := s.order("PUT", "/config", configuration(1, routes, services)); err != nil {
		return verdict{}, err
	}
	const work = 20 * time.Millisecond
	serve := func(id, service, zone, address string) (*server, error) {
		return startServer(rec, s.controls, serverConfig{id: id, service: service, zone: zone, address: address, work: work})
	}
	var running []*server
	defer func() {
		for _, x := range running {
			x.end("is stopped")
		}
	}()
	floor, err := serve("i-floor1", "floor", "gyor", join(s.host(), 8080))
	if err != nil {
		return verdict{}, err
	}
	former := join(s.host(), 8080)
	desk, err := serve("i-desk1", "desk", "papa", former)
	if err != nil {
		return verdict{}, err
	}
	running = append(running, floor, desk)
	if err := s.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	// The second configuration adds a route.
	routes = append(routes, route("r-later", "later.example", "/b/", "idempotent", "desk"))
	if err := s.order("PUT", "/config", configuration(2, routes, services)); err != nil {
		return verdict{}, err
	}
	time.Sleep(contactTime)
	first := request{method: "GET", host: "first.example", path: "/a/x", timeLeft: 1500 * time.Millisecond}
	later := request{method: "GET", host: "later.example", path: "/b/x", timeLeft: 1500 * time.Millisecond}
	// rates returns how often the requests on both routes are served.
	rates := func(n int) (firstServed, laterServed int) {
		for i := range n {
			front := s.fronts[i%len(s.fronts)]
			if attempt(rec, front, first).served() {
				firstServed++
			}
			if attempt(rec, front, later).served() {
				laterServed++
			}
			time.Sleep(100 * time.Millisecond)
		}
		return firstServed, laterServed
	}
	if a, b := rates(10); a < 10 || b < 10 {
		return verdict{}, fmt.Errorf("before the move %d of 10 requests on the first route and %d of 10 on the later one were served", a, b)
	}
	if err := desk.leave(); err != nil {
		return verdict{}, err
	}
	moved, err := serve("i-desk1", "desk", "papa", join(s.host(), 8080))
	if err != nil {
		return verdict{}, err
	}
	running = append(running, moved)
	time.Sleep(reuseAfter + time.Second)
	address := join(s.host(), 8080)
	if trouble {
		address = former
	}
	fresh, err := serve("i-floor2", "floor", "tata", address)
	if err != nil {
		return verdict{}, err
	}
	running = append(running, fresh)
	time.Sleep(2 * contactTime)
	const n = 100
	a, b := rates(n)
	if gone := s.ended(); len(gone) > 0 {
		return verdict{}, fmt.Errorf("processes ended: %v", gone)
	}
	return verdict{
		broken: 4*b < a,
		text:   fmt.Sprintf("in steady state %d of %d requests on the first route were served, and %d of %d on the route that was added later", a, n, b, n),
	}, nil
}
