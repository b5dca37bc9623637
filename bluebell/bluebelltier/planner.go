// Package bluebelltier plans the transfers of cached prompt blocks. A block is a piece
// of a prompt whose cache an endpoint can reuse for other prompts that share it. For
// each shared block of a prompt, a Planner decides from which address the endpoint
// fetches it, and whether the endpoint writes it to a cache store.
//
// Computing a shared block again costs an engine (an endpoint that runs models) many
// times what fetching it costs. The plan therefore names a store for every shared block
// that a store holds, in case the endpoint lacks the block. A block that no store holds
// is written once, to a store with free space, if possible in the failure domain of the
// prompt's home, which is the endpoint that should have the prompt cached. All entries
// (processes that take calls) choose the same store for a block, and a store that
// already has the block keeps the first copy. A block that cannot be fetched from a
// store is fetched from the prompt's home, which has a fast link.
//
// # Usage
//
//	planner := bluebelltier.New(bluebelltier.Config{...})
//	plan := planner.Plan(bluebelltier.Request{...})
//	...
//	planner.FetchesDone(plan)
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
	// crossDomainFactor is the factor by which a transfer between failure domains takes
	// longer than one within a failure domain.
	crossDomainFactor = 2
	// pendingWriteTTL is the time in which a planned write is expected to appear in the
	// directory. It covers computing the block, its transfer and the events of the store.
	pendingWriteTTL = 6 * time.Second
	// maxFillRatio is the fraction of a store's capacity that writes may fill. The rest is
	// for writes that other entries have begun.
	maxFillRatio = 0.95
)

// Block is a shared block of a prompt.
type Block struct {
	ID     string
	Tokens int
}

// Request describes the shared blocks of a prompt.
type Request struct {
	// Scope separates blocks that must not be shared, such as those of different models,
	// versions of weights or isolated customers.
	Scope  string
	Blocks []Block
	// FailureDomain is the failure domain of the endpoint that runs the call.
	FailureDomain string
	// Home is the address of the prompt's home if that is not the endpoint that runs the
	// call, and "" otherwise. HomeDomain is the failure domain of the home.
	Home, HomeDomain string
	// TokenBytes is the cache size of one token in bytes.
	TokenBytes float64
	// Expected is the time in which the call is expected to begin to be answered.
	Expected time.Duration
}

// Tokens returns the size of all shared blocks in tokens.
func (r Request) Tokens() int {
	total := 0
	for _, b := range r.Blocks {
		total += b.Tokens
	}
	return total
}

// Plan is the result of Planner.Plan. Fetch and Save have one element for each shared
// block and a last one for the rest of the prompt: the address to fetch the block from
// and the address to write it to, or "" for none.
type Plan struct {
	Fetch, Save []string
	// HeldTokens is the size of the blocks that are fetched from a store.
	HeldTokens int
	fetches    []*fetch
}

// Config is the configuration of a Planner.
type Config struct {
	// Stores returns the declared stores.
	Stores func() []bluebelldeployment.Store
	// Directory returns the current view of the blocks that the stores hold, or nil if there
	// is no live source for it.
	Directory func() *bluebelldirectory.View
	// OtherLoads returns the fetches that other entries have in flight, by store address.
	OtherLoads func() map[string]Load
	// Objective returns the shortest time in which an answer that waits for a fetch should
	// begin, 0 if unknown. It may be nil.
	Objective func() time.Duration
	// OnSlowChange, if not nil, is called when a store becomes slower than the others and
	// when it no longer is.
	OnSlowChange func(store string, slow bool, l Load)
	// Now returns the time on a monotonic clock, the one that the directory uses.
	Now func() time.Duration
}

// pendingWrite is a write that this entry has planned and that may not appear in the
// directory yet.
type pendingWrite struct {
	store  string
	tokens int
	at     time.Duration
}

// Planner plans the block transfers of calls. It is safe for concurrent use.
type Planner struct {
	cfg Config

	mu       sync.Mutex
	pending  map[bluebelldirectory.Key]pendingWrite
	inFlight map[*fetch]struct{}
	// slowAt holds, by address, when each avoided store last counted as slow.
	slowAt  map[string]time.Duration
	changes []slowChange
}

// New returns a Planner without fetches in flight.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg, pending: map[bluebelldirectory.Key]pendingWrite{}, inFlight: map[*fetch]struct{}{}, slowAt: map[string]time.Duration{}}
}

