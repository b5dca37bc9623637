package bluebellfleet

import (
	"cmp"
	"maps"
	"slices"
)

// undeclaredKey identifies a registration that is kept apart. It contains the target, so that registrations of one
// target do not displace those of another one under the same ID.
type undeclaredKey struct{ id, target string }

// SetTargets names the declared targets. The registrations of targets that were not declared before are merged now;
// those with an effect are returned. Endpoints of targets that are not declared any more stay registered.
func (r *Registry) SetTargets(names []string) []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = make(map[string]bool, len(names))
	for _, name := range names {
		r.targets[name] = true
	}
	var declared []Endpoint
	for key, e := range r.undeclared {
		if r.targets[key.target] {
			declared = append(declared, e)
			delete(r.undeclared, key)
		}
	}
	slices.SortFunc(declared, func(a, b Endpoint) int { return cmp.Compare(a.StartUnixMillis, b.StartUnixMillis) })
	return slices.DeleteFunc(declared, func(e Endpoint) bool { return r.merge(e) != Changed })
}

// isDeclared reports whether a registration concerns the endpoints of declared targets. One of an endpoint that is
// registered with the same target does, so that an endpoint whose target is removed can still drain. r.mu must be held.
func (r *Registry) isDeclared(e Endpoint) bool {
	if !r.cfg.DeclaredOnly || r.targets[e.Target] {
		return true
	}
	old := r.records[e.ID]
	return old != nil && old.endpoint.Target == e.Target
}

// keepApart records a registration of a target that is not declared, unless it is older than the recorded one. If there
// are MaxEndpoints of them, it replaces the one that has been silent for the longest time. r.mu must be held.
func (r *Registry) keepApart(e Endpoint) MergeResult {
	key := undeclaredKey{id: e.ID, target: e.Target}
	old, known := r.undeclared[key]
	if known && !supersedes(e, old) {
		return Undeclared
	}
	if limit := r.cfg.MaxEndpoints; !known && limit > 0 && len(r.undeclared) >= limit {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(r.undeclared)), func(a, b undeclaredKey) int {
			return cmp.Compare(r.undeclared[a].ReceivedAt, r.undeclared[b].ReceivedAt)
		})
		delete(r.undeclared, oldest)
	}
	if known && old.StartUnixMillis == e.StartUnixMillis {
		e.Weights = mergeWeights(old.Weights, e.Weights)
	}
	r.undeclared[key] = e
	return Undeclared
}

// latestUndeclaredStart returns the start time of the latest incarnation with an ID that is kept apart, 0 if there is
// none. r.mu must be held.
func (r *Registry) latestUndeclaredStart(id string) int64 {
	latest := int64(0)
	for key, e := range r.undeclared {
		if key.id == id {
			latest = max(latest, e.StartUnixMillis)
		}
	}
	return latest
}

// expireUndeclared deletes the registrations that are kept apart and have been silent for more than goneRetention.
// r.mu must be held.
func (r *Registry) expireUndeclared() {
	now := r.cfg.Now()
	maps.DeleteFunc(r.undeclared, func(_ undeclaredKey, e Endpoint) bool { return now-e.ReceivedAt > goneRetention })
}
