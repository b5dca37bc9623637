// Package bluebelllink decides whether an entry, a process that takes calls, can still open
// connections to the endpoints of a target. An entry that cannot has its calls run by other entries.
//
// Single endpoints fail in many ways; only an entry that can reach none has lost its links. Failures
// of calls therefore only start a check, which opens connections to a few endpoints in different
// failure domains. Only new connections count: open ones may live on while new ones are refused, and
// calls fail in time at endpoints that are slow or silent for a moment.
//
// The package has no clock and opens no connections itself.
//
// # Usage
//
//	tracker := bluebelllink.New(bluebelllink.Config{Dial: dial, Random: rand.Float64})
//	tracker.Update(now, endpointsByTarget)
//	tracker.RecordFailure(now, target, endpoint)
//	if tracker.State(target) == bluebelllink.Lost { ... }
package bluebelllink

import (
	"slices"
	"sync"
	"time"
)

const (
	// failedEndpoints is the number of endpoints whose failures start a check.
	failedEndpoints = 2
	// failureRetention is how long a failure counts: the longest timeout of a connection and of
	// a call that is tried again.
	failureRetention = 5 * time.Second
	// checkedEndpoints is the number of endpoints to which a check opens connections, and
	// probedEndpoints that of each probe of lost links.
	checkedEndpoints = 3
	probedEndpoints  = 2
	// checkInterval is the shortest time between two checks of a target, and probeInterval the
	// mean time between two probes: a new connection takes an endpoint's time.
	checkInterval = 500 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	// probeJitter is the share by which the time between probes varies, so that entries that
	// were cut off together do not probe together.
	probeJitter = 0.25
	// liveFor is how long after an answer the open connections are known to work.
	liveFor = time.Second
)

// State is the state of the links to the endpoints of a target.
type State int

// The states of links. Checking means that failures are being looked into: calls are still sent.
const (
	Linked State = iota
	Checking
	Lost
)

func (s State) String() string { return [...]string{"Linked", "Checking", "Lost"}[s] }

// Endpoint is an endpoint of a target.
type Endpoint struct {
	ID, Address, FailureDomain string
	// StartUnixMillis identifies the incarnation.
	StartUnixMillis int64
}

// Dial is a connection to be opened without a call.
type Dial struct {
	Target   string
	Endpoint Endpoint
	round    uint64
}

// Change tells that links were lost or are back.
type Change struct {
	Target string
	Lost   bool
	// Endpoints are those of the target. FailedSince is when the first of the failures was seen
	// that led to the loss, 0 if there was none.
	Endpoints   []Endpoint
	FailedSince time.Duration
	// LostFor is how long links that are back were lost.
	LostFor time.Duration
}

// Config configures a Tracker.
type Config struct {
	// Dial starts to open a connection and returns at once. The result is passed to RecordDial.
	Dial func(d Dial)
	// Random returns a random number in [0, 1).
	Random func() float64
	// Changed is called when links were lost or are back. It may be nil.
	Changed func(c Change)
}

// Tracker holds the state of the links to all targets. It is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu      sync.RWMutex
	targets map[string]*links
	// dials and changes are passed on once mu is unlocked.
	dials   []Dial
	changes []Change
}

// links is the state of one target.
type links struct {
	state State
	// listed are the open endpoints as they were passed, endpoints the same in the order of probes.
	listed, endpoints []Endpoint
	// failed holds when endpoints failed last, with no new connection to any endpoint since.
	failed map[string]time.Duration
	// round numbers the checks and probes. open is the number of dials of the check whose
	// results are missing.
	round uint64
	open  int
	// checkedAt is when the last check began, 0 if there was none. probeAt is when the next
	// probe of lost links is due.
	checkedAt, probeAt time.Duration
	// probed is the number of endpoints probed, which are taken in the order of endpoints.
	probed int
	lostAt time.Duration
	// answered is when an answer last began, 0 if none did.
	answered time.Duration
}

// New returns a tracker without targets.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg, targets: map[string]*links{}} }

// unlock unlocks mu and passes on dials and changes.
func (t *Tracker) unlock() {
	dials, changes := t.dials, t.changes
	t.dials, t.changes = nil, nil
	t.mu.Unlock()
	for _, c := range changes {
		if t.cfg.Changed != nil {
			t.cfg.Changed(c)
		}
	}
	for _, d := range dials {
		t.cfg.Dial(d)
	}
}

