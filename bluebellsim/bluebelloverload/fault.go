package bluebelloverload

import (
	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebellpressure"
	"bluebellhaven.org/bluebell/bluebelltier"
)

// scheduleFault schedules the start and the end of a fault.
func (sim *simulation) scheduleFault(f Fault) {
	at := warmUp + f.At.Duration()
	sim.eventQueue.After(at, func() { sim.startFault(f) })
	if f.For > 0 {
		sim.eventQueue.After(at+f.For.Duration(), func() { sim.endFault(f) })
	}
}

func (sim *simulation) startFault(f Fault) {
	switch f.What {
	case Dark:
		for _, id := range firstShare(sim.engineIDs, f.Share) {
			sim.darken(sim.engines[id])
		}
	case SlowStores:
		for _, name := range firstShare(sim.storeNames, f.Share) {
			sim.stores[name].slowdown = f.Factor
		}
	case Emptied:
		for _, name := range firstShare(sim.storeNames, f.Share) {
			s := sim.stores[name]
			s.blockTokens, s.usedTokens = map[string]int{}, 0
			sim.eventQueue.After(directoryDelay, func() { sim.directory.Reset(s.address, nil, sim.eventQueue.Now()) })
		}
	case Cut:
		sim.cut, sim.cutAt = true, sim.eventQueue.Now()
	case Burst:
		sim.rateFactor = f.Factor
	}
}

func (sim *simulation) endFault(f Fault) {
	switch f.What {
	case Dark:
		for _, id := range firstShare(sim.engineIDs, f.Share) {
			sim.engines[id].dark = false
		}
	case SlowStores:
		for _, name := range firstShare(sim.storeNames, f.Share) {
			sim.stores[name].slowdown = 1
		}
	case Cut:
		sim.cut = false
	case Burst:
		sim.rateFactor = 1
	}
}

// firstShare returns the first names of a list, up to a share of its length.
func firstShare(names []string, share float64) []string {
	return names[:int(share*float64(len(names))+0.5)]
}

// darken makes an engine silent. Its calls fail or are tried again after silenceTimeout.
func (sim *simulation) darken(e *engine) {
	lost := append(append([]*engineCall{}, e.running...), e.waiting...)
	e.goDark()
	for _, r := range lost {
		c := r.call
		sim.eventQueue.After(silenceTimeout, func() {
			switch {
			case c.ended:
			case sim.cfg.Policy == Product && c.choice.Endpoint.ID == e.id:
				c.entry.attemptFailed(c, bluebellplacement.ConnectionFailed)
			case sim.cfg.Policy != Product:
				sim.end(c, failed)
			}
		})
	}
}

// registerEngines renews the registrations of all engines that are not dark, and schedules the
// next time.
func (sim *simulation) registerEngines() {
	sim.eventQueue.After(registrationInterval, sim.registerEngines)
	for _, id := range sim.engineIDs {
		if e := sim.engines[id]; !e.dark {
			e.registeredAt = sim.eventQueue.Now()
		}
	}
}

// exchangeReports simulates one poll of all entries: the core processes of each side of a cut
// add up the reports of the entries that they reach, and answer with the sums. It schedules the
// next poll.
func (sim *simulation) exchangeReports() {
	sim.eventQueue.After(corePollInterval, sim.exchangeReports)
	var sums [2]map[string]bluebellplacement.EndpointUse
	var demands [2]bluebellpressure.Demand
	reportedAt := sim.eventQueue.Now()
	for side := range sums {
		sums[side] = map[string]bluebellplacement.EndpointUse{}
		sim.fetchSums[side] = map[string]bluebelltier.Load{}
	}
	for _, e := range sim.entries {
		e.report()
		for side := range sums {
			if sim.cut && side != sim.side(e.domain) {
				continue
			}
			demands[side] = demands[side].Add(e.reportedDemand)
			for id, u := range e.reportedUses {
				sums[side][id] = sums[side][id].Add(u)
			}
			for address, l := range e.reportedFetches {
				sim.fetchSums[side][address] = sim.fetchSums[side][address].Add(l)
			}
		}
	}
	sim.updateViews()
	var endpoints []bluebellfleet.Endpoint
	for _, id := range sim.engineIDs {
		e := sim.engines[id]
		endpoints = append(endpoints, bluebellfleet.Endpoint{
			ID: id, Target: target, Address: id, FailureDomain: domainName(e.domain), State: bluebellfleet.Serving,
			Weights: map[string]uint64{model: 1}, ReceivedAt: e.registeredAt,
		})
	}
	// A report reaches the other entries after half a poll interval on average.
	sim.eventQueue.After(corePollInterval/2, func() {
		for _, e := range sim.entries {
			e.update(endpoints, sums[sim.side(e.domain)])
			e.othersDemand, e.othersDemandAt = demands[sim.side(e.domain)].Sub(e.reportedDemand), reportedAt
		}
	})
}

// otherFetches returns the fetches in flight of all entries but e, by store address.
func (sim *simulation) otherFetches(e *entry) map[string]bluebelltier.Load {
	others := map[string]bluebelltier.Load{}
	for address, sum := range sim.fetchSums[sim.side(e.domain)] {
		own := e.reportedFetches[address]
		others[address] = bluebelltier.Load{Tokens: sum.Tokens - own.Tokens, LargeFetches: sum.LargeFetches - own.LargeFetches, Overdue: sum.Overdue - own.Overdue}
	}
	return others
}

// updateViews applies the changes of the directory to the views of both sides of a cut. Stores
// on the other side are marked as not followed once the cut has lasted for unreachableAfter.
func (sim *simulation) updateViews() {
	for side, view := range sim.views {
		changes, next := sim.directory.ChangesSince(sim.cursors[side], 1<<20)
		var states []bluebelldirectory.StoreState
		for _, s := range sim.directory.StoreStates() {
			if sim.cut && sim.eventQueue.Now()-sim.cutAt > unreachableAfter && sim.side(sim.stores[s.Address].domain) != side {
				s.Following = false
			}
			states = append(states, s)
		}
		view.Apply(states, changes, sim.cursors[side] == 0, false, sim.eventQueue.Now())
		sim.cursors[side] = next
	}
}
