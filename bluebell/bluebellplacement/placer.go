package bluebellplacement

import (
	"slices"
	"sync"
	"time"

	"bluebellhaven.org/bluebell/bluebellfleet"
)

const (
	// prefillRate is the number of prompt tokens that an engine processes per second: 48
	// per millisecond by the specifications of both users, less a tenth for the tokens of
	// running calls that it generates in between.
	prefillRate = 43_000.0
	// runningCallCost is what each call in flight adds to the time to the first event of
	// another, by the same specifications: 0.12 ms per step, and about ten steps until a
	// piece of the prompt is processed.
	runningCallCost = 1200 * time.Microsecond
	// homeMissingShare is the share of the shared blocks that a prompt's home is expected
	// to lack: it has computed them, unless they were evicted.
	homeMissingShare = 0.25
	// recentMissingShare is the same share for an endpoint to which this entry sent a
	// prompt with these blocks within recentUseWindow.
	recentMissingShare = 0.1
	recentUseWindow    = 20 * time.Second
	// maxLastUses bounds the number of prompts in targetState.lastUses.
	maxLastUses = 4096
	// alternateHomes is the number of alternate homes: the endpoints next to the home in
	// rendezvous order, to which a prompt is sent while its home is busy. They come to
	// cache its blocks as well. Calls that were sent to any idle endpoint instead reached
	// one that had to recompute the blocks, and all entries chose the same one.
	alternateHomes = 2
	// alternateMissingShare is the share of the shared blocks that an alternate home is
	// expected to lack.
	alternateMissingShare = 0.5
	// nonHomeCost is added for endpoints that are neither the home nor an alternate home:
	// a prompt is sent there only if its homes are much slower.
	nonHomeCost = 600 * time.Millisecond
	// crossDomainCost is the price of traffic between failure domains as a time: a call is
	// sent to another domain for a gain of more than two round trips.
	crossDomainCost = 4 * time.Millisecond
	// oldWeightsCost keeps calls from endpoints with outdated weights while others can run
	// them: it exceeds the cost of running a prompt away from its home.
	oldWeightsCost = 2 * time.Second
	// recomputeWeight multiplies the time to recompute shared blocks on an endpoint other
	// than the home, which has them or will have them soon: meanwhile the engine is not
	// available to other calls.
	recomputeWeight = 3
	// fetchWeight multiplies the time of a fetch from a cache store: the fetch takes
	// bandwidth of the store's link from other fetches and evicts blocks.
	fetchWeight = 4
	// evictionCost is what a call away from its home costs later prompts, whose blocks it
	// evicts. It keeps calls at their home while the home is not busier than others.
	evictionCost = 15 * time.Millisecond
	// awayFillShare is the share of an engine's memory that running calls may fill for a
	// prompt with its home elsewhere to be accepted. The rest caches the blocks of prompts
	// that return to the engine. Engines that were filled with running calls had to
	// recompute every prompt, and stayed full.
	awayFillShare = 0.6
	// homeFillShare is the same share for prompts at their home or alternate homes, which
	// are to cache their shared blocks. Prompts with the same blocks share them, so the
	// sum of their tokens exceeds the memory that they take.
	homeFillShare = 1.0
)

// Request describes a call that needs an endpoint.
type Request struct {
	Target string
	// Model is "" for plain services.
	Model string
	// SharedBlock is the ID of the last block that other prompts share, a block being a
	// piece of a prompt that is cached. SharedTokens is the number of tokens up to its
	// end, OwnTokens the number of those that follow.
	SharedBlock             string
	SharedTokens, OwnTokens int
	// OutputTokens is the maximum number of tokens in the answer.
	OutputTokens int
	// FetchTime is the time in which an endpoint can fetch the shared tokens from a cache
	// store; 0 if no store has them.
	FetchTime time.Duration
	// FirstEventBy is the time by which the answer should begin: busy engines that are
	// expected to take longer are not picked. 0 means no limit.
	FirstEventBy time.Duration
	// Tried holds the IDs of endpoints that are not to be picked again.
	Tried []string
	// HomesOnly restricts the choice to the prompt's home and alternate homes. It is set
	// for as long as the call may wait for them.
	HomesOnly bool
}

