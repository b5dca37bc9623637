package bluebellgateway

import (
	"context"
	"math/rand/v2"
	"time"

	"bluebellhaven.org/bluebell/bluebellfeed"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellusage"
)

// flushTimeout bounds the last report of usage, which delays a planned stop.
const flushTimeout = 300 * time.Millisecond

// countUsage sets up the counting of usage by windows of the given length, and its reports to the sources. It does
// nothing if the length is 0.
func (g *Gateway) countUsage(window time.Duration, follower *bluebellfeed.FollowerConfig) {
	if window <= 0 {
		return
	}
	g.clock = bluebellusage.NewClock()
	g.usage = bluebellusage.NewCounter(bluebellusage.CounterConfig{Window: window, Incarnation: rand.Uint64()})
	ahead := g.metrics.Scope.Gauge("clock_ahead_seconds")
	follower.Usage = func(since bluebellusage.Cursor) (*pb.UsageReport, bluebellusage.Cursor) {
		ahead.Update(g.clock.OwnAhead().Seconds())
		return g.usage.Report(g.timeOfDay(), since)
	}
	follower.UsageWindowEnd = func() time.Duration { return g.usage.UntilEnd(g.timeOfDay()) }
	follower.OnTime = g.clock.Observe
}

// timeOfDay returns the time of day on which this entry and its sources agree. It is called only where usage is
// counted.
func (g *Gateway) timeOfDay() time.Time { return g.clock.Now(g.now(), time.Now()) }

// flushUsage reports what has been counted since the last report.
func (g *Gateway) flushUsage() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	g.follower.FlushUsage(ctx)
}
