package bluebellplacement

import (
	"math"
	"time"
)

// Endpoints are compared by the expected time to the first event, with penalties for what
// a choice costs other prompts.

// meanFirstEvent returns the mean of the endpoints' average times to the first event.
func (t *targetState) meanFirstEvent() time.Duration {
	sum, n := time.Duration(0), 0
	for _, s := range t.states {
		if s.meanFirstEvent > 0 {
			sum += s.meanFirstEvent
			n++
		}
	}
	return sum / time.Duration(max(n, 1))
}

// setCost sets a candidate's expected time to the first event, and its cost: that time
// with penalties for what the choice costs other prompts.
func (p *Placer) setCost(now time.Duration, t *targetState, c *candidate, r Request, lastUse promptUse, newest uint64) {
	if r.Model == "" {
		// Endpoints of plain services are compared by their calls in flight.
		c.expected = c.state.responseTime() * time.Duration(1+c.state.running)
		c.cost = c.expected
		if t.reportsLoad {
			p.addReportedCalls(now, t, c)
		}
	} else {
		p.setPromptCost(t, c, r, missingShare(now, c, r, lastUse), newest)
		if t.reportsLoad {
			c.addReportedLoad(now)
		}
	}
	if !c.home && r.SharedBlock != "" {
		c.cost += evictionCost
		if !c.alternate {
			c.cost += nonHomeCost
		}
	}
	if !c.near {
		c.cost += crossDomainCost
	}
}

// missingShare returns the share of the prompt's shared blocks that an endpoint is
// expected not to have cached. lastUse is the last use of the blocks by this entry.
func missingShare(now time.Duration, c *candidate, r Request, lastUse promptUse) float64 {
	switch {
	case r.SharedBlock != "" && lastUse.endpoint == c.endpoint.ID && now-lastUse.at < recentUseWindow:
		return recentMissingShare
	case c.home:
		return homeMissingShare
	case c.alternate:
		return alternateMissingShare
	}
	return 1
}

// setPromptCost sets the expected time and the cost for an engine, an endpoint that runs a
// model. The engine has to fetch or recompute the given share of the shared blocks. newest is
// the newest named version of the weights.
func (p *Placer) setPromptCost(t *targetState, c *candidate, r Request, share float64, newest uint64) {
	c.prefillTokens = r.OwnTokens
	rate := t.engineRate(&c.state.speed)
	prefill := func(tokens int) time.Duration { return time.Duration(float64(tokens) / rate * float64(time.Second)) }
	var fetch, recompute time.Duration
	if r.FetchTime > 0 {
		fetch = time.Duration(share * float64(r.FetchTime))
	} else {
		tokens := int(math.Round(share * float64(r.SharedTokens)))
		c.prefillTokens += tokens
		recompute = prefill(tokens)
	}
	unread := max(c.state.prefillTokens+c.others.PrefillTokens, 0)
	c.unread, c.readsOthers = unread, unread > 0
	c.expected = fetch + prefill(c.prefillTokens+unread) + time.Duration(c.state.running+c.others.Calls)*runningCallCost
	c.busy = c.state.running+c.others.Calls > 0
	c.cost = c.expected + (fetchWeight-1)*fetch
	if !c.home {
		c.cost += (recomputeWeight - 1) * recompute
	}
	if c.weights < newest {
		c.cost += oldWeightsCost
	}
}
