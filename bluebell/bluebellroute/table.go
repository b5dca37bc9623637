package bluebellroute

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
)

// OwnersPerEndpoint is the maximum number of entry VMs that share an endpoint's slots.
const OwnersPerEndpoint = 2

// Endpoint is an endpoint as configured, with its current health.
type Endpoint struct {
	Name          string
	FailureDomain string
	Address       string
	Target        string
	// Slots limits the requests that run at the endpoint at once, ColdSlots those
	// while the endpoint is cold, that is newly started.
	Slots     int
	ColdSlots int
	// HonoursFencing is set if the endpoint rejects orders with an outdated fencing
	// number.
	HonoursFencing bool
	// Owners holds the names of the owning VMs in rendezvous order.
	Owners []string
	// Usable is unset if the endpoint must get no new work.
	Usable bool
	// UnusableReason says why Usable is unset.
	UnusableReason string
	Versions       []string
	// Incarnation identifies one run of the endpoint; a restart loses its cache.
	Incarnation string
	FirstSeenAt int64

	seed uint64
	load *load
}

// SlotShare returns how many of n slots belong to a VM. The shares of all owners
// add up to n without any communication between them.
func (e *Endpoint) SlotShare(vm string, n int) int {
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

// target holds the versions and endpoints of one target.
type target struct {
	kind pb.Kind
	// version is the serving version; next is the new version of an active move,
	// or empty.
	version, next string
	nextShare     float64
	moveSeed      uint64
	endpoints     []*Endpoint
	// byVersion holds the usable endpoints of each version.
	byVersion map[string][]*Endpoint
}

// Table is an immutable snapshot of all targets and endpoints.
type Table struct {
	Revision  uint64
	targets   map[string]*target
	endpoints map[string]*Endpoint
}

// TableInput holds the data from which BuildTable builds a Table.
type TableInput struct {
	View   *pb.View
	Health map[string]*pb.EndpointHealth
	// VersionStopped reports whether this VM sends nothing more to the new version
	// of a move. It may be nil.
	VersionStopped func(m *pb.Move) bool
}

// BuildTable builds a routing table and decides which endpoints are usable.
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
	if m == nil || !bluebellstate.MoveActive(m) || in.VersionStopped != nil && in.VersionStopped(m) {
		return tg
	}
	tg.next, tg.nextShare = m.ToVersion, m.Share
	tg.moveSeed = xxhash.Sum64String(m.ToVersion)
	return tg
}

func newEndpoint(in TableInput, spec *pb.Endpoint, domainVMs []string) *Endpoint {
	e := &Endpoint{
		Name: spec.Name, FailureDomain: spec.FailureDomain, Address: spec.Address, Target: spec.Target,
		Slots: int(spec.Slots), ColdSlots: int(spec.ColdSlots), HonoursFencing: spec.HonoursFencing,
		Owners: ChooseOwners(spec.Name, domainVMs), seed: xxhash.Sum64String(spec.Name),
	}
	h := in.Health[spec.Name]
	e.Versions, e.Incarnation, e.FirstSeenAt = h.GetVersions(), h.GetIncarnation(), h.GetFirstSeenAt()
	switch {
	case slices.Contains(in.View.FailureDomainsOut, spec.FailureDomain):
		e.UnusableReason = "failure domain is out"
	case slices.Contains(in.View.EndpointsDrained, spec.Name):
		e.UnusableReason = "endpoint is drained"
	case h == nil:
		e.UnusableReason = "nothing is known of its health"
	case h.State != pb.HealthState_Ready:
		e.UnusableReason = "health is " + h.State.String()
	default:
		e.Usable = true
	}
	return e
}

// ChooseOwners returns the owners of an endpoint among the VMs of its failure
// domain, in rendezvous order.
func ChooseOwners(endpoint string, vms []string) []string {
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

// Endpoint returns the endpoint with the given name, or nil.
func (t *Table) Endpoint(name string) *Endpoint { return t.endpoints[name] }

// Endpoints returns all endpoints by name. The caller must not change the map.
func (t *Table) Endpoints() map[string]*Endpoint { return t.endpoints }

// IsNewVersion reports whether version is the new version of an active move of the
// target.
func (t *Table) IsNewVersion(name, version string) bool {
	tg := t.targets[name]
	return tg != nil && tg.next == version
}

// TargetKind returns the kind of a target, and reports whether the target is
// configured.
func (t *Table) TargetKind(name string) (pb.Kind, bool) {
	tg := t.targets[name]
	if tg == nil {
		return pb.Kind_KindUnset, false
	}
	return tg.kind, true
}
