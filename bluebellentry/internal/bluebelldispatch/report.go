package bluebelldispatch

import (
	"context"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// reportKey identifies a crash report. The voters count reports with the same key once.
type reportKey struct{ digest, endpoint string }

// reportCrash reports to the voters that the endpoint closed the connection while it ran the
// call. It waits until they agree, for up to maxReportDelay or until ctx ends, so that the
// caller's next attempt is checked against the report. The report goes on to be proposed after
// that.
func (d *Dispatcher) reportCrash(ctx context.Context, c *Call, endpoint string) {
	d.cfg.Metrics.Crash(endpoint)
	if ctx.Err() != nil {
		// The caller left, and the connection to the endpoint was closed for that.
		return
	}
	logger := d.cfg.Logger.With("RequestID", c.RequestID, "Endpoint", endpoint, "Customer", c.Customer.Name)
	logger.Warn("endpoint closed the connection during a call")
	digest := c.digest()
	key := reportKey{string(digest), endpoint}
	var ended <-chan struct{}
	d.withLock(func() {
		if ended = d.reports[key]; ended != nil || len(d.reports) >= maxPendingReports {
			return
		}
		ended = d.goPropose(&pb.Command{Body: &pb.Command_CrashReport{
			CrashReport: &pb.CrashReport{Digest: digest, Endpoint: endpoint},
		}}, func(err error) {
			d.withLock(func() { delete(d.reports, key) })
			if err != nil {
				logger.Error("crash report given up: not agreed in time", "ReportError", err)
			}
		})
		d.reports[key] = ended
	})
	if ended == nil {
		logger.Error("crash report dropped: too many are not agreed yet", "Limit", maxPendingReports)
		return
	}
	select {
	case <-ended:
	case <-d.cfg.After(maxReportDelay):
		logger.Warn("crash report not agreed yet", "After", maxReportDelay)
	case <-ctx.Done():
	}
}
