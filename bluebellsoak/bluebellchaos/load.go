package bluebellchaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	hostName = "calls.example"
	key      = "key-of-a-customer"
	customer = "customer-1"
	// callTimeout is a little more than the time that callers say that they wait.
	callTimeout = 2500 * time.Millisecond
	callLeft    = 2 * time.Second
	callPause   = 15 * time.Millisecond
)

// paths of the routes by what they tolerate.
const (
	oncePath   = "/once/"
	readPath   = "/read/"
	againPath  = bluebellstub.StreamPathPrefix + "again/"
	streamPath = bluebellstub.StreamPathPrefix
)

var paths = []string{oncePath, oncePath, readPath, againPath, streamPath}

// outcome is what a caller saw of one call.
type outcome struct {
	id     string
	path   string
	status int
	seal   string
	body   string
	// whole is set if the answer came to its end.
	whole bool
}

// callers make calls until their context ends, and keep what they saw.
type callers struct {
	gates []string

	mu       sync.Mutex
	outcomes []outcome
	served   int
}

func (c *callers) run(ctx context.Context, name int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(name)))
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		path := paths[rng.IntN(len(paths))]
		o := call(client, c.gates[rng.IntN(len(c.gates))], fmt.Sprintf("call-%d-%d", name, n), path)
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		if o.status == http.StatusOK && o.whole {
			c.served++
		}
		c.mu.Unlock()
		time.Sleep(time.Duration(rng.Int64N(int64(2 * callPause))))
	}
}

// call makes one call. Keys come on kept connections like any others.
func call(client *http.Client, gate, id, path string) outcome {
	o := outcome{id: id, path: path + id + "?n=1"}
	r, err := http.NewRequest(http.MethodPost, "http://"+gate+o.path, strings.NewReader("body of "+id))
	if err != nil {
		return o
	}
	r.Host = hostName
	r.Header = bluebellplatform.CallerHeader(bluebellplatform.Call{
		ID: id, Key: key, Left: callLeft, Model: "m0", PromptTokens: 300, MaxOutputTokens: 5,
		Blocks: []bluebellplatform.Block{{ID: "5c1e", Tokens: 200}, {ID: id, Tokens: 100}},
	})
	response, err := client.Do(r)
	if err != nil {
		return o
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	o.status, o.seal, o.body, o.whole = response.StatusCode, bluebellplatform.Seal(response.Header), string(body), err == nil
	return o
}
