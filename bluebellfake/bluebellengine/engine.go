package bluebellengine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const maxBody = 16 << 20 // bytes

// Config sets up an Engine.
type Config struct {
	Name string
	// PlainService makes it a plain service in place of a model engine.
	PlainService bool
	Versions     []string
	// ColdSlots are borne until WarmAfter has passed since the last breakdown.
	ColdSlots int
	WarmAfter time.Duration
	// BlockTime is the time to compute one block, TokenTime one token.
	BlockTime, TokenTime time.Duration
	CacheBlocks          int
	Weights              *WeightStore
	// OrderSecret is set on endpoints that check who orders.
	OrderSecret []byte
	// HonoursFencing refuses orders with an old fencing number.
	HonoursFencing bool
}

// Counts is what has happened at one endpoint.
type Counts struct {
	Requests, Failed, Breakdowns int
	Blocks, CachedBlocks         int
	// MaxRunning and MaxRunningCold are the most requests at one time.
	MaxRunning, MaxRunningCold int
	// ColdOverloads counts breakdowns by too many requests while cold.
	ColdOverloads int
	ByVersion     map[string]int
	// Runs of each idempotency key, by customer and key.
	Runs   map[string]int
	Orders []Order
}

// Order is what the endpoint was told.
type Order struct {
	Kind    string
	Version string
	Fencing uint64
	Holder  string
}

// Engine is one endpoint.
type Engine struct {
	cfg Config

	mu          sync.Mutex
	listener    *faultyListener
	incarnation int
	startedAt   time.Time
	versions    []string
	cache       *prefixCache
	faults      []Fault
	running     int
	fencing     uint64
	counts      Counts
	lastID      string

	// compute is held while blocks are computed.
	compute sync.Mutex
}

// New returns an endpoint that is cold.
func New(cfg Config) *Engine {
	e := &Engine{cfg: cfg, versions: slices.Clone(cfg.Versions)}
	e.counts.ByVersion, e.counts.Runs = map[string]int{}, map[string]int{}
	e.restart()
	return e
}

// Serve answers on a listener until it is closed.
func (e *Engine) Serve(l net.Listener) error {
	e.mu.Lock()
	e.listener = newFaultyListener(l)
	e.mu.Unlock()
	s := &fasthttp.Server{Handler: e.handle, MaxRequestBodySize: maxBody, Name: e.cfg.Name, NoDefaultDate: true}
	return s.Serve(e.listener)
}

// Close ends the listener and all connections.
func (e *Engine) Close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	err := e.listener.Close()
	for _, c := range e.listener.open() {
		_ = c.Conn.Close()
		c.end()
	}
	return err
}

// Counts returns a copy of what has happened.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.ByVersion, c.Runs = map[string]int{}, map[string]int{}
	for k, v := range e.counts.ByVersion {
		c.ByVersion[k] = v
	}
	for k, v := range e.counts.Runs {
		c.Runs[k] = v
	}
	c.Orders = slices.Clone(e.counts.Orders)
	return c
}

// Inject puts a fault in force.
func (e *Engine) Inject(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch f.Kind {
	case Heal:
		e.faults = nil
	case TurnCold:
		e.restart()
	case Silence:
		e.listener.silence()
	case Die:
		e.breakDown(f.Duration)
	default:
		e.faults = append(e.faults, f)
	}
}

// restart loses the memory.
func (e *Engine) restart() {
	e.incarnation++
	e.startedAt = time.Now()
	e.cache = newPrefixCache(e.cfg.CacheBlocks)
}

// breakDown cuts all connections and comes back after a while.
func (e *Engine) breakDown(d time.Duration) {
	e.counts.Breakdowns++
	e.restart()
	e.listener.setDead(true)
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.startedAt = time.Now()
		e.listener.setDead(false)
	})
}

func (e *Engine) cold() bool { return time.Since(e.startedAt) < e.cfg.WarmAfter }

