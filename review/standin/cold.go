package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cold"] = coldCase }

// Cold replicas, with the bounds of the site files.
const (
	coldFor    = 3 * time.Second
	coldPerS   = 8.9
	coldFactor = 1.5
	coldSlack  = 5
)

// coldConfig is plainConfig with a service whose replicas can be cold.
func coldConfig(version int) ([]byte, error) {
	var config map[string]any
	if err := json.Unmarshal(plainConfig(version), &config); err != nil {
		return nil, err
	}
	service := config["services"].([]any)[0].(map[string]any)
	service["cold_s"], service["cold_per_s"] = coldFor.Seconds(), coldPerS
	return json.Marshal(config)
}

// coldReplica is the state of the replica that becomes cold.
type coldReplica struct {
	mu sync.Mutex
	// until is when the replica stops being cold.
	until time.Time
	// arrivals are the requests that it got while it was cold, with the moment from which on the
	// consumer had sent them.
	arrivals []arrival
}

type arrival struct{ sent, at time.Time }

// becomeCold makes the replica cold for coldFor from now on.
func (c *coldReplica) becomeCold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Now().Add(coldFor)
}

// left returns how long the replica stays cold.
func (c *coldReplica) left() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(time.Until(c.until), 0)
}

// busiestSecond returns the largest number of requests that were sent and arrived in one second that began at
// a time or later.
func busiestSecond(arrivals []arrival, from time.Time) (most int, begin time.Time) {
	for _, first := range arrivals {
		if first.sent.Before(from) {
			continue
		}
		count := 0
		for _, a := range arrivals {
			if !a.sent.Before(first.sent) && a.at.Before(first.sent.Add(time.Second)) {
				count++
			}
		}
		if count > most {
			most, begin = count, first.sent
		}
	}
	return most, begin
}

// coldCase lets a replica become cold, and cold again before that has ended.
func coldCase(s *site, trouble bool) (result, error) {
	if err := s.startAll(3); err != nil {
		return result{}, err
	}
	cold := &coldReplica{}
	for n, z := range zones {
		with := replicaConfig{service: "kafi81c", zone: z, run: func(w http.ResponseWriter, r *http.Request) {
			if n == 0 {
				var sent int64
				_, _ = fmt.Sscan(r.Header.Get("Sent-Nanos"), &sent)
				cold.mu.Lock()
				if now := time.Now(); now.Before(cold.until) {
					cold.arrivals = append(cold.arrivals, arrival{time.Unix(0, sent), now})
				}
				cold.mu.Unlock()
			}
			time.Sleep(5 * time.Millisecond)
			_, _ = w.Write([]byte("stock: 7"))
		}}
		if n == 0 {
			with.describe = func(body map[string]any) {
				left := cold.left()
				body["cold_left_ms"] = left.Milliseconds()
				s.rec.line("replica 0: heartbeat %v says cold_left_ms %d", body["seq"], left.Milliseconds())
			}
		}
		if _, err := s.startReplicaWith(n, with); err != nil {
			return result{}, err
		}
	}
	config, err := coldConfig(1)
	if err != nil {
		return result{}, err
	}
	if _, err := s.operator().order(http.MethodPut, "/config", config, 0); err != nil {
		return result{}, err
	}
	if err := s.awaitReady(); err != nil {
		return result{}, err
	}
	stop := make(chan struct{})
	var consumers sync.WaitGroup
	var mu sync.Mutex
	answered := map[int]int{}
	for n := range 30 {
		c := newConsumer(s.gates[n%len(s.gates)])
		consumers.Go(func() {
			for k := 0; ; k++ {
				header := http.Header{"Authorization": {"Token " + plainKey}, "Sent-Nanos": {fmt.Sprint(time.Now().UnixNano())}}
				a := c.send(http.MethodGet, "/read/x", fmt.Sprintf("%02d%06d", n, k), 1500*time.Millisecond, header, nil)
				mu.Lock()
				answered[a.status]++
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(250 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(contact + time.Second)
	begin := time.Now()
	cold.becomeCold()
	s.rec.line("replica 0 becomes cold for %v", coldFor)
	if trouble {
		for range 3 {
			time.Sleep(coldFor - 100*time.Millisecond)
			cold.becomeCold()
			s.rec.line("replica 0 becomes cold again, for %v from now on", coldFor)
		}
	}
	time.Sleep(coldFor)
	close(stop)
	consumers.Wait()
	cold.mu.Lock()
	defer cold.mu.Unlock()
	// The first heartbeat that says so is sent within 1.2 s.
	from := begin.Add(heartbeat + 500*time.Millisecond)
	most, at := busiestSecond(cold.arrivals, from)
	perSecond := map[int]int{}
	for _, a := range cold.arrivals {
		perSecond[int(a.at.Sub(begin).Seconds())]++
	}
	for second := range int(time.Since(begin).Seconds()) {
		s.rec.line("second %d since replica 0 became cold: %d requests reached it while it was cold", second, perSecond[second])
	}
	s.rec.line("answers by status: %v", answered)
	allowed := coldPerS*coldFactor + coldSlack
	return result{float64(most) > allowed, fmt.Sprintf("FAILBACK: the cold replica got %d requests in one second, which began %.1f s after it became cold; allowed are %.1f", most, at.Sub(begin).Seconds(), allowed)}, nil
}
