// Package bluebelldeployment describes a deployment as its operators have declared it:
// its routes, targets, cache stores, customers and limits.
//
// # Usage
//
// A Deployment is an immutable, validated Declaration:
//
//	deployment, findings := bluebelldeployment.New(bluebelldeployment.Declaration{...})
//	if !findings.Empty() {
//		return findings
//	}
//	route := deployment.Route(host, path)
//	customer := deployment.CustomerByKey(key)
//
// The endpoints, which are the processes or machines that run the calls of a target,
// are not part of a Deployment. They register themselves, see bluebellfleet.
package bluebelldeployment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Work is a kind of call. It determines whether a call may run more than once.
type Work int

// The kinds of work.
const (
	// NonIdempotent calls run at most once.
	NonIdempotent Work = iota
	// Idempotent calls may run more than once.
	Idempotent
	// Stream calls are answered with a stream of events.
	Stream
)

func (w Work) String() string {
	return [...]string{"NonIdempotent", "Idempotent", "Stream"}[w]
}

// Route assigns the calls to one host and path prefix to targets.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Work   Work
	// Timeout is the longest time until a call is answered.
	Timeout time.Duration
	// Objective is the time within which an answer has its full value. It applies to the
	// whole answer, or to the first event of a stream.
	Objective time.Duration
	// MaxEventGap is the longest pause between two events of a stream that counts as on
	// time.
	MaxEventGap time.Duration
	// Priority orders calls; 0 is the most urgent.
	Priority int
	Targets  []WeightedTarget
	// Attempts is the maximum number of endpoints that may run one call.
	Attempts int
	// Public means that calls need no customer key.
	Public bool
	// Resumable means that another endpoint may continue a stream.
	Resumable bool
}

// Repeatable reports whether a call of the route may run more than once, which is so for
// idempotent calls and resumable streams.
func (r *Route) Repeatable() bool {
	return r.Work == Idempotent || r.Work == Stream && r.Resumable
}

// WeightedTarget names a target and its relative share of a route's calls.
type WeightedTarget struct {
	Name   string
	Weight float64
}

// Target is a group of endpoints that run the same calls.
type Target struct {
	Name string
	// HealthPath is the path that answers with status 200 while an endpoint is healthy.
	HealthPath string
	// MaxConnections is the number of connections that an endpoint accepts from all callers
	// together.
	MaxConnections int
	// ColdDuration is the time after its start during which an endpoint is cold, that is, not
	// yet at full speed.
	ColdDuration time.Duration
	// ColdRate is the number of calls per second that a cold endpoint can handle.
	ColdRate float64
	// Engine is nil for a target that does not run models.
	Engine *Engine
	// Scale is nil for a target whose number of endpoints is not changed by the system.
	Scale *Scale
}

// Scale bounds the number of endpoints of a target in each failure domain.
type Scale struct {
	Min, Max int
	// StartDuration is the time from the order of an endpoint until it serves. It is cold then.
	StartDuration time.Duration
}

// maxScale bounds Scale.Max, far above the endpoints that a deployment has.
const maxScale = 1 << 16

// findings returns the errors in the bounds of a target.
func (s *Scale) findings() []string {
	var texts []string
	if s.Min < 0 || s.Max < 1 || s.Max < s.Min || s.Max > maxScale {
		texts = append(texts, fmt.Sprintf("cannot run between %d and %d endpoints in a failure domain", s.Min, s.Max))
	}
	if s.StartDuration < 0 {
		texts = append(texts, "a negative start duration")
	}
	return texts
}

// Engine describes the endpoints of a target that runs models.
type Engine struct {
	// Slots is the number of calls that run concurrently on an endpoint.
	Slots int
	// Tokens is the memory for running calls and cached blocks, in tokens.
	Tokens int
	// TokenBytes is the cache size of one token in bytes.
	TokenBytes float64
	Models     []string
}

// Store is a cache store: a server from which endpoints fetch blocks, which are cached
// pieces of prompts, and to which they write them.
type Store struct {
	Name          string
	Address       string
	FailureDomain string
	// Tokens is the capacity for blocks, in tokens.
	Tokens int
	// BytesPerSecond is the bandwidth of the store's link, and SetupDelay is the time that
	// passes before each transfer.
	BytesPerSecond float64
	SetupDelay     time.Duration
	// Managed means that the store evicts no blocks by itself.
	Managed bool
}

// Customer is a caller, identified by one of its keys.
type Customer struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated means that the customer shares no cached blocks with other customers.
	Isolated bool
}

// Limits are the limits on the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Declaration is the description of a deployment before validation.
type Declaration struct {
	Version   uint64
	Routes    []Route
	Targets   []Target
	Stores    []Store
	Customers []Customer
	// KeysRequired means that calls on routes that are not public need a key. They do also if any customer is
	// declared; without one, all of them are refused then.
	KeysRequired bool
	Limits       Limits
}

// Findings are the errors found in a declaration.
type Findings []string

var _ error = Findings(nil)

// Empty reports whether there are no findings.
func (f Findings) Empty() bool { return len(f) == 0 }

// Error returns the findings joined by semicolons.
func (f Findings) Error() string { return strings.Join(f, "; ") }

// Deployment is a validated declaration. It must not be modified.
type Deployment struct {
	declaration Declaration
	byHost      map[string][]*Route
	targets     map[string]*Target
	byKey       map[[sha256.Size]byte]*Customer

	shortestObjective time.Duration
	sharingGroup      string
}