func (e *Engine) hasFault(kind FaultKind, version, route string) (Fault, bool) {
	for _, f := range e.faults {
		if f.matches(kind, version, route, e.running) {
			return f, true
		}
	}
	return Fault{}, false
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/health":
		e.health(ctx)
	case path == "/orders":
		e.order(ctx)
	case path == "/counts":
		sendJSON(ctx, e.Counts())
	case path == "/fault":
		var f Fault
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		e.Inject(f)
	case e.cfg.PlainService:
		e.call(ctx, path)
	default:
		e.complete(ctx, path)
	}
}

func sendJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

type healthAnswer struct {
	State       string
	Incarnation string
	Versions    []string
}

func (e *Engine) health(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := healthAnswer{State: "Ready", Incarnation: fmt.Sprintf("%s-%d", e.cfg.Name, e.incarnation), Versions: e.versions}
	if _, leaving := e.hasFault(Leave, "", ""); leaving {
		h.State = "Leaving"
	}
	sendJSON(ctx, h)
}

// order loads or unloads a version.
func (e *Engine) order(ctx *fasthttp.RequestCtx) {
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if len(e.cfg.OrderSecret) > 0 && !e.signed(ctx) {
		ctx.Error("the order is not signed", fasthttp.StatusForbidden)
		return
	}
	e.mu.Lock()
	_, ignore := e.hasFault(IgnoreFencing, "", "")
	if e.cfg.HonoursFencing && !ignore && o.Fencing < e.fencing {
		e.mu.Unlock()
		ctx.Error(fmt.Sprintf("fencing number %d is older than %d", o.Fencing, e.fencing), fasthttp.StatusConflict)
		return
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.counts.Orders = append(e.counts.Orders, o)
	e.mu.Unlock()
	if o.Kind == "Load" {
		e.cfg.Weights.load()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions = slices.DeleteFunc(slices.Clone(e.versions), func(v string) bool { return v == o.Version })
	if o.Kind == "Load" {
		e.versions = append(e.versions, o.Version)
		slices.Sort(e.versions)
	}
}

func (e *Engine) signed(ctx *fasthttp.RequestCtx) bool {
	mac := hmac.New(sha256.New, e.cfg.OrderSecret)
	mac.Write([]byte("order"))
	mac.Write(ctx.PostBody())
	got, err := hex.DecodeString(string(ctx.Request.Header.Peek("X-Bluebell-Order-Signature")))
	return err == nil && hmac.Equal(got, mac.Sum(nil))
}

// begin counts a request that starts. It returns false when the endpoint breaks
// down on it.
func (e *Engine) begin(version, prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	e.counts.Requests++
	e.counts.ByVersion[version]++
	e.counts.MaxRunning = max(e.counts.MaxRunning, e.running)
	if e.cold() {
		e.counts.MaxRunningCold = max(e.counts.MaxRunningCold, e.running)
		if e.running > e.cfg.ColdSlots {
			e.counts.ColdOverloads++
			e.running--
			e.breakDown(time.Second)
			return false
		}
	}
	for _, f := range e.faults {
		if f.Kind == CrashOn && strings.Contains(prompt, f.Text) {
			e.running--
			e.breakDown(max(f.Duration, 200*time.Millisecond))
			return false
		}
	}
	return true
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// answerID is the request ID to answer with.
func (e *Engine) answerID(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.lastID
	e.lastID = id
	if _, crossed := e.hasFault(Cross, "", ""); crossed {
		return "not " + id + " but " + last
	}
	return id
}

// fails tells whether a request is to fail, and by how much it is slowed down.
func (e *Engine) fails(version, route string) (bool, float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	factor := 1.0
	if f, ok := e.hasFault(Slow, version, route); ok {
		factor = f.Factor
	}
	_, fail := e.hasFault(Fail, version, route)
	if fail {
		e.counts.Failed++
	}
	return fail, factor
}
