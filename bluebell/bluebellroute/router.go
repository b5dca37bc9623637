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

// Reasons why no endpoint is found.
var (
	ErrUnknownTarget = errors.New("the target is unknown")
	ErrNoEndpoint    = errors.New("no endpoint of the target can take the request now")
)

const (
	// firstPrior is the share of a prompt's blocks expected at the first endpoint
	// in rendezvous order when nothing is known of the prompt.
	firstPrior = 0.8
	// strayCost is what it costs to compute blocks anew anywhere but at the first
	// endpoint, as a multiple of the time that it takes: the other entries expect
	// them there, and they push others out of the endpoint's memory.
	strayCost = 2.0
	// suspectDelay is added to the expected time at an endpoint that failed a
	// short time ago.
	suspectDelay = time.Minute
	// hopTime is the expected cost of handing a request to another VM.
	hopTime = time.Millisecond
	// maxHolders is the number of endpoints believed to hold parts of a prompt.
	maxHolders = 2
)

// Config sets up a Router.
type Config struct {
	// VM that decides.
	VM string
	// LoadBound is the multiple of the average of waiting blocks above which an
	// endpoint is passed over for prompts that nothing is known of.
	LoadBound float64
}

// Query is one request as far as routing needs it.
type Query struct {
	Target string
	Blocks []Block
	// HashKey is any number that differs between requests; it spreads calls that
	// have no blocks.
	HashKey uint64
	// Excluded endpoints were tried for this request.
	Excluded []string
	// OwnedOnly restricts the choice to endpoints that this VM owns.
	OwnedOnly bool
}

// Decision is where a request goes, and why.
type Decision struct {
	Endpoint *Endpoint
	Owner    string
	Version  string
	// Home is the first endpoint in rendezvous order.
	Home string
	// CachedBlocks are believed to be held there.
	CachedBlocks int
	Blocks       []Block
	Candidates   int
	ExpectedTime time.Duration
	Reason       string

	// known is set when an endpoint is known to hold a part of the prompt.
	known bool
}

// MissingBlocks returns the number of blocks that are expected to need computing.
func (d *Decision) MissingBlocks() int {
	if !d.known && d.Endpoint.Name == d.Home {
		return int(math.Ceil(float64(len(d.Blocks)) * (1 - firstPrior)))
	}
	return len(d.Blocks) - d.CachedBlocks
}

// Router decides for one VM. It is safe for concurrent use.
type Router struct {
	cfg     Config
	table   atomic.Pointer[Table]
	beliefs *beliefTable
	loads   loadSet
	vms     loadSet
	targets loadSet
	meters  meterSet
}

// NewRouter returns a router with an empty table.
func NewRouter(cfg Config) *Router {
	r := &Router{
		cfg: cfg, beliefs: newBeliefTable(),
		loads: loadSet{loads: map[string]*load{}}, vms: loadSet{loads: map[string]*load{}},
		targets: loadSet{loads: map[string]*load{}},
		meters:  meterSet{meters: map[string]*shareMeter{}},
	}
	r.table.Store(&Table{})
	return r
}

// SetTable puts a table in force. The router owns the table from then on.
func (r *Router) SetTable(t *Table) {
	for name, e := range t.endpoints {
		e.load = r.loads.get(name)
	}
	r.table.Store(t)
}

// Table returns the table in force.
func (r *Router) Table() *Table { return r.table.Load() }

// holder is an endpoint that is believed to hold the first blocks of a prompt.
type holder struct {
	endpoint string
	blocks   int
}

// Pick decides on one request.
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
	d, ok := r.pickVersion(now, t, tg, version, key, q)
	if !ok && version != tg.version {
		d, ok = r.pickVersion(now, t, tg, tg.version, key, q)
	}
	if !ok {
		return Decision{}, fmt.Errorf("%w: %q", ErrNoEndpoint, q.Target)
	}
	d.Blocks = q.Blocks
	return d, nil
}

// chooseVersion gives the new version of a move its share of the requests. A
// prompt that hashes to it keeps it while the share grows.
func (r *Router) chooseVersion(t *Table, tg *target, key uint64, q *Query) string {
	if tg.next == "" || tg.nextShare <= 0 {
		return tg.version
	}
	var holders [maxHolders]holder
	sticky := unit(mix(key, tg.moveSeed)) < tg.nextShare
	cached := r.findHolders(t, tg.version, q.Blocks, &holders) > 0
	if r.meters.get(q.Target, tg.next).take(tg.nextShare, sticky, cached) {
		return tg.next
	}
	return tg.version
}