// Choice is the endpoint picked for a call, with the data that the choice was based on.
type Choice struct {
	Endpoint bluebellfleet.Endpoint
	// Weights is the version of the model's weights that the endpoint is known to have; 0
	// for plain services.
	Weights uint64
	// AtHome reports whether the endpoint is the prompt's home, the one that should have
	// its shared blocks cached.
	AtHome bool
	// HomeAddress is the address of the prompt's home, "" while the home is suspect.
	// HomeDomain is the home's failure domain.
	HomeAddress, HomeDomain string
	// Expected is the expected time to the first event. Typical is the recent mean of that
	// time over the target's endpoints.
	Expected, Typical time.Duration
	// RegistrationAge is the age of the endpoint's registration.
	RegistrationAge time.Duration
	// Candidates is the number of endpoints that were eligible.
	Candidates int

	// prefillTokens and tokens are what the call adds to the fields of the same names in
	// endpointState.
	prefillTokens, tokens int
	sharedBlock           string
	sentAt                time.Duration
	// prefilled is set once prefillTokens has been subtracted again. Copies of a Choice
	// share it.
	prefilled *bool
}

// PickResult is the result of Pick: Picked, or the reason why no endpoint was picked.
type PickResult int

// The results of Pick. String returns the name used in logs.
const (
	// Untried means that Pick has not been called yet.
	Untried PickResult = iota
	// Picked means that an endpoint was picked. String returns "Present".
	Picked
	// NoEndpoint means that no endpoint is registered for the target.
	NoEndpoint
	// AllUnfit means that no endpoint is eligible: each one is draining, out of service,
	// about to load weights, without suitable weights, cold with its allowance used up, or
	// already tried.
	AllUnfit
	// AllSuspect means that the endpoints have recently failed and none is due for a
	// probe.
	AllSuspect
	// AllFull means that the endpoints have as many calls in memory as they should, or that
	// Request.HomesOnly rules out the endpoints that could take the call.
	AllFull
	// AllLate means that endpoints have memory for the call but would begin the answer too
	// late.
	AllLate
)

// Saturated reports whether no endpoint was picked for lack of memory or time, which rules
// out larger calls as well.
func (r PickResult) Saturated() bool { return r == AllFull || r == AllLate }

func (r PickResult) String() string {
	return [...]string{"Untried", "Present", "NoEndpoint", "AllUnfit", "AllSuspect", "AllFull", "AllLate"}[r]
}

// targetState is the state of one target. Each has its own lock.
type targetState struct {
	mu     sync.Mutex
	states map[string]*endpointState // by endpoint ID
	// lastUses holds the endpoint that last got a prompt from this entry, by shared block.
	lastUses map[string]promptUse
	// slowdown is the moving average of the ratio between the actual and the expected time
	// to the first event.
	slowdown float64
}

// promptUse is the endpoint to which a prompt was sent, and the time.
type promptUse struct {
	endpoint string
	at       time.Duration
}

// Placer picks endpoints for calls. It is safe for concurrent use.
type Placer struct {
	cfg Config

	mu      sync.RWMutex
	fleet   Fleet
	targets map[string]*targetState

	// domainMu is acquired after the mutex of a targetState.
	domainMu sync.Mutex
	domains  map[string]*domainState
}

// New returns a Placer without endpoints.
func New(cfg Config) *Placer {
	return &Placer{cfg: cfg, targets: map[string]*targetState{}, domains: map[string]*domainState{}}
}

// state returns the state of an endpoint and creates it if there is none. t.mu must be
// held.
func (t *targetState) state(id string) *endpointState {
	s := t.states[id]
	if s == nil {
		s = &endpointState{}
		t.states[id] = s
	}
	return s
}

// candidate is an endpoint that is eligible for one call.
type candidate struct {
	endpoint bluebellfleet.Endpoint
	state    *endpointState
	weights  uint64
	cold     bool
	suspect  bool
	// suspectedByEntries endpoints are suspect by data from other entries or the
	// registrations, and all entries take turns in probing them.
	suspectedByEntries bool
	home               bool
	alternate          bool
	// full candidates lack memory for the call; late ones would begin the answer after
	// Request.FirstEventBy.
	full bool
	late bool
	// busy candidates are engines with calls in flight.
	busy          bool
	expected      time.Duration
	cost          time.Duration
	prefillTokens int
}