// FetchTime estimates how long an endpoint in the request's failure domain needs to
// fetch the shared blocks of a prompt. It returns 0 if some block cannot be fetched from
// a store.
func (p *Planner) FetchTime(r Request) time.Duration {
	view := p.cfg.Directory()
	if view == nil || len(r.Blocks) == 0 {
		return 0
	}
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.unlock()
	stores := p.storesByAddress()
	total := time.Duration(0)
	for _, b := range r.Blocks {
		s, held := p.fastestHolder(view, stores, r, b, now)
		if !held {
			return 0
		}
		total += transferTime(s, r, b.Tokens, 0)
	}
	return total
}

// Plan decides the block transfers of a call. The planned fetches count as in flight
// until FetchesDone is called.
func (p *Planner) Plan(r Request) Plan {
	plan := Plan{Fetch: make([]string, len(r.Blocks)+1), Save: make([]string, len(r.Blocks)+1)}
	view := p.cfg.Directory()
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.unlock()
	p.dropExpiredWrites(now)
	stores := p.storesByAddress()
	for i, b := range r.Blocks {
		if view != nil {
			if s, held := p.fastestHolder(view, stores, r, b, now); held {
				address := s.Address
				plan.Fetch[i] = address
				plan.HeldTokens += b.Tokens
				f := &fetch{store: address, tokens: b.Tokens, dueAt: now + r.Expected}
				plan.fetches = append(plan.fetches, f)
				p.inFlight[f] = struct{}{}
				continue
			}
			if !p.isHeld(view, stores, r, b, now) {
				plan.Save[i] = p.chooseStore(view, stores, r, b, now)
			}
		}
		plan.Fetch[i] = r.Home
	}
	return plan
}

// storesByAddress returns the declared stores by address.
func (p *Planner) storesByAddress() map[string]bluebelldeployment.Store {
	stores := map[string]bluebelldeployment.Store{}
	for _, s := range p.cfg.Stores() {
		stores[s.Address] = s
	}
	return stores
}

// fastestHolder returns the store with the shortest estimated transfer time for a block, and
// reports whether there is one. The fetches that all entries have in flight affect the
// choice but do not prevent a fetch: most of them wait for their engine, not for the link,
// and computing the blocks instead made engines wait. Only slow stores are excluded.
func (p *Planner) fastestHolder(view *bluebelldirectory.View, stores map[string]bluebelldeployment.Store, r Request, b Block, now time.Duration) (bluebelldeployment.Store, bool) {
	var best bluebelldeployment.Store
	found, bestEstimate := false, time.Duration(0)
	loads := p.totalLoads(now)
	avoided := p.avoidedStores(loads, b.Tokens, now)
	for _, address := range view.Holders(bluebelldirectory.Key{Scope: r.Scope, ID: b.ID}, now) {
		s, declared := stores[address]
		_, slow := avoided[address]
		if slow && loads[address].LargeFetches >= maxSlowFetches || !declared || s.BytesPerSecond <= 0 {
			continue
		}
		estimate := transferTime(s, r, b.Tokens, loads[address].Tokens)
		if !found || estimate < bestEstimate {
			best, bestEstimate, found = s, estimate, true
		}
	}
	return best, found
}

// avoidedStores returns the addresses of the stores that count as slow or did within
// slowHoldTime. It returns nil for small blocks, whose fetch time does not matter. The caller
// must hold p.mu.
func (p *Planner) avoidedStores(loads map[string]Load, tokens int, now time.Duration) map[string]time.Duration {
	if tokens < largeBlockTokens {
		return nil
	}
	for address := range slowStores(loads, p.objective()) {
		if _, avoided := p.slowAt[address]; !avoided {
			p.changes = append(p.changes, slowChange{address, true, loads[address]})
		}
		p.slowAt[address] = now
	}
	for address, at := range p.slowAt {
		if now-at > slowHoldTime {
			delete(p.slowAt, address)
			p.changes = append(p.changes, slowChange{address, false, loads[address]})
		}
	}
	return p.slowAt
}

// objective returns the shortest objective of the calls that fetch, 0 if unknown.
func (p *Planner) objective() time.Duration {
	if p.cfg.Objective == nil {
		return 0
	}
	return p.cfg.Objective()
}

// slowChange is a change of a store to slow or back, which is still to be reported.
type slowChange struct {
	store string
	slow  bool
	load  Load
}

