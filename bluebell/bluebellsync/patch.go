package bluebellsync

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// maxRetainedConfigurations is the number of configurations in the history. A patch can be
// made only from a configuration in the history.
const maxRetainedConfigurations = 8

// history holds the latest configurations, with the oldest first.
type history struct {
	entries []historyEntry
}

type historyEntry struct {
	revision      uint64
	configuration *pb.Configuration
}

// add appends a configuration unless the latest one has the same revision.
func (h *history) add(revision uint64, c *pb.Configuration) {
	if len(h.entries) > 0 && h.entries[len(h.entries)-1].revision == revision {
		return
	}
	h.entries = append(h.entries, historyEntry{revision, c})
	if len(h.entries) > maxRetainedConfigurations {
		h.entries = slices.Delete(h.entries, 0, 1)
	}
}

// find returns the configuration with the given revision, or nil if it is not in the
// history.
func (h *history) find(revision uint64) *pb.Configuration {
	for _, e := range h.entries {
		if e.revision == revision {
			return e.configuration
		}
	}
	return nil
}

// namedMessage is an element of a list that is sorted by name.
type namedMessage interface {
	proto.Message
	GetName() string
}

// makePatch returns the patch that changes one configuration into another.
func makePatch(baseRevision uint64, from, to *pb.Configuration) *pb.ConfigurationPatch {
	p := &pb.ConfigurationPatch{BaseRevision: baseRevision, Rest: withoutLongLists(to), Sum: checksum(to)}
	p.Customers, p.CustomersRemoved = diff(from.Customers, to.Customers)
	p.Endpoints, p.EndpointsRemoved = diff(from.Endpoints, to.Endpoints)
	return p
}

// applyPatch returns the configuration that results from a patch. It returns an error if the
// checksum of the result differs from that of the patch. The caller then needs the full
// configuration.
func applyPatch(from *pb.Configuration, p *pb.ConfigurationPatch) (*pb.Configuration, error) {
	to := withoutLongLists(p.Rest)
	to.Customers = applyDiff(from.Customers, p.Customers, p.CustomersRemoved)
	to.Endpoints = applyDiff(from.Endpoints, p.Endpoints, p.EndpointsRemoved)
	if got := checksum(to); got != p.Sum {
		return nil, fmt.Errorf("the patched configuration has checksum %x, want %x", got, p.Sum)
	}
	return to, nil
}

// withoutLongLists returns a configuration without the lists of customers and endpoints. The
// other lists are shared with c.
func withoutLongLists(c *pb.Configuration) *pb.Configuration {
	return &pb.Configuration{
		Name: c.GetName(), FailureDomains: c.GetFailureDomains(), VMs: c.GetVMs(), Voters: c.GetVoters(),
		Targets: c.GetTargets(), Work: c.GetWork(), Operators: c.GetOperators(), Policy: c.GetPolicy(),
	}
}

// checksum returns a hash of a configuration.
func checksum(c *pb.Configuration) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		// Marshalling fails only for strings that are not UTF-8. Unmarshalling rejects these
		// too, so a configuration has none.
		panic(fmt.Sprintf("configuration cannot be marshalled: %v", err))
	}
	return xxhash.Sum64(data)
}

// diff returns the elements of to that are new or changed, and the names of the elements of
// from that are not in to.
func diff[T namedMessage](from, to []T) (changed []T, removed []string) {
	old := make(map[string]T, len(from))
	for _, e := range from {
		old[e.GetName()] = e
	}
	for _, e := range to {
		if before, ok := old[e.GetName()]; !ok || !proto.Equal(before, e) {
			changed = append(changed, e)
		}
		delete(old, e.GetName())
	}
	for name := range old {
		removed = append(removed, name)
	}
	slices.Sort(removed)
	return changed, removed
}

// applyDiff returns the list from with the changed elements added or replaced and the removed
// elements left out, sorted by name.
func applyDiff[T namedMessage](from, changed []T, removed []string) []T {
	dropped := make(map[string]bool, len(removed)+len(changed))
	for _, name := range removed {
		dropped[name] = true
	}
	for _, e := range changed {
		dropped[e.GetName()] = true
	}
	merged := slices.Clone(changed)
	for _, e := range from {
		if !dropped[e.GetName()] {
			merged = append(merged, e)
		}
	}
	slices.SortFunc(merged, func(a, b T) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return merged
}
