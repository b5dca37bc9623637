// Package bluebellmetrics collects the metrics of one process and serves them in the
// Prometheus text format.
//
// # Usage
//
//	metrics := bluebellmetrics.New(bluebellmetrics.Config{Prefix: "bluebell", Logger: logger})
//	metrics.Scope.Counter("refused").Inc(1)
//	http.Handle("/metrics", metrics.Handler())
package bluebellmetrics

import (
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally passes values to the Prometheus reporter.
const reportInterval = time.Second

// Config configures Metrics.
type Config struct {
	// Prefix is the prefix of all metric names.
	Prefix string
	Logger *log.Logger
}

// Metrics holds the metrics of one process.
type Metrics struct {
	Scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns Metrics with a root scope that has no metrics yet.
func New(cfg Config) *Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry,
		OnRegisterError: func(err error) { cfg.Logger.Error("failed to register metric", "Error", err) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: cfg.Prefix, CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{Scope: scope, closer: closer, reporter: reporter}
}

// Handler returns the handler of scrape requests.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close stops the collection.
func (m *Metrics) Close() error { return m.closer.Close() }
