package bluebelldispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bluebellhaven.org/bluebell/bluebellmove"
	"bluebellhaven.org/bluebell/bluebellroute"
)

// This file runs calls on endpoints that this VM owns and passes the measurements to the
// router and to the counter of outcomes.

// runOwned waits for a slot of an endpoint that this VM owns and sends the call.
func (d *Dispatcher) runOwned(ctx context.Context, c *Call, decision *bluebellroute.Decision) (*Reply, *CallError) {
	// This VM doesn't know how many blocks of the other owners wait at the endpoint. It
	// assumes as many for each of them as it has itself.
	ahead := d.cfg.Router.PendingBlocks(decision.Endpoint.Name) * len(decision.Endpoint.Owners)
	d.cfg.Router.AddPending(decision)
	var once sync.Once
	removePending := func() { once.Do(func() { d.cfg.Router.RemovePending(decision) }) }
	slot, callErr := d.gates.acquire(ctx, decision.Endpoint.Name, c)
	if callErr != nil {
		removePending()
		return nil, callErr
	}
	if d.cfg.Now() > c.StartBy {
		// The process was paused, so the routing decision may be out of date.
		removePending()
		slot.release(true)
		return nil, notRunError(503, CodeOverloaded, time.Second, "the call was held up for too long")
	}
	startedAt := d.cfg.Now()
	recentBlocks := d.cfg.Router.RecentBlocks(startedAt, decision)
	reply, callErr := d.send(ctx, c, decision)
	removePending()
	firstToken := d.cfg.Now() - startedAt
	if callErr != nil {
		d.recordOutcome(c, decision, attemptResult{failed: true, firstToken: firstToken, ahead: ahead})
		slot.gate.markCold(d.cfg.Now())
		slot.release(false)
		return nil, callErr
	}
	reply.finish = func(err error) {
		failed := err != nil
		d.recordOutcome(c, decision, attemptResult{failed, firstToken, reply.tokenTime(), reply.CachedBlocks, ahead, reply.Status != http.StatusOK})
		if failed || lostCache(recentBlocks, reply) {
			slot.gate.markCold(d.cfg.Now())
		}
		slot.release(!failed)
		if failed && toUpstreamError(err).BrokenOff {
			d.reportCrash(context.WithoutCancel(ctx), c, decision.Endpoint.Name)
		}
	}
	if !reply.Streamed {
		reply.end(nil)
	}
	return reply, nil
}

// minBlocksForCacheLoss is the number of a prompt's blocks that an endpoint must have run a
// short time ago for their absence from its cache to show that the cache was lost.
const minBlocksForCacheLoss = 3

// lostCache reports whether an endpoint reused none of a prompt's blocks although it ran at
// least minBlocksForCacheLoss of them a short time ago.
func lostCache(recentBlocks int, reply *Reply) bool {
	return reply.Status == http.StatusOK && reply.usageSeen && recentBlocks >= minBlocksForCacheLoss && reply.CachedBlocks == 0
}

// attemptResult holds the measurements of one call at an endpoint.
type attemptResult struct {
	failed                bool
	firstToken, tokenTime time.Duration
	// cached is the number of the prompt's blocks that the endpoint had cached, and ahead
	// the number of blocks that waited at the endpoint before the call.
	cached, ahead int
	// refused is set if the endpoint answered without running the prompt.
	refused bool
}

// recordOutcome passes the result of a call at an endpoint to the router, the metrics and
// the counter of outcomes.
func (d *Dispatcher) recordOutcome(c *Call, decision *bluebellroute.Decision, r attemptResult) {
	now := d.cfg.Now()
	switch {
	case r.failed:
		d.cfg.Router.EndpointFailed(now, decision.Endpoint.Name)
	case r.refused:
	default:
		d.cfg.Router.RecordAnswer(now, decision, r.cached, r.ahead, r.firstToken)
		d.cfg.Metrics.FirstToken(c.Target, decision.Version, decision.Endpoint.FailureDomain, r.firstToken)
		d.cfg.Metrics.Blocks(c.Target, r.cached, len(c.Blocks))
	}
	d.cfg.Outcomes.Add(bluebellmove.Outcome{
		Target: c.Target, Version: decision.Version, Route: pathWithoutQuery(c.Path), Failed: r.failed,
		FirstToken: r.firstToken, Blocks: len(c.Blocks) - r.cached + r.ahead, TokenTime: r.tokenTime,
		Baseline: !d.cfg.Router.Table().IsNewVersion(c.Target, decision.Version),
	})
}

// pathWithoutQuery returns a path without its query.
func pathWithoutQuery(path string) string {
	for i := range len(path) {
		if path[i] == '?' {
			return path[:i]
		}
	}
	return path
}
