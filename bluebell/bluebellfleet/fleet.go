// Package bluebellfleet holds the registrations of endpoints, the processes or machines that
// run the calls of a target. A registration is the description that an endpoint repeatedly
// sends of itself. It is soft state: any core process accepts it and distributes it to the
// other core processes and to the entries, the processes that accept calls.
//
// # Order
//
// A registration belongs to one incarnation of an endpoint, which is identified by the
// endpoint's ID and start time, and has a sequence number within it. A newer incarnation
// replaces an older one with the same ID, and also another endpoint with the same address.
// A stale registration changes nothing. An endpoint that is gone stays gone until it
// starts again.
//
// # Undeclared targets
//
// Anybody who reaches a core process can send a registration. One of a target that the operators
// have not declared says nothing about the endpoints of declared targets, also if it has the ID or
// the address of one: it is kept apart until its target is declared.
//
// # Replication
//
// A Registry numbers its changes. A follower sends the number of the last change that it
// has received, its cursor, and gets the later ones, so registries that follow each other
// converge.
//
// # Usage
//
//	registry := bluebellfleet.NewRegistry(bluebellfleet.Config{Now: now})
//	registry.Merge(registration)
//	changes, cursor := registry.ChangesSince(cursor)
//	for _, e := range registry.Endpoints() { ... }
package bluebellfleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// goneRetention is how long the record of an endpoint that is gone is kept: longer than a
// registration can be delayed in transit. A silent endpoint of an undeclared target is kept as long.
const goneRetention = 2 * time.Minute

// minSilence is the age of a registration from which its endpoint makes room for others: several
// heartbeats.
const minSilence = 10 * time.Second

// coldTolerance is by how much two registrations may differ in the end of the same cold time, because they
// were on their way for different times.
const coldTolerance = 200 * time.Millisecond

// maxRecordsFactor times MaxEndpoints limits the records, including those of endpoints that are gone.
const maxRecordsFactor = 4

// State is the operating state that an endpoint reports.
type State int

// The states of an endpoint.
const (
	// Serving means that the endpoint accepts calls.
	Serving State = iota + 1
	// Draining means that the endpoint finishes its calls and accepts no others.
	Draining
	// Gone means that the incarnation has ended.
	Gone
)

func (s State) String() string {
	return [...]string{"Unset", "Serving", "Draining", "Gone"}[s]
}

// Endpoint is the last registration of one endpoint.
type Endpoint struct {
	ID string
	// Target is the name of the group of endpoints that run the same calls.
	Target  string
	Address string
	// FailureDomain is the name of the group of VMs that can fail together with the
	// endpoint's.
	FailureDomain   string
	SoftwareVersion string
	// Slots is the number of calls that the endpoint can run concurrently.
	Slots int
	State State
	// ColdUntil is when the endpoint stops being cold, that is, limited to few calls after
	// its start. It is on the clock of the registry.
	ColdUntil time.Duration
	// StartUnixMillis is the start time of the incarnation, in milliseconds since the Unix
	// epoch.
	StartUnixMillis int64
	// Sequence increases with each registration of one incarnation.
	Sequence uint64
	// Weights holds the version of the loaded weights of each model.
	Weights map[string]uint64
	// ReceivedAt is when a core process received the registration from the endpoint or
	// marked the endpoint as gone, on the clock of the registry.
	ReceivedAt time.Duration
}

// WithState returns a copy of the registration with another state.
func (e Endpoint) WithState(s State) Endpoint {
	e.State = s
	return e
}

// Config holds the settings of a Registry.
type Config struct {
	// Now returns the time of a monotonic clock, the clock of the registry.
	Now func() time.Duration
	// MaxEndpoints limits the endpoints that are not gone. 0 means no limit.
	MaxEndpoints int
	// DeclaredOnly keeps the registrations of targets apart that SetTargets has not named. Otherwise all
	// targets count as declared.
	DeclaredOnly bool
}

// MergeResult is the effect of a registration on a Registry.
type MergeResult int

// The results of Registry.Merge.
const (
	// Stale means that the registration is older than the recorded one and was ignored.
	Stale MergeResult = iota
	// Refreshed means that the registration only shows that the endpoint is alive.
	Refreshed
	// Changed means that the registration changed which calls may be sent to the endpoint.
	Changed
	// Full means that there is no room for the registration of another endpoint.
	Full
	// Undeclared means that the target of the registration is not declared, so that the registration is
	// kept apart.
	Undeclared
)

// record is a registration with the cursor of its last change, and of the last one that
// affects routing.
type record struct {
	endpoint      Endpoint
	cursor        uint64
	routingCursor uint64
}

