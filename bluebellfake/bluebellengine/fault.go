package bluebellengine

import "time"

// FaultKind is the name of a fault that can be injected.
type FaultKind string

// The kinds of faults, with the fields of Fault that each of them uses.
const (
	// Die crashes the endpoint: all connections are closed, the cache is lost, and new
	// connections are closed at once until Duration has passed.
	Die FaultKind = "Die"
	// TurnCold restarts the endpoint with an empty cache and a new incarnation, but
	// keeps its connections.
	TurnCold FaultKind = "TurnCold"
	// Silence makes the endpoint stop reading from and writing to its open connections
	// without closing them. New connections work.
	Silence FaultKind = "Silence"
	// Slow multiplies processing times by Factor, only for Version and Route if these
	// are set.
	Slow FaultKind = "Slow"
	// Fail answers with status 500, only for Version and Route if these are set.
	Fail FaultKind = "Fail"
	// Cross answers with a request ID that differs from the one in the request and
	// contains that of the previous request.
	Cross FaultKind = "Cross"
	// CrashOn crashes the endpoint for Duration, but at least 200 ms, when a prompt
	// contains Text.
	CrashOn FaultKind = "CrashOn"
	// Leave makes the endpoint report the state Leaving on /health.
	Leave FaultKind = "Leave"
	// IgnoreFencing accepts orders with outdated fencing numbers.
	IgnoreFencing FaultKind = "IgnoreFencing"
	// LoseAnswer runs a call of a plain service and closes the connection without an
	// answer.
	LoseAnswer FaultKind = "LoseAnswer"
	// Garbage runs a call of a plain service, answers with bytes that are not HTTP and
	// closes the connection.
	Garbage FaultKind = "Garbage"
	// Heal removes all faults that are in effect. Silenced connections stay silent.
	Heal FaultKind = "Heal"
)

// Fault is a fault to inject. The kind determines which of the other fields are used.
// Faults other than Die, TurnCold, Silence, CrashOn and Heal have an effect only while
// more than UnderLoad requests are running.
type Fault struct {
	Kind      FaultKind
	Version   string
	Route     string
	Text      string
	Factor    float64
	UnderLoad int
	Duration  time.Duration
}

// matches reports whether f has the given kind and applies to a request for the version
// and route while the given number of requests is running.
func (f Fault) matches(kind FaultKind, version, route string, running int) bool {
	return f.Kind == kind && (f.Version == "" || f.Version == version) &&
		(f.Route == "" || f.Route == route) && running > f.UnderLoad
}
