package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// serverConfig describes one boot of a replica.
type serverConfig struct {
	id, service, zone, address string
	// work is how long a request runs.
	work time.Duration
	// coldFor is how long it is cold after its start.
	coldFor time.Duration
	// transit is how long its heartbeats are on their way to control, nil for no time.
	transit func() time.Duration
	// poison reports whether a request crashes the replica when it begins to run it. It may be nil.
	poison func(r *http.Request) bool
	// onCrash is called after the replica has crashed.
	onCrash func(s *server)
	// brittle returns since when the replica is brittle, the zero time if it is not. It may be nil.
	brittle func() time.Time
	// onFall is called after the replica has fallen over, being brittle.
	onFall func(s *server)
	// onArrival is called with each request that reaches the replica, before it is answered. It may be nil.
	onArrival func(s *server, id string)
}

// server is one boot of a replica.
type server struct {
	cfg      serverConfig
	rec      *record
	controls []string
	born     time.Time
	http     *http.Server
	seq      atomic.Uint64
	// leaving is set while the replica says in its answers that it leaves, draining while it reports so.
	leaving, draining atomic.Bool
	// cold is set if the replica is cold for cfg.coldFor after its start, which is during traffic.
	cold  atomic.Bool
	beats context.CancelFunc
	ended atomic.Bool

	mu       sync.Mutex
	arrivals []time.Time
	// rejections holds when the replica turned requests away for want of room.
	rejections []time.Time
	// running holds when the requests that run or wait were begun, by id, and cut those of them that the end cut off.
	running map[string]time.Time
	cut     []string
}

var idleClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

// startServer starts a replica and its heartbeats.
func startServer(rec *record, controls []string, cfg serverConfig) (*server, error) {
	listener, err := net.Listen("tcp", cfg.address)
	if err != nil {
		return nil, err
	}
	s := &server{cfg: cfg, rec: rec, controls: controls, born: time.Now(), running: map[string]time.Time{}}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.beats = cancel
	go s.heartbeats(ctx)
	rec.log("server %s (%s at %s, born %d) starts", cfg.id, cfg.service, cfg.address, s.born.UnixMilli())
	return s, nil
}

