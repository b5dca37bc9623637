package bluebellplacement

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebelllink"
)

const (
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
	// homeCaution and awayCaution are the factors by which the answer of a home or alternate
	// home, and of another engine, may take longer than predicted without being late. The load
	// from other entries is known late. A call that is away from home also takes time from
	// calls that have their home there, and its shared blocks are read again.
	homeCaution = 1.0
	awayCaution = 2.0
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
	// Priority is what the engine is told, 0 for the most urgent calls. It affects the choice for the
	// targets in Fleet.Ranks only.
	Priority int
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
	// Tried holds the IDs of endpoints that are not to be picked again. If Only is not empty, no
	// others than those with these IDs are picked.
	Tried, Only []string
	// HomesOnly restricts the choice to the prompt's home and alternate homes. It is set
	// for as long as the call may wait for them.
	HomesOnly bool
	// IgnoreLinks picks an endpoint although the links to the target are lost.
	IgnoreLinks bool
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
	// Expected is the expected time to the first event. Predicted is the same with what recent
	// calls took longer than expected. Typical is the recent mean over the target's endpoints.
	Expected, Predicted, Typical time.Duration
	// RegistrationAge is the age of the endpoint's registration.
	RegistrationAge time.Duration
	// Candidates is the number of endpoints that were eligible.
	Candidates int
	// AllowedAt is when this entry may send the next call to an endpoint of the target, and
	// AllowedInterval the mean time between further ones. They are set with AllLimited; the
	// interval is 0 if other entries share the limits of all endpoints.
	AllowedAt, AllowedInterval time.Duration
	// Holders are addresses of entries that have a share of the endpoints' slots, at most eight. They
	// are set with AllShared.
	Holders []string

	// prefillTokens and tokens are what the call adds to the fields of the same names in
	// endpointState.
	prefillTokens, tokens int
	// priority is Request.Priority, and ranked set if the calls of the target are ranked by it.
	priority int
	ranked   bool
	// ownTokens is the number of tokens that the engine certainly processes before it
	// answers, 0 if it processes others first.
	ownTokens int
	// mostTokens is ownTokens with all shared ones that are not fetched.
	mostTokens  int
	target      *targetState
	state       *endpointState
	sharedBlock string
	sentAt      time.Duration
	// returning is the pause after which the call is one of the first, nil if there was none.
	returning *pause
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
	// AllUnfit means that no endpoint is eligible: each one is leaving, out of service,
	// about to load weights, without suitable weights, cold with its allowance used up, or
	// already tried; or Fleet.UsePending is set.
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
	// AllLimited means that endpoints could take the call but for the limits that they name, or that
	// they want no calls for a time, or that they are brittle and have as many calls of this entry as
	// its share of their slots. Choice.AllowedAt tells when one may take it.
	AllLimited
	// AllLeaving means that each endpoint is draining or has stated that it leaves, so that none of
	// them takes a call again.
	AllLeaving
	// LinksLost means that this entry can open no connection to any endpoint of the target.
	LinksLost
	// AllShared means that the endpoints are brittle, and that other entries share their slots.
	// Choice.Holders names some.
	AllShared
)

// Saturated reports whether no endpoint was picked for lack of memory or time, which rules
// out larger calls as well.
func (r PickResult) Saturated() bool { return r == AllFull || r == AllLate }

func (r PickResult) String() string {
	return [...]string{
		"Untried", "Present", "NoEndpoint", "AllUnfit", "AllSuspect", "AllFull", "AllLate", "AllLimited", "AllLeaving", "LinksLost",
		"AllShared",
	}[r]
}

// targetState is the state of one target. Each has its own lock.
type targetState struct {
	mu     sync.Mutex
	states map[string]*endpointState // by endpoint ID
	// members are the endpoints of the target. They change only while Placer.mu is held for
	// writing.
	members []member
	// scratch is the memory for the candidates of a Pick.
	scratch []candidate
	// lastUses holds the endpoint that last got a prompt from this entry, by shared block.
	lastUses map[string]promptUse
	slowdown slowdown
	speed    speedEstimate
	// usualRatio is the speed of engines that are not known, divided by the
	// reference of speed; 0 if there are too few others. ratios is the
	// memory for this and for the median of the weights.
	usualRatio float64
	// heaviest is the highest weight of a member in the rendezvous order, 0 if all are 1.
	heaviest float64
	ratios   []float64
	// runTime is the moving average of the time that answered calls spend at their endpoint.
	runTime time.Duration
	// ranks are those of the target in Fleet.Ranks.
	ranks []Rank
	// handOvers counts the results of holders.
	handOvers int
	// reportsLoad is set once any of the endpoints has reported its load. spreads counts the variates of
	// addReportedCalls.
	reportsLoad bool
	spreads     uint64
}

