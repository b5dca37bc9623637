package bluebellplacement

import (
	"slices"
	"sync"
	"time"

	"bluebellhaven.org/bluebell/bluebellfleet"
)

const (
	// readRate is the number of prompt tokens that an engine reads in a second, from
	// the sheets of both users (48 in a millisecond), less a tenth for the tokens of
	// running calls between them.
	readRate = 43_000.0
	// stepCost is what each running call adds to the first event of another, from
	// the same sheets (0.12 ms a step, about ten steps until a piece is read).
	stepCost = 1200 * time.Microsecond
	// homeMissing is the part of the shared blocks that a prompt's home is expected
	// to lack: it has read them unless they were pushed out.
	homeMissing = 0.25
	// seenMissing is the same for an endpoint to which this entry has sent the same
	// prompt within seenFor.
	seenMissing = 0.1
	seenFor     = 20 * time.Second
	// maxSeen bounds the prompts that are remembered for a target.
	maxSeen = 4096
	// secondHomes are the endpoints next to the home in rendezvous order, which a
	// prompt goes to while its home is busy. They come to hold its blocks as well.
	// Calls that went to whichever endpoint was idle met one that had to read again,
	// and all entries met at the same one.
	secondHomes = 2
	// secondMissing is the part of the shared blocks that they are expected to lack.
	secondMissing = 0.5
	// farCost is added for all others: a prompt goes there only if its homes are far
	// behind.
	farCost = 600 * time.Millisecond
	// otherDomainCost is the price of bytes between failure domains as a time: a
	// call goes there for a gain of more than two round trips.
	otherDomainCost = 4 * time.Millisecond
	// outdatedCost keeps calls from endpoints with weights that are no longer wanted
	// while others can run them: it is above what a prompt away from its home costs.
	outdatedCost = 2 * time.Second
	// rereadWeight is how many times its own time counts to read shared blocks anywhere
	// but at the home, which has them or is about to: it takes the engine from others.
	rereadWeight = 3
	// fetchWeight is how many times its own time a fetch from a cache store counts: it
	// takes the store's link from the fetches of others, and pushes blocks out.
	fetchWeight = 4
	// awayCost is what a call away from its home costs later prompts, whose blocks it
	// pushes out. It keeps calls at home while the home is not busier than others.
	awayCost = 15 * time.Millisecond
	// fillShare of an engine's memory is given to running calls of prompts that have
	// their home elsewhere; the rest holds the blocks of the prompts that return to it.
	// Engines that were filled with running calls had to read every prompt again, and
	// stayed full.
	fillShare = 0.6
	// homeFillShare is the same for prompts at their homes, whose shared blocks are there
	// to be kept. Prompts with the same blocks share them, so the sum of their tokens is more
	// than what they take.
	homeFillShare = 1.0
)

// Request describes a call.
type Request struct {
	Target string
	// Model is "" for plain services.
	Model string
	// Shared is the last block that other prompts share, and SharedTokens the tokens
	// up to its end; OwnTokens follow.
	Shared                  string
	SharedTokens, OwnTokens int
	// OutputTokens at the most.
	OutputTokens int
	// Fetch is the time in which an endpoint gets the shared tokens from a cache
	// store; 0 if none holds them.
	Fetch time.Duration
	// BeginBy is when its answer should have begun: an engine that is expected to take longer
	// counts as full. 0 for no such time.
	BeginBy time.Duration
	// Tried endpoints are not picked again.
	Tried []string
	// NearOnly keeps the call at the prompt's home and second homes, for as long as it
	// may still wait for them.
	NearOnly bool
}

// Choice is the endpoint for a call.
type Choice struct {
	Endpoint bluebellfleet.Endpoint
	// Weights that the endpoint is known to have; 0 for plain services.
	Weights uint64
	// Home tells whether the endpoint is the prompt's home.
	Home bool
	// HomeAddress of the prompt's home, "" while that is suspect, and its failure domain.
	HomeAddress, HomeDomain string
	// Expected time to the first event, and the mean time that the target's endpoints
	// have lately taken.
	Expected, Typical time.Duration
	// HeardAgo is the age of the endpoint's registration.
	HeardAgo time.Duration
	// Candidates is the number of endpoints that could have been picked.
	Candidates int

	missing, tokens int
	shared          string
	sentAt          time.Duration
	read            *bool
}

// Absence tells why no endpoint could be picked.
type Absence int

// The reasons for an absence.
const (
	// Untried is the absence before the first try.
	Untried Absence = iota
	Present
	// NoEndpoint is registered for the target.
	NoEndpoint
	// AllUnfit endpoints are leaving, out, loading, cold beyond what they bear, or
	// have been tried.
	AllUnfit
	// AllSuspect endpoints have lately failed.
	AllSuspect
	// AllFull endpoints have as many calls in their memory as is good for them.
	AllFull
	// AllLate endpoints have room, but would begin the call too late.
	AllLate
)

// Saturated tells whether there is no endpoint for want of room or time, and so none for larger
// calls either.
func (a Absence) Saturated() bool { return a == AllFull || a == AllLate }

func (a Absence) String() string {
	return [...]string{"Untried", "Present", "NoEndpoint", "AllUnfit", "AllSuspect", "AllFull", "AllLate"}[a]
}

// group is the state of one target under its own lock.
type group struct {
	mu      sync.Mutex
	beliefs map[string]*belief // by endpoint
	seen    map[string]sighting
	// slowdown is the running mean of how many times as long as expected the first events of
	// answers have lately taken.
	slowdown float64
}

