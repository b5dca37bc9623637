package bluebellnode

import (
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"bluebellhaven.org/bluebellentry/internal/bluebelldispatch"
)

// reportEvery is how often tally hands values to the scrape endpoint.
const reportEvery = time.Second

// metrics are the measured values of one process.
type metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

func newMetrics(logger *log.Logger) *metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry,
		OnRegisterError: func(err error) { logger.Error("metric not registered", "Error", err) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "bluebell", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportEvery)
	return &metrics{scope: scope, closer: closer, reporter: reporter}
}

func (m *metrics) handler() http.Handler { return m.reporter.HTTPHandler() }

func (m *metrics) refused(code bluebelldispatch.Code) {
	m.scope.Tagged(map[string]string{"code": string(code)}).Counter("refused").Inc(1)
}

// use shows how an owned endpoint is used.
func (m *metrics) use(endpoint string, running, waiting, slots int) {
	scope := m.scope.Tagged(map[string]string{"endpoint": endpoint})
	scope.Gauge("running").Update(float64(running))
	scope.Gauge("waiting").Update(float64(waiting))
	scope.Gauge("slots").Update(float64(slots))
}

func (m *metrics) counters() bluebelldispatch.Counters {
	firstTokenBuckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	return bluebelldispatch.Counters{
		Retry: func(target string) {
			m.scope.Tagged(map[string]string{"target": target}).Counter("retries").Inc(1)
		},
		FirstToken: func(target, version, domain string, d time.Duration) {
			m.scope.Tagged(map[string]string{"target": target, "version": version, "failure_domain": domain}).
				Histogram("first_token", firstTokenBuckets).RecordDuration(d)
		},
		Blocks: func(target string, cached, total int) {
			scope := m.scope.Tagged(map[string]string{"target": target})
			scope.Counter("blocks").Inc(int64(total))
			scope.Counter("blocks_recomputed").Inc(int64(total - cached))
		},
		Crash: func(endpoint string) {
			m.scope.Tagged(map[string]string{"endpoint": endpoint}).Counter("endpoint_crashes").Inc(1)
		},
	}
}
