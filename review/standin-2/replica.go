package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// loadTime is how long a replica takes to load new weights.
	loadTime = 900 * time.Millisecond
)

// orderSeen is an order that reached a replica.
type orderSeen struct {
	at      time.Time
	holder  string
	fence   uint64
	version uint64
	status  int
}

// replica is the stand-in of a replica that runs one model.
type replica struct {
	platform *platform
	network  *network
	id, zone string
	address  string
	born     int64

	mu      sync.Mutex
	version uint64
	seq     uint64
	beats   uint64
	busy    bool
	orders  []orderSeen
	// cached holds by scope and part which tenant's request made the part, and runs the requests that ran.
	cached map[string]string
	runs   []run
}

// newReplica starts a replica that listens on one address and registers another one.
func newReplica(p *platform, n *network, id, zone, listen, address string) (*replica, error) {
	r := &replica{platform: p, network: n, id: id, zone: zone, address: address, born: time.Now().UnixMilli(), version: 1, cached: map[string]string{}}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", r.serveReport)
	mux.HandleFunc("POST /order", r.serveOrder)
	mux.HandleFunc("POST /llm/", r.serveStream)
	go func() { _ = http.Serve(listener, mux) }()
	return r, nil
}

func (r *replica) models() []map[string]any {
	return []map[string]any{{"name": "m0", "version": r.version, "adapters": []string{}}}
}

func (r *replica) serveReport(w http.ResponseWriter, request *http.Request) {
	if r.misdirected(w, request) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "dual", "models": r.models(), "busy": r.busy, "seq": r.seq, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 93628, "handles": 0,
	})
}

// misdirected answers a request for another replica.
func (r *replica) misdirected(w http.ResponseWriter, request *http.Request) bool {
	if expected := request.Header.Get("Expect-Instance"); expected == "" || expected == r.id {
		return false
	}
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (r *replica) serveOrder(w http.ResponseWriter, request *http.Request) {
	at := time.Now()
	if r.misdirected(w, request) {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	var o struct {
		Op, Model, Mode, Holder string
		Version, Fence          uint64
		Precondition            *uint64
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	status := http.StatusAccepted
	switch {
	case r.busy || o.Precondition != nil && *o.Precondition != r.seq:
		status = http.StatusConflict
	case r.version >= o.Version:
		status = http.StatusOK
	default:
		r.seq++
		r.busy = true
		time.AfterFunc(loadTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.version, r.busy = o.Version, false
		})
	}
	r.orders = append(r.orders, orderSeen{at, o.Holder, o.Fence, o.Version, status})
	r.mu.Unlock()
	r.platform.record.note("replica %s: order for version %d from holder %s with fence %d, answered %d", r.id, o.Version, o.Holder, o.Fence, status)
	w.WriteHeader(status)
}

// seen returns the orders that have reached the replica.
func (r *replica) seen() []orderSeen {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.orders)
}

// keepRegistered sends heartbeats until done is closed, to machines that the replica's zone reaches.
func (r *replica) keepRegistered(done chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r.mu.Lock()
		r.beats++
		body, _ := json.Marshal(map[string]any{
			"service": "llm", "addr": r.address, "zone": r.zone, "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0,
			"stage": "dual", "models": r.models(), "seq": r.beats, "born": r.born,
		})
		r.mu.Unlock()
		for _, m := range r.platform.machines {
			if !m.core || !r.network.reaches(r.zone, m.zone) {
				continue
			}
			request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/instances/%s", m.control(), r.id), bytes.NewReader(body))
			if err != nil {
				continue
			}
			response, err := client.Do(request)
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode < 300 {
				break
			}
		}
		select {
		case <-done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}
