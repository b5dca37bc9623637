// Package bluebellload generates a bounded load on the entries of one deployment. An
// entry is a process that accepts calls.
//
// # Usage
//
//	report := bluebellload.Run(ctx, bluebellload.Config{...})
//	fmt.Print(report.Text())
//
// Each caller sends a long prompt, pauses, and sends the same prompt again with one more
// block, so that a part of the prompt can be in an endpoint's cache. A block is a piece of
// a prompt that is cached as a unit. In addition, the load sends job orders, which are
// non-idempotent calls. Each order is sent twice with the same idempotency key, to one
// entry and then to the next.
package bluebellload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"bluebellhaven.org/bluebell/bluebellhead"
)

// Config configures a load.
type Config struct {
	// Entries are the addresses of the entries. Requests are sent to them in turn, as by
	// a load balancer.
	Entries []string
	// Keys are the API keys of the customers.
	Keys    []string
	Model   string
	Callers int
	// FirstPromptBlocks is the length of a caller's first prompt in blocks of 4,000 bytes.
	FirstPromptBlocks int
	// MeanPause is the mean time between two requests of a caller.
	MeanPause time.Duration
	Duration  time.Duration
	// OrderPath is the path of a non-idempotent call, such as /services/orders/jobs. If
	// it is empty, no orders are sent.
	OrderPath string
	// OrderInterval is the pause before each order.
	OrderInterval time.Duration
	Seed          uint64
}

// Report is the result of a load.
type Report struct {
	// FirstVisits and ReturningVisits are the times to the first token of first prompts
	// and of prompts that were sent again with one more block.
	FirstVisits, ReturningVisits *LatencyHistogram
	// PromptBlocks and CachedBlocks are the blocks of all prompts and those of them that
	// an endpoint had cached.
	PromptBlocks, CachedBlocks int
	// Versions and Endpoints count answered prompts by version and endpoint. Errors counts
	// failed prompts and orders by error.
	Versions  map[string]int
	Endpoints map[string]int
	Errors    map[string]int
	// Orders is the number of orders. Each is sent twice, and each of both calls is counted
	// in one of the following fields.
	Orders         int
	OrdersAnswered int
	OrdersReplayed int
	OrdersUnknown  int
	OrdersNotRun   int
}

const (
	// blockBytes is the size of a block in the cache of the simulated endpoints.
	blockBytes     = 4000
	requestTimeout = 30 * time.Second
	// maxPromptBlocks is the length at which a caller drops its prompt and starts a new one.
	maxPromptBlocks = 24
)

// runner sends one load and collects its report.
type runner struct {
	cfg    Config
	client *fasthttp.Client

	mu         sync.Mutex
	report     *Report
	entryIndex int
}

// Run sends the load until its duration or ctx is over.
func Run(ctx context.Context, cfg Config) *Report {
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	r := &runner{cfg: cfg, report: &Report{
		FirstVisits: newLatencyHistogram(), ReturningVisits: newLatencyHistogram(),
		Versions: map[string]int{}, Endpoints: map[string]int{}, Errors: map[string]int{},
	}}
	r.client = &fasthttp.Client{
		Dial: dial, StreamResponseBody: true, MaxConnsPerHost: 4 * cfg.Callers, ReadTimeout: requestTimeout,
		MaxIdleConnDuration: time.Second, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	var wg conc.WaitGroup
	for i := range cfg.Callers {
		wg.Go(func() { r.runCaller(ctx, i) })
	}
	if cfg.OrderPath != "" {
		wg.Go(func() { r.sendOrders(ctx) })
	}
	wg.Wait()
	return r.report
}

// dial opens a connection whose responses are checked: the client takes a status of 000 for 200.
func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return bluebellhead.NewConn(conn), nil
}

// nextEntry returns the entry for the next request, round robin.
func (r *runner) nextEntry() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entryIndex++
	return r.cfg.Entries[r.entryIndex%len(r.cfg.Entries)]
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// runCaller sends the prompts of caller i until the load ends.
func (r *runner) runCaller(ctx context.Context, i int) {
	random := rand.New(rand.NewPCG(r.cfg.Seed, uint64(i)))
	key := r.cfg.Keys[i%len(r.cfg.Keys)]
	for sleep(ctx, time.Duration(random.Float64()*float64(r.cfg.MeanPause))) {
		prompt := randomBlocks(random, r.cfg.FirstPromptBlocks)
		for visit := 0; len(prompt) < maxPromptBlocks*blockBytes; visit++ {
			r.sendPrompt(key, prompt, visit > 0)
			if !sleep(ctx, time.Duration((0.5+random.Float64())*float64(r.cfg.MeanPause))) {
				return
			}
			prompt = append(prompt, randomBlocks(random, 1)...)
		}
	}
}

