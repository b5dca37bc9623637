package bluebellrelay

import (
	"time"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellusage"
)

// The usage of a customer is the number of its calls that endpoints began to run, once for each run. A stream counts
// with its first event, or whole answer. Any other call counts when it is sent, if the endpoint ran it. The entry
// that sends a call to an endpoint counts it, so a call that was handed over is counted by the helper alone.

// UsageConfig sets up the counting of usage.
type UsageConfig struct {
	// Counter is nil if usage is not counted.
	Counter *bluebellusage.Counter
	// Now returns the time of day.
	Now func() time.Time
}

// countsUsage reports whether the current attempt is counted.
func (c *activeCall) countsUsage() bool {
	return c.relay.cfg.Usage.Counter != nil && c.request.Customer != nil && c.helper == ""
}

// isStreamCall reports whether the call counts with its first event.
func (c *activeCall) isStreamCall() bool { return c.request.Route.Work == bluebelldeployment.Stream }

// beginUsage records that the call is sent to an endpoint.
func (c *activeCall) beginUsage() {
	c.usageRun = nil
	if usage := &c.relay.cfg.Usage; c.countsUsage() && !c.isStreamCall() {
		c.usageRun = usage.Counter.Sent(usage.Now(), c.request.Customer.Name)
	}
}

// endUsage records whether the endpoint of the current attempt ran the call. It does nothing for streams.
func (c *activeCall) endUsage(ran bool) {
	if c.usageRun != nil {
		c.relay.cfg.Usage.Counter.End(c.usageRun, ran)
		c.usageRun = nil
	}
}

// countStream counts that a stream has begun.
func (c *activeCall) countStream() {
	if usage := &c.relay.cfg.Usage; c.countsUsage() && c.isStreamCall() {
		usage.Counter.Count(usage.Now(), c.request.Customer.Name)
	}
}
