package bluebellengine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

// defaultTokens is the length of an answer that asks for none.
const defaultTokens = 8

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

// complete answers a request to the model.
func (e *Engine) complete(ctx *fasthttp.RequestCtx, route string) {
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
	if !e.holds(version) {
		ctx.Error("version "+version+" is not loaded", fasthttp.StatusServiceUnavailable)
		return
	}
	if !e.begin(version, string(prompt)) {
		return
	}
	fail, factor := e.fails(version, route)
	if fail {
		e.end()
		ctx.Error("the version fails", fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.Set("X-Request-Id", e.answerID(id))
	blocks := promptBlocks(customer, version, prompt)
	answer := completion{ID: id, Object: "text_completion", Model: r.Model, Choices: []choice{{}}}
	tokens := r.MaxTokens
	if tokens <= 0 {
		tokens = defaultTokens
	}
	tokenTime := time.Duration(factor * float64(e.cfg.TokenTime))
	if !r.Stream {
		defer e.end()
		answer.Usage = e.prefill(blocks, factor)
		time.Sleep(time.Duration(tokens) * tokenTime)
		answer.Choices[0].Text = text(tokens)
		sendJSON(ctx, answer)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.end()
		used := e.prefill(blocks, factor)
		for i := range tokens {
			answer.Choices[0].Text = fmt.Sprintf("token%d ", i)
			if i == tokens-1 {
				answer.Usage = used
			}
			if !writeEvent(w, answer) {
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

func text(tokens int) string {
	var all []byte
	for i := range tokens {
		all = fmt.Appendf(all, "token%d ", i)
	}
	return string(all)
}

func (e *Engine) holds(version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.versions, version)
}

// prefill computes the blocks that are not cached, one request at a time.
func (e *Engine) prefill(blocks []blockName, factor float64) *usage {
	e.compute.Lock()
	defer e.compute.Unlock()
	e.mu.Lock()
	cached := e.cache.use(blocks)
	e.counts.Blocks += len(blocks)
	e.counts.CachedBlocks += cached
	e.mu.Unlock()
	time.Sleep(time.Duration(factor * float64(len(blocks)-cached) * float64(e.cfg.BlockTime)))
	return &usage{PromptTokens: len(blocks) * blockSize, PromptDetails: promptDetails{cached * blockSize}}
}

type callAnswer struct {
	Service string
	Key     string
	Run     int
}

// call runs a call of a plain service.
func (e *Engine) call(ctx *fasthttp.RequestCtx, route string) {
	version := string(ctx.Request.Header.Peek("X-Bluebell-Version"))
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	if !e.begin(version, string(ctx.PostBody())) {
		return
	}
	defer e.end()
	fail, factor := e.fails(version, route)
	if fail {
		ctx.Error("the version fails", fasthttp.StatusInternalServerError)
		return
	}
	time.Sleep(time.Duration(factor * float64(e.cfg.BlockTime)))
	answer := callAnswer{Service: e.cfg.Name, Key: string(ctx.Request.Header.Peek("Idempotency-Key"))}
	e.mu.Lock()
	if answer.Key != "" {
		customer := string(ctx.Request.Header.Peek("X-Bluebell-Customer"))
		e.counts.Runs[customer+"/"+answer.Key]++
		answer.Run = e.counts.Runs[customer+"/"+answer.Key]
	}
	_, lose := e.hasFault(LoseAnswer, version, route)
	_, garbage := e.hasFault(Garbage, version, route)
	for _, c := range e.listener.open() {
		if c.RemoteAddr().String() != ctx.RemoteAddr().String() || !lose && !garbage {
			continue
		}
		if garbage {
			_, _ = c.Conn.Write([]byte("\xff\xfe is not HTTP\r\n\r\n"))
		}
		_ = c.Conn.Close()
	}
	e.mu.Unlock()
	ctx.Response.Header.Set("X-Request-Id", e.answerID(id))
	sendJSON(ctx, answer)
}