// member is an endpoint of a target with what the choice needs of the fleet.
type member struct {
	endpoint *bluebellfleet.Endpoint
	state    *endpointState
	// hash is the hash of the ID, for the rendezvous order.
	hash uint64
	// weight is the weight in that order, if targetState.heaviest is not 0.
	weight float64
	// open is set if the endpoint serves, its failure domain is not out, and it is not about
	// to load weights.
	open bool
	// near is set if the endpoint is in the failure domain of this entry.
	near bool
	// silentSince is the time of the last registration if these have stopped, 0 otherwise.
	silentSince time.Duration
	// others is last, since a choice needs its first fields only, and memory beyond them costs time.
	others EndpointUse
}

// promptUse is the endpoint to which a prompt was sent, and the time.
type promptUse struct {
	endpoint string
	at       time.Duration
}

// Placer picks endpoints for calls. It is safe for concurrent use.
type Placer struct {
	cfg Config
	// selfHash is the hash of Config.Self.
	selfHash uint64

	mu      sync.RWMutex
	fleet   Fleet
	targets map[string]*targetState
	// newestVersions holds the highest version of each model's weights that was named or that
	// any endpoint has.
	newestVersions map[string]uint64
	// entriesVersion changes with Fleet.Entries. It is never 0. callerAddresses are the addresses on
	// which these entries accept calls.
	entriesVersion  uint64
	callerAddresses map[string]bool
	statements      map[incarnation]*statement
	// speedsAt is when the speeds that other entries report were last applied.
	speedsAt time.Duration

	// domainMu is acquired after the mutex of a targetState.
	domainMu sync.Mutex
	domains  map[string]*domainState
}

// New returns a Placer without endpoints.
func New(cfg Config) *Placer {
	return &Placer{
		cfg: cfg, targets: map[string]*targetState{}, domains: map[string]*domainState{}, entriesVersion: 1, statements: map[incarnation]*statement{},
		callerAddresses: cfg.callerAddresses(nil), selfHash: xxhash.Sum64String(cfg.Self),
	}
}

