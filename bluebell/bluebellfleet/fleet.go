// Package bluebellfleet holds what endpoints say of themselves: soft state that
// any core process takes in and that spreads to all others and to the entries.
//
// # Order
//
// A registration belongs to one incarnation of an endpoint, told apart by the
// time of its start, and is numbered within it. A newer incarnation replaces an
// older one under the same ID, and also another endpoint at the same address. A
// registration that comes late changes nothing. An endpoint that is gone stays
// gone until it starts anew.
//
// # Spread
//
// A Registry numbers its changes. A follower names the last one that it has seen
// and gets what came later, so registries that follow each other converge.
//
// # Usage
//
//	registry := bluebellfleet.NewRegistry(bluebellfleet.Config{Now: now})
//	registry.Merge(registration)
//	changes, cursor := registry.Since(cursor)
//	for _, e := range registry.Endpoints() { ... }
package bluebellfleet

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// goneRetention is how long an endpoint that is gone is remembered: longer than
// a registration is held up on its way.
const goneRetention = 2 * time.Minute

// State is what an endpoint says that it does.
type State int

// The states of an endpoint.
const (
	Serving State = iota + 1
	// Draining endpoints finish what they have.
	Draining
	Gone
)

func (s State) String() string {
	return [...]string{"Unset", "Serving", "Draining", "Gone"}[s]
}

// Endpoint is what one endpoint last said of itself.
type Endpoint struct {
	ID              string
	Target          string
	Address         string
	FailureDomain   string
	SoftwareVersion string
	Slots           int
	State           State
	// ColdUntil is on the clock of the registry.
	ColdUntil time.Duration
	// StartUnixMillis is the start of the endpoint, in milliseconds since 1970.
	StartUnixMillis int64
	// Sequence grows with each registration of one incarnation.
	Sequence uint64
	// Weights are the versions of its models.
	Weights map[string]uint64
	// ReceivedAt is on the clock of the registry.
	ReceivedAt time.Duration
}

// WithState returns a copy in another state.
func (e Endpoint) WithState(s State) Endpoint {
	e.State = s
	return e
}

// Config sets up a Registry.
type Config struct {
	// Now is monotonic.
	Now func() time.Duration
}

// MergeResult tells what a registration changed.
type MergeResult int

// The outcomes of a merge.
const (
	// Stale registrations changed nothing.
	Stale MergeResult = iota
	// Refreshed registrations only tell that the endpoint is alive.
	Refreshed
	// Changed registrations alter where calls may go.
	Changed
)

type record struct {
	endpoint Endpoint
	cursor   uint64
}

// Registry is safe for concurrent use.
type Registry struct {
	cfg Config

	mu          sync.Mutex
	records     map[string]*record
	idByAddress map[string]string // address to ID
	cursor      uint64
	// routingCursor is the place of the last change of where calls may go.
	routingCursor  uint64
	routingChanged chan struct{}
}

// NewRegistry returns an empty registry.
func NewRegistry(cfg Config) *Registry {
	return &Registry{cfg: cfg, records: map[string]*record{}, idByAddress: map[string]string{}, routingChanged: make(chan struct{})}
}

// Merge takes in a registration, from an endpoint or from another registry.
func (r *Registry) Merge(e Endpoint) MergeResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.records[e.ID]
	if old != nil && !supersedes(e, old.endpoint) {
		return Stale
	}
	if holder := r.records[r.idByAddress[e.Address]]; e.Address != "" && holder != nil && holder.endpoint.ID != e.ID {
		if holder.endpoint.StartUnixMillis > e.StartUnixMillis {
			return Stale
		}
		if holder.endpoint.State != Gone {
			r.put(holder.endpoint.WithState(Gone))
		}
	}
	if old != nil && old.endpoint.StartUnixMillis == e.StartUnixMillis {
		e.Weights = mergeWeights(old.endpoint.Weights, e.Weights)
	}
	r.put(e)
	if old != nil && sameRouting(old.endpoint, e) {
		return Refreshed
	}
	r.notify()
	return Changed
}

