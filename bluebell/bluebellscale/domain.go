package bluebellscale

import (
	"cmp"
	"slices"
	"time"
)

// domainState is what a planner remembers of a failure domain.
type domainState struct {
	// baseline is the largest number of registered endpoints, which stands for the ordered number until one is
	// agreed. A smaller one would let the first order stop endpoints that are only out of reach.
	baseline int
	ordered  int
	// settled is the number that should serve by now: endpoints that were ordered lately are still starting.
	settled  int
	raisedAt time.Duration
	lost     []lossSample
}

// lossSample is the number of endpoints that were missing at one moment.
type lossSample struct {
	at   time.Duration
	lost int
}

// observe updates the state at the time now and returns what follows for a decision.
func (d *domainState) observe(now time.Duration, in Domain, start time.Duration) member {
	d.baseline = max(d.baseline, in.Registered)
	ordered := in.Ordered
	if ordered == 0 {
		ordered = d.baseline
	}
	switch {
	case d.ordered == 0 || in.Ordered == 0:
		d.settled = ordered
	case ordered > d.ordered:
		d.raisedAt = now
	}
	d.ordered = ordered
	if now-d.raisedAt > start*3/2+startGrace {
		d.settled = ordered
	}
	d.settled = min(max(d.settled, in.Usable), ordered)
	lost := max(d.settled-in.Usable, 0)
	d.lost = slices.DeleteFunc(append(d.lost, lossSample{now, lost}), func(s lossSample) bool { return now-s.at > start+sampleGap })
	m := member{Domain: in, ordered: ordered, settled: d.settled, lost: lost}
	if now-d.lost[0].at > start {
		m.lostLong = lost
		for _, s := range d.lost {
			m.lostLong = min(m.lostLong, s.lost)
		}
	}
	return m
}

// member is a failure domain as a decision sees it.
type member struct {
	Domain
	// ordered is the agreed number, or what stands for it, and settled the part that should serve by now.
	ordered, settled int
	// lost is the number of missing endpoints, lostLong that of those that have been missing for as long as a new
	// one needs to start.
	lost, lostLong int
}

// damaged reports whether most of the endpoints of the failure domain are lost. New ones would probably share
// their fate.
func (m member) damaged() bool { return 2*m.lost > m.settled }

// fleet is all failure domains of a target, by name.
type fleet []member

// observe updates the failure domains and the times of the last changes.
func (p *Planner) observe(now time.Duration, in Input) fleet {
	var all fleet
	ordered := 0
	for _, d := range in.Domains {
		if d.Ordered == 0 && d.Registered == 0 && p.domains[d.Name] == nil {
			continue
		}
		state := p.domains[d.Name]
		if state == nil {
			state = &domainState{raisedAt: now - time.Hour}
			p.domains[d.Name] = state
		}
		m := state.observe(now, d, in.Bounds.StartDuration)
		ordered += m.ordered
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b member) int { return cmp.Compare(a.Name, b.Name) })
	switch {
	case p.ordered == 0:
		// A raise of the leader before may be starting, which a number that does not serve yet shows.
		p.raisedAt, p.hasRaised = now, all.sum(func(m member) int { return m.Usable }) < ordered
	case ordered > p.ordered:
		if p.hasLowered && now-p.loweredAt < regretTime {
			p.bar, p.barUntil = ordered, now+barTime
		}
		p.raisedAt, p.hasRaised = now, true
	case ordered < p.ordered:
		p.loweredAt, p.hasLowered = now, true
	}
	p.ordered = ordered
	return all
}

func (f fleet) sum(of func(m member) int) int {
	total := 0
	for _, m := range f {
		total += of(m)
	}
	return total
}

// numbers returns the current numbers, in the order of the failure domains.
func (f fleet) numbers() []int {
	list := make([]int, len(f))
	for i, m := range f {
		list[i] = m.ordered
	}
	return list
}

// changes returns the difference between the current numbers and the next ones.
func (f fleet) changes(next []int) []Change {
	var list []Change
	for i, m := range f {
		if next[i] != m.ordered {
			list = append(list, Change{FailureDomain: m.Name, From: m.ordered, To: next[i]})
		}
	}
	return list
}
