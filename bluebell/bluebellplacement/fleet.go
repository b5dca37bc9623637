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
	// OldWeightsGrace is when calls no longer go to endpoints with older weights than
	// the ones named.
	OldWeightsGrace time.Duration
	// ColdFactor and ColdSlack are how far calls to a cold endpoint may exceed what
	// it bears.
	ColdFactor, ColdSlack float64
	// StaleAfter is the age of a registration from which on it is in doubt.
	StaleAfter time.Duration
	// HealthChanged is told of each change of a belief that moves calls, if not nil.
	HealthChanged func(HealthChange)
}

// HealthChange is what an entry has begun or ceased to believe, with what decided it.
type HealthChange struct {
	// Endpoint is "" for a belief on a whole failure domain.
	Endpoint, FailureDomain string
	// Suspected endpoints and domains get a trial now and then.
	Suspected bool
	// Failing is the number of other entries, or of endpoints of the domain, with failures.
	Failing int
	// RegistrationAge is the age of the endpoint's registration, LastAnswerAge that of the last answer
	// that any entry is known to have had, 0 for none.
	RegistrationAge, LastAnswerAge time.Duration
}

// NamedVersion is a version of a model's weights that operators have named, and since when.
type NamedVersion struct {
	Version uint64
	Since   time.Duration
}

// newest returns the highest version of a model that was named, or 0.
func (f *Fleet) newest(model string) uint64 {
	version := uint64(0)
	for _, n := range f.NamedVersions[model] {
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
	// NamedVersions are the versions of each model. Each has a time of its own within which
	// endpoints must have it or a newer one.
	NamedVersions map[string][]NamedVersion
	// Entries share the limits of cold endpoints.
	Entries []string
	// ColdRates are the calls a second that a cold endpoint of a target bears.
	ColdRates map[string]float64
	// TokenCapacity are the tokens that an engine of a target has memory for.
	TokenCapacity map[string]int
	// UseByOthers is what other entries have in flight at an endpoint.
	UseByOthers map[string]EndpointUse
	// RegistrationsLive is set while the registrations come from a live source.
	RegistrationsLive bool
}

// EndpointUse is what entries have in flight at an endpoint and have lately met there.
type EndpointUse struct {
	Calls int
	// Tokens of the prompts and answers, and those of prompts that are not known to
	// have been read.
	Tokens, PrefillTokens int
	// Failing is the number of entries at which it has lately failed and not answered
	// since.
	Failing int
	// AnsweredAt is when it last answered one of them; 0 if not lately.
	AnsweredAt time.Duration
}

// Add adds up what two entries have.
func (u EndpointUse) Add(other EndpointUse) EndpointUse {
	return EndpointUse{
		Calls: u.Calls + other.Calls, Tokens: u.Tokens + other.Tokens, PrefillTokens: u.PrefillTokens + other.PrefillTokens,
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

// HasServing tells whether any endpoint says that it serves.
func (p *Placer) HasServing() bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return slices.ContainsFunc(p.fleet.Endpoints, func(e bluebellfleet.Endpoint) bool { return e.State == bluebellfleet.Serving })
}

// EntryCount returns the number of entries that share limits, this one among them.
func (p *Placer) EntryCount() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return max(len(p.fleet.Entries), 1)
}

// FailureDomain returns the failure domain of this entry.
func (p *Placer) FailureDomain() string { return p.cfg.FailureDomain }

// NewestVersion returns the weights of a model that most endpoints have or are to have: the
// version that operators named, or the highest that any endpoint has.
func (p *Placer) NewestVersion(model string) uint64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	version := p.fleet.newest(model)
	for _, e := range p.fleet.Endpoints {
		version = max(version, e.Weights[model])
	}
	return version
}
