package bluebelldrill

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	operatorTimeout = time.Second
	operatorPause   = 120 * time.Millisecond
)

// document is a declaration of a version.
func document(version uint64) []byte {
	route := func(name, path, kind string, attempts int, resumable bool, service string) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "path_prefix": path, "kind": kind, "timeout_ms": 2000, "slo_ms": 300,
			"itl_slo_ms": 300, "priority": 1, "service": service, "attempts": attempts, "can_resume": resumable,
		}
	}
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("once", oncePath, "non_idempotent", 1, false, "app"), route("read", readPath, "idempotent", 2, false, "app"),
			route("again", againPath, "stream", 2, true, "llm"), route("stream", streamPath, "stream", 1, false, "llm"),
		},
		"services": []any{
			map[string]any{"name": "app", "max_conns": 96},
			map[string]any{"name": "llm", "max_conns": 96, "engine": map[string]any{
				"slots": 64, "kv_tokens": 90000, "kv_token_bytes": 18432, "models": []any{map[string]any{"name": "m0"}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": customer, "api_keys": []string{key}}},
	})
	if err != nil {
		panic(err) // a fixed shape
	}
	return text
}

// operator declares versions and reads them back.
type operator struct {
	controls []string
	client   *http.Client

	mu       sync.Mutex
	sent     uint64
	acked    uint64
	reads    int
	findings []string
}

func newOperator(controls []string) *operator {
	return &operator{controls: controls, client: &http.Client{Timeout: operatorTimeout}}
}

// run declares and reads at random processes until ctx ends.
func (o *operator) run(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1<<32))
	for ctx.Err() == nil {
		control := o.controls[rng.IntN(len(o.controls))]
		if rng.IntN(2) == 0 {
			o.declare(control)
		} else {
			o.read(control)
		}
		time.Sleep(time.Duration(rng.Int64N(int64(2 * operatorPause))))
	}
}

// declare sends the version that has no answer yet again, or the next one.
func (o *operator) declare(control string) bool {
	o.mu.Lock()
	if o.sent == o.acked {
		o.sent++
	}
	version := o.sent
	o.mu.Unlock()
	r, err := http.NewRequest(http.MethodPut, "http://"+control+"/config", bytes.NewReader(document(version)))
	if err != nil {
		return false
	}
	response, err := o.client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case response.StatusCode == http.StatusOK:
		o.acked = max(o.acked, version)
		return true
	case response.StatusCode < http.StatusInternalServerError:
		o.findings = append(o.findings, fmt.Sprintf("version %d refused with %d by %s", version, response.StatusCode, control))
	}
	return false
}

// read checks that nothing older shows than what was acknowledged before.
func (o *operator) read(control string) {
	o.mu.Lock()
	acked := o.acked
	o.mu.Unlock()
	response, err := o.client.Get("http://" + control + "/config")
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	var got struct{ Version uint64 }
	if err := json.Unmarshal(text, &got); err != nil {
		got.Version = 0
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads++
	if got.Version < acked {
		o.findings = append(o.findings, fmt.Sprintf("%s shows version %d after version %d was acknowledged", control, got.Version, acked))
	}
	if !bytes.Equal(text, document(got.Version)) {
		o.findings = append(o.findings, fmt.Sprintf("%s shows other content under version %d", control, got.Version))
	}
}