type sighting struct {
	endpoint string
	at       time.Duration
}

// Placer is safe for concurrent use.
type Placer struct {
	cfg Config

	mu     sync.RWMutex
	fleet  Fleet
	groups map[string]*group

	// reachMu is taken after the lock of a group.
	reachMu sync.Mutex
	domains map[string]*reach
}

// New returns a placer that knows no endpoint.
func New(cfg Config) *Placer {
	return &Placer{cfg: cfg, groups: map[string]*group{}, domains: map[string]*reach{}}
}

func (g *group) belief(id string) *belief {
	b := g.beliefs[id]
	if b == nil {
		b = &belief{}
		g.beliefs[id] = b
	}
	return b
}

// candidate is an endpoint in the course of one choice.
type candidate struct {
	endpoint bluebellfleet.Endpoint
	belief   *belief
	weights  uint64
	cold     bool
	suspect  bool
	// doubtful endpoints are suspect by what others know, and tried by all entries in turn.
	doubtful bool
	home     bool
	second   bool
	full     bool
	late     bool
	// busy engines have calls in flight.
	busy     bool
	expected time.Duration
	cost     time.Duration
	missing  int
}

// Pick returns the endpoint for a call. A cold endpoint that is picked has used up
// its allowance.
func (p *Placer) Pick(now time.Duration, r Request) (Choice, Absence) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	g := p.groups[r.Target]
	if g == nil {
		return Choice{}, NoEndpoint
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates, known := p.candidates(now, g, r)
	switch {
	case known == 0:
		return Choice{}, NoEndpoint
	case len(candidates) == 0:
		return Choice{}, AllUnfit
	}
	home := homeOf(markHomes(candidates, r.Shared))
	for i := range candidates {
		c := &candidates[i]
		p.weigh(now, g, c, r)
		c.full = p.isFull(c, r)
		c.late = r.BeginBy > 0 && c.busy && now+g.slowed(c.expected) > r.BeginBy
	}
	slices.SortFunc(candidates, compareCandidates)
	// With all of a prompt's homes suspect there is nothing to wait for.
	near := 0
	for i := range candidates {
		if c := &candidates[i]; (c.home || c.second) && !c.suspect {
			near++
		}
	}
	for i := range candidates {
		c := &candidates[i]
		if c.full || c.late || r.NearOnly && near > 0 && !c.home && !c.second || !p.mayTry(now, c, candidates[0].suspect) {
			continue
		}
		if c.cold && !c.belief.takeCold(now, p.coldRate(r.Target)) {
			continue
		}
		return Choice{
			Endpoint: c.endpoint, Weights: c.weights, Home: c.home, HomeAddress: home.address, HomeDomain: home.domain,
			Expected: c.expected, Typical: g.typical(), HeardAgo: now - c.endpoint.ReceivedAt, Candidates: len(candidates),
			missing: c.missing, tokens: r.Tokens(), shared: r.Shared, read: new(bool),
		}, Present
	}
	switch {
	case slices.ContainsFunc(candidates, func(c candidate) bool { return c.full }):
		return Choice{}, AllFull
	case slices.ContainsFunc(candidates, func(c candidate) bool { return c.late }):
		return Choice{}, AllLate
	case r.NearOnly && near > 0:
		return Choice{}, AllFull
	case candidates[0].suspect:
		return Choice{}, AllSuspect
	}
	return Choice{}, AllUnfit
}

// Tokens is the memory that a call takes at an engine.
func (r Request) Tokens() int { return r.SharedTokens + r.OwnTokens + r.OutputTokens }

func compareCandidates(a, b candidate) int {
	if a.suspect != b.suspect {
		if a.suspect {
			return 1
		}
		return -1
	}
	return int(a.cost - b.cost)
}

// candidates returns the endpoints that may run a call, and the number of those
// that are known for its target.
func (p *Placer) candidates(now time.Duration, g *group, r Request) ([]candidate, int) {
	var list []candidate
	known := 0
	for _, e := range p.fleet.Endpoints {
		if e.Target != r.Target {
			continue
		}
		known++
		if e.State != bluebellfleet.Serving || slices.Contains(p.fleet.DomainsOut, e.FailureDomain) ||
			slices.Contains(p.fleet.Loading, e.ID) || slices.Contains(r.Tried, e.ID) {
			continue
		}
		weights, fit := p.weights(now, e, r.Model)
		if !fit {
			continue
		}
		b := g.belief(e.ID)
		cold := p.isCold(now, e, b)
		if cold && !p.maySendCold(e) {
			continue
		}
		doubtful := p.doubtful(now, e, b)
		list = append(list, candidate{
			endpoint: e, belief: b, weights: weights, cold: cold, doubtful: doubtful,
			suspect: doubtful || b.suspect(now) || p.outOfReach(now, e.FailureDomain),
		})
	}
	return list, known
}

// weights returns the version that an endpoint has of a model, and whether a call
// may still begin on it.
func (p *Placer) weights(now time.Duration, e bluebellfleet.Endpoint, model string) (uint64, bool) {
	if model == "" || len(e.Weights) == 0 {
		return 0, true
	}
	version, has := e.Weights[model]
	if !has {
		return 0, false
	}
	for _, named := range p.fleet.Named[model] {
		if version < named.Version && now-named.Since > p.cfg.WeightsWithin {
			return 0, false
		}
	}
	return version, true
}
