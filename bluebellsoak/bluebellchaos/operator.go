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
	// operatorTimeout bounds a request, and meanOperatorPause is the mean pause between two.
	operatorTimeout   = time.Second
	meanOperatorPause = 120 * time.Millisecond
)

// encodeDeclaration returns the declaration of the deployment with a version number. Apart from
// the number, all versions are the same.
func encodeDeclaration(version uint64) []byte {
	route := func(name, path string, work bluebelldeployment.Work, attempts int, target string) bluebelldeployment.Route {
		return bluebelldeployment.Route{
			Name: name, Host: hostName, Prefix: path, Work: work, Timeout: statedTimeout, Objective: 300 * time.Millisecond,
			MaxEventGap: 300 * time.Millisecond, Priority: 1, Attempts: attempts, Resumable: path == resumablePath,
			Targets: []bluebelldeployment.WeightedTarget{{Name: target, Weight: 1}},
		}
	}
	text, err := bluebellplatform.EncodeDeclaration(bluebelldeployment.Declaration{
		Version: version,
		Routes: []bluebelldeployment.Route{
			route("once", oncePath, bluebelldeployment.NonIdempotent, 1, "app"), route("read", readPath, bluebelldeployment.Idempotent, 2, "app"),
			route("again", resumablePath, bluebelldeployment.Stream, 2, "llm"), route("stream", streamPath, bluebelldeployment.Stream, 1, "llm"),
		},
		Targets: []bluebelldeployment.Target{
			{Name: "app", MaxConnections: 96},
			{Name: "llm", MaxConnections: 96, Engine: &bluebelldeployment.Engine{Slots: 64, Tokens: 90_000, TokenBytes: 18_432, Models: []string{"m0"}}},
		},
		Customers: []bluebelldeployment.Customer{{Name: customerName, Keys: []string{customerKey}}},
		Limits:    bluebelldeployment.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20},
	})
	if err != nil {
		panic(err) // only the version varies, so the declaration always encodes
	}
	return text
}

// operator declares versions of the deployment and reads them back.
type operator struct {
	controlAddresses []string
	client           *http.Client

	mu                  sync.Mutex
	sentVersion         uint64
	acknowledgedVersion uint64
	reads               int
	findings            []string
}

func newOperator(controlAddresses []string) *operator {
	return &operator{controlAddresses: controlAddresses, client: &http.Client{Timeout: operatorTimeout}}
}

// run declares and reads at random core processes until ctx ends.
func (o *operator) run(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1<<32))
	for ctx.Err() == nil {
		address := o.controlAddresses[rng.IntN(len(o.controlAddresses))]
		if rng.IntN(2) == 0 {
			o.declare(address)
		} else {
			o.read(address)
		}
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanOperatorPause))))
	}
}

// request sends one request to the control interface of a core process.
func (o *operator) request(address string, verb bluebellplatform.Verb, body []byte) (*http.Response, error) {
	method, path, err := bluebellplatform.EncodeOperation(bluebellplatform.Operation{Verb: verb})
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return o.client.Do(r)
}

// declare sends a declaration to the core process at address: again the last version if it is
// not acknowledged yet, otherwise the next one. It reports whether the version was acknowledged.
func (o *operator) declare(address string) bool {
	o.mu.Lock()
	if o.sentVersion == o.acknowledgedVersion {
		o.sentVersion++
	}
	version := o.sentVersion
	o.mu.Unlock()
	response, err := o.request(address, bluebellplatform.Declare, encodeDeclaration(version))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case response.StatusCode == http.StatusOK:
		o.acknowledgedVersion = max(o.acknowledgedVersion, version)
		return true
	case response.StatusCode < http.StatusInternalServerError:
		o.findings = append(o.findings, fmt.Sprintf("version %d refused with %d by %s", version, response.StatusCode, address))
	}
	return false
}

// read reads the declaration from the core process at address. It adds a finding if the version
// is older than one that was acknowledged before the request, or has other content.
func (o *operator) read(address string) {
	o.mu.Lock()
	acknowledgedVersion := o.acknowledgedVersion
	o.mu.Unlock()
	response, err := o.request(address, bluebellplatform.ReadDeclaration, nil)
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
	if version < acknowledgedVersion {
		o.findings = append(o.findings, fmt.Sprintf("%s shows version %d after version %d was acknowledged", address, version, acknowledgedVersion))
	}
	if !bytes.Equal(text, encodeDeclaration(version)) {
		o.findings = append(o.findings, fmt.Sprintf("%s shows other content under version %d", address, version))
	}
}
