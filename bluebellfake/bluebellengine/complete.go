package bluebellengine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

// defaultMaxTokens is the number of tokens of an answer if the request sets no positive
// max_tokens.
const defaultMaxTokens = 8

type completionRequest struct {
	Model     string
	Stream    bool
	MaxTokens int `json:"max_tokens"`
	Prompt    json.RawMessage
	Messages  json.RawMessage
}

type usage struct {
	PromptTokens  int           `json:"prompt_tokens"`
	PromptDetails promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// serveCompletion answers a completion request, as one JSON object or as an event stream.
func (e *Engine) serveCompletion(ctx *fasthttp.RequestCtx, route string) {
	var r completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	prompt := []byte(r.Prompt)
	if len(prompt) == 0 {
		prompt = r.Messages
	}
	version := string(ctx.Request.Header.Peek("X-Bluebell-Version"))
	customer := string(ctx.Request.Header.Peek("X-Bluebell-Customer"))
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	if !e.isLoaded(version) {
		ctx.Error("version "+version+" is not loaded", fasthttp.StatusServiceUnavailable)
		return
	}
	if !e.beginRequest(version, string(prompt)) {
		return
	}
	fail, factor := e.requestFaults(version, route)
	if fail {
		e.endRequest()
		ctx.Error("the version fails", fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.Set("X-Request-Id", e.responseID(id))
	blocks := hashPromptBlocks(customer, version, prompt)
	response := completion{ID: id, Object: "text_completion", Model: r.Model, Choices: []choice{{}}}
	tokens := r.MaxTokens
	if tokens <= 0 {
		tokens = defaultMaxTokens
	}
	tokenTime := time.Duration(factor * float64(e.cfg.TokenTime))
	if !r.Stream {
		defer e.endRequest()
		response.Usage = e.prefill(blocks, factor)
		time.Sleep(time.Duration(tokens) * tokenTime)
		response.Choices[0].Text = completionText(tokens)
		writeJSON(ctx, response)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.endRequest()
		promptUsage := e.prefill(blocks, factor)
		for i := range tokens {
			response.Choices[0].Text = fmt.Sprintf("token%d ", i)
			if i == tokens-1 {
				response.Usage = promptUsage
			}
			if !writeEvent(w, response) {
				return
			}
			time.Sleep(tokenTime)
		}
		if _, err := w.WriteString("data: [DONE]\n\n"); err != nil {
			return
		}
		_ = w.Flush()
	})
}

// writeEvent sends c as one server-sent event and reports whether the write succeeded.
func writeEvent(w *bufio.Writer, c completion) bool {
	data, err := json.Marshal(c)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return false
	}
	return w.Flush() == nil
}

// completionText returns the text of an answer of the given number of tokens.
func completionText(tokens int) string {
	var buf []byte
	for i := range tokens {
		buf = fmt.Appendf(buf, "token%d ", i)
	}
	return string(buf)
}

// isLoaded reports whether the endpoint has loaded the version.
func (e *Engine) isLoaded(version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.versions, version)
}

// prefill computes the blocks of a prompt that are not cached. Only one prompt is computed
// at a time.
func (e *Engine) prefill(blocks []blockHash, factor float64) *usage {
	e.computeMu.Lock()
	defer e.computeMu.Unlock()
	e.mu.Lock()
	cached := e.cache.lookupAndStore(blocks)
	e.counts.Blocks += len(blocks)
	e.counts.CachedBlocks += cached
	e.mu.Unlock()
	time.Sleep(time.Duration(factor * float64(len(blocks)-cached) * float64(e.cfg.BlockTime)))
	return &usage{PromptTokens: len(blocks) * blockBytes, PromptDetails: promptDetails{cached * blockBytes}}
}

type callResponse struct {
	Service string
	Key     string
	Run     int
}

// serveCall runs a call of a plain service. LoseAnswer and Garbage faults close the
// connection after the run, so the caller cannot tell whether the call ran.
func (e *Engine) serveCall(ctx *fasthttp.RequestCtx, route string) {
	version := string(ctx.Request.Header.Peek("X-Bluebell-Version"))
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	if !e.beginRequest(version, string(ctx.PostBody())) {
		return
	}
	defer e.endRequest()
	fail, factor := e.requestFaults(version, route)
	if fail {
		ctx.Error("the version fails", fasthttp.StatusInternalServerError)
		return
	}
	time.Sleep(time.Duration(factor * float64(e.cfg.BlockTime)))
	response := callResponse{Service: e.cfg.Name, Key: string(ctx.Request.Header.Peek("Idempotency-Key"))}
	e.mu.Lock()
	if response.Key != "" {
		customer := string(ctx.Request.Header.Peek("X-Bluebell-Customer"))
		e.counts.Runs[customer+"/"+response.Key]++
		response.Run = e.counts.Runs[customer+"/"+response.Key]
	}
	_, loseAnswer := e.findFault(LoseAnswer, version, route)
	_, garbage := e.findFault(Garbage, version, route)
	for _, c := range e.listener.openConns() {
		if c.RemoteAddr().String() != ctx.RemoteAddr().String() || !loseAnswer && !garbage {
			continue
		}
		if garbage {
			_, _ = c.Conn.Write([]byte("\xff\xfe is not HTTP\r\n\r\n"))
		}
		_ = c.Conn.Close()
	}
	e.mu.Unlock()
	ctx.Response.Header.Set("X-Request-Id", e.responseID(id))
	writeJSON(ctx, response)
}
