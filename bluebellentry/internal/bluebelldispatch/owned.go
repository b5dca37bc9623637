package bluebelldispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bluebellhaven.org/bluebell/bluebellmove"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellroute"
)

// This file runs calls on endpoints that this VM owns, and feeds what they show
// back into the decisions.

// runOwned waits for a slot and sends a call to an endpoint that this VM owns.
func (d *Dispatcher) runOwned(ctx context.Context, c *Call, decision *bluebellroute.Decision) (*Reply, *CallError) {
	// The other owners have as much waiting there, as far as is known here.
	ahead := d.cfg.Router.PendingBlocks(decision.Endpoint.Name) * len(decision.Endpoint.Owners)
	d.cfg.Router.AddPending(decision)
	var once sync.Once
	computed := func() { once.Do(func() { d.cfg.Router.RemovePending(decision) }) }
	slot, callErr := d.gates.acquire(ctx, decision.Endpoint.Name, c)
	if callErr != nil {
		computed()
		return nil, callErr
	}
	if d.cfg.Now() > c.StartBy {
		// The process was paused: what was decided then may no longer hold.
		computed()
		slot.release(true)
		return nil, notRun(503, CodeOverloaded, time.Second, "the call was held up for too long")
	}
	startedAt := d.cfg.Now()
	held := d.cfg.Router.RecentBlocks(startedAt, decision)
	reply, callErr := d.send(ctx, c, decision)
	computed()
	firstToken := d.cfg.Now() - startedAt
	if callErr != nil {
		d.outcome(c, decision, ended{failed: true, firstToken: firstToken, ahead: ahead})
		slot.gate.suspect(d.cfg.Now())
		slot.release(false)
		return nil, callErr
	}
	reply.finish = func(err error) {
		failed := err != nil
		d.outcome(c, decision, ended{failed, firstToken, reply.tokenTime(), reply.CachedBlocks, ahead, reply.Status != http.StatusOK})
		if failed || lostMemory(held, reply) {
			slot.gate.suspect(d.cfg.Now())
		}
		slot.release(!failed)
		if failed && asUpstream(err).BrokenOff {
			d.reportCrash(context.WithoutCancel(ctx), c, decision.Endpoint.Name)
		}
	}
	if !reply.Streamed {
		reply.end(nil)
	}
	return reply, nil
}

// coldSign is the number of blocks that an endpoint must have run a short time ago
// for their absence to show that it has lost its memory.
const coldSign = 3

// lostMemory tells whether an endpoint reused nothing of the blocks that it ran a
// short time ago.
func lostMemory(held int, reply *Reply) bool {
	return reply.Status == http.StatusOK && reply.usageSeen && held >= coldSign && reply.CachedBlocks == 0
}

// ended is what was measured of one call at an endpoint.
type ended struct {
	failed                bool
	firstToken, tokenTime time.Duration
	// cached blocks of its prompt, and blocks that waited ahead of it
	cached, ahead int
	// refused is set when the endpoint answered without running the prompt.
	refused bool
}

// outcome feeds what an endpoint showed back into the decisions.
func (d *Dispatcher) outcome(c *Call, decision *bluebellroute.Decision, e ended) {
	now := d.cfg.Now()
	switch {
	case e.failed:
		d.cfg.Router.EndpointFailed(now, decision.Endpoint.Name)
	case e.refused:
	default:
		d.cfg.Router.RecordAnswer(now, decision, e.cached, e.ahead, e.firstToken)
		d.cfg.Count.FirstToken(c.Target, decision.Version, decision.Endpoint.FailureDomain, e.firstToken)
		d.cfg.Count.Blocks(c.Target, e.cached, len(c.Blocks))
	}
	d.cfg.Ledger.Add(bluebellmove.Outcome{
		Target: c.Target, Version: decision.Version, Route: routeOf(c.Path), Failed: e.failed,
		FirstToken: e.firstToken, Blocks: len(c.Blocks) - e.cached + e.ahead, TokenTime: e.tokenTime,
		Baseline: !d.cfg.Router.Table().IsNewVersion(c.Target, decision.Version),
	})
}

// routeOf leaves the query out of a path.
func routeOf(path string) string {
	for i := range len(path) {
		if path[i] == '?' {
			return path[:i]
		}
	}
	return path
}

// reportCrash tells all VMs that an endpoint broke off while running a request.
// It waits for the agreement, so that the caller's next attempt meets it.
func (d *Dispatcher) reportCrash(ctx context.Context, c *Call, endpoint string) {
	d.cfg.Count.Crash(endpoint)
	if ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	_, err := d.cfg.Propose(ctx, &pb.Command{Body: &pb.Command_CrashReport{
		CrashReport: &pb.CrashReport{Digest: c.digest(), Endpoint: endpoint},
	}})
	d.cfg.Logger.Warn("endpoint broke off", "RequestID", c.RequestID, "Endpoint", endpoint, "Customer", c.Customer.Name, "ReportError", err)
}