// New validates a declaration. It returns either a Deployment or all findings. The caller
// must not modify the declaration afterwards.
func New(d Declaration) (*Deployment, Findings) {
	deployment := &Deployment{
		declaration: d, byHost: map[string][]*Route{}, targets: map[string]*Target{},
		byKey: map[[sha256.Size]byte]*Customer{},
	}
	var findings Findings
	if d.Version == 0 {
		findings = append(findings, "the declaration has no version")
	}
	for i := range d.Targets {
		t := &d.Targets[i]
		deployment.targets[t.Name] = t
		if t.Scale == nil {
			continue
		}
		for _, text := range t.Scale.findings() {
			findings = append(findings, fmt.Sprintf("target %q: %s", t.Name, text))
		}
	}
	findings = append(findings, deployment.addRoutes()...)
	findings = append(findings, deployment.addCustomers()...)
	if !findings.Empty() {
		return nil, findings
	}
	deployment.sharingGroup = sharingGroup(d.Customers)
	return deployment, nil
}

// addRoutes validates the routes and indexes them by host, with longer prefixes first.
func (d *Deployment) addRoutes() Findings {
	var findings Findings
	for i := range d.declaration.Routes {
		r := &d.declaration.Routes[i]
		if r.Work == Stream && r.Objective > 0 && (d.shortestObjective == 0 || r.Objective < d.shortestObjective) {
			d.shortestObjective = r.Objective
		}
		for _, text := range d.routeFindings(r) {
			findings = append(findings, fmt.Sprintf("route %q: %s", r.Name, text))
		}
		host := strings.ToLower(r.Host)
		for _, other := range d.byHost[host] {
			if other.Prefix == r.Prefix {
				findings = append(findings, fmt.Sprintf("routes %q and %q share host and prefix", other.Name, r.Name))
			}
		}
		d.byHost[host] = append(d.byHost[host], r)
	}
	for _, routes := range d.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return findings
}

// routeFindings returns the errors in one route.
func (d *Deployment) routeFindings(r *Route) []string {
	var texts []string
	if r.Timeout <= 0 {
		texts = append(texts, "no timeout")
	}
	total := 0.0
	for _, t := range r.Targets {
		if d.targets[t.Name] == nil {
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

// addCustomers validates the customers and indexes them by the digests of their keys.
func (d *Deployment) addCustomers() Findings {
	var findings Findings
	for i := range d.declaration.Customers {
		c := &d.declaration.Customers[i]
		for _, key := range c.Keys {
			digest := sha256.Sum256([]byte(key))
			if other := d.byKey[digest]; other != nil && other != c {
				findings = append(findings, fmt.Sprintf("customers %q and %q share a key", other.Name, c.Name))
			}
			d.byKey[digest] = c
		}
	}
	return findings
}

// sharingGroup returns a digest of the isolated customers, "" if there are none.
func sharingGroup(customers []Customer) string {
	var isolated []string
	for _, c := range customers {
		if c.Isolated {
			isolated = append(isolated, strconv.Quote(c.Name))
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	sum := sha256.Sum256([]byte(strings.Join(isolated, ",")))
	return hex.EncodeToString(sum[:8])
}

// SharingGroup identifies the customers that may share cached blocks: all that are not isolated. It changes
// when a customer becomes isolated or no longer is, since the blocks that it made before are found by
// their group. It is "" if no customer is isolated.
func (d *Deployment) SharingGroup() string {
	if d == nil {
		return ""
	}
	return d.sharingGroup
}

// Isolates reports whether a customer is declared as isolated.
func (d *Deployment) Isolates(customer string) bool {
	return d != nil && slices.ContainsFunc(d.declaration.Customers, func(c Customer) bool { return c.Isolated && c.Name == customer })
}

// Version returns the version of the declaration, or 0 if d is nil.
func (d *Deployment) Version() uint64 {
	if d == nil {
		return 0
	}
	return d.declaration.Version
}

// Limits returns the limits on the requests and connections of callers.
func (d *Deployment) Limits() Limits { return d.declaration.Limits }

// RequiresKeys reports whether calls on routes that are not public need a key.
func (d *Deployment) RequiresKeys() bool {
	return d.declaration.KeysRequired || len(d.declaration.Customers) > 0
}

// Target returns the target of the given name, or nil if there is none or d is nil.
func (d *Deployment) Target(name string) *Target {
	if d == nil {
		return nil
	}
	return d.targets[name]
}

// Targets returns all targets, or nil if d is nil.
func (d *Deployment) Targets() []Target {
	if d == nil {
		return nil
	}
	return d.declaration.Targets
}

// TargetNames returns the names of all targets, or nil if d is nil.
func (d *Deployment) TargetNames() []string {
	var names []string
	for _, t := range d.Targets() {
		names = append(names, t.Name)
	}
	return names
}

// Stores returns all cache stores, or nil if d is nil.
func (d *Deployment) Stores() []Store {
	if d == nil {
		return nil
	}
	return d.declaration.Stores
}

// ShortestObjective returns the shortest objective of all streams, or 0 if there is none or d
// is nil.
func (d *Deployment) ShortestObjective() time.Duration {
	if d == nil {
		return 0
	}
	return d.shortestObjective
}

// Route returns the host's route with the longest prefix of the path, or nil.
func (d *Deployment) Route(host, path string) *Route {
	for _, r := range d.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// CustomerByKey returns the customer that a key belongs to, or nil. The lookup uses a
// digest of the key, so that its duration reveals nothing about valid keys.
func (d *Deployment) CustomerByKey(key string) *Customer {
	return d.byKey[sha256.Sum256([]byte(key))]
}

// TargetFor returns the name of the target for a call, chosen in proportion to the
// weights. The argument draw is a uniformly distributed number in [0, 1).
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
