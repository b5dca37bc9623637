package bluebellrelay

import (
	"maps"
	"slices"
	"time"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebellqueue"
)

// Ranks returns the ranks of the calls of each target whose calls are ranked by urgency, the most urgent
// first. A rank is a priority that calls have by their route and customer.
func Ranks(d *bluebelldeployment.Deployment) map[string][]bluebellplacement.Rank {
	ranks := map[string][]bluebellplacement.Rank{}
	for _, t := range d.Targets() {
		if !d.RanksByUrgency(t.Name) {
			continue
		}
		objectives := map[int]time.Duration{}
		for _, r := range d.RoutesOf(t.Name) {
			for _, customer := range customerPriorities(d, r) {
				p := callPriority(customer, r)
				if shortest := objectives[p]; r.Objective > 0 && (shortest == 0 || r.Objective < shortest) || shortest == 0 {
					objectives[p] = r.Objective
				}
			}
		}
		for _, p := range slices.Sorted(maps.Keys(objectives)) {
			ranks[t.Name] = append(ranks[t.Name], bluebellplacement.Rank{Priority: p, Objective: objectives[p]})
		}
	}
	return ranks
}

// customerPriorities returns the priorities of the customers that may call a route, without repetition.
func customerPriorities(d *bluebelldeployment.Deployment, r *bluebelldeployment.Route) []int {
	var all []int
	if r.Public || !d.RequiresKeys() {
		all = append(all, defaultCustomerPriority)
	}
	for _, c := range d.Customers() {
		p := defaultCustomerPriority
		if c.HasPriority {
			p = c.Priority
		}
		if !slices.Contains(all, p) {
			all = append(all, p)
		}
	}
	return all
}

// urgencyOf returns the place of a priority among the ranks of a target, which may be nil.
func urgencyOf(ranks []bluebellplacement.Rank, priority int) bluebellqueue.Urgency {
	switch {
	case len(ranks) < 2:
		return bluebellqueue.Unranked
	case priority < ranks[len(ranks)-1].Priority:
		return bluebellqueue.Urgent
	}
	return bluebellqueue.Lenient
}
