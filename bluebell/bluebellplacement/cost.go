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

const (
	// slowdownWeight is the weight of the latest answer in the moving averages of the
	// slowdown: an entry receives about ten answers per second.
	slowdownWeight = 0.05
	// maxSlowdown bounds the effect of a single answer, such as one of an endpoint that
	// was frozen, and the factor.
	maxSlowdown = 10.0
	// slowdownHalfLife is the half-life of a slowdown without answers. An entry that counts
	// all engines as late sends no calls that could show that they no longer are.
	slowdownHalfLife = time.Second
	// minSpread is the least variance of the expected times, relative to the square of their
	// mean, from which delay and factor can be told apart.
	minSpread = 0.01
)

// slowdown relates the actual to the expected times to the first event: a delay that all calls
// have, such as that of the network, and a factor. Both are from the regression line through
// the recent calls, with exponentially decreasing weights. Without the delay, the many small
// prompts, whose time is mostly delay, would make large prompts look several times slower than
// they are.
type slowdown struct {
	calls int
	// Moving averages of the expected and actual times in seconds, of the square of the
	// expected ones, and of the product.
	expected, took, square, product float64
	recordedAt                      time.Duration
}

// record updates the moving averages with the times of a call.
func (s *slowdown) record(now, expected, took time.Duration) {
	if expected <= 0 {
		return
	}
	e := expected.Seconds()
	t := min(took.Seconds(), maxSlowdown*max(e, s.expected))
	s.calls++
	// After a pause a call weighs more: an entry that sends few calls would otherwise keep a
	// slowdown that has ended.
	weight := max(slowdownWeight, 1/float64(s.calls), 1-decay(now-s.recordedAt, slowdownHalfLife))
	s.recordedAt = now
	s.expected += weight * (e - s.expected)
	s.took += weight * (t - s.took)
	s.square += weight * (e*e - s.square)
	s.product += weight * (e*t - s.product)
}

// predict returns the time to the first event for an expected time, at least that.
func (s *slowdown) predict(now, expected time.Duration) time.Duration {
	if s.expected == 0 {
		return expected
	}
	factor, delay := s.took/s.expected, 0.0
	if variance := s.square - s.expected*s.expected; variance > minSpread*s.expected*s.expected {
		factor = min(max((s.product-s.expected*s.took)/variance, 0), maxSlowdown)
		delay = max(s.took-factor*s.expected, 0)
	}
	still := decay(now-s.recordedAt, slowdownHalfLife)
	took := delay*still + (1+(factor-1)*still)*expected.Seconds()
	return max(expected, time.Duration(took*float64(time.Second)))
}

// setCost sets a candidate's expected time to the first event, and its cost: that time
// with penalties for what the choice costs other prompts.
func (p *Placer) setCost(now time.Duration, t *targetState, c *candidate, r Request, lastUse promptUse, newest uint64) {
	if r.Model == "" {
		// Endpoints of plain services are compared by their calls in flight.
		c.expected = c.state.responseTime() * time.Duration(1+c.state.running)
		c.cost = c.expected
	} else {
		p.setPromptCost(t, c, r, missingShare(now, c, r, lastUse), newest)
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
	var fetch, recompute time.Duration
	if r.FetchTime > 0 {
		fetch = time.Duration(share * float64(r.FetchTime))
	} else {
		tokens := int(math.Round(share * float64(r.SharedTokens)))
		c.prefillTokens += tokens
		recompute = t.speed.prefillTime(tokens)
	}
	unread := max(c.state.prefillTokens+c.others.PrefillTokens, 0)
	c.readsOthers = unread > 0
	c.expected = fetch + t.speed.prefillTime(c.prefillTokens+unread) + time.Duration(c.state.running+c.others.Calls)*runningCallCost
	c.busy = c.state.running+c.others.Calls > 0
	c.cost = c.expected + (fetchWeight-1)*fetch
	if !c.home {
		c.cost += (recomputeWeight - 1) * recompute
	}
	if c.weights < newest {
		c.cost += oldWeightsCost
	}
}