// MarkGone notes that an endpoint is gone and tells whether it was known.
func (r *Registry) MarkGone(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.records[id]
	if old == nil {
		return false
	}
	if old.endpoint.State != Gone {
		gone := old.endpoint.WithState(Gone)
		gone.ReceivedAt = r.cfg.Now()
		r.put(gone)
		r.notify()
	}
	return true
}

// SetWeights notes which weights one incarnation of an endpoint has loaded,
// earlier than it says so itself.
func (r *Registry) SetWeights(id string, born int64, weights map[string]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.records[id]
	if old == nil || old.endpoint.StartUnixMillis != born || old.endpoint.State == Gone {
		return
	}
	e := old.endpoint
	e.Weights = weights
	r.put(e)
	r.notify()
}

func (r *Registry) put(e Endpoint) {
	r.cursor++
	r.records[e.ID] = &record{endpoint: e, cursor: r.cursor}
	if e.Address != "" {
		r.idByAddress[e.Address] = e.ID
	}
}

// ChangesSince returns the registrations that changed after a place, and the new place.
func (r *Registry) ChangesSince(cursor uint64) ([]Endpoint, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []Endpoint
	for _, one := range r.records {
		if one.cursor > cursor {
			changes = append(changes, one.endpoint)
		}
	}
	return changes, r.cursor
}

// LastRoutingChange returns the place of the last change of where calls may go, and a
// channel that closes at the next one.
func (r *Registry) LastRoutingChange() (uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routingCursor, r.routingChanged
}

// Endpoint returns what is known under an ID.
func (r *Registry) Endpoint(id string) (Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one := r.records[id]
	if one == nil {
		return Endpoint{}, false
	}
	return one.endpoint, true
}

// Endpoints returns all that are not gone, in the order of their IDs. It forgets
// those that have been gone for long.
func (r *Registry) Endpoints() []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	var list []Endpoint
	for id, one := range r.records {
		switch {
		case one.endpoint.State != Gone:
			list = append(list, one.endpoint)
		case now-one.endpoint.ReceivedAt > goneRetention:
			delete(r.records, id)
			if r.idByAddress[one.endpoint.Address] == id {
				delete(r.idByAddress, one.endpoint.Address)
			}
		}
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (r *Registry) notify() {
	r.routingCursor = r.cursor
	close(r.routingChanged)
	r.routingChanged = make(chan struct{})
}

// supersedes tells whether a registration follows the one that is known. One that
// says that the endpoint is gone ends its incarnation, whatever its number.
func supersedes(e, known Endpoint) bool {
	switch {
	case e.StartUnixMillis != known.StartUnixMillis:
		return e.StartUnixMillis > known.StartUnixMillis
	case known.State == Gone:
		return false
	case e.State == Gone:
		return true
	}
	return e.Sequence > known.Sequence || e.Sequence == known.Sequence && hasNewerWeights(e, known)
}

// hasNewerWeights tells whether a registration knows of weights that were loaded since
// another one with the same number.
func hasNewerWeights(e, known Endpoint) bool {
	for model, version := range e.Weights {
		if version > known.Weights[model] {
			return true
		}
	}
	return false
}

// mergeWeights merges the weights that one incarnation has reported: they only grow, and
// reports overtake each other.
func mergeWeights(known, told map[string]uint64) map[string]uint64 {
	merged := make(map[string]uint64, len(told))
	for model, version := range told {
		merged[model] = max(version, known[model])
	}
	return merged
}

// sameRouting tells whether two registrations let the same calls go to an endpoint.
func sameRouting(a, b Endpoint) bool {
	if len(a.Weights) != len(b.Weights) {
		return false
	}
	for model, version := range a.Weights {
		if b.Weights[model] != version {
			return false
		}
	}
	cold := func(e Endpoint) bool { return e.ColdUntil > e.ReceivedAt }
	return a.Target == b.Target && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.SoftwareVersion == b.SoftwareVersion && a.Slots == b.Slots && a.State == b.State &&
		a.StartUnixMillis == b.StartUnixMillis && cold(a) == cold(b)
}
