// Package bluebelltier decides which blocks of a prompt an endpoint fetches from
// where, and which ones it writes to a cache store.
//
// Reading a shared block again costs an engine many times what it costs to fetch it,
// so every shared block that a store holds is named, in case the endpoint lacks it.
// A block that no store holds is written to one with room, in the failure domain of
// its home if possible, once: entries choose the same store for it, and a store that
// has it keeps the first copy. Where no store holds a block, the prompt's home is
// asked, whose link is fast.
//
// # Usage
//
//	tier := bluebelltier.New(bluebelltier.Config{...})
//	plan := tier.Plan(bluebelltier.Request{...})
package bluebelltier

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebelldirectory"
)

const (
	// otherDomainFactor is how much longer a transfer between failure domains takes.
	otherDomainFactor = 2
	// pendingFor is how long a block that was to be written is expected to show up as
	// held: its read, its transfer and the events of the store.
	pendingFor = 6 * time.Second
	// fillLimit is the part of a store's room that is written to; the rest is for
	// writes that other entries have begun.
	fillLimit = 0.95
)

// Block is a shared block of a prompt.
type Block struct {
	ID     string
	Tokens int
}

// Request describes the shared blocks of a prompt.
type Request struct {
	Scope  string
	Blocks []Block
	// FailureDomain of the endpoint that runs the call.
	FailureDomain string
	// Home is the address of the prompt's home if that is another endpoint; "" if
	// not. HomeDomain is the home's failure domain.
	Home, HomeDomain string
	// TokenBytes is the size of one token's cache.
	TokenBytes float64
}

// Tokens returns the size of the shared blocks.
func (r Request) Tokens() int {
	total := 0
	for _, b := range r.Blocks {
		total += b.Tokens
	}
	return total
}

// Plan names an address for each shared block, or "".
type Plan struct {
	Fetch, Save []string
	// Tokens that some store holds.
	HeldTokens int
	// fetched is what is to be fetched from each store, begun at a time.
	fetched map[string]flight
}

// Config sets up a Tier.
type Config struct {
	// Stores returns the declared stores.
	Stores func() []bluebelldeployment.Store
	// Directory returns what is known of them, or nil without a live source.
	Directory func() *bluebelldirectory.View
	// OtherLoads returns what other entries have in flight, by store.
	OtherLoads func() map[string]Load
	// OnSlowChange is told when a store has become slower than others, and when it no longer is, if
	// not nil.
	OnSlowChange func(store string, slow bool, l Load)
	// Now is monotonic, and the clock of the directory.
	Now func() time.Duration
}

// write is a block that this entry has had written.
type write struct {
	store  string
	tokens int
	at     time.Duration
}

// Planner is safe for concurrent use.
type Planner struct {
	cfg Config

	mu       sync.Mutex
	pending  map[bluebelldirectory.Key]write
	inFlight map[string]flight // by store
	// slow are the stores that were passed over last.
	slow map[string]bool
}

// New returns a tier that has planned nothing yet.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg, pending: map[bluebelldirectory.Key]write{}, inFlight: map[string]flight{}}
}

// FetchTime estimates how long an endpoint in a failure domain needs to fetch the
// shared blocks of a prompt; 0 if some of them are held nowhere.
func (t *Planner) FetchTime(r Request) time.Duration {
	view := t.cfg.Directory()
	if view == nil || len(r.Blocks) == 0 {
		return 0
	}
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	stores := t.declared()
	total := time.Duration(0)
	for _, b := range r.Blocks {
		s, held := t.nearest(view, stores, r, b, now)
		if !held {
			return 0
		}
		total += transfer(s, r, b.Tokens, 0)
	}
	return total
}

// Plan decides for a call that goes to an endpoint.
func (t *Planner) Plan(r Request) Plan {
	p := Plan{Fetch: make([]string, len(r.Blocks)+1), Save: make([]string, len(r.Blocks)+1), fetched: map[string]flight{}}
	view := t.cfg.Directory()
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	stores := t.declared()
	for i, b := range r.Blocks {
		if view != nil {
			if s, held := t.nearest(view, stores, r, b, now); held {
				address := s.Address
				p.Fetch[i] = address
				p.HeldTokens += b.Tokens
				p.fetched[address] = p.fetched[address].with(b.Tokens, now)
				t.inFlight[address] = t.inFlight[address].with(b.Tokens, now)
				continue
			}
			if !t.isHeld(view, stores, r, b, now) {
				p.Save[i] = t.choose(view, stores, r, b, now)
			}
		}
		p.Fetch[i] = r.Home
	}
	return p
}

func (t *Planner) declared() map[string]bluebelldeployment.Store {
	stores := map[string]bluebelldeployment.Store{}
	for _, s := range t.cfg.Stores() {
		stores[s.Address] = s
	}
	return stores
}