// State returns the state of the links to a target.
func (t *Tracker) State(target string) State {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if l := t.targets[target]; l != nil {
		return l.state
	}
	return Linked
}

// Has reports whether a target has open endpoints.
func (t *Tracker) Has(target string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.targets[target] != nil
}

// Lost returns the sorted targets whose links are lost.
func (t *Tracker) Lost() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var lost []string
	for name, l := range t.targets {
		if l.state == Lost {
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost
}

// Live reports whether an answer has arrived lately, so that open connections work whether or not
// new ones can be opened.
func (t *Tracker) Live(now time.Duration, target string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	l := t.targets[target]
	return l != nil && l.answered > 0 && now-l.answered < liveFor
}

// Update sets the open endpoints of each target: those to which calls may be sent. Links to a target
// without endpoints cannot be lost.
func (t *Tracker) Update(now time.Duration, endpoints map[string][]Endpoint) {
	t.mu.Lock()
	defer t.unlock()
	for name, list := range endpoints {
		l := t.targets[name]
		if l == nil {
			l = &links{failed: map[string]time.Duration{}}
			t.targets[name] = l
		}
		t.setEndpoints(l, list)
	}
	for name, l := range t.targets {
		if len(endpoints[name]) == 0 {
			t.setLinked(now, name, l)
			delete(t.targets, name)
		}
	}
}

// setEndpoints sets the open endpoints. New incarnations are probed first: when all endpoints were
// down, they are the ones that are back.
func (t *Tracker) setEndpoints(l *links, list []Endpoint) {
	if slices.Equal(l.listed, list) {
		return
	}
	l.listed = list
	isListed, wasListed, ids := map[Endpoint]bool{}, map[Endpoint]bool{}, map[string]bool{}
	for _, e := range l.endpoints {
		wasListed[e] = true
	}
	var added, kept []Endpoint
	for _, e := range list {
		isListed[e], ids[e.ID] = true, true
		if !wasListed[e] {
			added, l.probed = append(added, e), 0
		}
	}
	for _, e := range l.endpoints {
		if isListed[e] {
			kept = append(kept, e)
		}
	}
	l.endpoints = append(t.probeOrder(added), kept...)
	for id := range l.failed {
		if !ids[id] {
			delete(l.failed, id)
		}
	}
}

// probeOrder returns endpoints in random order, so that entries probe different ones, and those of the
// failure domains in turn, since often only some of the domains can be reached.
func (t *Tracker) probeOrder(list []Endpoint) []Endpoint {
	ordered := slices.Clone(list)
	for i := len(ordered) - 1; i > 0; i-- {
		j := min(int(t.cfg.Random()*float64(i+1)), i)
		ordered[i], ordered[j] = ordered[j], ordered[i]
	}
	turns, next := make(map[Endpoint]int, len(ordered)), map[string]int{}
	for _, e := range ordered {
		turns[e] = next[e.FailureDomain]
		next[e.FailureDomain]++
	}
	slices.SortStableFunc(ordered, func(a, b Endpoint) int { return turns[a] - turns[b] })
	return ordered
}

// RecordFailure records that a call failed at the level of its connection: it could not be opened, was
// reset, or carried no answer in time.
func (t *Tracker) RecordFailure(now time.Duration, target, endpoint string) {
	t.mu.Lock()
	defer t.unlock()
	l := t.targets[target]
	if l == nil || l.state == Lost {
		return
	}
	l.failed[endpoint] = now
	t.checkIfDue(now, target, l)
}

// RecordAnswer records that an endpoint has begun to answer a call on any connection.
func (t *Tracker) RecordAnswer(now time.Duration, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.targets[target]; l != nil {
		l.answered = now
	}
}

// RecordOpened records that a connection to an address was opened.
func (t *Tracker) RecordOpened(now time.Duration, address string) {
	t.mu.Lock()
	defer t.unlock()
	for name, l := range t.targets {
		if slices.ContainsFunc(l.endpoints, func(e Endpoint) bool { return e.Address == address }) {
			t.setLinked(now, name, l)
		}
	}
}

// RecordDial records whether a connection was opened.
func (t *Tracker) RecordDial(now time.Duration, d Dial, opened bool) {
	t.mu.Lock()
	defer t.unlock()
	l := t.targets[d.Target]
	switch {
	case l == nil:
	case opened:
		t.setLinked(now, d.Target, l)
	case l.state == Checking && l.round == d.round:
		if l.open--; l.open == 0 {
			t.setLost(now, d.Target, l)
		}
	}
}

// Advance starts the checks and probes that are due. It is called several times a second.
func (t *Tracker) Advance(now time.Duration) {
	t.mu.Lock()
	defer t.unlock()
	for name, l := range t.targets {
		switch {
		case l.state == Linked:
			t.checkIfDue(now, name, l)
		case l.state == Lost && now >= l.probeAt:
			t.probe(now, name, l)
		}
	}
}

func (t *Tracker) setLinked(now time.Duration, name string, l *links) {
	clear(l.failed)
	if l.state == Lost {
		t.changes = append(t.changes, Change{Target: name, Endpoints: l.endpoints, LostFor: now - l.lostAt})
	}
	l.state = Linked
}

func (t *Tracker) setLost(now time.Duration, name string, l *links) {
	change := Change{Target: name, Lost: true, Endpoints: l.endpoints}
	for _, at := range l.failed {
		if change.FailedSince == 0 || at < change.FailedSince {
			change.FailedSince = at
		}
	}
	t.changes = append(t.changes, change)
	l.state, l.lostAt, l.probed = Lost, now, 0
	l.probeAt = now + t.nextProbe()
}

func (t *Tracker) nextProbe() time.Duration {
	return time.Duration(float64(probeInterval) * (1 - probeJitter + 2*probeJitter*t.cfg.Random()))
}

// checkIfDue starts a check if enough endpoints have failed and the last check is long enough ago.
func (t *Tracker) checkIfDue(now time.Duration, name string, l *links) {
	for id, at := range l.failed {
		if now-at > failureRetention {
			delete(l.failed, id)
		}
	}
	if l.state != Linked || len(l.failed) < min(failedEndpoints, len(l.endpoints)) || len(l.failed) == 0 ||
		l.checkedAt > 0 && now-l.checkedAt < checkInterval {
		return
	}
	chosen := t.spread(l)
	l.state, l.checkedAt, l.open = Checking, max(now, 1), len(chosen)
	l.round++
	for _, e := range chosen {
		t.dials = append(t.dials, Dial{Target: name, Endpoint: e, round: l.round})
	}
}

// spread returns the endpoints of a check: those that have not failed first, in as many failure
// domains as possible, and of these first in those with the fewest failures.
func (t *Tracker) spread(l *links) []Endpoint {
	failedIn, chosenIn := map[string]int{}, map[string]int{}
	for _, e := range l.endpoints {
		if _, failed := l.failed[e.ID]; failed {
			failedIn[e.FailureDomain]++
		}
	}
	type rated struct {
		Endpoint
		failed bool
		random float64
	}
	left := make([]rated, 0, len(l.endpoints))
	for _, e := range l.endpoints {
		_, failed := l.failed[e.ID]
		left = append(left, rated{Endpoint: e, failed: failed, random: t.cfg.Random()})
	}
	before := func(a, b rated) bool {
		switch {
		case a.failed != b.failed:
			return b.failed
		case chosenIn[a.FailureDomain] != chosenIn[b.FailureDomain]:
			return chosenIn[a.FailureDomain] < chosenIn[b.FailureDomain]
		case failedIn[a.FailureDomain] != failedIn[b.FailureDomain]:
			return failedIn[a.FailureDomain] < failedIn[b.FailureDomain]
		}
		return a.random < b.random
	}
	var chosen []Endpoint
	for len(chosen) < checkedEndpoints && len(left) > 0 {
		best := 0
		for i := range left {
			if before(left[i], left[best]) {
				best = i
			}
		}
		chosen = append(chosen, left[best].Endpoint)
		chosenIn[left[best].FailureDomain]++
		left = slices.Delete(left, best, best+1)
	}
	return chosen
}

// probe dials the next endpoints in turn.
func (t *Tracker) probe(now time.Duration, name string, l *links) {
	l.round++
	for range min(probedEndpoints, len(l.endpoints)) {
		t.dials = append(t.dials, Dial{Target: name, Endpoint: l.endpoints[l.probed%len(l.endpoints)], round: l.round})
		l.probed++
	}
	l.probeAt = now + t.nextProbe()
}
