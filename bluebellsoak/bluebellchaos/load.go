package bluebellchaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	hostName     = "calls.example"
	customerKey  = "key-of-a-customer"
	customerName = "customer-1"
	// model is the model that engines run, and initialWeights the version that they start with.
	model          = "m0"
	initialWeights = 1
	// clientTimeout bounds a call on the client's side. It is a little longer than
	// statedTimeout, the time limit that callers send with the call. The routes have the same limit.
	clientTimeout = 2500 * time.Millisecond
	statedTimeout = 2 * time.Second
	// meanCallPause is the mean pause of a caller between two calls.
	meanCallPause = 15 * time.Millisecond
	// clingingSpeed is by how much the pauses of clinging callers are shorter.
	clingingSpeed = 3
)

// Path prefixes of the routes, one for each kind of work: non-idempotent calls, idempotent
// calls, streams that can be resumed, and streams that cannot.
const (
	oncePath      = "/once/"
	readPath      = "/read/"
	resumablePath = bluebellstub.StreamPathPrefix + "again/"
	streamPath    = bluebellstub.StreamPathPrefix
)

// callPaths are the prefixes from which callers draw; non-idempotent calls are twice as frequent.
var callPaths = []string{oncePath, oncePath, readPath, resumablePath, streamPath}

// outcome is what a caller observed of one call.
type outcome struct {
	id   string
	path string
	// gate is the index of the gate.
	gate        int
	requestBody string
	status      int
	// seal is the value of the header that marks an answer as made by an endpoint; it is empty
	// in answers that a gate makes itself.
	seal string
	body string
	// complete is set if the answer was read to its end, and gaveUp if the caller did not wait for it.
	complete, gaveUp bool
	// oddHead is set if the head of the answer is no HTTP.
	oddHead bool
	// reused is set if the connection had carried a call before.
	reused bool
	// opened, began, sent and ended are the times of the same names of bluebellanswer.Call.
	opened, began, sent, ended time.Time
}

// callers records the outcomes of the calls of all simulated callers.
type callers struct {
	// gates holds the caller addresses of the gates.
	gates []string
	// paths are the prefixes from which callers draw the paths of their calls; nil stands for callPaths and the
	// routes that only some versions of the declaration have.
	paths []string

	mu       sync.Mutex
	outcomes []outcome
	// served counts the calls that got a complete answer with status 200.
	served int
}

// run makes calls as one caller until ctx ends, with the pause mean on average between two.
func (c *callers) run(ctx context.Context, name int, seed uint64, mean time.Duration) {
	rng := rand.New(rand.NewPCG(seed, uint64(name)))
	self := &caller{kind: callerKind(name % int(callerKinds)), rng: rng, gates: c.gates, paths: c.paths, kept: map[int]*connection{}, gate: -1}
	defer self.close()
	if self.kind == clinging {
		mean /= clingingSpeed
	}
	for n := 0; ctx.Err() == nil; n++ {
		c.record(self.call(context.WithoutCancel(ctx), fmt.Sprintf("call-%d-%d", name, n)))
		self.pause(mean)
	}
}

// whileCalling makes calls with a number of callers, together as many as minCallers usual ones make, until f returns.
func (d *deployment) whileCalling(ctx context.Context, count int, f func(ctx context.Context)) {
	ctx, stop := context.WithCancel(ctx)
	var calls conc.WaitGroup
	defer calls.Wait()
	defer stop()
	for n := range count {
		calls.Go(func() { d.callers.run(ctx, n, d.cfg.Seed, time.Duration(count)*meanCallPause/minCallers) })
	}
	f(ctx)
}

// record adds the outcome of a call.
func (c *callers) record(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	if o.status == http.StatusOK && o.complete {
		c.served++
	}
}

// usualBlocks are the shared blocks of the prompts of most calls.
var usualBlocks = []bluebellplatform.Block{{ID: "5c1e", Tokens: 200}}

// newRequest returns the request of a call, with a prompt that begins with the shared blocks. The key
// of the customer is sent with each call, also on a connection that the caller reuses.
func newRequest(gate string, o outcome, shared []bluebellplatform.Block) (*http.Request, error) {
	return newPrompt(gate, o, append(slices.Clone(shared), bluebellplatform.Block{ID: o.id, Tokens: 100}))
}

// newPrompt returns the request of a call with the given blocks.
func newPrompt(gate string, o outcome, blocks []bluebellplatform.Block) (*http.Request, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+gate+o.path, strings.NewReader(o.requestBody))
	if err != nil {
		return nil, err
	}
	r.Host = hostName
	r.Header = bluebellplatform.CallerHeader(bluebellplatform.Call{
		ID: o.id, Key: customerKey, TimeLeft: statedTimeout, Model: model, PromptTokens: 300, MaxOutputTokens: 5,
		Blocks: blocks,
	})
	return r, nil
}

// call makes one call through the gate at an address.
func call(client *http.Client, gate, id, path string, shared []bluebellplatform.Block) outcome {
	o := outcome{id: id, path: path + id + "?n=1", requestBody: "body of " + id}
	r, err := newRequest(gate, o, shared)
	if err != nil {
		return o
	}
	return send(client, r, o)
}

// send makes a call and adds what the caller observes to o.
func send(client *http.Client, r *http.Request, o outcome) outcome {
	response, err := client.Do(r)
	if err != nil {
		return o
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	o.status, o.seal, o.body, o.complete = response.StatusCode, bluebellplatform.Seal(response.Header), string(body), err == nil
	return o
}
