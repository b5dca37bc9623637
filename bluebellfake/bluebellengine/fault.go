package bluebellengine

import "time"

// FaultKind names a fault that can be ordered.
type FaultKind string

// The faults. Fields of Fault that a kind uses stand behind it.
const (
	// Die cuts all connections and loses the memory. The endpoint answers nothing
	// until Duration is over.
	Die FaultKind = "Die"
	// TurnCold loses the memory without cutting anything.
	TurnCold FaultKind = "TurnCold"
	// Silence makes all open connections silent for good; new ones work.
	Silence FaultKind = "Silence"
	// Slow multiplies times by Factor, on one Version if it is set.
	Slow FaultKind = "Slow"
	// Fail answers with status 500, on one Version and Route if they are set, and
	// only with more than UnderLoad requests running.
	Fail FaultKind = "Fail"
	// Cross answers with the request ID of another request.
	Cross FaultKind = "Cross"
	// CrashOn breaks the endpoint down when a prompt holds Text.
	CrashOn FaultKind = "CrashOn"
	// Leave makes the endpoint say that it is leaving.
	Leave FaultKind = "Leave"
	// IgnoreFencing takes orders with old fencing numbers too.
	IgnoreFencing FaultKind = "IgnoreFencing"
	// LoseAnswer runs a service's call and cuts its connection.
	LoseAnswer FaultKind = "LoseAnswer"
	// Garbage runs a service's call and answers with something that is not HTTP.
	Garbage FaultKind = "Garbage"
	// Heal ends all faults.
	Heal FaultKind = "Heal"
)

// Fault is one order to fail.
type Fault struct {
	Kind      FaultKind
	Version   string
	Route     string
	Text      string
	Factor    float64
	UnderLoad int
	Duration  time.Duration
}

// matches tells whether a fault of a kind holds for a request.
func (f Fault) matches(kind FaultKind, version, route string, running int) bool {
	return f.Kind == kind && (f.Version == "" || f.Version == version) &&
		(f.Route == "" || f.Route == route) && running > f.UnderLoad
}
