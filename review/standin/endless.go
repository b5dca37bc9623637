package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

func init() { cases["endless"] = endlessCase }

// memory returns the memory of a process that no file backs, in MB: less than what the platform counts.
func (p *process) memory() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			var kilobytes float64
			_, _ = fmt.Sscan(strings.TrimSpace(value), &kilobytes)
			return kilobytes / 1024
		}
	}
	return 0
}

const (
	// endlessStores is the number of the five stores that send bytes without end.
	endlessStores = 4
	// linkBytes is the number of bytes a second that the link of a machine carries (1,000 Mbit/s). The
	// stores share it, for each core machine.
	linkBytes = 125e6
	// endlessTime is how long they do so.
	endlessTime = 45 * time.Second
	// maxEnds is how often processes of one machine may end by themselves in a day, less one.
	maxEnds = 3
)

// endlessStore sends bytes without end in place of an answer, until the caller closes.
func endlessStore(w http.ResponseWriter, events []byte) {
	_, _ = w.Write([]byte(`{"epoch":1,"next":2,"lost":false,"events":[`))
	perByte := float64(time.Second) * endlessStores / linkBytes
	for n, begin := 1, time.Now(); ; n++ {
		if _, err := w.Write(events); err != nil {
			return
		}
		time.Sleep(time.Until(begin.Add(time.Duration(float64(n*len(events)) * perByte))))
	}
}

// endlessCase makes most stores send bytes without end to the core processes that follow them.
func endlessCase(s *site, trouble bool) (result, error) {
	if err := s.startAll(3); err != nil {
		return result{}, err
	}
	bad := make(chan struct{})
	events := bytes.Repeat([]byte(`[119,"+","s1","5c1e07a2",800,"daka510000"],`), 1500)
	var stores []any
	for n := range 5 {
		l, err := net.Listen("tcp", s.ip(4, n)+":8006")
		if err != nil {
			return result{}, err
		}
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-bad:
				if n < endlessStores {
					endlessStore(w, events)
					return
				}
			default:
			}
			w.Header().Set("Content-Type", "application/json")
			if r.URL.Path == "/kv-list" {
				fmt.Fprintf(w, `{"epoch":%d,"next":1,"held":[]}`, n+1)
				return
			}
			time.Sleep(500 * time.Millisecond)
			fmt.Fprintf(w, `{"epoch":%d,"next":1,"lost":false,"events":[]}`, n+1)
		})
		go func() { _ = http.Serve(l, handler) }()
		stores = append(stores, map[string]any{
			"name": fmt.Sprintf("daje%df", n), "kv_store_addr": l.Addr().String(), "zone": zones[n%3], "kv_tokens": 103140, "link_mbps": 57000.0,
			"max_inflight": 12, "managed": true, "first_ms": 0.5,
		})
	}
	for n, z := range zones {
		if _, err := s.startReplica(n, "kafi81c", z, nil, func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte("ok")) }); err != nil {
			return result{}, err
		}
	}
	var c map[string]any
	if err := json.Unmarshal(plainConfig(1), &c); err != nil {
		return result{}, err
	}
	c["services"] = append(c["services"].([]any), stores...)
	text, err := json.Marshal(c)
	if err != nil {
		return result{}, err
	}
	if _, err := s.operator().order(http.MethodPut, "/config", text, 0); err != nil {
		return result{}, err
	}
	if err := s.awaitReady(); err != nil {
		return result{}, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		s.rec.line("%d of 5 stores send bytes without end", endlessStores)
		close(bad)
	}
	kills, worst := map[string]int{}, 0.0
	for end := time.Now().Add(endlessTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, p := range s.cores {
			used := p.memory()
			worst = max(worst, used)
			if used <= coreMemoryMB {
				continue
			}
			kills[p.name]++
			s.rec.line("%s uses %.1f of %d MB: the platform kills it and starts it again", p.name, used, coreMemoryMB)
			p.kill()
			if err := p.start(); err != nil {
				return result{}, err
			}
		}
	}
	machines := 0
	for _, n := range kills {
		if n >= maxEnds {
			machines++
		}
	}
	return result{machines >= 2, fmt.Sprintf("Fault: processes of %d of 3 core machines exceeded their memory %d times or more (%v, at most %.1f of %d MB)", machines, maxEnds, kills, worst, coreMemoryMB)}, nil
}