// Pick returns the endpoint for a call, or the reason why there is none. A cold endpoint
// that is picked has used up its allowance, and a suspect one its probe.
func (p *Placer) Pick(now time.Duration, r Request) (Choice, PickResult) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	t := p.targets[r.Target]
	if t == nil {
		return Choice{}, NoEndpoint
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates, registered := p.candidates(now, t, r)
	switch {
	case registered == 0:
		return Choice{}, NoEndpoint
	case len(candidates) == 0:
		return Choice{}, AllUnfit
	}
	home := homeOf(markHomes(candidates, r.SharedBlock))
	for i := range candidates {
		c := &candidates[i]
		p.setCost(now, t, c, r)
		c.full = p.isFull(c, r)
		c.late = r.FirstEventBy > 0 && c.busy && now+t.scaleBySlowdown(c.expected) > r.FirstEventBy
	}
	slices.SortFunc(candidates, compareCandidates)
	// HomesOnly has no effect if all of the prompt's homes are suspect: there is nothing
	// to wait for.
	usableHomes := 0
	for i := range candidates {
		if c := &candidates[i]; (c.home || c.alternate) && !c.suspect {
			usableHomes++
		}
	}
	for i := range candidates {
		c := &candidates[i]
		if c.full || c.late || r.HomesOnly && usableHomes > 0 && !c.home && !c.alternate || !p.allowCandidate(now, c, candidates[0].suspect) {
			continue
		}
		if c.cold && !c.state.useColdAllowance(now, p.coldRate(r.Target)) {
			continue
		}
		return Choice{
			Endpoint: c.endpoint, Weights: c.weights, AtHome: c.home, HomeAddress: home.address, HomeDomain: home.domain,
			Expected: c.expected, Typical: t.meanFirstEvent(), RegistrationAge: now - c.endpoint.ReceivedAt, Candidates: len(candidates),
			prefillTokens: c.prefillTokens, tokens: r.Tokens(), sharedBlock: r.SharedBlock, prefilled: new(bool),
		}, Picked
	}
	switch {
	case slices.ContainsFunc(candidates, func(c candidate) bool { return c.full }):
		return Choice{}, AllFull
	case slices.ContainsFunc(candidates, func(c candidate) bool { return c.late }):
		return Choice{}, AllLate
	case r.HomesOnly && usableHomes > 0:
		return Choice{}, AllFull
	case candidates[0].suspect:
		return Choice{}, AllSuspect
	}
	return Choice{}, AllUnfit
}

// Tokens returns the memory that a call takes on an engine, in tokens.
func (r Request) Tokens() int { return r.SharedTokens + r.OwnTokens + r.OutputTokens }

// compareCandidates orders candidates by cost, with suspect ones last.
func compareCandidates(a, b candidate) int {
	if a.suspect != b.suspect {
		if a.suspect {
			return 1
		}
		return -1
	}
	return int(a.cost - b.cost)
}

// candidates returns the endpoints that are eligible for a call, and the number of
// endpoints that are registered for its target.
func (p *Placer) candidates(now time.Duration, t *targetState, r Request) ([]candidate, int) {
	var eligible []candidate
	registered := 0
	for _, e := range p.fleet.Endpoints {
		if e.Target != r.Target {
			continue
		}
		registered++
		if e.State != bluebellfleet.Serving || slices.Contains(p.fleet.DomainsOut, e.FailureDomain) ||
			slices.Contains(p.fleet.Loading, e.ID) || slices.Contains(r.Tried, e.ID) {
			continue
		}
		weights, usable := p.usableWeights(now, e, r.Model)
		if !usable {
			continue
		}
		s := t.state(e.ID)
		cold := p.isCold(now, e, s)
		if cold && !p.maySendCold(e) {
			continue
		}
		byEntries := p.suspectedByEntries(now, e, s)
		eligible = append(eligible, candidate{
			endpoint: e, state: s, weights: weights, cold: cold, suspectedByEntries: byEntries,
			suspect: byEntries || s.suspect(now) || p.domainUnreachable(now, e.FailureDomain),
		})
	}
	return eligible, registered
}

// usableWeights returns the version of a model's weights that an endpoint has, and whether
// a call may still start on it.
func (p *Placer) usableWeights(now time.Duration, e bluebellfleet.Endpoint, model string) (uint64, bool) {
	if model == "" || len(e.Weights) == 0 {
		return 0, true
	}
	version, has := e.Weights[model]
	if !has {
		return 0, false
	}
	for _, named := range p.fleet.NamedVersions[model] {
		if version < named.Version && now-named.Since > p.cfg.OldWeightsGrace {
			return 0, false
		}
	}
	return version, true
}
