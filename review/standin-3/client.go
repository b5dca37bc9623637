package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) log(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// result is how an attempt of a client ended.
type result struct {
	id     string
	front  string
	status int
	err    error
	sentAt time.Time
	took   time.Duration
}

// request is what a client sends.
type request struct {
	method, host, path string
	body               string
	timeLeft           time.Duration
	header             http.Header
}

var fronts = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// attempt sends one attempt with an id of its own to a front.
func attempt(rec *record, front string, q request) result {
	x := result{id: fmt.Sprintf("%016x", rand.Uint64()), front: front, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.timeLeft)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+front+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		x.err = err
		return x
	}
	r.Host = q.host
	for name, values := range q.header {
		r.Header[name] = values
	}
	r.Header.Set("Try-Id", x.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(q.timeLeft.Milliseconds(), 10))
	rec.log("request %s (%s %s%s) sent to %s", x.id, q.method, q.host, q.path, front)
	response, err := fronts.Do(r)
	if err == nil {
		x.status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	x.err, x.took = err, time.Since(x.sentAt)
	leaving := ""
	if response != nil && response.Header.Get("Server-Leaving") != "" {
		leaving = ", Server-Leaving"
	}
	rec.log("request %s ends: status %d%s, error %v", x.id, x.status, leaving, x.err)
	return x
}

// served reports whether the attempt succeeded.
func (x result) served() bool { return x.err == nil && x.status >= 200 && x.status < 300 }

// route returns a route of a configuration.
func route(name, host, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "slo_ms": 150, "priority": 1, "service": service,
		"attempts": 2, "public": true, "sticky": false, "can_resume": false,
	}
}

// application returns a service of a configuration that runs no models.
func application(name string, coldPerSecond float64) map[string]any {
	cold := 0.0
	if coldPerSecond > 0 {
		cold = 3
	}
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false, "cold_s": cold, "cold_per_s": coldPerSecond,
	}
}

// configuration returns a whole configuration.
func configuration(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
