package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["evac"] = evacCase }

// plainConfig is a configuration with one idempotent and one non-idempotent route.
func plainConfig(version int) []byte {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "slo_ms": 300, "priority": 1, "service": "kafi81c",
			"attempts": attempts, "public": false, "sticky": false, "can_resume": false,
		}
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": []any{route("r-read", "/read/", "idempotent", 2), route("r-book", "/book/", "non_idempotent", 1)},
		"services": []any{map[string]any{"name": "kafi81c", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "bozi300", "api_keys": []string{plainKey}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return text
}

const plainKey = "jnbanfqasnmgkcuyj8pj"

// evacCase takes the evacuation of a zone back, with a core machine frozen that gets this order first, and
// evacuates the zone again. Then the frozen machine wakes.
func evacCase(s *site, trouble bool) (result, error) {
	const zone, freezeFor = "gyor", 7 * time.Second
	if err := s.startAll(3); err != nil {
		return result{}, err
	}
	var mu sync.Mutex
	arrivals := map[string][]time.Time{}
	for n, z := range zones {
		for k := range 2 {
			_, err := s.startReplica(2*n+k, "kafi81c", z, nil, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				arrivals[z] = append(arrivals[z], time.Now())
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
				_, _ = w.Write([]byte("stock: 7"))
			})
			if err != nil {
				return result{}, err
			}
		}
	}
	op := s.operator()
	if _, err := op.order(http.MethodPut, "/config", plainConfig(1), 0); err != nil {
		return result{}, err
	}
	if err := s.awaitReady(); err != nil {
		return result{}, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for n := range 12 {
		c := newConsumer(s.gates[n%len(s.gates)])
		go func() {
			header := http.Header{"Authorization": {"Token " + plainKey}}
			for k := 0; ; k++ {
				id := fmt.Sprintf("%02d%06d", n, k)
				a := c.send(http.MethodGet, "/read/x", id, 1500*time.Millisecond, header, nil)
				if k%50 == 0 || a.status != 200 {
					s.rec.line("consumer %d: request %s: %d %v", n, id, a.status, a.err)
				}
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		}()
	}
	time.Sleep(4 * time.Second)
	if _, err := op.order(http.MethodPost, "/evac/"+zone, nil, 1); err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	// The first machine is not the last to be asked for the other orders.
	frozen := s.cores[0]
	if trouble {
		s.rec.line("%s is frozen for %v", frozen.name, freezeFor)
		frozen.signal(syscall.SIGSTOP)
		go func() {
			time.Sleep(freezeFor)
			frozen.signal(syscall.SIGCONT)
			s.rec.line("%s wakes", frozen.name)
		}()
	}
	if _, err := op.order(http.MethodDelete, "/evac/"+zone, nil, 0); err != nil {
		return result{}, err
	}
	time.Sleep(time.Second)
	acked, err := op.order(http.MethodPost, "/evac/"+zone, nil, 1)
	if err != nil {
		return result{}, err
	}
	// The machine wakes within freezeFor of its stop, so contact_ms later all are in touch again.
	from := acked.Add(max(evacMillis*time.Millisecond, freezeFor+contact))
	time.Sleep(time.Until(from.Add(8 * time.Second)))
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range arrivals[zone] {
		if at.After(from) {
			late++
		}
	}
	total := 0
	for z, list := range arrivals {
		s.rec.line("replicas of %s: %d requests", z, len(list))
		total += len(list)
	}
	return result{late > 0, fmt.Sprintf("EVAC: %d requests reached replicas of zone %s later than %v after its evacuation was acknowledged, of %d in all", late, zone, from.Sub(acked).Round(time.Millisecond), total)}, nil
}
