package bluebellplacement

import (
	"slices"
	"time"

	"bluebellhaven.org/bluebell/bluebellfleet"
)

// What is known of the endpoints comes as one value, so that a choice sees one state.

// Config sets up a Placer.
type Config struct {
	// Self is this entry's name among the entries.
	Self string
	// FailureDomain of this entry.
	FailureDomain string
	// WeightsWithin is when calls no longer go to endpoints with older weights than
	// the ones named.
	WeightsWithin time.Duration
	// ColdFactor and ColdSlack are how far calls to a cold endpoint may exceed what
	// it bears.
	ColdFactor, ColdSlack float64
	// SilentAfter is the age of a registration from which on it is in doubt.
	SilentAfter time.Duration
	// Believed is told of each change of a belief that moves calls, if not nil.
	Believed func(Belief)
}

// Belief is what an entry has begun or ceased to believe, with what decided it.
type Belief struct {
	// Endpoint is "" for a belief on a whole failure domain.
	Endpoint, FailureDomain string
	// Doubtful endpoints and domains get a trial now and then.
	Doubtful bool
	// Failing is the number of other entries, or of endpoints of the domain, with failures.
	Failing int
	// HeardAgo is the age of the endpoint's registration, AnsweredAgo that of the last answer
	// that any entry is known to have had, 0 for none.
	HeardAgo, AnsweredAgo time.Duration
}

// Named is a version of a model's weights that operators have named, and since when.
type Named struct {
	Version uint64
	Since   time.Duration
}

// newest returns the highest version of a model that was named, or 0.
func (f *Fleet) newest(model string) uint64 {
	version := uint64(0)
	for _, n := range f.Named[model] {
		version = max(version, n.Version)
	}
	return version
}

// Fleet is what is known of the endpoints. It must not be altered afterwards.
type Fleet struct {
	Endpoints  []bluebellfleet.Endpoint
	DomainsOut []string
	// Loading endpoints are about to load weights.
	Loading []string
	// Named are the versions of each model. Each has a time of its own within which
	// endpoints must have it or a newer one.
	Named map[string][]Named
	// Entries share the limits of cold endpoints.
	Entries []string
	// ColdRates are the calls a second that a cold endpoint of a target bears.
	ColdRates map[string]float64
	// Rooms are the tokens that an engine of a target has memory for.
	Rooms map[string]int
	// Others is what other entries have in flight at an endpoint.
	Others map[string]Use
	// Current is set while the registrations come from a live source.
	Current bool
}

// Use is what entries have in flight at an endpoint and have lately met there.
type Use struct {
	Calls int
	// Tokens of the prompts and answers, and those of prompts that are not known to
	// have been read.
	Tokens, Unread int
	// Failing is the number of entries at which it has lately failed and not answered
	// since.
	Failing int
	// AnsweredAt is when it last answered one of them; 0 if not lately.
	AnsweredAt time.Duration
}

// Plus adds up what two entries have.
func (u Use) Plus(other Use) Use {
	return Use{
		Calls: u.Calls + other.Calls, Tokens: u.Tokens + other.Tokens, Unread: u.Unread + other.Unread,
		Failing: u.Failing + other.Failing, AnsweredAt: max(u.AnsweredAt, other.AnsweredAt),
	}
}

// Update takes in what is known of the endpoints.
func (p *Placer) Update(f Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = f
	present := map[string]map[string]bool{}
	for _, e := range f.Endpoints {
		if present[e.Target] == nil {
			present[e.Target] = map[string]bool{}
		}
		present[e.Target][e.ID] = true
		if p.groups[e.Target] == nil {
			p.groups[e.Target] = &group{beliefs: map[string]*belief{}, seen: map[string]sighting{}}
		}
	}
	for target, g := range p.groups {
		g.forget(present[target])
	}
}

func (g *group) forget(present map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.beliefs {
		if !present[id] {
			delete(g.beliefs, id)
		}
	}
}

// Serving tells whether any endpoint says that it serves.
func (p *Placer) Serving() bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return slices.ContainsFunc(p.fleet.Endpoints, func(e bluebellfleet.Endpoint) bool { return e.State == bluebellfleet.Serving })
}

// Entries returns the number of entries that share limits, this one among them.
func (p *Placer) Entries() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return max(len(p.fleet.Entries), 1)
}

// Domain returns the failure domain of this entry.
func (p *Placer) Domain() string { return p.cfg.FailureDomain }

// Named returns the weights of a model that most endpoints have or are to have: the
// version that operators named, or the highest that any endpoint has.
func (p *Placer) Named(model string) uint64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	version := p.fleet.newest(model)
	for _, e := range p.fleet.Endpoints {
		version = max(version, e.Weights[model])
	}
	return version
}
