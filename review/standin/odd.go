package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["odd"] = oddCase }

// kvStore is a stand-in for a managed store of KV cache.
type kvStore struct {
	addr   string
	mu     sync.Mutex
	parts  map[[2]string]kvPart
	events [][]any
	// changed is closed at the next event.
	changed chan struct{}
}

// kvPart is a part that a store or a replica keeps, with the version of the weights that it was made under.
type kvPart struct{ tokens, version int }

func (s *site) startStore(n int) (*kvStore, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:8080", s.ip(4, n)))
	if err != nil {
		return nil, err
	}
	k := &kvStore{addr: listener.Addr().String(), parts: map[[2]string]kvPart{}, changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(k.serve)}).Serve(listener) }()
	return k, nil
}

const storeEpoch = 77120

// oddInterval is how often the other writer sends a heartbeat for each replica.
const oddInterval = 400 * time.Millisecond

// newestVersion is the version of the weights that is named last. The first is 1.
const newestVersion = 5

func (k *kvStore) serve(w http.ResponseWriter, q *http.Request) {
	answer := func(value any) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	}
	switch q.Method + " " + q.URL.Path {
	case "GET /kv-events":
		since, _ := strconv.Atoi(q.URL.Query().Get("since"))
		wait, _ := strconv.Atoi(q.Header.Get("Wait-Ms"))
		k.mu.Lock()
		changed, have := k.changed, len(k.events)
		k.mu.Unlock()
		if have <= since {
			select {
			case <-changed:
			case <-time.After(time.Duration(wait) * time.Millisecond):
			}
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		answer(map[string]any{"epoch": storeEpoch, "next": len(k.events), "lost": false, "events": k.events[min(since, len(k.events)):]})
	case "GET /kv-list":
		k.mu.Lock()
		defer k.mu.Unlock()
		held := [][]any{}
		for key, p := range k.parts {
			held = append(held, []any{key[0], key[1], p.tokens, modelName})
		}
		answer(map[string]any{"epoch": storeEpoch, "next": len(k.events), "held": held})
	case "GET /report":
		answer(map[string]any{"kv_used": 0, "kv_total": 136751, "epoch": storeEpoch})
	case "POST /kv-free":
		var body struct{ Parts [][2]string }
		_ = json.NewDecoder(q.Body).Decode(&body)
		k.mu.Lock()
		defer k.mu.Unlock()
		for _, key := range body.Parts {
			if p, found := k.parts[key]; found {
				delete(k.parts, key)
				k.tell("-", key, p)
			}
		}
		answer(map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// tell adds an event. k.mu must be held.
func (k *kvStore) tell(sign string, key [2]string, p kvPart) {
	k.events = append(k.events, []any{len(k.events) + 1, sign, key[0], key[1], p.tokens, modelName})
	close(k.changed)
	k.changed = make(chan struct{})
}

// save keeps a part, unless the store has it already.
func (k *kvStore) save(key [2]string, p kvPart) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, found := k.parts[key]; !found {
		k.parts[key] = p
		k.tell("+", key, p)
	}
}

func (k *kvStore) fetch(key [2]string) (kvPart, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p, found := k.parts[key]
	return p, found
}

// engine is a stand-in for the engine of a replica.
type engine struct {
	name  string
	store *kvStore
	// peers are the engines of all replicas by address.
	peers map[string]*engine
	rec   *record

	mu      sync.Mutex
	version int
	orders  int
	loading bool
	running int
	kept    map[string]kvPart
	// stale describes the requests that used parts which had been made under another version.
	stale []string
	// withoutVersion counts the requests that began without Expect-Version.
	ran, withoutVersion int
}

// special serves orders and reports, and turns away requests that may not begin now.
func (e *engine) special(w http.ResponseWriter, q *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case q.URL.Path == "/report":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "dual", "models": e.models(), "busy": e.loading, "seq": e.orders, "queued": 0, "running": e.running})
	case q.URL.Path == "/order":
		var order struct {
			Version      int
			Precondition *int
		}
		_ = json.NewDecoder(q.Body).Decode(&order)
		switch {
		case e.loading || order.Precondition != nil && *order.Precondition != e.orders:
			w.WriteHeader(http.StatusConflict)
		case order.Version == e.version:
			w.WriteHeader(http.StatusOK)
		default:
			e.orders, e.loading = e.orders+1, true
			go e.load(order.Version)
			w.WriteHeader(http.StatusAccepted)
		}
	case q.Header.Get("Expect-Version") != "" && q.Header.Get("Expect-Version") != strconv.Itoa(e.version):
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case e.loading:
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		return false
	}
	return true
}