// body returns the message with which the replica registers now.
func (s *server) body() []byte {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	text, err := json.Marshal(map[string]any{
		"service": s.cfg.service, "addr": s.cfg.address, "zone": s.cfg.zone, "version": "v1", "slots": slots, "state": state,
		"cold_left_ms": max(s.cfg.coldFor-time.Since(s.born), 0).Milliseconds(), "seq": s.seq.Add(1), "born": s.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	return text
}

// heartbeats registers the replica every heartbeatTime until ctx ends. A heartbeat that is on its way then arrives.
func (s *server) heartbeats(ctx context.Context) {
	for first := 0; ctx.Err() == nil; first++ {
		go func() {
			for n := range s.controls {
				if ctx.Err() != nil || s.beat(s.controls[(first+n)%len(s.controls)]) {
					return
				}
			}
		}()
		select {
		case <-time.After(heartbeatTime):
		case <-ctx.Done():
		}
	}
}

// beat sends one heartbeat and reports whether it was acknowledged within a second.
func (s *server) beat(control string) bool {
	body, acked := s.body(), make(chan bool, 1)
	go func() {
		if s.cfg.transit != nil {
			time.Sleep(s.cfg.transit())
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		status, err := send(ctx, http.MethodPut, "http://"+control+"/instances/"+s.cfg.id, body)
		s.rec.log("heartbeat %s arrives at %s: status %d %v", body, control, status, err)
		acked <- err == nil && status < 300
	}()
	select {
	case ok := <-acked:
		return ok
	case <-time.After(time.Second):
		return false
	}
}

// delist sends DELETE /instances/ID until it is acknowledged.
func (s *server) delist() error {
	body, err := json.Marshal(map[string]any{"born": s.born.UnixMilli()})
	if err != nil {
		return err
	}
	for n := range 30 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := send(ctx, http.MethodDelete, "http://"+s.controls[n%len(s.controls)]+"/instances/"+s.cfg.id, body)
		cancel()
		if err == nil && status < 300 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("server %s: its DELETE was not acknowledged", s.cfg.id)
}

// leave ends the replica as planned: it reports draining, serves for drainTime and a little longer, deletes itself
// and exits.
func (s *server) leave() error {
	s.rec.log("server %s leaves", s.cfg.id)
	s.draining.Store(true)
	for n := 0; !s.beat(s.controls[n%len(s.controls)]); n++ {
		if n > 30 {
			return fmt.Errorf("server %s: draining was not acknowledged", s.cfg.id)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(drainTime + 500*time.Millisecond)
	if err := s.delist(); err != nil {
		return err
	}
	s.end("exits")
	return nil
}

// end closes all connections at once. It sends nothing more.
func (s *server) end(how string) bool {
	if s.ended.Swap(true) {
		return false
	}
	s.beats()
	s.mu.Lock()
	for id := range s.running {
		s.cut = append(s.cut, id)
	}
	s.mu.Unlock()
	_ = s.http.Close()
	s.rec.log("server %s %s with these requests at work: %v", s.cfg.id, how, s.cut)
	return true
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Try-Id")
	if since := s.brittleSince(); !since.IsZero() {
		w.Header().Set("Server-Brittle", strconv.Itoa(brittleRejections))
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", s.cfg.id)
		return
	}
	w.Header().Set("Try-Id", id)
	if s.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	switch {
	case id == "":
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("Expect-Instance") != s.cfg.id:
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		s.rec.log("request %s reaches server %s, which answers 421", id, s.cfg.id)
		return
	}
	if !s.begin(id) {
		s.reject(w, id)
		return
	}
	s.rec.log("request %s (%s %s) reaches server %s at %s and runs", id, r.Method, r.URL.RequestURI(), s.cfg.id, s.cfg.address)
	if s.cfg.onArrival != nil {
		s.cfg.onArrival(s, id)
	}
	if s.cfg.poison != nil && s.cfg.poison(r) {
		time.Sleep(2 * time.Millisecond)
		if s.end("crashes on request "+id) && s.cfg.onCrash != nil {
			s.cfg.onCrash(s)
		}
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(s.cfg.work):
	case <-r.Context().Done():
	}
	s.mu.Lock()
	delete(s.running, id)
	s.mu.Unlock()
	if r.Context().Err() != nil && !s.ended.Load() {
		return
	}
	if s.ended.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Seal", "seal."+s.cfg.id+"."+id)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "answer of %s to %s, %d bytes\n", s.cfg.id, id, len(body))
}

// slots is the number of requests that a replica runs at a time, and queue that of those that wait besides. One that is
// brittle lets none wait from contactTime on, and falls over when it has to turn more than brittleRejections away in a
// second.
const (
	slots             = 6
	queue             = 18
	brittleRejections = 3
)

// brittleSince returns since when the replica is brittle.
func (s *server) brittleSince() time.Time {
	if s.cfg.brittle == nil {
		return time.Time{}
	}
	return s.cfg.brittle()
}

// begin records that a request has reached the replica, and reports whether there is room for it.
func (s *server) begin(id string) bool {
	room := slots + queue
	if since := s.brittleSince(); !since.IsZero() && time.Since(since) > contactTime {
		room = slots
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
	if len(s.running) >= room {
		return false
	}
	s.running[id] = time.Now()
	return true
}

// reject turns a request away, and lets the replica fall over if that are too many.
func (s *server) reject(w http.ResponseWriter, id string) {
	s.rec.log("request %s is turned away by server %s", id, s.cfg.id)
	since, now := s.brittleSince(), time.Now()
	s.mu.Lock()
	s.rejections = append(s.rejections, now)
	recent := 0
	for _, at := range s.rejections {
		if now.Sub(at) < time.Second {
			recent++
		}
	}
	s.mu.Unlock()
	if !since.IsZero() && now.Sub(since) > contactTime && recent > brittleRejections {
		if s.end(fmt.Sprintf("falls over after %d rejections in a second", recent)) && s.cfg.onFall != nil {
			s.cfg.onFall(s)
		}
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// arrivedAfter returns the number of requests that reached the replica after a time.
func (s *server) arrivedAfter(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.arrivals {
		if at.After(t) {
			n++
		}
	}
	return n
}
