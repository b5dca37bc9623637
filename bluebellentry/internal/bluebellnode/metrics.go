package bluebellnode

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"bluebellhaven.org/bluebell/bluebellmetrics"
	"bluebellhaven.org/bluebellentry/internal/bluebelldispatch"
)

// metrics holds the metrics of one process.
type metrics struct {
	*bluebellmetrics.Metrics
}

func newMetrics(logger *log.Logger) *metrics {
	return &metrics{bluebellmetrics.New(bluebellmetrics.Config{Prefix: "bluebell", Logger: logger})}
}

// countRefusal counts one call that this entry refused.
func (m *metrics) countRefusal(code bluebelldispatch.Code) {
	m.Scope.Tagged(map[string]string{"code": string(code)}).Counter("refused").Inc(1)
}

// setEndpointUse sets the gauges of an endpoint of which this VM owns slots.
func (m *metrics) setEndpointUse(endpoint string, running, waiting, slots int) {
	scope := m.Scope.Tagged(map[string]string{"endpoint": endpoint})
	scope.Gauge("running").Update(float64(running))
	scope.Gauge("waiting").Update(float64(waiting))
	scope.Gauge("slots").Update(float64(slots))
}

// dispatchMetrics returns the functions with which the dispatcher records metrics.
func (m *metrics) dispatchMetrics() bluebelldispatch.MetricFuncs {
	firstTokenBuckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	return bluebelldispatch.MetricFuncs{
		Retry: func(target string) {
			m.Scope.Tagged(map[string]string{"target": target}).Counter("retries").Inc(1)
		},
		FirstToken: func(target, version, domain string, d time.Duration) {
			m.Scope.Tagged(map[string]string{"target": target, "version": version, "failure_domain": domain}).
				Histogram("first_token", firstTokenBuckets).RecordDuration(d)
		},
		Blocks: func(target string, cached, total int) {
			scope := m.Scope.Tagged(map[string]string{"target": target})
			scope.Counter("blocks").Inc(int64(total))
			scope.Counter("blocks_recomputed").Inc(int64(total - cached))
		},
		Crash: func(endpoint string) {
			m.Scope.Tagged(map[string]string{"endpoint": endpoint}).Counter("endpoint_crashes").Inc(1)
		},
	}
}
