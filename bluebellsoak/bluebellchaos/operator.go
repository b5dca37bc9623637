package bluebellchaos

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	operatorTimeout = time.Second
	operatorPause   = 120 * time.Millisecond
)

// document is a declaration of a version.
func document(version uint64) []byte {
	route := func(name, path string, work bluebelldeployment.Work, attempts int, target string) bluebelldeployment.Route {
		return bluebelldeployment.Route{
			Name: name, Host: hostName, Prefix: path, Work: work, Timeout: callLeft, Objective: 300 * time.Millisecond,
			MaxEventGap: 300 * time.Millisecond, Priority: 1, Attempts: attempts, Resumable: path == againPath,
			Targets: []bluebelldeployment.WeightedTarget{{Name: target, Weight: 1}},
		}
	}
	text, err := bluebellplatform.EncodeDeclaration(bluebelldeployment.Declaration{
		Version: version,
		Routes: []bluebelldeployment.Route{
			route("once", oncePath, bluebelldeployment.NonIdempotent, 1, "app"), route("read", readPath, bluebelldeployment.Idempotent, 2, "app"),
			route("again", againPath, bluebelldeployment.Stream, 2, "llm"), route("stream", streamPath, bluebelldeployment.Stream, 1, "llm"),
		},
		Targets: []bluebelldeployment.Target{
			{Name: "app", MaxConnections: 96},
			{Name: "llm", MaxConnections: 96, Engine: &bluebelldeployment.Engine{Slots: 64, Tokens: 90_000, TokenBytes: 18_432, Models: []string{"m0"}}},
		},
		Customers: []bluebelldeployment.Customer{{Name: customer, Keys: []string{key}}},
		Limits:    bluebelldeployment.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20},
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

// do makes one call of the control interface.
func (o *operator) do(control string, verb bluebellplatform.Verb, body []byte) (*http.Response, error) {
	method, path, err := bluebellplatform.EncodeOperation(bluebellplatform.Operation{Verb: verb})
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequest(method, "http://"+control+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return o.client.Do(r)
}

// declare sends the version that has no answer yet again, or the next one.
func (o *operator) declare(control string) bool {
	o.mu.Lock()
	if o.sent == o.acked {
		o.sent++
	}
	version := o.sent
	o.mu.Unlock()
	response, err := o.do(control, bluebellplatform.Declare, document(version))
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
	response, err := o.do(control, bluebellplatform.ReadDeclaration, nil)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	version := uint64(0)
	if plan, err := bluebellplatform.DecodeDeclaration(text); err == nil {
		version = plan.Version()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads++
	if version < acked {
		o.findings = append(o.findings, fmt.Sprintf("%s shows version %d after version %d was acknowledged", control, version, acked))
	}
	if !bytes.Equal(text, document(version)) {
		o.findings = append(o.findings, fmt.Sprintf("%s shows other content under version %d", control, version))
	}
}
