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

const maxBodyBytes = 16 << 20

// Config configures an Engine.
type Config struct {
	// Name is the name of the endpoint and the prefix of its incarnations.
	Name string
	// PlainService selects a plain service instead of a model engine.
	PlainService bool
	// Versions are the versions loaded at the start.
	Versions []string
	// ColdSlots is the number of requests that the endpoint can run at the same time
	// until WarmAfter has passed since its last start.
	ColdSlots int
	WarmAfter time.Duration
	// BlockTime is the time to compute one block of a prompt or to run one call of a
	// plain service; TokenTime is the time to generate one token.
	BlockTime, TokenTime time.Duration
	// CacheBlocks is the capacity of the cache in blocks.
	CacheBlocks int
	// Weights is the store from which versions are loaded. Several endpoints can share it.
	Weights *WeightStore
	// OrderSecret is the key that signs orders. If it is empty, signatures are not checked.
	OrderSecret []byte
	// HonoursFencing makes the endpoint refuse orders whose fencing number is lower than
	// the highest one received.
	HonoursFencing bool
}

// Counts are the counters of one endpoint.
type Counts struct {
	// Failed counts requests that failed by a Fail fault, Breakdowns counts crashes.
	Requests, Failed, Breakdowns int
	Blocks, CachedBlocks         int
	// MaxRunning and MaxRunningCold are the highest numbers of requests that ran at the
	// same time, at any time and while the endpoint was cold.
	MaxRunning, MaxRunningCold int
	// ColdOverloads counts crashes caused by more than ColdSlots requests while cold.
	ColdOverloads int
	// ByVersion counts requests by version.
	ByVersion map[string]int
	// Runs counts how often the call of each idempotency key ran. Its keys have the form
	// CUSTOMER/KEY.
	Runs map[string]int
	// Orders are the accepted orders, oldest first.
	Orders []Order
}

// Order is an order to a model engine or plain service. The kind Load loads the version,
// every other kind unloads it. Fencing is the sender's fencing number and Holder the VM
// that holds this number.
type Order struct {
	Kind    string
	Version string
	Fencing uint64
	Holder  string
}

// Engine is one simulated endpoint.
type Engine struct {
	cfg Config

	mu             sync.Mutex
	listener       *faultyListener
	incarnation    int
	startedAt      time.Time
	versions       []string
	cache          *prefixCache
	faults         []Fault
	running        int
	highestFencing uint64
	counts         Counts
	lastID         string // ID of the request answered last

	// computeMu is held while the blocks of a prompt are computed.
	computeMu sync.Mutex
}

// New returns a cold endpoint.
func New(cfg Config) *Engine {
	e := &Engine{cfg: cfg, versions: slices.Clone(cfg.Versions)}
	e.counts.ByVersion, e.counts.Runs = map[string]int{}, map[string]int{}
	e.resetState()
	return e
}

// Serve accepts connections on l until l is closed.
func (e *Engine) Serve(l net.Listener) error {
	e.mu.Lock()
	e.listener = newFaultyListener(l)
	e.mu.Unlock()
	s := &fasthttp.Server{Handler: e.handle, MaxRequestBodySize: maxBodyBytes, Name: e.cfg.Name, NoDefaultDate: true}
	return s.Serve(e.listener)
}

// Close closes the listener and all connections.
func (e *Engine) Close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	err := e.listener.Close()
	for _, c := range e.listener.openConns() {
		_ = c.Conn.Close()
		c.release()
	}
	return err
}

// Counts returns a copy of the counters.
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

// Inject puts a fault into effect. Die, TurnCold and Silence act once; the other kinds
// last until Heal removes them.
func (e *Engine) Inject(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch f.Kind {
	case Heal:
		e.faults = nil
	case TurnCold:
		e.resetState()
	case Silence:
		e.listener.silence()
	case Die:
		e.crash(f.Duration)
	default:
		e.faults = append(e.faults, f)
	}
}

// resetState starts a new incarnation, which is cold and has an empty cache. e.mu must be
// held.
func (e *Engine) resetState() {
	e.incarnation++
	e.startedAt = time.Now()
	e.cache = newPrefixCache(e.cfg.CacheBlocks)
}