// unlock unlocks p.mu and calls OnSlowChange for the changes since the last call, without the
// lock.
func (p *Planner) unlock() {
	changes := p.changes
	p.changes = nil
	p.mu.Unlock()
	if p.cfg.OnSlowChange == nil {
		return
	}
	for _, c := range changes {
		p.cfg.OnSlowChange(c.store, c.slow, c.load)
	}
}

// isHeld reports whether any declared store, slow or not, holds a block.
func (p *Planner) isHeld(view *bluebelldirectory.View, stores map[string]bluebelldeployment.Store, r Request, b Block, now time.Duration) bool {
	return slices.ContainsFunc(view.Holders(bluebelldirectory.Key{Scope: r.Scope, ID: b.ID}, now), func(address string) bool {
		_, declared := stores[address]
		return declared
	})
}

// transferTime estimates how long the transfer of a block from a store takes when a number
// of tokens is ahead of it.
func transferTime(s bluebelldeployment.Store, r Request, tokens, ahead int) time.Duration {
	perToken := r.TokenBytes / s.BytesPerSecond
	if s.FailureDomain != r.FailureDomain {
		perToken *= crossDomainFactor
	}
	return s.SetupDelay + time.Duration(float64(tokens+ahead)*perToken*float64(time.Second))
}

// FetchesDone removes the fetches of a plan from those in flight, once they have arrived or
// been given up. Further calls with the same plan have no effect.
func (p *Planner) FetchesDone(plan Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range plan.fetches {
		delete(p.inFlight, f)
	}
}

// InFlight returns the fetches that this entry has in flight, by store address.
func (p *Planner) InFlight() map[string]Load {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := map[string]Load{}
	for f := range p.inFlight {
		loads[f.store] = f.addTo(loads[f.store], now)
	}
	return loads
}

// totalLoads returns the fetches that all entries have in flight, by store address. The
// caller must hold p.mu.
func (p *Planner) totalLoads(now time.Duration) map[string]Load {
	loads := maps.Clone(p.cfg.OtherLoads())
	if loads == nil {
		loads = map[string]Load{}
	}
	for f := range p.inFlight {
		loads[f.store] = f.addTo(loads[f.store], now)
	}
	return loads
}

// chooseStore returns the address of the store that a block is written to, or "" if a write
// of the block is pending or no store has room.
func (p *Planner) chooseStore(view *bluebelldirectory.View, stores map[string]bluebelldeployment.Store, r Request, b Block, now time.Duration) string {
	key := bluebelldirectory.Key{Scope: r.Scope, ID: b.ID}
	if _, isPending := p.pending[key]; isPending {
		return ""
	}
	var candidates []bluebelldeployment.Store
	for address, state := range view.WritableStores(now) {
		s, declared := stores[address]
		if declared && float64(state.UsedTokens+p.pendingTokens(address)+b.Tokens) <= maxFillRatio*float64(s.Tokens) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	best := slices.MinFunc(candidates, func(x, y bluebelldeployment.Store) int {
		if nearX, nearY := x.FailureDomain == r.HomeDomain, y.FailureDomain == r.HomeDomain; nearX != nearY {
			if nearX {
				return -1
			}
			return 1
		}
		return cmp.Compare(rank(b.ID, x), rank(b.ID, y))
	})
	p.pending[key] = pendingWrite{store: best.Address, tokens: b.Tokens, at: now}
	return best.Address
}

// rank returns the sort key of a store for a block. It is the same on all entries, and each
// store has the lowest key for a share of the blocks that is proportional to its capacity.
func rank(block string, s bluebelldeployment.Store) float64 {
	draw := (float64(xxhash.Sum64String(block+"\x00"+s.Address)>>11) + 1) / (1 << 53)
	return -math.Log(draw) / float64(max(s.Tokens, 1))
}

// pendingTokens returns the size of this entry's pending writes to a store, which the
// store's reported use may not include yet.
func (p *Planner) pendingTokens(address string) int {
	tokens := 0
	for _, w := range p.pending {
		if w.store == address {
			tokens += w.tokens
		}
	}
	return tokens
}

// dropExpiredWrites forgets the pending writes that are older than pendingWriteTTL.
func (p *Planner) dropExpiredWrites(now time.Duration) {
	for key, w := range p.pending {
		if now-w.at > pendingWriteTTL {
			delete(p.pending, key)
		}
	}
}