// randomBlocks returns random text of the given number of blocks. Callers draw from
// different seeds, so they share no prompts.
func randomBlocks(random *rand.Rand, blocks int) []byte {
	text := make([]byte, blocks*blockBytes)
	for i := range text {
		text[i] = byte('a' + random.IntN(26))
	}
	return text
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

type eventUsage struct {
	Usage *struct {
		PromptTokens  int `json:"prompt_tokens"`
		PromptDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// sendPrompt sends one prompt, reads the event stream of the answer and records both in
// the report.
func (r *runner) sendPrompt(key string, prompt []byte, returning bool) {
	body, err := json.Marshal(completionRequest{r.cfg.Model, string(prompt), true, 8})
	if err != nil {
		r.countError(err.Error())
		return
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r.prepareRequest(req, r.nextEntry(), "/v1/completions", key, body)
	startedAt := time.Now()
	if err := r.client.DoTimeout(req, resp, requestTimeout); err != nil {
		r.countError("connection: " + err.Error())
		return
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		r.countError(errorCode(resp.Body()))
		return
	}
	firstAt, usage, complete := readStream(resp)
	firstToken := firstAt.Sub(startedAt)
	_ = resp.CloseBodyStream()
	if !complete {
		r.countError("StreamBroken")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	histogram := r.report.FirstVisits
	if returning {
		histogram = r.report.ReturningVisits
	}
	histogram.record(firstToken)
	r.report.Versions[string(resp.Header.Peek("X-Bluebell-Version"))]++
	r.report.Endpoints[string(resp.Header.Peek("X-Bluebell-Endpoint"))]++
	if usage != nil && usage.Usage != nil {
		r.report.PromptBlocks += usage.Usage.PromptTokens / blockBytes
		r.report.CachedBlocks += usage.Usage.PromptDetails.CachedTokens / blockBytes
	}
}

// readStream reads an event stream. It returns when the first event arrived, the usage of
// tokens if an event reported it, and whether the stream ended with [DONE].
func readStream(resp *fasthttp.Response) (firstAt time.Time, usage *eventUsage, complete bool) {
	reader := bufio.NewReader(resp.BodyStream())
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return firstAt, usage, false
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		switch {
		case !ok:
			if bytes.HasPrefix(line, []byte("event: error")) {
				return firstAt, usage, false
			}
			continue
		case string(data) == "[DONE]":
			return firstAt, usage, true
		case firstAt.IsZero():
			firstAt = time.Now()
		}
		if bytes.Contains(data, []byte(`"usage"`)) {
			usage = &eventUsage{}
			if json.Unmarshal(data, usage) != nil {
				return firstAt, nil, false
			}
		}
	}
}

func (r *runner) prepareRequest(req *fasthttp.Request, entry, path, key string, body []byte) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + entry + path)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
}

type errorBody struct {
	Error struct {
		Code string
		Run  string
	}
}

// errorCode returns the code of an error answer with its Run value in parentheses.
func errorCode(body []byte) string {
	var e errorBody
	if json.Unmarshal(body, &e) != nil || e.Error.Code == "" {
		return "unreadable error"
	}
	return e.Error.Code + " (" + e.Error.Run + ")"
}

func (r *runner) countError(description string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Errors[description]++
}

// sendOrders sends each order to one entry and, with the same idempotency key, to the next.
func (r *runner) sendOrders(ctx context.Context) {
	for n := 0; sleep(ctx, r.cfg.OrderInterval); n++ {
		key := r.cfg.Keys[n%len(r.cfg.Keys)]
		id := uuid.Must(uuid.NewV7()).String()
		body := fmt.Appendf(nil, `{"Caps":%d}`, n)
		firstResult := r.sendOrder(key, id, body)
		secondResult := r.sendOrder(key, id, body)
		r.mu.Lock()
		r.report.Orders++
		for _, result := range []string{firstResult, secondResult} {
			switch result {
			case "answered":
				r.report.OrdersAnswered++
			case "replayed":
				r.report.OrdersReplayed++
			case "NotRun":
				r.report.OrdersNotRun++
			default:
				r.report.OrdersUnknown++
			}
		}
		r.mu.Unlock()
	}
}

// sendOrder sends an order and returns "answered", "replayed" if the answer is that of an
// earlier call with the same key, or the Run value of an error answer, which states whether
// the call ran. If there is no readable answer, it returns "Unknown".
func (r *runner) sendOrder(key, id string, body []byte) string {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r.prepareRequest(req, r.nextEntry(), r.cfg.OrderPath, key, body)
	req.Header.Set("Idempotency-Key", id)
	if err := r.client.DoTimeout(req, resp, requestTimeout); err != nil {
		r.countError("order connection: " + err.Error())
		return "Unknown"
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		var e errorBody
		r.countError("order " + errorCode(resp.Body()))
		if json.Unmarshal(resp.Body(), &e) != nil {
			return "Unknown"
		}
		return e.Error.Run
	}
	if len(resp.Header.Peek("Idempotent-Replayed")) > 0 {
		return "replayed"
	}
	return "answered"
}