// nearest returns the store from which a block comes soonest. What all entries have
// named for a fetch counts in the choice, but keeps no block from being fetched: most
// of it waits for its engine, not for the link, and reading instead made engines wait.
// Only stores that are slower than others are passed over.
func (t *Planner) nearest(view *bluebelldirectory.View, stores map[string]bluebelldeployment.Store, r Request, b Block, now time.Duration) (bluebelldeployment.Store, bool) {
	var best bluebelldeployment.Store
	found, bestTook := false, time.Duration(0)
	loads := t.loads(now)
	var slow map[string]bool
	if b.Tokens >= largeBlock {
		slow = slowStores(loads)
		t.noteSlow(slow, loads)
	}
	for _, address := range view.Holders(bluebelldirectory.Key{Scope: r.Scope, ID: b.ID}, now) {
		s, declared := stores[address]
		if !declared || s.BytesPerSecond <= 0 || slow[address] {
			continue
		}
		took := transfer(s, r, b.Tokens, loads[address].Tokens)
		if !found || took < bestTook {
			best, bestTook, found = s, took, true
		}
	}
	return best, found
}

// noteSlow tells of the stores that have become slow, or no longer are.
func (t *Planner) noteSlow(slow map[string]bool, loads map[string]Load) {
	if t.cfg.OnSlowChange != nil {
		for address := range slow {
			if !t.slow[address] {
				t.cfg.OnSlowChange(address, true, loads[address])
			}
		}
		for address := range t.slow {
			if !slow[address] {
				t.cfg.OnSlowChange(address, false, loads[address])
			}
		}
	}
	t.slow = slow
}

// isHeld tells whether a declared store holds a block, be it slow or not.
func (t *Planner) isHeld(view *bluebelldirectory.View, stores map[string]bluebelldeployment.Store, r Request, b Block, now time.Duration) bool {
	return slices.ContainsFunc(view.Holders(bluebelldirectory.Key{Scope: r.Scope, ID: b.ID}, now), func(address string) bool {
		_, declared := stores[address]
		return declared
	})
}

// transfer estimates how long a block takes from a store, behind a number of tokens.
func transfer(s bluebelldeployment.Store, r Request, tokens, ahead int) time.Duration {
	perToken := r.TokenBytes / s.BytesPerSecond
	if s.FailureDomain != r.FailureDomain {
		perToken *= otherDomainFactor
	}
	return s.SetupDelay + time.Duration(float64(tokens+ahead)*perToken*float64(time.Second))
}

// FetchesDone notes that the blocks of a plan have come, or will not.
func (t *Planner) FetchesDone(p Plan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, f := range p.fetched {
		left := t.inFlight[address].without(f)
		if left.tokens <= 0 {
			delete(t.inFlight, address)
			continue
		}
		t.inFlight[address] = left
	}
	clear(p.fetched)
}

// InFlight returns what this entry has in flight, by store.
func (t *Planner) InFlight() map[string]Load {
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := map[string]Load{}
	for address, f := range t.inFlight {
		loads[address] = f.load(now)
	}
	return loads
}

// loads adds up what all entries have in flight; the lock is held.
func (t *Planner) loads(now time.Duration) map[string]Load {
	loads := maps.Clone(t.cfg.OtherLoads())
	if loads == nil {
		loads = map[string]Load{}
	}
	for address, f := range t.inFlight {
		loads[address] = loads[address].Add(f.load(now))
	}
	return loads
}

// choose returns the store that a block is written to, or "" for none.
func (t *Planner) choose(view *bluebelldirectory.View, stores map[string]bluebelldeployment.Store, r Request, b Block, now time.Duration) string {
	key := bluebelldirectory.Key{Scope: r.Scope, ID: b.ID}
	if _, begun := t.pending[key]; begun {
		return ""
	}
	var fit []bluebelldeployment.Store
	for address, state := range view.Writable(now) {
		s, declared := stores[address]
		if declared && float64(state.Used+t.pendingAt(address)+b.Tokens) <= fillLimit*float64(s.Tokens) {
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 {
		return ""
	}
	best := slices.MinFunc(fit, func(x, y bluebelldeployment.Store) int {
		if nearX, nearY := x.FailureDomain == r.HomeDomain, y.FailureDomain == r.HomeDomain; nearX != nearY {
			if nearX {
				return -1
			}
			return 1
		}
		return cmp.Compare(rank(b.ID, x), rank(b.ID, y))
	})
	t.pending[key] = write{store: best.Address, tokens: b.Tokens, at: now}
	return best.Address
}

// rank orders the stores for a block alike on all entries, each first for a part of
// the blocks that is proportional to its room.
func rank(block string, s bluebelldeployment.Store) float64 {
	draw := (float64(xxhash.Sum64String(block+"\x00"+s.Address)>>11) + 1) / (1 << 53)
	return -math.Log(draw) / float64(max(s.Tokens, 1))
}

// pendingAt returns the tokens that this entry has had written to a store and that
// may not count in its use yet.
func (t *Planner) pendingAt(address string) int {
	tokens := 0
	for _, w := range t.pending {
		if w.store == address {
			tokens += w.tokens
		}
	}
	return tokens
}

func (t *Planner) forget(now time.Duration) {
	for key, w := range t.pending {
		if now-w.at > pendingFor {
			delete(t.pending, key)
		}
	}
}
