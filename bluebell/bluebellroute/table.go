package bluebellroute

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
)

// OwnersPerEndpoint is the number of entry VMs that share an endpoint's slots.
const OwnersPerEndpoint = 2

// Endpoint is one endpoint as the present view and health show it.
type Endpoint struct {
	Name          string
	FailureDomain string
	Address       string
	Target        string
	Slots         int
	ColdSlots     int
	HonoursFence  bool
	// Owners in their order for this endpoint.
	Owners []string
	// Usable is unset when the endpoint must get no new work.
	Usable bool
	// Why it is not usable.
	Why         string
	Versions    []string
	Incarnation string
	FirstSeenAt int64

	seed uint64
	load *load
}

// OwnShare returns how many of n slots belong to a VM. The shares of all owners
// add up to n, whatever each of them knows.
func (e *Endpoint) OwnShare(vm string, n int) int {
	rank := slices.Index(e.Owners, vm)
	if rank < 0 {
		return 0
	}
	share := n / len(e.Owners)
	if rank < n%len(e.Owners) {
		share++
	}
	return share
}

// target groups the endpoints of one target.
type target struct {
	kind pb.Kind
	// version that serves, and the one that a move brings, if any
	version, next string
	nextShare     float64
	moveSeed      uint64
	endpoints     []*Endpoint
	byVersion     map[string][]*Endpoint
}

// Table is an immutable picture of all targets and endpoints.
type Table struct {
	Revision  uint64
	targets   map[string]*target
	endpoints map[string]*Endpoint
}

// TableInput is what a Table is built from.
type TableInput struct {
	View   *pb.View
	Health map[string]*pb.EndpointHealth
	// Braked tells whether this VM has stopped the new version of a move.
	Braked func(m *pb.Move) bool
}

// BuildTable works out what may be used.
func BuildTable(in TableInput) *Table {
	t := &Table{Revision: in.View.Revision, targets: map[string]*target{}, endpoints: map[string]*Endpoint{}}
	c := in.View.Configuration
	for _, spec := range c.GetTargets() {
		t.targets[spec.Name] = newTarget(in, spec)
	}
	domainVMs := map[string][]string{}
	for _, v := range c.GetVMs() {
		domainVMs[v.FailureDomain] = append(domainVMs[v.FailureDomain], v.Name)
	}
	for _, spec := range c.GetEndpoints() {
		e := newEndpoint(in, spec, domainVMs[spec.FailureDomain])
		t.endpoints[e.Name] = e
		tg := t.targets[spec.Target]
		if tg == nil {
			continue
		}
		tg.endpoints = append(tg.endpoints, e)
		if !e.Usable {
			continue
		}
		for _, v := range e.Versions {
			tg.byVersion[v] = append(tg.byVersion[v], e)
		}
	}
	return t
}

func newTarget(in TableInput, spec *pb.Target) *target {
	tg := &target{
		kind: spec.Kind, version: bluebellstate.ServingVersion(in.View, spec.Name),
		byVersion: map[string][]*Endpoint{},
	}
	m := bluebellstate.LatestMove(in.View, spec.Name)
	if m == nil || !bluebellstate.MoveActive(m) || in.Braked != nil && in.Braked(m) {
		return tg
	}
	tg.next, tg.nextShare = m.ToVersion, m.Share
	tg.moveSeed = xxhash.Sum64String(m.ToVersion)
	return tg
}

func newEndpoint(in TableInput, spec *pb.Endpoint, domainVMs []string) *Endpoint {
	e := &Endpoint{
		Name: spec.Name, FailureDomain: spec.FailureDomain, Address: spec.Address, Target: spec.Target,
		Slots: int(spec.Slots), ColdSlots: int(spec.ColdSlots), HonoursFence: spec.HonoursFencing,
		Owners: Owners(spec.Name, domainVMs), seed: xxhash.Sum64String(spec.Name),
	}
	h := in.Health[spec.Name]
	e.Versions, e.Incarnation, e.FirstSeenAt = h.GetVersions(), h.GetIncarnation(), h.GetFirstSeenAt()
	switch {
	case slices.Contains(in.View.FailureDomainsOut, spec.FailureDomain):
		e.Why = "failure domain is out"
	case slices.Contains(in.View.EndpointsDrained, spec.Name):
		e.Why = "endpoint is drained"
	case h == nil:
		e.Why = "nothing is known of its health"
	case h.State != pb.HealthState_Ready:
		e.Why = "health is " + h.State.String()
	default:
		e.Usable = true
	}
	return e
}

// Owners chooses the owners of an endpoint among the VMs of its failure domain.
func Owners(endpoint string, vms []string) []string {
	seed := xxhash.Sum64String(endpoint)
	var owners []string
	var scores []uint64
	for _, vm := range vms {
		score := mix(xxhash.Sum64String(vm), seed)
		at, _ := slices.BinarySearchFunc(scores, score, func(a, b uint64) int { return cmp.Compare(b, a) })
		if at < OwnersPerEndpoint {
			owners, scores = slices.Insert(owners, at, vm), slices.Insert(scores, at, score)
			owners, scores = owners[:min(len(owners), OwnersPerEndpoint)], scores[:min(len(scores), OwnersPerEndpoint)]
		}
	}
	return owners
}

// Endpoint returns an endpoint by name, or nil.
func (t *Table) Endpoint(name string) *Endpoint { return t.endpoints[name] }

// Endpoints returns all endpoints by name. The map must not be altered.
func (t *Table) Endpoints() map[string]*Endpoint { return t.endpoints }

// Moving tells whether a version is the new one of a move.
func (t *Table) Moving(name, version string) bool {
	tg := t.targets[name]
	return tg != nil && tg.next == version
}

// Serves tells whether a target is known, and its kind.
func (t *Table) Serves(name string) (pb.Kind, bool) {
	tg := t.targets[name]
	if tg == nil {
		return pb.Kind_KindUnset, false
	}
	return tg.kind, true
}
