// Package bluebellmetrics collects the measured values of one process and serves
// them as text.
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

// reportEvery is how often tally hands values to the scrape endpoint.
const reportEvery = time.Second

// Config sets up Metrics.
type Config struct {
	// Prefix of all names.
	Prefix string
	Logger *log.Logger
}

// Metrics are the values of one process.
type Metrics struct {
	Scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns metrics without values.
func New(cfg Config) *Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry,
		OnRegisterError: func(err error) { cfg.Logger.Error("metric not registered", "Error", err) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: cfg.Prefix, CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportEvery)
	return &Metrics{Scope: scope, closer: closer, reporter: reporter}
}

// Handler serves the values.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close ends the collection.
func (m *Metrics) Close() error { return m.closer.Close() }