// crash closes all connections and starts a new incarnation, which accepts connections
// after downtime and is cold for the full WarmAfter from then on. e.mu must be held.
func (e *Engine) crash(downtime time.Duration) {
	e.counts.Breakdowns++
	e.resetState()
	e.listener.setDown(true)
	time.AfterFunc(downtime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.startedAt = time.Now()
		e.listener.setDown(false)
	})
}

// isCold reports whether WarmAfter has not passed since the last start. e.mu must be held.
func (e *Engine) isCold() bool { return time.Since(e.startedAt) < e.cfg.WarmAfter }

// findFault returns the first fault of the given kind that applies to a request for the
// version and route. e.mu must be held.
func (e *Engine) findFault(kind FaultKind, version, route string) (Fault, bool) {
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
		e.serveHealth(ctx)
	case path == "/orders":
		e.serveOrder(ctx)
	case path == "/counts":
		writeJSON(ctx, e.Counts())
	case path == "/fault":
		var f Fault
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		e.Inject(f)
	case e.cfg.PlainService:
		e.serveCall(ctx, path)
	default:
		e.serveCompletion(ctx, path)
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

type healthResponse struct {
	State       string
	Incarnation string
	Versions    []string
}

func (e *Engine) serveHealth(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := healthResponse{State: "Ready", Incarnation: fmt.Sprintf("%s-%d", e.cfg.Name, e.incarnation), Versions: e.versions}
	if _, leaving := e.findFault(Leave, "", ""); leaving {
		h.State = "Leaving"
	}
	writeJSON(ctx, h)
}

// serveOrder executes an order to load or unload a version.
func (e *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if len(e.cfg.OrderSecret) > 0 && !e.hasValidSignature(ctx) {
		ctx.Error("the order is not signed", fasthttp.StatusForbidden)
		return
	}
	e.mu.Lock()
	_, ignoreFencing := e.findFault(IgnoreFencing, "", "")
	if e.cfg.HonoursFencing && !ignoreFencing && o.Fencing < e.highestFencing {
		e.mu.Unlock()
		ctx.Error(fmt.Sprintf("fencing number %d is older than %d", o.Fencing, e.highestFencing), fasthttp.StatusConflict)
		return
	}
	e.highestFencing = max(e.highestFencing, o.Fencing)
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

// hasValidSignature reports whether the request carries the HMAC of its body under the
// order secret.
func (e *Engine) hasValidSignature(ctx *fasthttp.RequestCtx) bool {
	mac := hmac.New(sha256.New, e.cfg.OrderSecret)
	mac.Write([]byte("order"))
	mac.Write(ctx.PostBody())
	got, err := hex.DecodeString(string(ctx.Request.Header.Peek("X-Bluebell-Order-Signature")))
	return err == nil && hmac.Equal(got, mac.Sum(nil))
}

// beginRequest counts a request that starts. It returns false if the request makes the
// endpoint crash: either too many requests run while it is cold, or a CrashOn fault
// matches the prompt.
func (e *Engine) beginRequest(version, prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	e.counts.Requests++
	e.counts.ByVersion[version]++
	e.counts.MaxRunning = max(e.counts.MaxRunning, e.running)
	if e.isCold() {
		e.counts.MaxRunningCold = max(e.counts.MaxRunningCold, e.running)
		if e.running > e.cfg.ColdSlots {
			e.counts.ColdOverloads++
			e.running--
			e.crash(time.Second)
			return false
		}
	}
	for _, f := range e.faults {
		if f.Kind == CrashOn && strings.Contains(prompt, f.Text) {
			e.running--
			e.crash(max(f.Duration, 200*time.Millisecond))
			return false
		}
	}
	return true
}

func (e *Engine) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// responseID returns the request ID for the answer to the request with the given ID.
func (e *Engine) responseID(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.lastID
	e.lastID = id
	if _, crossed := e.findFault(Cross, "", ""); crossed {
		return "not " + id + " but " + previous
	}
	return id
}

// requestFaults returns whether a request must fail, and the factor by which its
// processing time is multiplied.
func (e *Engine) requestFaults(version, route string) (bool, float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	factor := 1.0
	if f, ok := e.findFault(Slow, version, route); ok {
		factor = f.Factor
	}
	_, fail := e.findFault(Fail, version, route)
	if fail {
		e.counts.Failed++
	}
	return fail, factor
}
