// Package bluebellload is a bounded load of returning callers and job orders on
// the entries of one deployment.
//
// # Usage
//
//	report := bluebellload.Run(ctx, bluebellload.Config{...})
//	fmt.Print(report.Text())
//
// Each caller sends a long prompt, pauses, and comes back with the same prompt
// and one more piece. Each job order is sent to one entry and again, under the
// same key, to another.
package bluebellload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Config sets up a load.
type Config struct {
	// Entries are addresses of entries; requests go round them as behind a
	// balancer.
	Entries []string
	// Keys are the customers' keys.
	Keys    []string
	Model   string
	Callers int
	// FirstPromptBlocks is the length of a first prompt in pieces of 4,000 bytes.
	FirstPromptBlocks int
	// MeanPause is the mean time between two visits of a caller.
	MeanPause time.Duration
	Duration  time.Duration
	// OrderPath is a call that may not be repeated, such as
	// /services/orders/jobs; empty sends none.
	OrderPath     string
	OrderInterval time.Duration
	Seed          uint64
}

// Report is what a load saw.
type Report struct {
	FirstVisits, ReturningVisits *LatencyHistogram
	PromptBlocks, CachedBlocks   int
	Versions                     map[string]int
	Endpoints                    map[string]int
	Errors                       map[string]int
	Orders                       int
	OrdersAnswered               int
	OrdersReplayed               int
	OrdersUnknown                int
	OrdersNotRun                 int
}

const (
	pieceSize = 4000 // bytes
	answerFor = 30 * time.Second
	maxPieces = 24
)

type runner struct {
	cfg    Config
	client *fasthttp.Client

	mu     sync.Mutex
	report *Report
	next   int
}

// Run sends the load until its duration or ctx is over.
func Run(ctx context.Context, cfg Config) *Report {
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	r := &runner{cfg: cfg, report: &Report{
		FirstVisits: newSample(), ReturningVisits: newSample(),
		Versions: map[string]int{}, Endpoints: map[string]int{}, Errors: map[string]int{},
	}}
	r.client = &fasthttp.Client{
		StreamResponseBody: true, MaxConnsPerHost: 4 * cfg.Callers, ReadTimeout: answerFor,
		MaxIdleConnDuration: time.Second, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	var group conc.WaitGroup
	for i := range cfg.Callers {
		group.Go(func() { r.caller(ctx, i) })
	}
	if cfg.OrderPath != "" {
		group.Go(func() { r.orders(ctx) })
	}
	group.Wait()
	return r.report
}

func (r *runner) entry() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return r.cfg.Entries[r.next%len(r.cfg.Entries)]
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// caller visits until the load ends.
func (r *runner) caller(ctx context.Context, i int) {
	random := rand.New(rand.NewPCG(r.cfg.Seed, uint64(i)))
	key := r.cfg.Keys[i%len(r.cfg.Keys)]
	for pause(ctx, time.Duration(random.Float64()*float64(r.cfg.MeanPause))) {
		prompt := piece(random, r.cfg.FirstPromptBlocks)
		for visit := 0; len(prompt) < maxPieces*pieceSize; visit++ {
			r.visit(key, prompt, visit > 0)
			if !pause(ctx, time.Duration((0.5+random.Float64())*float64(r.cfg.MeanPause))) {
				return
			}
			prompt = append(prompt, piece(random, 1)...)
		}
	}
}

// piece makes text that no other caller has.
func piece(random *rand.Rand, pieces int) []byte {
	text := make([]byte, pieces*pieceSize)
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

// visit sends one prompt and reads its stream.
func (r *runner) visit(key string, prompt []byte, returning bool) {
	body, err := json.Marshal(completionRequest{r.cfg.Model, string(prompt), true, 8})
	if err != nil {
		r.failed(err.Error())
		return
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r.prepare(req, r.entry(), "/v1/completions", key, body)
	startedAt := time.Now()
	if err := r.client.DoTimeout(req, resp, answerFor); err != nil {
		r.failed("connection: " + err.Error())
		return
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		r.failed(errorCode(resp.Body()))
		return
	}
	first, used, complete := readStream(resp)
	firstToken := first.Sub(startedAt)
	_ = resp.CloseBodyStream()
	if !complete {
		r.failed("StreamBroken")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	sample := r.report.FirstVisits
	if returning {
		sample = r.report.ReturningVisits
	}
	sample.add(firstToken)
	r.report.Versions[string(resp.Header.Peek("X-Bluebell-Version"))]++
	r.report.Endpoints[string(resp.Header.Peek("X-Bluebell-Endpoint"))]++
	if used != nil && used.Usage != nil {
		r.report.PromptBlocks += used.Usage.PromptTokens / pieceSize
		r.report.CachedBlocks += used.Usage.PromptDetails.CachedTokens / pieceSize
	}
}

func readStream(resp *fasthttp.Response) (first time.Time, used *eventUsage, complete bool) {
	reader := bufio.NewReader(resp.BodyStream())
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return first, used, false
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		switch {
		case !ok:
			if bytes.HasPrefix(line, []byte("event: error")) {
				return first, used, false
			}
			continue
		case string(data) == "[DONE]":
			return first, used, true
		case first.IsZero():
			first = time.Now()
		}
		if bytes.Contains(data, []byte(`"usage"`)) {
			used = &eventUsage{}
			if json.Unmarshal(data, used) != nil {
				return first, nil, false
			}
		}
	}
}

func (r *runner) prepare(req *fasthttp.Request, entry, path, key string, body []byte) {
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

func errorCode(body []byte) string {
	var e errorBody
	if json.Unmarshal(body, &e) != nil || e.Error.Code == "" {
		return "unreadable error"
	}
	return e.Error.Code + " (" + e.Error.Run + ")"
}

func (r *runner) failed(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Errors[what]++
}

// orders sends each order to one entry and again to the next.
func (r *runner) orders(ctx context.Context) {
	for n := 0; pause(ctx, r.cfg.OrderInterval); n++ {
		key := r.cfg.Keys[n%len(r.cfg.Keys)]
		id := uuid.Must(uuid.NewV7()).String()
		body := fmt.Appendf(nil, `{"Caps":%d}`, n)
		first := r.order(key, id, body)
		second := r.order(key, id, body)
		r.mu.Lock()
		r.report.Orders++
		for _, o := range []string{first, second} {
			switch o {
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

func (r *runner) order(key, id string, body []byte) string {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r.prepare(req, r.entry(), r.cfg.OrderPath, key, body)
	req.Header.Set("Idempotency-Key", id)
	if err := r.client.DoTimeout(req, resp, answerFor); err != nil {
		r.failed("order connection: " + err.Error())
		return "Unknown"
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		var e errorBody
		r.failed("order " + errorCode(resp.Body()))
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