// Registry holds the last registration of each endpoint and numbers their changes. The
// number of a change is its cursor. Registry is safe for concurrent use.
type Registry struct {
	cfg Config

	mu          sync.Mutex
	records     map[string]*record
	idByAddress map[string]string
	cursor      uint64
	// routingCursor is the cursor of the last change that affects routing, that is, which
	// calls may be sent to which endpoint. routingChanged is closed at the next one.
	routingCursor  uint64
	routingChanged chan struct{}
	// targets are those that SetTargets has named, and undeclared holds the registrations of others.
	targets    map[string]bool
	undeclared map[undeclaredKey]Endpoint
}

// NewRegistry returns an empty registry.
func NewRegistry(cfg Config) *Registry {
	return &Registry{
		cfg: cfg, records: map[string]*record{}, idByAddress: map[string]string{}, routingChanged: make(chan struct{}),
		undeclared: map[undeclaredKey]Endpoint{},
	}
}

// Merge records a registration that was received from an endpoint or from another registry,
// unless it is stale.
func (r *Registry) Merge(e Endpoint) MergeResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.isDeclared(e):
		return r.merge(e)
	case e.State == Gone:
		// The incarnation is gone whatever its target is, but it has no claim to an address.
		e.Address = ""
		return r.merge(e)
	}
	return r.keepApart(e)
}

// merge is Merge for a registration of a declared target. r.mu must be held.
func (r *Registry) merge(e Endpoint) MergeResult {
	old := r.records[e.ID]
	if old != nil && !supersedes(e, old.endpoint) {
		return Stale
	}
	if old == nil && e.State != Gone && !r.makeRoom() {
		return Full
	}
	if holder := r.records[r.idByAddress[e.Address]]; e.Address != "" && holder != nil && holder.endpoint.ID != e.ID {
		if holder.endpoint.StartUnixMillis > e.StartUnixMillis {
			return Stale
		}
		if holder.endpoint.State != Gone {
			r.put(holder.endpoint.WithState(Gone), true)
		}
	}
	if old != nil && old.endpoint.StartUnixMillis == e.StartUnixMillis {
		e.Weights = mergeWeights(old.endpoint.Weights, e.Weights)
	}
	if old != nil && sameRouting(old.endpoint, e) {
		// The end that followers know stays, so that small differences do not add up.
		e.ColdUntil = old.endpoint.ColdUntil
		r.put(e, false)
		return Refreshed
	}
	r.put(e, true)
	r.notify()
	return Changed
}

// makeRoom reports whether there is room for another endpoint. If there are MaxEndpoints, it marks
// the one that has been silent for the longest time as gone, which must be minSilence at least.
func (r *Registry) makeRoom() bool {
	limit := r.cfg.MaxEndpoints
	if limit <= 0 || len(r.records) < limit {
		return true
	}
	live := 0
	var oldest *record
	for _, current := range r.records {
		if current.endpoint.State == Gone {
			continue
		}
		live++
		if oldest == nil || current.endpoint.ReceivedAt < oldest.endpoint.ReceivedAt {
			oldest = current
		}
	}
	now := r.cfg.Now()
	switch {
	case len(r.records) >= maxRecordsFactor*limit:
		return false
	case live < limit:
		return true
	case now-oldest.endpoint.ReceivedAt < minSilence:
		return false
	}
	gone := oldest.endpoint.WithState(Gone)
	gone.ReceivedAt = now
	r.put(gone, true)
	return true
}

// MarkGone records that the incarnation of an endpoint with a start time is gone, whether or not it is
// registered: other registries may have it. A start time of 0 stands for the registered incarnation. It
// reports whether that or a later incarnation is recorded now.
func (r *Registry) MarkGone(id string, startUnixMillis int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.records[id]
	if old == nil && startUnixMillis == 0 {
		startUnixMillis = r.latestUndeclaredStart(id)
	}
	var gone Endpoint
	switch {
	case old != nil && (startUnixMillis == 0 || startUnixMillis == old.endpoint.StartUnixMillis):
		if old.endpoint.State == Gone {
			return true
		}
		gone = old.endpoint.WithState(Gone)
	case old != nil && startUnixMillis < old.endpoint.StartUnixMillis:
		return true
	case startUnixMillis == 0, old == nil && r.cfg.MaxEndpoints > 0 && len(r.records) >= maxRecordsFactor*r.cfg.MaxEndpoints:
		return false
	default:
		gone = Endpoint{ID: id, State: Gone, StartUnixMillis: startUnixMillis}
	}
	gone.ReceivedAt = r.cfg.Now()
	r.put(gone, true)
	r.notify()
	return true
}

// SetWeights records weights that one incarnation of an endpoint has loaded, before the
// endpoint reports them in a registration.
func (r *Registry) SetWeights(id string, startUnixMillis int64, weights map[string]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.records[id]
	if old == nil || old.endpoint.StartUnixMillis != startUnixMillis || old.endpoint.State == Gone {
		return
	}
	e := old.endpoint
	e.Weights = mergeWeights(e.Weights, weights)
	r.put(e, true)
	r.notify()
}

