package bluebellsync

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// configurationsKept is the number of earlier configurations that patches can start
// from.
const configurationsKept = 8

// history keeps the latest configurations by their revision.
type history struct {
	kept []kept
}

type kept struct {
	revision      uint64
	configuration *pb.Configuration
}

func (h *history) add(revision uint64, c *pb.Configuration) {
	if len(h.kept) > 0 && h.kept[len(h.kept)-1].revision == revision {
		return
	}
	h.kept = append(h.kept, kept{revision, c})
	if len(h.kept) > configurationsKept {
		h.kept = slices.Delete(h.kept, 0, 1)
	}
}

func (h *history) find(revision uint64) *pb.Configuration {
	for _, k := range h.kept {
		if k.revision == revision {
			return k.configuration
		}
	}
	return nil
}

// named is an element of a list that is in the order of its names.
type named interface {
	proto.Message
	GetName() string
}

// makePatch returns what leads from one configuration to another.
func makePatch(baseRevision uint64, from, to *pb.Configuration) *pb.ConfigurationPatch {
	p := &pb.ConfigurationPatch{BaseRevision: baseRevision, Rest: rest(to), Sum: sumOf(to)}
	p.Customers, p.CustomersRemoved = difference(from.Customers, to.Customers)
	p.Endpoints, p.EndpointsRemoved = difference(from.Endpoints, to.Endpoints)
	return p
}

// applyPatch returns the configuration that a patch leads to. An error means that
// the whole configuration is needed.
func applyPatch(from *pb.Configuration, p *pb.ConfigurationPatch) (*pb.Configuration, error) {
	to := rest(p.Rest)
	to.Customers = merge(from.Customers, p.Customers, p.CustomersRemoved)
	to.Endpoints = merge(from.Endpoints, p.Endpoints, p.EndpointsRemoved)
	if got := sumOf(to); got != p.Sum {
		return nil, fmt.Errorf("the patched configuration has sum %x, not %x", got, p.Sum)
	}
	return to, nil
}

// rest returns a configuration without its long lists. The others are shared.
func rest(c *pb.Configuration) *pb.Configuration {
	return &pb.Configuration{
		Name: c.GetName(), FailureDomains: c.GetFailureDomains(), VMs: c.GetVMs(), Voters: c.GetVoters(),
		Targets: c.GetTargets(), Work: c.GetWork(), Operators: c.GetOperators(), Policy: c.GetPolicy(),
	}
}

// sumOf hashes a configuration.
func sumOf(c *pb.Configuration) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		// Only text that is not UTF-8 fails, and that is not unmarshalled either.
		panic(fmt.Sprintf("configuration cannot be marshalled: %v", err))
	}
	return xxhash.Sum64(data)
}

// difference returns the elements of to that are new or changed, and the names of
// those that are gone.
func difference[T named](from, to []T) (changed []T, removed []string) {
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

// merge puts changed elements into a list and takes the removed ones out, in the
// order of the names.
func merge[T named](from, changed []T, removed []string) []T {
	gone := make(map[string]bool, len(removed)+len(changed))
	for _, name := range removed {
		gone[name] = true
	}
	for _, e := range changed {
		gone[e.GetName()] = true
	}
	merged := slices.Clone(changed)
	for _, e := range from {
		if !gone[e.GetName()] {
			merged = append(merged, e)
		}
	}
	slices.SortFunc(merged, func(a, b T) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return merged
}
