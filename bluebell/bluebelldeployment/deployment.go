// Package bluebelldeployment describes a discovered deployment: its routes, targets,
// cache stores, customers and limits, as its operators have declared them.
//
// # Usage
//
// A Plan is built once from a declaration, checked, and never altered:
//
//	plan, findings := bluebelldeployment.New(bluebelldeployment.Declaration{...})
//	if !findings.Empty() {
//		return findings
//	}
//	route := plan.Route(host, path)
//	customer := plan.CustomerOf(key)
//
// Endpoints are not part of a plan: they make themselves known, see
// bluebellfleet.
package bluebelldeployment

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Work is what a kind of call tolerates.
type Work int

// The kinds of work.
const (
	// NonIdempotent calls run once at most.
	NonIdempotent Work = iota
	// Idempotent calls may run again.
	Idempotent
	// Stream calls are answered by a stream of events.
	Stream
)

func (w Work) String() string {
	return [...]string{"NonIdempotent", "Idempotent", "Stream"}[w]
}

// Route leads the calls of one host and path prefix to targets.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Work   Work
	// Timeout bounds the time until a call is answered.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most: the whole one,
	// or the first event of a stream.
	Objective time.Duration
	// MaxEventGap is the longest pause between events of a stream that is on time.
	MaxEventGap time.Duration
	// Priority ranks calls, 0 first.
	Priority int
	Targets  []WeightedTarget
	// Attempts is the number of endpoints that may run one call.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// Repeatable tells whether a call may run again.
func (r *Route) Repeatable() bool {
	return r.Work == Idempotent || r.Work == Stream && r.Resumable
}

// WeightedTarget is a target with its share of a route's calls.
type WeightedTarget struct {
	Name   string
	Weight float64
}

// Target is a group of endpoints that do the same work.
type Target struct {
	Name string
	// HealthPath answers 200 while an endpoint is healthy.
	HealthPath string
	// MaxConnections that an endpoint accepts from all callers.
	MaxConnections int
	// ColdDuration is how long an endpoint is cold after its start.
	ColdDuration time.Duration
	// ColdRate is the number of calls a second that a cold endpoint bears.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the endpoints of a target that run models.
type Engine struct {
	// Slots is the number of calls that run at once.
	Slots int
	// Tokens is the room for running calls and cached blocks.
	Tokens int
	// TokenBytes is the size of one token's cache.
	TokenBytes float64
	Models     []string
}

// Store is a cache store beside the engines.
type Store struct {
	Name          string
	Address       string
	FailureDomain string
	// Tokens is the room for blocks.
	Tokens int
	// BytesPerSecond of its link, and the time before each transfer.
	BytesPerSecond float64
	SetupDelay     time.Duration
	// Managed stores drop nothing by themselves.
	Managed bool
}

// Customer is who is told apart by keys.
type Customer struct {
	Name string
	Keys []string
	// Priority goes before that of the route, if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated customers share no cache with others.
	Isolated bool
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Declaration is a plan that has not been checked.
type Declaration struct {
	Version   uint64
	Routes    []Route
	Targets   []Target
	Stores    []Store
	Customers []Customer
	Limits    Limits
}

// Findings are all that is wrong with a declaration.
type Findings []string

var _ error = Findings(nil)

// Empty tells whether nothing is wrong.
func (f Findings) Empty() bool { return len(f) == 0 }

// Error returns the findings in one line.
func (f Findings) Error() string { return strings.Join(f, "; ") }

// Deployment is a checked declaration. It must not be altered.
type Deployment struct {
	declaration Declaration
	byHost      map[string][]*Route
	targets     map[string]*Target
	byKey       map[[sha256.Size]byte]*Customer
}

// New checks a declaration and freezes it.
func New(d Declaration) (*Deployment, Findings) {
	p := &Deployment{
		declaration: d, byHost: map[string][]*Route{}, targets: map[string]*Target{},
		byKey: map[[sha256.Size]byte]*Customer{},
	}
	var findings Findings
	if d.Version == 0 {
		findings = append(findings, "the declaration has no version")
	}
	for i := range d.Targets {
		p.targets[d.Targets[i].Name] = &d.Targets[i]
	}
	findings = append(findings, p.addRoutes()...)
	findings = append(findings, p.addCustomers()...)
	if !findings.Empty() {
		return nil, findings
	}
	return p, nil
}

func (p *Deployment) addRoutes() Findings {
	var findings Findings
	for i := range p.declaration.Routes {
		r := &p.declaration.Routes[i]
		for _, text := range p.checkRoute(r) {
			findings = append(findings, fmt.Sprintf("route %q: %s", r.Name, text))
		}
		host := strings.ToLower(r.Host)
		for _, other := range p.byHost[host] {
			if other.Prefix == r.Prefix {
				findings = append(findings, fmt.Sprintf("routes %q and %q share host and prefix", other.Name, r.Name))
			}
		}
		p.byHost[host] = append(p.byHost[host], r)
	}
	for _, routes := range p.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return findings
}

func (p *Deployment) checkRoute(r *Route) []string {
	var texts []string
	if r.Timeout <= 0 {
		texts = append(texts, "no timeout")
	}
	total := 0.0
	for _, t := range r.Targets {
		if p.targets[t.Name] == nil {
			texts = append(texts, fmt.Sprintf("unknown target %q", t.Name))
		}
		if t.Weight < 0 {
			texts = append(texts, fmt.Sprintf("target %q has a negative weight", t.Name))
		}
		total += t.Weight
	}
	if total <= 0 {
		texts = append(texts, "the weights of its targets add up to nothing")
	}
	return texts
}

func (p *Deployment) addCustomers() Findings {
	var findings Findings
	for i := range p.declaration.Customers {
		c := &p.declaration.Customers[i]
		for _, key := range c.Keys {
			digest := sha256.Sum256([]byte(key))
			if other := p.byKey[digest]; other != nil && other != c {
				findings = append(findings, fmt.Sprintf("customers %q and %q share a key", other.Name, c.Name))
			}
			p.byKey[digest] = c
		}
	}
	return findings
}

// Version returns the version of the declaration; 0 for none.
func (p *Deployment) Version() uint64 {
	if p == nil {
		return 0
	}
	return p.declaration.Version
}

// Limits returns the limits on callers.
func (p *Deployment) Limits() Limits { return p.declaration.Limits }

// RequiresKeys tells whether calls of routes that are not public need a key.
func (p *Deployment) RequiresKeys() bool { return len(p.declaration.Customers) > 0 }

// Target returns a target, or nil.
func (p *Deployment) Target(name string) *Target { return p.targets[name] }

// Targets returns all targets.
func (p *Deployment) Targets() []Target { return p.declaration.Targets }

// Stores returns all cache stores.
func (p *Deployment) Stores() []Store {
	if p == nil {
		return nil
	}
	return p.declaration.Stores
}

// Route returns the route with the longest prefix that begins the path, or nil.
func (p *Deployment) Route(host, path string) *Route {
	for _, r := range p.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// CustomerByKey returns the customer that holds a key, or nil. Keys are found by
// their digest, so that the time of a look-up tells nothing of a key.
func (p *Deployment) CustomerByKey(key string) *Customer {
	return p.byKey[sha256.Sum256([]byte(key))]
}

// TargetFor returns the target of a call, drawn by the weights of its route from
// a number in [0, 1).
func (r *Route) TargetFor(draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	draw *= total
	for _, t := range r.Targets {
		if draw < t.Weight {
			return t.Name
		}
		draw -= t.Weight
	}
	for _, t := range slices.Backward(r.Targets) {
		if t.Weight > 0 {
			return t.Name
		}
	}
	return ""
}
