package bluebellplace

import (
	"math"
	"time"
)

// Endpoints are compared by the expected time to the first event, with weights for what
// a choice costs other prompts.

// typical returns the mean of the times that endpoints have lately taken to answer.
func (g *group) typical() time.Duration {
	sum, n := time.Duration(0), 0
	for _, b := range g.beliefs {
		if b.mean > 0 {
			sum += b.mean
			n++
		}
	}
	return sum / time.Duration(max(n, 1))
}

// cost sets the expected time to the first event, and what there is to read.
func (p *Placer) cost(now time.Duration, g *group, c *candidate, r Request) {
	missing := 1.0
	switch seen := g.seen[r.Shared]; {
	case r.Shared != "" && seen.endpoint == c.endpoint.ID && now-seen.at < seenFor:
		missing = seenMissing
	case c.home:
		missing = homeMissing
	case c.second:
		missing = secondMissing
	}
	if r.Model == "" {
		// Plain services are compared by what runs there.
		c.cost = c.belief.typical() * time.Duration(1+c.belief.running)
	} else {
		c.missing = r.OwnTokens
		if r.Fetch > 0 {
			c.cost = time.Duration(missing * fetchWeight * float64(r.Fetch))
		} else {
			again := int(math.Round(missing * float64(r.SharedTokens)))
			c.missing += again
			if !c.home {
				c.cost += readTime((rereadWeight - 1) * again)
			}
		}
		others := p.fleet.Others[c.endpoint.ID]
		c.cost += readTime(c.missing+c.belief.reading+others.Unread) + time.Duration(c.belief.running+others.Calls)*stepCost
		if c.weights < p.fleet.newest(r.Model) {
			c.cost += outdatedCost
		}
	}
	if !c.home && r.Shared != "" {
		c.cost += awayCost
		if !c.second {
			c.cost += farCost
		}
	}
	if c.endpoint.FailureDomain != p.cfg.FailureDomain {
		c.cost += otherDomainCost
	}
}

func readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readRate * float64(time.Second))
}
