package bluebelloverload

import (
	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebelltier"
)

// plan schedules a trouble and its end.
func (w *world) plan(t Trouble) {
	at := warmUp + t.At.Duration()
	w.agenda.After(at, func() { w.strike(t) })
	if t.For > 0 {
		w.agenda.After(at+t.For.Duration(), func() { w.heal(t) })
	}
}

func (w *world) strike(t Trouble) {
	switch t.What {
	case Dark:
		for _, id := range share(w.names, t.Share) {
			w.darken(w.engines[id])
		}
	case SlowStores:
		for _, name := range share(w.storeNames, t.Share) {
			w.stores[name].slowness = t.Factor
		}
	case Emptied:
		for _, name := range share(w.storeNames, t.Share) {
			s := w.stores[name]
			s.held, s.used = map[string]int{}, 0
			w.agenda.After(eventDelay, func() { w.directory.Reset(s.address, nil, w.agenda.Now()) })
		}
	case Cut:
		w.cut, w.cutAt = true, w.agenda.Now()
	case Burst:
		w.rate = t.Factor
	}
}

func (w *world) heal(t Trouble) {
	switch t.What {
	case Dark:
		for _, id := range share(w.names, t.Share) {
			w.engines[id].dark = false
		}
	case SlowStores:
		for _, name := range share(w.storeNames, t.Share) {
			w.stores[name].slowness = 1
		}
	case Cut:
		w.cut = false
	case Burst:
		w.rate = 1
	}
}

// share returns the first part of some names, which are in no order of importance.
func share(names []string, part float64) []string {
	return names[:int(part*float64(len(names))+0.5)]
}

// darken lets an engine fall silent. Its calls find out after a while.
func (w *world) darken(e *engine) {
	lost := append(append([]*run{}, e.running...), e.waiting...)
	e.goDark()
	for _, r := range lost {
		c := r.call
		w.agenda.After(lostAfter, func() {
			switch {
			case c.over:
			case w.cfg.Policy == Product && c.choice.Endpoint.ID == e.id:
				c.entry.failed(c, bluebellplacement.ConnectionFailed)
			case w.cfg.Policy != Product:
				w.end(c, failed)
			}
		})
	}
}

// heartbeat notes which engines have registered.
func (w *world) heartbeat() {
	w.agenda.After(heartbeatEvery, w.heartbeat)
	for _, id := range w.names {
		if e := w.engines[id]; !e.dark {
			e.heardAt = w.agenda.Now()
		}
	}
}

// news spreads what entries know, by way of the core processes of their side.
func (w *world) news() {
	w.agenda.After(newsEvery, w.news)
	var sums [2]map[string]bluebellplacement.EndpointUse
	for side := range sums {
		sums[side] = map[string]bluebellplacement.EndpointUse{}
		w.fetchSum[side] = map[string]bluebelltier.Load{}
	}
	for _, e := range w.entries {
		e.tell()
		for side := range sums {
			if w.cut && side != w.side(e.domain) {
				continue
			}
			for id, u := range e.told {
				sums[side][id] = sums[side][id].Add(u)
			}
			for address, l := range e.fetches {
				w.fetchSum[side][address] = w.fetchSum[side][address].Add(l)
			}
		}
	}
	w.spreadDirectory()
	var endpoints []bluebellfleet.Endpoint
	for _, id := range w.names {
		e := w.engines[id]
		endpoints = append(endpoints, bluebellfleet.Endpoint{
			ID: id, Target: target, Address: id, FailureDomain: domainName(e.domain), State: bluebellfleet.Serving,
			Weights: map[string]uint64{model: 1}, ReceivedAt: e.heardAt,
		})
	}
	// Entries hear of it half a poll later, on average.
	w.agenda.After(newsEvery/2, func() {
		for _, e := range w.entries {
			e.hear(endpoints, sums[w.side(e.domain)])
		}
	})
}

// otherFetches returns what other entries have named for a fetch.
func (w *world) otherFetches(e *entry) map[string]bluebelltier.Load {
	others := map[string]bluebelltier.Load{}
	for address, sum := range w.fetchSum[w.side(e.domain)] {
		own := e.fetches[address]
		others[address] = bluebelltier.Load{Tokens: sum.Tokens - own.Tokens, Calls: sum.Calls - own.Calls, Waited: sum.Waited - own.Waited}
	}
	return others
}

// spreadDirectory brings the views of both sides up to date.
func (w *world) spreadDirectory() {
	for side, view := range w.views {
		changes, next := w.directory.ChangesSince(w.cursors[side], 1<<20)
		var states []bluebelldirectory.StoreState
		for _, s := range w.directory.StoreStates() {
			if w.cut && w.agenda.Now()-w.cutAt > cutNoticedAfter && w.side(w.stores[s.Address].domain) != side {
				s.Following = false
			}
			states = append(states, s)
		}
		view.Apply(states, changes, w.cursors[side] == 0, false, w.agenda.Now())
		w.cursors[side] = next
	}
}
