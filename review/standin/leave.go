package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["leave"] = leaveCase }

// leavingReplica is what is seen of the replica that leaves.
type leavingReplica struct {
	mu sync.Mutex
	// cut is set while its heartbeats reach no core machine.
	cut  bool
	gone bool
	// arrivals are the requests that it got, and ran those that it began to run, by Try-Id.
	arrivals []time.Time
	ran      map[string]bool
}

// leaveCase restarts the core while a replica is cut off from it. When the cut has healed and the core has been
// stable for contact_ms, the replica leaves, with DELETE as its first call.
func leaveCase(s *site, trouble bool) (result, error) {
	const longer = 4 * time.Second
	if err := s.startAll(3); err != nil {
		return result{}, err
	}
	leaving := &leavingReplica{ran: map[string]bool{}}
	var first *replica
	// One of five replicas is the share that srv_cut has.
	for n := range 5 {
		z := zones[n%len(zones)]
		with := replicaConfig{service: "kafi81c", zone: z, run: func(w http.ResponseWriter, r *http.Request) {
			if n == 0 {
				leaving.mu.Lock()
				leaving.arrivals, leaving.ran[r.Header.Get("Try-Id")] = append(leaving.arrivals, time.Now()), true
				leaving.mu.Unlock()
			}
			time.Sleep(30 * time.Millisecond)
			_, _ = w.Write([]byte("booked"))
		}}
		r, err := s.startReplicaWith(n, with)
		if err != nil {
			return result{}, err
		}
		if n == 0 {
			first = r
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
	var consumers sync.WaitGroup
	var mu sync.Mutex
	answered := map[int]int{}
	lost := 0
	for n := range 24 {
		c := newConsumer(s.gates[n%len(s.gates)])
		consumers.Go(func() {
			for k := 0; ; k++ {
				id := fmt.Sprintf("%02d%06d", n, k)
				a := c.send(http.MethodPost, "/book/x", id, 1500*time.Millisecond, http.Header{"Authorization": {"Token " + plainKey}}, []byte("an order"))
				mu.Lock()
				answered[a.status]++
				leaving.mu.Lock()
				if a.status != http.StatusOK && leaving.ran[id] {
					lost++
					s.rec.line("consumer %d: order %s was run by the leaving replica and got no answer of it: %d %v", n, id, a.status, a.err)
				}
				leaving.mu.Unlock()
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(contact)
	// The replica is cut off from the core machines: its heartbeats reach none.
	first.stop()
	s.rec.line("replica 0 is cut off from the core machines")
	if trouble {
		time.Sleep(500 * time.Millisecond)
		for _, c := range s.cores {
			c.signal(syscall.SIGKILL)
			<-c.ended
		}
		s.rec.line("all processes of the core were killed")
		time.Sleep(300 * time.Millisecond)
		for _, c := range s.cores {
			if err := c.start(); err != nil {
				return result{}, err
			}
		}
		s.rec.line("all processes of the core were started again")
		time.Sleep(contact + 500*time.Millisecond)
	} else {
		time.Sleep(contact + 1300*time.Millisecond)
	}
	s.rec.line("the cut heals, and replica 0 leaves")
	acked, err := op.order(http.MethodDelete, "/instances/"+first.id, bytes.TrimSpace([]byte(fmt.Sprintf(`{"born":%d}`, first.born))), 1)
	if err != nil {
		return result{}, err
	}
	from := acked.Add(drainMillis * time.Millisecond)
	time.Sleep(time.Until(from.Add(longer)))
	late := 0
	leaving.mu.Lock()
	for _, at := range leaving.arrivals {
		if at.After(from) {
			late++
		}
	}
	total := len(leaving.arrivals)
	leaving.mu.Unlock()
	_ = first.server.Close()
	s.rec.line("replica 0 has ended")
	time.Sleep(time.Second)
	close(stop)
	consumers.Wait()
	s.rec.line("answers by status: %v; replica 0 got %d requests", answered, total)
	return result{late > 0, fmt.Sprintf("DRAIN: %d requests reached the replica later than %v after it was acknowledged that it is gone, and before it ended %v later; %d orders that it had begun to run got no answer of it", late, from.Sub(acked), longer, lost)}, nil
}
