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

	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// operatorTimeout bounds a request, and meanOperatorPause is the mean pause between two.
	operatorTimeout   = time.Second
	meanOperatorPause = 60 * time.Millisecond
	// domainOrders is how often a failure domain is taken out of service and put in again before it stays out.
	domainOrders = 3
)

// operator declares versions of the deployment and reads them back.
type operator struct {
	controlAddresses []string
	client           *http.Client
	declarations     declarations

	mu                  sync.Mutex
	sentVersion         uint64
	acknowledgedVersion uint64
	// namedWeights is the latest version of the weights of model m0 that was named, and acknowledgedWeights
	// the latest one that was acknowledged.
	namedWeights, acknowledgedWeights uint64
	reads                             int
	findings                          []string
}

func newOperator(controlAddresses []string, d declarations) *operator {
	return &operator{controlAddresses: controlAddresses, client: &http.Client{Timeout: operatorTimeout}, declarations: d}
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
func (o *operator) request(address string, operation bluebellplatform.Operation, body []byte) (*http.Response, error) {
	method, path, err := bluebellplatform.EncodeOperation(operation)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return o.client.Do(r)
}

// require sends one request and returns an error unless it is acknowledged.
func (o *operator) require(address string, operation bluebellplatform.Operation, body []byte) error {
	response, err := o.request(address, operation, body)
	if err != nil {
		return err
	}
	if err := response.Body.Close(); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%v %s: status %d", operation.Verb, operation.Subject, response.StatusCode)
	}
	return nil
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
	response, err := o.request(address, bluebellplatform.Operation{Verb: bluebellplatform.Declare}, o.declarations.encode(version))
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

// nameWeights names the next version of the weights of model m0 at the core process at address, and
// reports whether that was acknowledged.
func (o *operator) nameWeights(address string) bool {
	o.mu.Lock()
	o.namedWeights = max(o.namedWeights, initialWeights) + 1
	version := o.namedWeights
	o.mu.Unlock()
	body, err := bluebellplatform.EncodeWeightsVersion(model, version)
	if err != nil {
		return false
	}
	response, err := o.request(address, bluebellplatform.Operation{Verb: bluebellplatform.NameWeights}, body)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledgedWeights = max(o.acknowledgedWeights, version)
	return true
}

// takeOut takes a failure domain out of service after a delay, and reports whether that was
// acknowledged before ctx ended. Before that, it takes it out and puts it in again several times.
func (o *operator) takeOut(ctx context.Context, domain string, delay time.Duration) bool {
	for range domainOrders {
		for _, verb := range []bluebellplatform.Verb{bluebellplatform.DomainOut, bluebellplatform.DomainIn} {
			time.Sleep(delay / (2 * domainOrders))
			o.orderDomain(ctx, verb, domain)
		}
	}
	return o.orderDomain(ctx, bluebellplatform.DomainOut, domain)
}

// orderDomain sends an order for a failure domain to one core process after the other until it is acknowledged, and
// reports whether it was before ctx ended.
func (o *operator) orderDomain(ctx context.Context, verb bluebellplatform.Verb, domain string) bool {
	for n := 0; ctx.Err() == nil; n++ {
		if o.require(o.controlAddresses[n%len(o.controlAddresses)], bluebellplatform.Operation{Verb: verb, Subject: domain}, nil) == nil {
			return true
		}
		time.Sleep(meanOperatorPause)
	}
	return false
}

// readDocument returns the text of the declaration at the core process at address.
func (o *operator) readDocument(address string) ([]byte, error) {
	response, err := o.request(address, bluebellplatform.Operation{Verb: bluebellplatform.ReadDeclaration}, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return io.ReadAll(response.Body)
}

// read reads the declaration from the core process at address. It adds a finding if the version
// is older than one that was acknowledged before the request, or has other content.
func (o *operator) read(address string) {
	o.mu.Lock()
	acknowledgedVersion := o.acknowledgedVersion
	o.mu.Unlock()
	response, err := o.request(address, bluebellplatform.Operation{Verb: bluebellplatform.ReadDeclaration}, nil)
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
	if !bytes.Equal(text, o.declarations.encode(version)) {
		o.findings = append(o.findings, fmt.Sprintf("%s shows other content under version %d", address, version))
	}
}
