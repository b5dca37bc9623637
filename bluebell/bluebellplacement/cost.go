package bluebellplacement

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

const (
	// slowdownWeight of the latest answer in the running mean: an entry has some ten answers
	// a second.
	slowdownWeight = 0.05
	// mostSlowdown bounds what one answer adds, such as one of an endpoint that was frozen.
	mostSlowdown = 10.0
)

// noteSlowdown takes in how long a first event took that was expected after a while.
func (g *group) noteSlowdown(expected, took time.Duration) {
	if expected <= 0 {
		return
	}
	latest := min(float64(took)/float64(expected), mostSlowdown)
	if g.slowdown == 0 {
		g.slowdown = latest
	}
	g.slowdown += slowdownWeight * (latest - g.slowdown)
}

// slowed returns an expected time as it has lately turned out.
func (g *group) slowed(expected time.Duration) time.Duration {
	return time.Duration(max(g.slowdown, 1) * float64(expected))
}

// weigh sets what a choice of the candidate costs: the time until the first event, and
// what it costs other prompts.
func (p *Placer) weigh(now time.Duration, g *group, c *candidate, r Request) {
	if r.Model == "" {
		// Plain services are compared by what runs there.
		c.expected = c.belief.typical() * time.Duration(1+c.belief.running)
		c.cost = c.expected
	} else {
		p.weighPrompt(c, r, missingAt(now, g, c, r))
	}
	if !c.home && r.SharedBlock != "" {
		c.cost += awayCost
		if !c.second {
			c.cost += farCost
		}
	}
	if c.endpoint.FailureDomain != p.cfg.FailureDomain {
		c.cost += otherDomainCost
	}
}

// missingAt returns the part of the shared blocks that an endpoint is expected to lack.
func missingAt(now time.Duration, g *group, c *candidate, r Request) float64 {
	seen := g.seen[r.SharedBlock]
	switch {
	case r.SharedBlock != "" && seen.endpoint == c.endpoint.ID && now-seen.at < seenFor:
		return seenMissing
	case c.home:
		return homeMissing
	case c.second:
		return secondMissing
	}
	return 1
}

// weighPrompt does so for an engine, which lacks a part of the shared blocks.
func (p *Placer) weighPrompt(c *candidate, r Request, missing float64) {
	c.missing = r.OwnTokens
	others := p.fleet.UseByOthers[c.endpoint.ID]
	var fetch, again time.Duration
	if r.FetchTime > 0 {
		fetch = time.Duration(missing * float64(r.FetchTime))
	} else {
		tokens := int(math.Round(missing * float64(r.SharedTokens)))
		c.missing += tokens
		again = readTime(tokens)
	}
	c.expected = fetch + readTime(c.missing+c.belief.reading+others.PrefillTokens) + time.Duration(c.belief.running+others.Calls)*stepCost
	c.busy = c.belief.running+others.Calls > 0
	c.cost = c.expected + (fetchWeight-1)*fetch
	if !c.home {
		c.cost += (rereadWeight - 1) * again
	}
	if c.weights < p.fleet.newest(r.Model) {
		c.cost += outdatedCost
	}
}

func readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readRate * float64(time.Second))
}
