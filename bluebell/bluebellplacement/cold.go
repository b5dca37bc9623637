package bluebellplacement

import (
	"slices"
	"time"

	"bluebellhaven.org/bluebell/bluebellfleet"
)

// unknownColdFor is how long an endpoint that broke off counts as cold although
// it has not registered since: a heartbeat and its way here, twice.
const unknownColdFor = 3 * time.Second

// isCold tells whether an endpoint bears only a little.
func (p *Placer) isCold(now time.Duration, e bluebellfleet.Endpoint, b *belief) bool {
	if p.coldRate(e.Target) <= 0 {
		return false
	}
	if now < e.ColdUntil {
		return true
	}
	return b.brokeAt > 0 && e.ReceivedAt <= b.brokeAt && now-b.brokeAt < unknownColdFor
}

// coldRate is the calls a second that this entry may send to a cold endpoint, if
// it may send any.
func (p *Placer) coldRate(target string) float64 {
	rate := p.fleet.ColdRates[target]
	if rate <= 0 {
		return 0
	}
	return rate / float64(p.coldSenders(rate))
}

// coldSenders is the number of entries that send to one cold endpoint. Each may
// send one call at once, so in any second there are no more than this number and
// the rate: within what is allowed as long as the factor or the slack allow as
// many again.
func (p *Placer) coldSenders(rate float64) int {
	spare := rate*(p.cfg.ColdFactor-1) + p.cfg.ColdSlack
	return max(min(int(spare), len(p.fleet.Entries)), 1)
}

// maySendCold tells whether this entry is among those that send to a cold endpoint.
// While the entries are not known, none does.
func (p *Placer) maySendCold(e bluebellfleet.Endpoint) bool {
	if !slices.Contains(p.fleet.Entries, p.cfg.Self) {
		return false
	}
	senders := p.coldSenders(p.fleet.ColdRates[e.Target])
	own := rendezvous(e.ID, p.cfg.Self)
	ahead := 0
	for _, entry := range p.fleet.Entries {
		if rendezvous(e.ID, entry) > own {
			ahead++
		}
	}
	return ahead < senders
}

// takeCold takes one call of a cold endpoint's allowance.
func (b *belief) takeCold(now time.Duration, rate float64) bool {
	if b.coldAt > 0 && float64(now-b.coldAt)/float64(time.Second)*rate < 1 {
		return false
	}
	b.coldAt = now
	return true
}
