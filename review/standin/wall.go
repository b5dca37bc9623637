package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["wall"] = wallCase }

const (
	modelName = "daka510000"
	firstKey  = "bvk9m68k7b2ex5wa5xwy"
	secondKey = "q7c2m0vd81kx4hs9tlw3"
	firstName = "bozi300"
	otherName = "cemu417"
)

// modelConfig is a configuration with one stream route of a model, and two tenants.
func modelConfig(version int, isolated bool) []byte {
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-2xp4zhp", "host": hostName, "path_prefix": "/cufi501/", "kind": "stream", "timeout_ms": 10000, "slo_ms": 1200, "itl_slo_ms": 800,
			"priority": 1, "service": "huvo11a", "attempts": 2, "public": false, "sticky": true, "can_resume": true,
		}},
		"services": []any{map[string]any{
			"name": "huvo11a", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "cold_s": 3.0, "cold_per_s": 8.9,
			"engine": map[string]any{
				"slots": 64, "kv_tokens": 93628, "kv_token_bytes": 18432, "link_mbps": 740000.0, "moves": true, "backups": true, "managed": true, "stride": 8,
				"max_inflight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": modelName}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": firstName, "api_keys": []string{firstKey}, "priority": 1, "isolated": isolated},
			map[string]any{"name": otherName, "api_keys": []string{secondKey}, "priority": 1},
		},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// kvCache is what one replica keeps of prompts: for each text of Cache-Salt and each beginning of a prompt,
// the tenant whose request made it.
type kvCache struct {
	mu    sync.Mutex
	maker map[string]string
}

// use is one request that used KV cache which a request of another tenant had made.
type use struct {
	at             time.Time
	request, by    string
	maker, part    string
	salt, replicas string
}

// wallCase declares a tenant isolated whose requests have filled the KV cache before.
func wallCase(s *site, trouble bool) (result, error) {
	if err := s.startAll(3); err != nil {
		return result{}, err
	}
	var mu sync.Mutex
	var uses []use
	ran := map[string]int{}
	for n, z := range zones {
		cache := &kvCache{maker: map[string]string{}}
		models := []map[string]any{{"name": modelName, "version": 1, "adapters": []any{}}}
		name := fmt.Sprintf("%s-%d", z, n)
		_, err := s.startReplica(n, "huvo11a", z, models, func(w http.ResponseWriter, r *http.Request) {
			tenant, salt, prefix := r.Header.Get("Tenant"), r.Header.Get("Cache-Salt"), ""
			cache.mu.Lock()
			for entry := range strings.SplitSeq(r.Header.Get("Prefix-Hash"), ",") {
				part, _, _ := strings.Cut(entry, ":")
				prefix += "," + part
				maker, kept := cache.maker[salt+prefix]
				if !kept {
					cache.maker[salt+prefix] = tenant
					continue
				}
				if maker != tenant {
					mu.Lock()
					uses = append(uses, use{time.Now(), r.Header.Get("Try-Id"), tenant, maker, part, salt, name})
					mu.Unlock()
				}
			}
			cache.mu.Unlock()
			mu.Lock()
			ran[tenant]++
			mu.Unlock()
			w.Header().Set("Content-Type", "text/event-stream")
			for k := range 3 {
				time.Sleep(5 * time.Millisecond)
				fmt.Fprintf(w, "id: %d\ndata: piece\n\n", k+1)
				w.(http.Flusher).Flush()
			}
		})
		if err != nil {
			return result{}, err
		}
	}
	op := s.operator()
	// Without the disruption, the tenant is isolated from the start.
	if _, err := op.order(http.MethodPut, "/config", modelConfig(1, !trouble), 0); err != nil {
		return result{}, err
	}
	if err := s.awaitReady(); err != nil {
		return result{}, err
	}
	time.Sleep(contact)
	sendAll := func(phase, tenant, key string, count int) int {
		served := 0
		for k := range count {
			c := newConsumer(s.gates[k%len(s.gates)])
			id := fmt.Sprintf("%s-%s-%02d", phase, tenant, k)
			header := http.Header{
				"Authorization": {"Token " + key}, "Model": {modelName}, "Token-Count": {"1460,8"},
				"Prefix-Hash": {fmt.Sprintf("5c1e07a2:800,%08x:410,%08x%04x:250", 0x91bd3f00+k%5, k, len(id))},
			}
			a := c.send(http.MethodPost, "/cufi501/fi50/", id, 8*time.Second, header, []byte("a prompt"))
			if a.status == 200 && a.sealed && a.err == nil {
				served++
			}
			s.rec.line("consumer of %s: request %s: %d %v", tenant, id, a.status, a.err)
			c.client.CloseIdleConnections()
		}
		return served
	}
	first := sendAll("before", firstName, firstKey, 20)
	acked, err := op.order(http.MethodPut, "/config", modelConfig(2, true), 1)
	if err != nil {
		return result{}, err
	}
	from := acked.Add(configMillis*time.Millisecond + time.Second)
	time.Sleep(time.Until(from))
	second := sendAll("after", otherName, secondKey, 20)
	if first < 20 || second < 20 {
		return result{}, fmt.Errorf("only %d and %d of 20 requests were served", first, second)
	}
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for _, u := range uses {
		s.rec.line("replica %s: request %s of %s used part %s made by %s, under Cache-Salt %q", u.replicas, u.request, u.by, u.part, u.maker, u.salt)
		if u.at.After(from) && (u.by == firstName || u.maker == firstName) {
			broken++
		}
	}
	s.rec.line("run: %v", ran)
	return result{broken > 0, fmt.Sprintf("WALL: %d parts that a request of %s had made were used by requests of %s, sent over %v after the ack of the configuration in which %s is isolated", broken, firstName, otherName, from.Sub(acked).Round(time.Second), firstName)}, nil
}
