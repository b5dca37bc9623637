package bluebellroute

import (
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// Errors returned by Router.Pick.
var (
	ErrUnknownTarget = errors.New("the target is unknown")
	ErrNoEndpoint    = errors.New("no endpoint of the target can take the request now")
)

const (
	// homePrior is the fraction of a prompt's blocks expected to be cached at its
	// home when no endpoint is known to have any of them.
	homePrior = 0.8
	// uncachedPenalty is the extra cost, as a multiple of the computing time, of
	// computing blocks at an endpoint that is expected to have none of the prompt
	// cached: the other entries expect the blocks at the home, and the copies
	// evict other blocks from the endpoint's memory.
	uncachedPenalty = 2.0
	// suspectDelay is added to the expected time if the endpoint or its owner
	// failed recently.
	suspectDelay = time.Minute
	// hopTime is the expected cost of forwarding a request to another VM.
	hopTime = time.Millisecond
	// maxHolders limits the endpoints looked up that have parts of a prompt cached.
	maxHolders = 2
)

// Config holds the settings of a Router.
type Config struct {
	// VM is the name of the VM that the router runs on.
	VM string
	// LoadBound divides the number of pending blocks in the expected time at an
	// endpoint: the higher it is, the less its load counts against an endpoint.
	LoadBound float64
}

// Query describes one request to Pick.
type Query struct {
	Target string
	Blocks []Block
	// HashKey replaces the first block as the key of rendezvous hashing for calls
	// without blocks. It should differ between calls, which spreads them over the
	// endpoints.
	HashKey uint64
	// Excluded holds the names of endpoints already tried for this request.
	Excluded []string
	// OwnedOnly restricts the choice to endpoints that this VM owns.
	OwnedOnly bool
}

// Decision is the version, endpoint and owner chosen for a request, with the
// values that the choice was based on.
type Decision struct {
	Endpoint *Endpoint
	Owner    string
	Version  string
	// Home is the name of the first endpoint in rendezvous order.
	Home string
	// CachedBlocks is the number of blocks expected to be cached at Endpoint.
	CachedBlocks int
	Blocks       []Block
	Candidates   int
	// ExpectedTime is the expected time to the first token, with penalties.
	ExpectedTime time.Duration
	Reason       string

	// prefixKnown is set if some endpoint is known to have a part of the prompt
	// cached.
	prefixKnown bool
}

// MissingBlocks returns the number of blocks that the endpoint is expected to compute.
func (d *Decision) MissingBlocks() int {
	if !d.prefixKnown && d.Endpoint.Name == d.Home {
		return int(math.Ceil(float64(len(d.Blocks)) * (1 - homePrior)))
	}
	return len(d.Blocks) - d.CachedBlocks
}

// Router chooses endpoints for the requests of one VM. It is safe for concurrent use.
type Router struct {
	cfg         Config
	table       atomic.Pointer[Table]
	cached      *cacheIndex
	loads       loadSet
	vmLoads     loadSet
	targetLoads loadSet
	splitters   splitterSet
}

// NewRouter returns a router with an empty table.
func NewRouter(cfg Config) *Router {
	r := &Router{
		cfg: cfg, cached: newCacheIndex(),
		loads: loadSet{loads: map[string]*load{}}, vmLoads: loadSet{loads: map[string]*load{}},
		targetLoads: loadSet{loads: map[string]*load{}},
		splitters:   splitterSet{splitters: map[string]*versionSplitter{}},
	}
	r.table.Store(&Table{})
	return r
}

// SetTable replaces the routing table. The router owns t afterwards: the caller must
// not pass it to another router, since its endpoints refer to this router's loads.
func (r *Router) SetTable(t *Table) {
	for name, e := range t.endpoints {
		e.load = r.loads.get(name)
	}
	r.table.Store(t)
}

// Table returns the current routing table.
func (r *Router) Table() *Table { return r.table.Load() }

// holder is an endpoint that is expected to have the first blocks of a prompt cached.
type holder struct {
	endpoint string
	blocks   int
}

// Pick chooses the version, endpoint and owner for a request. Its error wraps
// ErrUnknownTarget or ErrNoEndpoint. If the new version of a move has no endpoint
// for the request, Pick falls back to the old version.
func (r *Router) Pick(now time.Duration, q *Query) (Decision, error) {
	t := r.table.Load()
	tg := t.targets[q.Target]
	if tg == nil {
		return Decision{}, fmt.Errorf("%w: %q", ErrUnknownTarget, q.Target)
	}
	key := q.HashKey
	if len(q.Blocks) > 0 {
		key = uint64(q.Blocks[0])
	}
	version := r.chooseVersion(t, tg, key, q)
	d, ok := r.pickEndpoint(now, t, tg, version, key, q)
	if !ok && version != tg.version {
		d, ok = r.pickEndpoint(now, t, tg, tg.version, key, q)
	}
	if !ok {
		return Decision{}, fmt.Errorf("%w: %q", ErrNoEndpoint, q.Target)
	}
	d.Blocks = q.Blocks
	return d, nil
}

// chooseVersion returns the version for a request, so that the new version of a
// move gets its share of the requests. A prompt that hashes to the new version
// still does when the share grows.
func (r *Router) chooseVersion(t *Table, tg *target, key uint64, q *Query) string {
	if tg.next == "" || tg.nextShare <= 0 {
		return tg.version
	}
	var holders [maxHolders]holder
	sticky := unitFloat(mix(key, tg.moveSeed)) < tg.nextShare
	cached := r.findHolders(t, tg.version, q.Blocks, &holders) > 0
	if r.splitters.get(q.Target, tg.next).admit(tg.nextShare, sticky, cached) {
		return tg.next
	}
	return tg.version
}

// pickEndpoint chooses the endpoint of a version with the least expected time. It
// reports false if no endpoint is available.
func (r *Router) pickEndpoint(now time.Duration, t *Table, tg *target, version string, key uint64, q *Query) (Decision, bool) {
	candidates := tg.byVersion[version]
	home := firstRanked(candidates, key)
	var holders [maxHolders]holder
	found := r.findHolders(t, version, q.Blocks, &holders)
	best := Decision{Candidates: len(candidates), Version: version, prefixKnown: found > 0}
	if home != nil {
		best.Home = home.Name
	}
	targetBlockTime := r.targetBlockTime(q.Target)
	var bestScore uint64
	for _, e := range candidates {
		if excluded(q.Excluded, e.Name) {
			continue
		}
		owner, ownerSuspect := r.chooseOwner(now, e, key)
		if owner == "" || q.OwnedOnly && owner != r.cfg.VM {
			continue
		}
		cached := 0
		for _, h := range holders[:found] {
			if h.endpoint == e.Name {
				cached = h.blocks
			}
		}
		expected := r.expectedTime(now, tg, e, targetBlockTime, cached, len(q.Blocks), found > 0, e == home)
		if ownerSuspect {
			expected += suspectDelay
		}
		if owner != r.cfg.VM {
			expected += hopTime
		}
		score := mix(key, e.seed)
		if best.Endpoint == nil || expected < best.ExpectedTime || expected == best.ExpectedTime && score > bestScore {
			best.Endpoint, best.Owner, best.ExpectedTime, best.CachedBlocks = e, owner, expected, cached
			bestScore = score
		}
	}
	if best.Endpoint == nil {
		return best, false
	}
	best.Reason = reason(&best, best.Endpoint == home)
	return best, true
}

func reason(d *Decision, isHome bool) string {
	switch {
	case d.CachedBlocks > 0:
		return "Cached"
	case isHome:
		return "Home"
	}
	return "LeastExpectedTime"
}

// expectedTime returns the expected time to the first token at an endpoint, with
// the penalties for uncached blocks and recent failures. Cached is the number of
// the prompt's blocks that the endpoint has cached; prefixKnown is set if any
// endpoint is known to have a part of the prompt, and isHome if e is the home.
func (r *Router) expectedTime(now time.Duration, tg *target, e *Endpoint, targetBlockTime time.Duration, cached, blocks int, prefixKnown, isHome bool) time.Duration {
	pending, ownBlockTime, suspect := e.load.snapshot(now)
	blockTime := targetBlockTime
	if ownBlockTime > slowRatio*targetBlockTime {
		blockTime = ownBlockTime
	}
	missing := float64(max(blocks, 1) - cached)
	switch {
	case prefixKnown && cached > 0 || blocks == 0:
	case !prefixKnown && isHome:
		missing *= 1 - homePrior
	default:
		missing *= 1 + uncachedPenalty
	}
	if tg.kind == pb.Kind_Service {
		missing = 1
	}
	wait := time.Duration((float64(pending)/r.cfg.LoadBound + missing) * float64(blockTime))
	if suspect {
		wait += suspectDelay
	}
	return wait
}

// targetBlockTime returns the average time per block over all endpoints of a target.
func (r *Router) targetBlockTime(target string) time.Duration {
	if _, measured, _ := r.targetLoads.get(target).snapshot(0); measured > 0 {
		return measured
	}
	return defaultBlockTime
}

// findHolders looks up the usable endpoints that have the longest prefixes of a
// prompt cached. It stores them in holders, longest first, and returns their number.
func (r *Router) findHolders(t *Table, version string, blocks []Block, holders *[maxHolders]holder) int {
	found := 0
	seed := versionSeed(version)
	for i := len(blocks) - 1; i >= 0 && found < maxHolders; i-- {
		record, ok := r.cached.get(mix(uint64(blocks[i]), seed))
		if !ok || found > 0 && holders[0].endpoint == record.endpoint {
			continue
		}
		e := t.endpoints[record.endpoint]
		if e == nil || !e.Usable || e.Incarnation != record.incarnation {
			// The endpoint is unusable, or restarted and lost its cache.
			continue
		}
		holders[found] = holder{record.endpoint, i + 1}
		found++
	}
	return found
}

// chooseOwner returns the owner to send a request to: this VM if it comes first or
// all owners before it are suspect, else the first owner that isn't suspect. The
// order depends on the key, so equal keys get the same owner while it answers.
// Suspect is set if all owners are suspect. The name is empty if there are no owners.
func (r *Router) chooseOwner(now time.Duration, e *Endpoint, key uint64) (vm string, suspect bool) {
	if len(e.Owners) == 0 {
		return "", false
	}
	start := int(mix(key, e.seed+1) % uint64(len(e.Owners)))
	for i := range e.Owners {
		vm := e.Owners[(start+i)%len(e.Owners)]
		if vm == r.cfg.VM {
			return vm, false
		}
		if _, _, suspect := r.vmLoads.get(vm).snapshot(now); !suspect {
			return vm, false
		}
	}
	return e.Owners[start], true
}

// firstRanked returns the first endpoint in rendezvous order, or nil if there are none.
func firstRanked(candidates []*Endpoint, key uint64) *Endpoint {
	var first *Endpoint
	var firstScore uint64
	for _, e := range candidates {
		if score := mix(key, e.seed); first == nil || score > firstScore {
			first, firstScore = e, score
		}
	}
	return first
}

func excluded(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func versionSeed(version string) uint64 { return xxhash.Sum64String(version) }

// AddPending counts the missing blocks of a request that is sent as pending at its
// endpoint. The caller must call RemovePending once for each AddPending.
func (r *Router) AddPending(d *Decision) { d.Endpoint.load.addPending(d.MissingBlocks()) }

// RemovePending ends the count that AddPending began. It is called when the first
// token of the request arrives or the request fails.
func (r *Router) RemovePending(d *Decision) { d.Endpoint.load.removePending(d.MissingBlocks()) }

// RecordAnswer records that the endpoint now has all blocks of an answered request
// cached, and ends the suspicion of the endpoint. It measures the time per block as
// firstToken, the time to the first token, divided by the number of blocks computed
// until then: the uncached blocks of the prompt, and blocksAhead of other requests.
// FirstToken is 0 if it was not measured.
func (r *Router) RecordAnswer(now time.Duration, d *Decision, cachedBlocks, blocksAhead int, firstToken time.Duration) {
	blockTime := time.Duration(0)
	if computed := len(d.Blocks) - cachedBlocks; computed > 0 {
		blockTime = firstToken / time.Duration(computed+blocksAhead)
	}
	d.Endpoint.load.recordSuccess(blockTime)
	r.targetLoads.get(d.Endpoint.Target).recordSuccess(blockTime)
	seed := versionSeed(d.Version)
	for _, b := range d.Blocks {
		r.cached.set(mix(uint64(b), seed), cacheRecord{d.Endpoint.Name, d.Endpoint.Incarnation, now})
	}
}

// recentBlockAge is how long after its last use a block is certain to be cached at
// its endpoint, unless the endpoint lost its whole memory.
const recentBlockAge = 10 * time.Second

// RecentBlocks returns how many of the first blocks of a prompt the chosen endpoint
// has run for this VM within recentBlockAge.
func (r *Router) RecentBlocks(now time.Duration, d *Decision) int {
	seed := versionSeed(d.Version)
	recent := 0
	for _, b := range d.Blocks {
		record, ok := r.cached.get(mix(uint64(b), seed))
		if !ok || record.endpoint != d.Endpoint.Name || record.incarnation != d.Endpoint.Incarnation || now-record.usedAt > recentBlockAge {
			break
		}
		recent++
	}
	return recent
}

// EndpointFailed makes an endpoint suspect for a time that doubles with each
// consecutive failure.
func (r *Router) EndpointFailed(now time.Duration, name string) { r.loads.get(name).recordFailure(now) }

// VMFailed makes an owner suspect for a time that doubles with each consecutive failure.
func (r *Router) VMFailed(now time.Duration, vm string) { r.vmLoads.get(vm).recordFailure(now) }

// VMAnswered ends the suspicion of an owner.
func (r *Router) VMAnswered(vm string) { r.vmLoads.get(vm).recordSuccess(0) }

// RecordOwnerLoad records the number of pending blocks at an endpoint that its
// owner reported with an answer.
func (r *Router) RecordOwnerLoad(now time.Duration, endpoint string, pending int) {
	r.loads.get(endpoint).recordOwnerLoad(now, pending)
}

// PendingBlocks returns the number of blocks that this VM has pending at an endpoint.
func (r *Router) PendingBlocks(endpoint string) int {
	return r.loads.get(endpoint).pendingBlocks()
}
