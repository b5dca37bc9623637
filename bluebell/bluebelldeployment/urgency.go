package bluebelldeployment

import (
	"math"
	"time"
)

// RanksByUrgency reports whether the calls of a target are ranked by their urgency: the target runs
// models, its routes have at least two priorities, and each route above the lowest rank has a shorter
// objective than every route of the lowest rank. Calls of the lowest rank may then be delayed in favour
// of the others. A route without an objective may take any time. Routes that send the target no calls
// do not count.
func (d *Deployment) RanksByUrgency(target string) bool {
	if d == nil || d.targets[target] == nil || d.targets[target].Engine == nil {
		return false
	}
	lowest := math.MinInt
	shortest := time.Duration(math.MaxInt64) // objective of the lowest rank
	routes := d.RoutesOf(target)
	for _, r := range routes {
		switch {
		case r.Priority > lowest:
			lowest, shortest = r.Priority, r.longestObjective()
		case r.Priority == lowest:
			shortest = min(shortest, r.longestObjective())
		}
	}
	above := 0
	for _, r := range routes {
		if r.Priority == lowest {
			continue
		}
		if r.longestObjective() >= shortest {
			return false
		}
		above++
	}
	return above > 0
}

// RoutesOf returns the routes that send calls to a target.
func (d *Deployment) RoutesOf(target string) []*Route {
	var routes []*Route
	for i := range d.declaration.Routes {
		if r := &d.declaration.Routes[i]; r.sendsTo(target) {
			routes = append(routes, r)
		}
	}
	return routes
}

// Customers returns all customers.
func (d *Deployment) Customers() []Customer { return d.declaration.Customers }

// sendsTo reports whether a target gets calls of the route.
func (r *Route) sendsTo(target string) bool {
	for _, t := range r.Targets {
		if t.Name == target && t.Weight > 0 {
			return true
		}
	}
	return false
}

// longestObjective returns the objective, or the longest time for a route without one.
func (r *Route) longestObjective() time.Duration {
	if r.Objective <= 0 {
		return math.MaxInt64
	}
	return r.Objective
}