// models is what the engine says of its weights. e.mu must be held.
func (e *engine) models() []map[string]any {
	return []map[string]any{{"name": modelName, "version": e.version, "adapters": []any{}}}
}

// load waits for the requests that run, and loads weights. It discards what the replica has stored.
func (e *engine) load(version int) {
	for {
		e.mu.Lock()
		idle := e.running == 0
		e.mu.Unlock()
		if idle {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(900 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.loading, e.kept = version, false, map[string]kvPart{}
	e.rec.line("replica %s has loaded version %d", e.name, version)
}

// keeps returns what the replica keeps of the end of a chain of parts.
func (e *engine) keeps(chain string) (kvPart, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	part, found := e.kept[chain]
	return part, found
}

func (e *engine) run(w http.ResponseWriter, q *http.Request) {
	salt, chain := q.Header.Get("Cache-Salt"), q.Header.Get("Cache-Salt")
	fetch, save := strings.Split(q.Header.Get("Kv-Fetch"), ","), strings.Split(q.Header.Get("Kv-Save"), ",")
	e.mu.Lock()
	e.running++
	e.ran++
	if q.Header.Get("Expect-Version") == "" {
		e.withoutVersion++
	}
	for i, entry := range strings.Split(q.Header.Get("Prefix-Hash"), ",") {
		id, count, _ := strings.Cut(entry, ":")
		tokens, _ := strconv.Atoi(count)
		chain += "," + id
		part, kept := e.kept[chain]
		from := "its own memory"
		if !kept && i < len(fetch) {
			address, _, _ := strings.Cut(fetch[i], "/")
			from = address
			if address == e.store.addr {
				part, kept = e.store.fetch([2]string{salt, id})
				from = "the store"
			} else if peer := e.peers[address]; peer != nil && peer != e {
				e.mu.Unlock()
				part, kept = peer.keeps(chain)
				e.mu.Lock()
			}
		}
		if !kept {
			part = kvPart{tokens, e.version}
		}
		e.kept[chain] = part
		if part.version != e.version {
			e.stale = append(e.stale, fmt.Sprintf("request %s ran under version %d and used part %s from %s, made under version %d, Cache-Salt %q, Expect-Version %q",
				q.Header.Get("Try-Id"), e.version, id, from, part.version, salt, q.Header.Get("Expect-Version")))
		}
		if i < len(save) && save[i] == e.store.addr {
			e.store.save([2]string{salt, id}, part)
		}
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	for k := range 3 {
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(w, "id: %d\ndata: piece\n\n", k+1)
		w.(http.Flusher).Flush()
	}
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
}

// storeConfig is modelConfig with a store.
func storeConfig(version int, store string) ([]byte, error) {
	var config map[string]any
	if err := json.Unmarshal(modelConfig(version, false), &config); err != nil {
		return nil, err
	}
	config["services"] = append(config["services"].([]any), map[string]any{
		"name": "daje37f", "kv_store_addr": store, "zone": zones[0], "kv_tokens": 136751, "link_mbps": 57000.0, "max_inflight": 12, "managed": true, "first_ms": 0.5,
	})
	return json.Marshal(config)
}

// sendOddHeartbeats sends, for a replica, heartbeats in which the fields models and stage are missing, until
// stop is closed. They count on, so that the replica's next heartbeat replaces each of them.
func (r *replica) sendOddHeartbeats(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for k := 0; ; k++ {
		body := r.heartbeat()
		delete(body, "models")
		delete(body, "stage")
		text, _ := json.Marshal(body)
		core := r.site.cores[k%len(r.site.cores)]
		request, _ := http.NewRequest(http.MethodPut, "http://"+core.ip+":8000/instances/"+r.id, bytes.NewReader(text))
		request.Header.Set("Content-Type", "application/json")
		if response, err := client.Do(request); err == nil {
			if k < 3 {
				r.site.rec.line("other writer: heartbeat of %s without models and stage: answered with %d", r.id, response.StatusCode)
			}
			_ = response.Body.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(oddInterval):
		}
	}
}

// oddCase lets another writer send heartbeats with missing fields, while a new version of the weights is named.
func oddCase(s *site, trouble bool) (result, error) {
	if err := s.startAll(3); err != nil {
		return result{}, err
	}
	store, err := s.startStore(0)
	if err != nil {
		return result{}, err
	}
	var engines []*engine
	peers := map[string]*engine{}
	var replicas []*replica
	for n := range 2 * len(zones) {
		z := zones[n%len(zones)]
		e := &engine{name: fmt.Sprintf("%s-%d", z, n), store: store, peers: peers, rec: s.rec, version: 1, kept: map[string]kvPart{}}
		r, err := s.startReplicaWith(n, replicaConfig{service: "huvo11a", zone: z, run: e.run, special: e.special, describe: func(body map[string]any) {
			e.mu.Lock()
			defer e.mu.Unlock()
			body["models"], body["stage"] = e.models(), "dual"
		}})
		if err != nil {
			return result{}, err
		}
		peers[r.addr] = e
		engines, replicas = append(engines, e), append(replicas, r)
	}
	op := s.operator()
	config, err := storeConfig(1, store.addr)
	if err != nil {
		return result{}, err
	}
	if _, err := op.order(http.MethodPut, "/config", config, 0); err != nil {
		return result{}, err
	}
	if err := s.awaitReady(); err != nil {
		return result{}, err
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var background sync.WaitGroup
	var mu sync.Mutex
	answered := map[int]int{}
	for n := range 24 {
		c := newConsumer(s.gates[n%len(s.gates)])
		background.Go(func() {
			for k := 0; ; k++ {
				header := http.Header{
					"Authorization": {"Token " + firstKey}, "Model": {modelName}, "Token-Count": {"1460,8"},
					"Prefix-Hash": {fmt.Sprintf("5c1e07a2:800,%08x:410,%08x:250", 0x91bd3f00+(7*n+k)%60, n<<20+k)},
				}
				a := c.send(http.MethodPost, "/cufi501/fi50/", fmt.Sprintf("%02d%06d", n, k), 8*time.Second, header, []byte("a prompt"))
				mu.Lock()
				answered[a.status]++
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		})
	}
	if trouble {
		for _, r := range replicas {
			background.Go(func() { r.sendOddHeartbeats(stop) })
		}
	}
	time.Sleep(6 * time.Second)
	for version := 2; version <= newestVersion; version++ {
		body := fmt.Sprintf(`{"model":%q,"version":%d}`, modelName, version)
		if _, err := op.order(http.MethodPost, "/version-put", []byte(body), version); err != nil {
			return result{}, err
		}
		time.Sleep(8 * time.Second)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	background.Wait()
	total, withoutVersion := 0, 0
	var stale []string
	var versions []int
	for _, e := range engines {
		e.mu.Lock()
		total, withoutVersion, stale, versions = total+e.ran, withoutVersion+e.withoutVersion, append(stale, e.stale...), append(versions, e.version)
		for i, text := range e.stale {
			if i < 20 {
				s.rec.line("replica %s: %s", e.name, text)
			}
		}
		e.mu.Unlock()
	}
	s.rec.line("answers by status: %v; versions at the end: %v", answered, versions)
	if !trouble && slices.Min(versions) < newestVersion {
		return result{}, fmt.Errorf("not all replicas have the newest version: %v", versions)
	}
	return result{len(stale) > 0, fmt.Sprintf("STALE: %d parts that had been made under another version were used; %d of %d requests ran without Expect-Version", len(stale), withoutVersion, total)}, nil
}
