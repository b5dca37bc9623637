package bluebellstate

import (
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// withConfiguration returns a view with a new configuration. What operators
// ordered of failure domains and endpoints that are still there stays in force,
// and the version of a known target is changed by moves only.
func withConfiguration(v *pb.View, c *pb.Configuration, now int64) (*pb.View, error) {
	if len(c.FailureDomains) == 0 || len(c.Voters) == 0 || c.Policy == nil {
		return nil, errors.New("configuration has no failure domains, voters or policy; generate it with bluebellctl")
	}
	next := cloneView(v)
	next.Configuration = sharing(v.Configuration, c)
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
		if known := ServingVersion(v, t.Name); known != "" {
			version = known
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

// sharing returns the configuration with the unchanged customers and endpoints of
// the one before in place of its own equal ones, so that a row of configurations that
// are kept costs little more than one. Neither is ever altered.
func sharing(before, c *pb.Configuration) *pb.Configuration {
	return &pb.Configuration{
		Name: c.Name, FailureDomains: c.FailureDomains, VMs: c.VMs, Voters: c.Voters, Targets: c.Targets,
		Endpoints: sharingList(before.GetEndpoints(), c.Endpoints), Customers: sharingList(before.GetCustomers(), c.Customers),
		Work: c.Work, Operators: c.Operators, Policy: c.Policy,
	}
}

// named is an element of a list that has a name.
type named interface {
	proto.Message
	GetName() string
}

func sharingList[T named](before, list []T) []T {
	old := make(map[string]T, len(before))
	for _, e := range before {
		old[e.GetName()] = e
	}
	shared := make([]T, len(list))
	for i, e := range list {
		shared[i] = e
		if o, ok := old[e.GetName()]; ok && proto.Equal(o, e) {
			shared[i] = o
		}
	}
	return shared
}

// sameOwners tells whether no endpoint's slots can pass to other owners.
func sameOwners(a, b *pb.Configuration) bool {
	sameVMs := slices.EqualFunc(a.VMs, b.VMs, func(x, y *pb.VM) bool {
		return x.Name == y.Name && x.FailureDomain == y.FailureDomain
	})
	return sameVMs && slices.EqualFunc(a.Endpoints, b.Endpoints, func(x, y *pb.Endpoint) bool {
		return x.Name == y.Name && x.FailureDomain == y.FailureDomain && x.Slots == y.Slots && x.ColdSlots == y.ColdSlots
	})
}

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

func withEndpoint(v *pb.View, s *pb.SetEndpoint) (*pb.View, error) {
	if !hasEndpoint(v.Configuration, s.Name) {
		return nil, fmt.Errorf("endpoint %q is not in the configuration", s.Name)
	}
	next := cloneView(v)
	next.EndpointsDrained = withName(next.EndpointsDrained, s.Name, s.Drained)
	return next, nil
}

// withName returns the names with one put in or left out, in order.
func withName(names []string, name string, in bool) []string {
	names = slices.DeleteFunc(names, func(n string) bool { return n == name })
	if in {
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

// ServingVersion returns the version that serves a target, or "" if it is unknown.
func ServingVersion(v *pb.View, target string) string {
	for _, tv := range v.Versions {
		if tv.Target == target {
			return tv.Version
		}
	}
	return ""
}
