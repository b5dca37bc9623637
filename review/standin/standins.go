package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for a sound replica of a service.
type replica struct {
	site                    *site
	id, service, zone, addr string
	born                    int64
	models                  []map[string]any
	server                  *http.Server
	seq                     atomic.Int64
	next                    atomic.Int64
	stop                    context.CancelFunc
	// run serves a request that the replica begins to run.
	run func(w http.ResponseWriter, r *http.Request)
	// special, if not nil, serves calls of the system itself, and reports whether it has served one.
	special func(w http.ResponseWriter, r *http.Request) bool
	// describe, if not nil, changes what a heartbeat says.
	describe func(body map[string]any)

	mu    sync.Mutex
	state string
}

func (s *site) startReplica(n int, service, zone string, models []map[string]any, run func(w http.ResponseWriter, r *http.Request)) (*replica, error) {
	return s.startReplicaWith(n, replicaConfig{service: service, zone: zone, models: models, run: run})
}

// replicaConfig describes a replica, with fields as in replica.
type replicaConfig struct {
	service, zone string
	models        []map[string]any
	run           func(w http.ResponseWriter, r *http.Request)
	special       func(w http.ResponseWriter, r *http.Request) bool
	describe      func(body map[string]any)
}

// startReplicaWith starts a replica that is not an ordinary one.
func (s *site) startReplicaWith(n int, with replicaConfig) (*replica, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:8080", s.ip(3, n)))
	if err != nil {
		return nil, err
	}
	r := &replica{
		site: s, id: fmt.Sprintf("i-%08x", 0x5a000000+n), service: with.service, zone: with.zone, addr: listener.Addr().String(), born: time.Now().UnixMilli(),
		models: with.models, state: "ready", run: with.run, special: with.special, describe: with.describe,
	}
	r.next.Store(int64(n))
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go r.beat(ctx)
	return r, nil
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	header := w.Header()
	header.Set("Try-Id", q.Header.Get("Try-Id"))
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		header.Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.special != nil && r.special(w, q) {
		return
	}
	if q.URL.Path == "/report" {
		header.Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "dual", "models": r.models, "busy": false, "seq": 0, "queued": 0, "running": 0})
		return
	}
	header.Set("Server-Seal", "5ea1."+r.id+"."+q.Header.Get("Try-Id"))
	r.run(w, q)
}

// heartbeat returns what the next heartbeat says.
func (r *replica) heartbeat() map[string]any {
	r.mu.Lock()
	state := r.state
	r.mu.Unlock()
	body := map[string]any{
		"service": r.service, "addr": r.addr, "zone": r.zone, "version": "v1", "slots": 64, "state": state, "cold_left_ms": 0, "seq": r.seq.Add(1), "born": r.born,
	}
	if r.models != nil {
		body["models"], body["stage"] = r.models, "dual"
	}
	if r.describe != nil {
		r.describe(body)
	}
	return body
}

// beat registers the replica every heartbeat until ctx is done, at the next node after a failure.
func (r *replica) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		text, _ := json.Marshal(r.heartbeat())
		core := r.site.cores[int(r.next.Load())%len(r.site.cores)]
		request, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+core.ip+":8000/instances/"+r.id, bytes.NewReader(text))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		wait := heartbeat
		if err != nil || response.StatusCode >= 300 {
			r.next.Add(1)
			wait = 100 * time.Millisecond
		}
		if err == nil {
			_ = response.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// operator is a stand-in for the operator: it sends an order to one node after the other until one
// acknowledges it.
type operator struct {
	site   *site
	client *http.Client
}

func (s *site) operator() *operator {
	return &operator{site: s, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// order sends an order, to the core process first, then the others, and returns when it was acknowledged.
func (o *operator) order(method, path string, body []byte, first int) (time.Time, error) {
	pause := 50 * time.Millisecond
	for try := range 40 {
		core := o.site.cores[(first+try)%len(o.site.cores)]
		request, err := http.NewRequest(method, "http://"+core.ip+":8000"+path, bytes.NewReader(body))
		if err != nil {
			return time.Time{}, err
		}
		if body != nil {
			request.Header.Set("Content-Type", "application/json")
		}
		response, err := o.client.Do(request)
		if err != nil {
			o.site.rec.line("operator: %s %s at %s: no response (%v)", method, path, core.name, err)
		} else {
			text, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode < 300 {
				o.site.rec.line("operator: %s %s at %s: acknowledged with %d", method, path, core.name, response.StatusCode)
				return time.Now(), nil
			}
			o.site.rec.line("operator: %s %s at %s: %d %s", method, path, core.name, response.StatusCode, bytes.TrimSpace(text))
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return time.Time{}, fmt.Errorf("%s %s was not acknowledged", method, path)
}

// answer is what a consumer got for one request.
type answer struct {
	status int
	sealed bool
	body   string
	err    error
}

// consumer is a stand-in for a consumer, which keeps its channel to a gate.
type consumer struct {
	gate   *process
	client *http.Client
}

func newConsumer(gate *process) *consumer {
	return &consumer{gate: gate, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}}}
}

func (c *consumer) send(method, path, id string, deadline time.Duration, header http.Header, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.gate.ip+":8005"+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Host = hostName
	request.Header.Set("Try-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, sealed: response.Header.Get("Server-Seal") != "", body: string(text), err: err}
}

const hostName = "pule25.example"

// ready reports whether a gate says that it is ready.
func ready(gate *process) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + gate.ip + ":8002/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all gates say that they are ready.
func (s *site) awaitReady() error {
	for range 200 {
		all := true
		for _, g := range s.gates {
			all = all && ready(g)
		}
		if all {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the gates are not ready")
}