func (r *Router) pickVersion(now time.Duration, t *Table, tg *target, version string, key uint64, q *Query) (Decision, bool) {
	candidates := tg.byVersion[version]
	first := firstRanked(candidates, key)
	var holders [maxHolders]holder
	found := r.findHolders(t, version, q.Blocks, &holders)
	best := Decision{Candidates: len(candidates), Version: version, known: found > 0}
	if first != nil {
		best.Home = first.Name
	}
	usual := r.usualBlockTime(q.Target)
	var bestScore uint64
	for _, e := range candidates {
		if excluded(q.Excluded, e.Name) {
			continue
		}
		owner, ownerSuspect := r.ownerFor(now, e, key)
		if owner == "" || q.OwnedOnly && owner != r.cfg.VM {
			continue
		}
		cached := 0
		for _, h := range holders[:found] {
			if h.endpoint == e.Name {
				cached = h.blocks
			}
		}
		expected := r.expected(now, tg, e, usual, cached, len(q.Blocks), found > 0, e == first)
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
	best.Reason = reason(&best, best.Endpoint == first)
	return best, true
}

func reason(d *Decision, home bool) string {
	switch {
	case d.CachedBlocks > 0:
		return "Cached"
	case home:
		return "Home"
	}
	return "LeastExpectedTime"
}

// expected returns the time to the first token at an endpoint.
func (r *Router) expected(now time.Duration, tg *target, e *Endpoint, usual time.Duration, cached, blocks int, known, first bool) time.Duration {
	pending, own, suspect := e.load.expect(now)
	blockTime := usual
	if own > slowRatio*usual {
		blockTime = own
	}
	missing := float64(max(blocks, 1) - cached)
	switch {
	case known && cached > 0 || blocks == 0:
	case !known && first:
		missing *= 1 - firstPrior
	default:
		missing *= 1 + strayCost
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

// usualBlockTime is the time for one block at any endpoint of a target.
func (r *Router) usualBlockTime(target string) time.Duration {
	if _, usual, _ := r.targets.get(target).expect(0); usual > 0 {
		return usual
	}
	return defaultBlockTime
}

// findHolders looks up who holds the longest parts of a prompt.
func (r *Router) findHolders(t *Table, version string, blocks []Block, holders *[maxHolders]holder) int {
	found := 0
	seed := versionSeed(version)
	for i := len(blocks) - 1; i >= 0 && found < maxHolders; i-- {
		b, ok := r.beliefs.get(mix(uint64(blocks[i]), seed))
		if !ok || found > 0 && holders[0].endpoint == b.endpoint {
			continue
		}
		e := t.endpoints[b.endpoint]
		if e == nil || !e.Usable || e.Incarnation != b.incarnation {
			// Who may not be used, or has lost its memory, holds nothing of use.
			continue
		}
		holders[found] = holder{b.endpoint, i + 1}
		found++
	}
	return found
}

// ownerFor chooses the owner to hand a request to: the same one for equal keys
// while it answers.
func (r *Router) ownerFor(now time.Duration, e *Endpoint, key uint64) (vm string, suspect bool) {
	if len(e.Owners) == 0 {
		return "", false
	}
	start := int(mix(key, e.seed+1) % uint64(len(e.Owners)))
	for i := range e.Owners {
		vm := e.Owners[(start+i)%len(e.Owners)]
		if vm == r.cfg.VM {
			return vm, false
		}
		if _, _, suspect := r.vms.get(vm).expect(now); !suspect {
			return vm, false
		}
	}
	return e.Owners[start], true
}

// firstRanked returns the first endpoint in rendezvous order.
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

// AddPending notes that a request was sent. Each AddPending is followed by one Finish.
func (r *Router) AddPending(d *Decision) { d.Endpoint.load.add(d.MissingBlocks()) }

// RemovePending notes that the blocks of a request no longer wait, because its first
// token came or because it failed.
func (r *Router) RemovePending(d *Decision) { d.Endpoint.load.done(d.MissingBlocks()) }

// RecordAnswer takes in what an answer shows: the endpoint now holds all blocks, and
// how long it took to compute those that were not cached and those that waited
// ahead of them. FirstToken is 0 where that was not measured.
func (r *Router) RecordAnswer(now time.Duration, d *Decision, cachedBlocks, ahead int, firstToken time.Duration) {
	blockTime := time.Duration(0)
	if computed := len(d.Blocks) - cachedBlocks; computed > 0 {
		blockTime = firstToken / time.Duration(computed+ahead)
	}
	d.Endpoint.load.measured(blockTime)
	r.targets.get(d.Endpoint.Target).measured(blockTime)
	seed := versionSeed(d.Version)
	for _, b := range d.Blocks {
		r.beliefs.set(mix(uint64(b), seed), belief{d.Endpoint.Name, d.Endpoint.Incarnation, now})
	}
}

// heldWithin is the time for which an endpoint surely keeps what it ran, unless it
// loses its whole memory.
const heldWithin = 10 * time.Second

// RecentBlocks returns how many blocks of a prompt the decided endpoint has run by way
// of this VM within a short time.
func (r *Router) RecentBlocks(now time.Duration, d *Decision) int {
	seed := versionSeed(d.Version)
	held := 0
	for _, b := range d.Blocks {
		known, ok := r.beliefs.get(mix(uint64(b), seed))
		if !ok || known.endpoint != d.Endpoint.Name || known.incarnation != d.Endpoint.Incarnation || now-known.at > heldWithin {
			break
		}
		held++
	}
	return held
}

// EndpointFailed makes the router avoid an endpoint for a while.
func (r *Router) EndpointFailed(now time.Duration, name string) { r.loads.get(name).failed(now) }

// VMFailed makes the router avoid an owner for a while.
func (r *Router) VMFailed(now time.Duration, vm string) { r.vms.get(vm).failed(now) }

// VMAnswered ends the suspicion of an owner.
func (r *Router) VMAnswered(vm string) { r.vms.get(vm).measured(0) }

// RecordOwnerLoad takes in the load that an owner tells with its answers.
func (r *Router) RecordOwnerLoad(now time.Duration, endpoint string, pending int) {
	r.loads.get(endpoint).told(now, pending)
}

// PendingBlocks returns the blocks that this VM has waiting at an endpoint.
func (r *Router) PendingBlocks(endpoint string) int {
	return r.loads.get(endpoint).ownPending()
}
