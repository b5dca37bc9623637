package bluebellstate

import (
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// withConfiguration returns a copy of v with the new configuration c. Failure domains
// that are out and endpoints that are drained stay so if c still has them. Targets that
// v already has keep their serving version, which only moves change.
func withConfiguration(v *pb.View, c *pb.Configuration, now int64) (*pb.View, error) {
	if len(c.FailureDomains) == 0 || len(c.Voters) == 0 || c.Policy == nil {
		return nil, errors.New("configuration has no failure domains, voters or policy; generate it with bluebellctl")
	}
	next := cloneView(v)
	next.Configuration = reuseUnchanged(v.Configuration, c)
	if v.Configuration != nil && !sameOwners(v.Configuration, c) {
		next.OwnersChangedAt = now
	}
	next.FailureDomainsOut = slices.DeleteFunc(next.FailureDomainsOut, func(name string) bool {
		return !hasFailureDomain(c, name)
	})
	next.EndpointsDrained = slices.DeleteFunc(next.EndpointsDrained, func(name string) bool {
		return !hasEndpoint(c, name)
	})
	next.Versions = nil
	for _, t := range c.Targets {
		version := t.Version
		if current := ServingVersion(v, t.Name); current != "" {
			version = current
		}
		next.Versions = append(next.Versions, &pb.TargetVersion{Target: t.Name, Version: version})
	}
	for _, m := range v.Moves {
		if MoveActive(m) && ServingVersion(next, m.Target) == "" {
			return nil, fmt.Errorf("target %s has a move to version %s; take it back first", m.Target, m.ToVersion)
		}
	}
	return next, nil
}

// reuseUnchanged returns a copy of c that shares the customers and endpoints that did
// not change with the previous configuration. Keeping several successive configurations
// in memory then costs little more than keeping one. Neither argument is modified.
func reuseUnchanged(previous, c *pb.Configuration) *pb.Configuration {
	return &pb.Configuration{
		Name: c.Name, FailureDomains: c.FailureDomains, VMs: c.VMs, Voters: c.Voters, Targets: c.Targets,
		Endpoints: reuseEqualElements(previous.GetEndpoints(), c.Endpoints), Customers: reuseEqualElements(previous.GetCustomers(), c.Customers),
		Work: c.Work, Operators: c.Operators, Policy: c.Policy,
	}
}

// namedMessage is a protobuf message with a Name field.
type namedMessage interface {
	proto.Message
	GetName() string
}

// reuseEqualElements returns a copy of list in which each element that equals the element
// of the same name in previous is replaced by that one.
func reuseEqualElements[T namedMessage](previous, list []T) []T {
	previousByName := make(map[string]T, len(previous))
	for _, e := range previous {
		previousByName[e.GetName()] = e
	}
	shared := make([]T, len(list))
	for i, e := range list {
		shared[i] = e
		if o, ok := previousByName[e.GetName()]; ok && proto.Equal(o, e) {
			shared[i] = o
		}
	}
	return shared
}

// sameOwners reports whether a and b assign the slots of endpoints to the same owners:
// the VMs and their failure domains are equal, and so are the endpoints with their
// failure domains and slots.
func sameOwners(a, b *pb.Configuration) bool {
	sameVMs := slices.EqualFunc(a.VMs, b.VMs, func(x, y *pb.VM) bool {
		return x.Name == y.Name && x.FailureDomain == y.FailureDomain
	})
	return sameVMs && slices.EqualFunc(a.Endpoints, b.Endpoints, func(x, y *pb.Endpoint) bool {
		return x.Name == y.Name && x.FailureDomain == y.FailureDomain && x.Slots == y.Slots && x.ColdSlots == y.ColdSlots
	})
}

// withFailureDomain returns a copy of v in which a failure domain is taken out or put
// back in. The last failure domain cannot be taken out.
func withFailureDomain(v *pb.View, s *pb.SetFailureDomain) (*pb.View, error) {
	if !hasFailureDomain(v.Configuration, s.Name) {
		return nil, fmt.Errorf("failure domain %q is not in the configuration", s.Name)
	}
	next := cloneView(v)
	next.FailureDomainsOut = withName(next.FailureDomainsOut, s.Name, s.Out)
	if len(next.FailureDomainsOut) == len(v.Configuration.FailureDomains) {
		return nil, errors.New("the last failure domain cannot be taken out")
	}
	return next, nil
}

// withEndpoint returns a copy of v in which an endpoint is drained or undrained.
func withEndpoint(v *pb.View, s *pb.SetEndpoint) (*pb.View, error) {
	if !hasEndpoint(v.Configuration, s.Name) {
		return nil, fmt.Errorf("endpoint %q is not in the configuration", s.Name)
	}
	next := cloneView(v)
	next.EndpointsDrained = withName(next.EndpointsDrained, s.Name, s.Drained)
	return next, nil
}

// withName adds name to the sorted list names, or removes it, and returns the list. It
// modifies names in place.
func withName(names []string, name string, present bool) []string {
	names = slices.DeleteFunc(names, func(n string) bool { return n == name })
	if present {
		names = append(names, name)
		slices.Sort(names)
	}
	return names
}

func hasFailureDomain(c *pb.Configuration, name string) bool {
	return slices.ContainsFunc(c.GetFailureDomains(), func(d *pb.FailureDomain) bool { return d.Name == name })
}

func hasEndpoint(c *pb.Configuration, name string) bool {
	return slices.ContainsFunc(c.GetEndpoints(), func(e *pb.Endpoint) bool { return e.Name == name })
}

// ServingVersion returns the version that serves target, or "" if v has no such target.
func ServingVersion(v *pb.View, target string) string {
	for _, tv := range v.Versions {
		if tv.Target == target {
			return tv.Version
		}
	}
	return ""
}