// put records a registration. Routing says whether the change affects routing.
func (r *Registry) put(e Endpoint, routing bool) {
	r.cursor++
	next := &record{endpoint: e, cursor: r.cursor, routingCursor: r.cursor}
	if old := r.records[e.ID]; old != nil && !routing {
		next.routingCursor = old.routingCursor
	}
	r.records[e.ID] = next
	if e.Address != "" {
		r.idByAddress[e.Address] = e.ID
	}
}

// ChangesSince returns the registrations that changed after a cursor, and the cursor of the
// last change.
func (r *Registry) ChangesSince(cursor uint64) ([]Endpoint, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []Endpoint
	for _, current := range r.records {
		if current.cursor > cursor {
			changes = append(changes, current.endpoint)
		}
	}
	return changes, r.cursor
}

// RoutingChangesSince returns the registrations with a change after a cursor that affects
// routing, and the cursor of the last change of any kind. Entries follow these only: the
// heartbeats of all endpoints would take most of what an entry receives.
func (r *Registry) RoutingChangesSince(cursor uint64) ([]Endpoint, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []Endpoint
	if r.routingCursor <= cursor {
		return nil, r.cursor
	}
	for _, current := range r.records {
		if current.routingCursor > cursor {
			changes = append(changes, current.endpoint)
		}
	}
	return changes, r.cursor
}

// Silent returns the endpoints that are not gone and whose last registration is older than
// age.
func (r *Registry) Silent(age time.Duration) []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	var silent []Endpoint
	for _, current := range r.records {
		if current.endpoint.State != Gone && now-current.endpoint.ReceivedAt > age {
			silent = append(silent, current.endpoint)
		}
	}
	return silent
}

// Heard records that an incarnation of an endpoint registered at a time without a change, if
// that is later than the recorded time.
func (r *Registry) Heard(id string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current := r.records[id]; current != nil && current.endpoint.State != Gone {
		current.endpoint.ReceivedAt = max(current.endpoint.ReceivedAt, at)
	}
}

// LastRoutingChange returns the cursor of the last change that affects routing, and a channel
// that is closed at the next one.
func (r *Registry) LastRoutingChange() (uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routingCursor, r.routingChanged
}

// Endpoint returns the last registration with an ID, and whether there is one.
func (r *Registry) Endpoint(id string) (Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.records[id]
	if current == nil {
		return Endpoint{}, false
	}
	return current.endpoint, true
}

// Endpoints returns the endpoints that are not gone, ordered by ID. It deletes the records
// of endpoints that have been gone for more than goneRetention.
func (r *Registry) Endpoints() []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	var list []Endpoint
	for id, current := range r.records {
		switch {
		case current.endpoint.State != Gone:
			list = append(list, current.endpoint)
		case now-current.endpoint.ReceivedAt > goneRetention:
			delete(r.records, id)
			if r.idByAddress[current.endpoint.Address] == id {
				delete(r.idByAddress, current.endpoint.Address)
			}
		}
	}
	r.expireUndeclared()
	slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// notify records that the last change affects routing, and wakes the waiting followers.
func (r *Registry) notify() {
	r.routingCursor = r.cursor
	close(r.routingChanged)
	r.routingChanged = make(chan struct{})
}

// supersedes reports whether a registration replaces the recorded one. A registration with
// state Gone ends its incarnation, whatever its sequence number.
func supersedes(e, recorded Endpoint) bool {
	switch {
	case e.StartUnixMillis != recorded.StartUnixMillis:
		return e.StartUnixMillis > recorded.StartUnixMillis
	case recorded.State == Gone:
		return false
	case e.State == Gone:
		return true
	}
	return e.Sequence > recorded.Sequence || e.Sequence == recorded.Sequence && hasNewerWeights(e, recorded)
}

// hasNewerWeights reports whether a registration has a later version of any model's weights
// than the recorded one. SetWeights records new weights under the same sequence number, and
// they must still reach the other registries.
func hasNewerWeights(e, recorded Endpoint) bool {
	for model, version := range e.Weights {
		if version > recorded.Weights[model] {
			return true
		}
	}
	return false
}

// mergeWeights returns the highest known version of each model. Versions within one incarnation only
// increase, reports can arrive out of order, and a report may lack models.
func mergeWeights(recorded, reported map[string]uint64) map[string]uint64 {
	merged := make(map[string]uint64, len(reported))
	maps.Copy(merged, recorded)
	for model, version := range reported {
		merged[model] = max(version, recorded[model])
	}
	return merged
}

// sameRouting reports whether the same calls may be sent to an endpoint under two
// registrations.
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
	if cold(a) && cold(b) && (a.ColdUntil-b.ColdUntil).Abs() > coldTolerance {
		return false
	}
	return a.Target == b.Target && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.SoftwareVersion == b.SoftwareVersion && a.Slots == b.Slots && a.State == b.State &&
		a.StartUnixMillis == b.StartUnixMillis && cold(a) == cold(b)
}