// candidate is an endpoint that is eligible for one call.
type candidate struct {
	*member
	// said is what the endpoint has stated, nil for nothing.
	said    *statement
	weights uint64
	cold    bool
	suspect bool
	// suspectedByEntries endpoints are suspect by data from other entries or the
	// registrations, and all entries take turns in probing them.
	suspectedByEntries bool
	home               bool
	alternate          bool
	// full candidates lack memory for the call; late ones would begin the answer after
	// Request.FirstEventBy.
	full bool
	late bool
	// busy candidates are engines with calls in flight. readsOthers is set if some of their
	// prompts are not known to have been processed.
	busy        bool
	readsOthers bool
	// unread is the number of their tokens.
	unread        int
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
	if t == nil || len(t.members) == 0 {
		return Choice{}, NoEndpoint
	}
	if !r.IgnoreLinks && p.links(r.Target) == bluebelllink.Lost {
		return Choice{}, LinksLost
	}
	if p.fleet.UsePending {
		return Choice{}, AllUnfit
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates, limited := p.candidates(now, t, r)
	if len(candidates) == 0 {
		switch {
		case limited.rate == 0 && limited.paused == 0 && len(limited.unshared) > 0:
			return Choice{Holders: p.holders(t, limited.unshared, r.SharedBlock)}, AllShared
		case limited.endpoints > 0:
			return Choice{AllowedAt: limited.from, AllowedInterval: limited.interval()}, AllLimited
		case limited.leaving == len(t.members):
			return Choice{}, AllLeaving
		case limited.leaving+limited.triedPauses == len(t.members):
			return Choice{AllowedAt: limited.from}, AllLimited
		}
		return Choice{}, AllUnfit
	}
	home := homeOf(markHomes(candidates, r.SharedBlock, t.heaviest))
	summary := p.rate(now, t, candidates, r)
	homesOnly := r.HomesOnly && summary.usableHomes > 0
	fits := candidates
	if summary.full || summary.late || homesOnly {
		fits = slices.DeleteFunc(candidates, func(c candidate) bool {
			return c.full || c.late || homesOnly && !c.home && !c.alternate
		})
	}
	count := summary.count
	if c := p.firstAllowed(now, fits, summary.allSuspect, r); c != nil {
		ownTokens, mostTokens := r.OwnTokens, r.OwnTokens
		if r.FetchTime == 0 {
			mostTokens += r.SharedTokens
		}
		if c.readsOthers {
			ownTokens = 0
		}
		return Choice{
			Endpoint: *c.endpoint, Weights: c.weights, AtHome: c.home, HomeAddress: home.address, HomeDomain: home.domain,
			Expected: c.expected, Predicted: t.slowdown.predict(now, c.expected), Typical: t.meanFirstEvent(), RegistrationAge: p.registrationAge(now, c.member), Candidates: count,
			prefillTokens: c.prefillTokens, tokens: r.Tokens(), sharedBlock: r.SharedBlock, prefilled: new(bool),
			priority: boundedPriority(r.Priority), ranked: t.ranked(),
			target: t, state: c.state, ownTokens: ownTokens, mostTokens: mostTokens, returning: c.startReturn(now),
		}, Picked
	}
	switch {
	case summary.full:
		return Choice{}, AllFull
	case summary.late:
		return Choice{}, AllLate
	case homesOnly:
		return Choice{}, AllFull
	case summary.allSuspect:
		return Choice{}, AllSuspect
	}
	return Choice{}, AllUnfit
}

// startReturn records that the candidate was picked. It returns its pause, if the entry returns to it
// after one.
func (c *candidate) startReturn(now time.Duration) *pause {
	if c.said == nil || c.said.pause.until == 0 {
		return nil
	}
	c.said.pause.sent(now)
	return &c.said.pause
}

// isLate reports whether the answer of a candidate is expected to begin after
// Request.FirstEventBy. An idle engine is never late.
func (c *candidate) isLate(now time.Duration, t *targetState, r Request) bool {
	if r.FirstEventBy <= 0 || !c.busy {
		return false
	}
	caution := awayCaution
	if c.home || c.alternate {
		caution = homeCaution
	}
	return now+time.Duration(caution*float64(t.slowdown.predict(now, c.expected))) > r.FirstEventBy
}

// candidateSummary tells what holds for some or all candidates.
type candidateSummary struct {
	count      int
	full, late bool
	// usableHomes is the number of homes and alternate homes that are not suspect. HomesOnly
	// has no effect if there is none: there is nothing to wait for.
	usableHomes int
	allSuspect  bool
}

// rate sets the cost of each candidate, and whether it is full or late.
func (p *Placer) rate(now time.Duration, t *targetState, candidates []candidate, r Request) candidateSummary {
	summary := candidateSummary{count: len(candidates), allSuspect: true}
	lastUse := t.lastUses[r.SharedBlock]
	newest := p.fleet.newestNamed(r.Model)
	for i := range candidates {
		c := &candidates[i]
		p.setCost(now, t, c, r, lastUse, newest)
		c.full = p.isFull(t, c, r)
		c.late = c.isLate(now, t, r) || t.ranked() && c.delaysUrgent(t, r)
		summary.full, summary.late = summary.full || c.full, summary.late || c.late
		summary.allSuspect = summary.allSuspect && c.suspect
		if (c.home || c.alternate) && !c.suspect {
			summary.usableHomes++
		}
	}
	return summary
}

// firstAllowed returns the first candidate by compareCandidates that may get the call, or nil.
func (p *Placer) firstAllowed(now time.Duration, fits []candidate, allSuspect bool, r Request) *candidate {
	for len(fits) > 0 {
		best := 0
		for i := range fits {
			if compareCandidates(fits[i], fits[best]) < 0 {
				best = i
			}
		}
		c := &fits[best]
		mayCold := !c.cold || c.state.hasColdAllowance(now, p.coldRate(r.Target))
		if mayCold && p.allowCandidate(now, c, allSuspect) {
			if c.cold {
				c.state.coldSentAt = now
			}
			c.state.pickedAt = max(now, 1)
			return c
		}
		fits[best] = fits[len(fits)-1]
		fits = fits[:len(fits)-1]
	}
	return nil
}

// registrationAge returns the age of an endpoint's latest registration, or an upper bound of
// it while the registrations continue.
func (p *Placer) registrationAge(now time.Duration, m *member) time.Duration {
	age := now - max(m.endpoint.ReceivedAt, m.silentSince)
	if m.silentSince == 0 && p.cfg.SilentAfter > 0 {
		return min(age, p.cfg.SilentAfter)
	}
	return age
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

// limitSummary tells which endpoints may get no call now for what they have stated.
type limitSummary struct {
	// leaving is the number of those that leave, endpoints that of those that name limits or want no
	// calls for a time, and triedPauses that of those of the latter that the call has tried.
	leaving, endpoints, triedPauses int
	// from is the earliest time at which one may get a call of this entry, 0 if none may.
	from time.Duration
	// rate is the number of calls a second that this entry may send to those that name limits, paused
	// the number of the others.
	rate   float64
	paused int
	// unshared are brittle endpoints whose slots other entries have.
	unshared []*member
}

// pausedCallInterval is the mean time between two calls that wait for the end of a pause.
const pausedCallInterval = time.Millisecond

// add adds an endpoint to which this entry may send calls from a time on, at an interval.
func (l *limitSummary) add(from, interval time.Duration, sends bool) {
	l.endpoints++
	if !sends {
		return
	}
	l.rate += 1 / interval.Seconds()
	l.setFrom(from)
}

// addPause adds an endpoint that wants no calls until a time. One that the call has tried may get
// the caller's next call.
func (l *limitSummary) addPause(until time.Duration, tried bool) {
	l.setFrom(until)
	if tried {
		l.triedPauses++
		return
	}
	l.endpoints++
	l.paused++
}

func (l *limitSummary) setFrom(from time.Duration) {
	if l.from == 0 || from < l.from {
		l.from = from
	}
}

// interval returns the mean time between two calls of this entry, 0 if it may send none.
func (l *limitSummary) interval() time.Duration {
	switch {
	case l.rate == 0 && l.paused > 0:
		return pausedCallInterval
	case l.rate == 0:
		return 0
	}
	return time.Duration(float64(time.Second) / l.rate)
}

// candidates returns the endpoints that are eligible for a call, and those that are not for what they
// have stated. They are valid until the next call for the same target.
func (p *Placer) candidates(now time.Duration, t *targetState, r Request) ([]candidate, limitSummary) {
	eligible := t.scratch[:0]
	var limited limitSummary
	unreachable := p.unreachableDomains(now)
	oldest := p.oldestUsable(now, r.Model)
	for i := range t.members {
		m := &t.members[i]
		said := p.statementOf(m.endpoint)
		if m.endpoint.State == bluebellfleet.Draining || said != nil && said.leaving {
			limited.leaving++
			continue
		}
		tried := slices.Contains(r.Tried, m.endpoint.ID) || len(r.Only) > 0 && !slices.Contains(r.Only, m.endpoint.ID)
		if said != nil {
			if from := said.pause.allowedFrom(now); now < from {
				limited.addPause(from, tried)
				continue
			}
		}
		if !m.open || tried {
			continue
		}
		weights, usable := usableWeights(m.endpoint, r.Model, oldest)
		if !usable {
			continue
		}
		cold := p.isCold(now, m)
		if cold && !p.maySendCold(m) {
			continue
		}
		if from, interval, sends := p.limitedFrom(m); !sends || now < from {
			limited.add(from, interval, sends)
			continue
		}
		if m.state.isBrittle() {
			from, interval, room := p.brittleRoom(now, t, m)
			if !room {
				limited.add(from, interval, interval > 0)
				if interval == 0 {
					limited.unshared = append(limited.unshared, m)
				}
				continue
			}
		}
		byEntries := p.suspectedByEntries(now, m)
		eligible = append(eligible, candidate{
			member: m, said: said, weights: weights, cold: cold, suspectedByEntries: byEntries,
			suspect: byEntries || m.state.suspect(now) || len(unreachable) > 0 && slices.Contains(unreachable, m.endpoint.FailureDomain),
		})
	}
	t.scratch = eligible
	return eligible, limited
}

// oldestUsable returns the lowest version of a model's weights on which a call may still
// start.
func (p *Placer) oldestUsable(now time.Duration, model string) uint64 {
	oldest := uint64(0)
	for _, named := range p.fleet.NamedVersions[model] {
		if now-named.Since > p.cfg.OldWeightsGrace {
			oldest = max(oldest, named.Version)
		}
	}
	return oldest
}

// usableWeights returns the version of a model's weights that an endpoint has, and whether
// a call may start on it.
func usableWeights(e *bluebellfleet.Endpoint, model string, oldest uint64) (uint64, bool) {
	if model == "" || len(e.Weights) == 0 {
		return 0, true
	}
	version, has := e.Weights[model]
	return version, has && version >= oldest
}
