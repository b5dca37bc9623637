package bluebellreview

import (
	"fmt"
	"strings"
	"time"

	"bluebellhaven.org/bluebell/bluebelldeployment"
)

const (
	// minTimeout is the shortest timeout in which an entry sends a call: it sends none with less
	// than 20 ms left, and reserves 10 ms for returning the answer.
	minTimeout = 30 * time.Millisecond
	// maxPriority is the highest priority of routes and of customers. Entries combine three
	// priorities of each into one.
	maxPriority = 2
	// minBlockTokens is the usual size of a block in tokens: a block is 4,000 bytes of a prompt, and a
	// token is about four bytes of text. Callers state the size of each block, so it may differ.
	minBlockTokens = 1000
)

// Severity tells whether the system accepts a declaration in spite of a finding.
type Severity int

// The severities.
const (
	// Error means that the system refuses the declaration.
	Error Severity = iota
	// Warning means that the system accepts the declaration, which is probably a mistake.
	Warning
)

func (s Severity) String() string { return [...]string{"error", "warning"}[s] }

// Finding is an error or probable mistake in one entry of a declaration.
type Finding struct {
	Severity Severity
	Entry    Entry
	Text     string
}

func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Entry, f.Text) }

// Review returns the errors in a declaration, followed by the warnings in the order of the entries.
// A declaration with an error is refused by bluebelldeployment.New.
func Review(d bluebelldeployment.Declaration) []Finding {
	r := &reviewer{declaration: &d, targets: map[string]*bluebelldeployment.Target{}}
	for i := range d.Targets {
		r.targets[d.Targets[i].Name] = &d.Targets[i]
	}
	_, errors := bluebelldeployment.New(d)
	for _, text := range errors {
		entry, text := r.locate(text)
		r.findings = append(r.findings, Finding{Error, entry, text})
	}
	r.reviewRoutes()
	r.reviewTargets()
	r.reviewStores()
	r.reviewCustomers()
	r.reviewLimits()
	return r.findings
}

type reviewer struct {
	declaration *bluebelldeployment.Declaration
	targets     map[string]*bluebelldeployment.Target
	findings    []Finding
}

// locate returns the entry that an error of bluebelldeployment.New begins with, and the rest of the
// error. An error that concerns two entries is attributed to the declaration.
func (r *reviewer) locate(text string) (Entry, string) {
	var entries []Entry
	for i := range r.declaration.Routes {
		entries = append(entries, Entry{Route, r.declaration.Routes[i].Name})
	}
	for i := range r.declaration.Targets {
		entries = append(entries, Entry{Target, r.declaration.Targets[i].Name})
	}
	for _, e := range entries {
		if rest, ok := strings.CutPrefix(text, e.String()+": "); ok {
			return e, rest
		}
	}
	return Entry{}, text
}

// warnIf adds a warning if the condition holds.
func (r *reviewer) warnIf(condition bool, entry Entry, format string, args ...any) {
	if condition {
		r.findings = append(r.findings, Finding{Warning, entry, fmt.Sprintf(format, args...)})
	}
}

// warnRepeated warns of a name that an earlier entry of the same kind has.
func (r *reviewer) warnRepeated(seen map[string]bool, entry Entry) {
	r.warnIf(seen[entry.Name], entry, "the name is used more than once")
	seen[entry.Name] = true
	r.warnIf(entry.Name == "", entry, "the name is empty")
}

func (r *reviewer) reviewRoutes() {
	seen := map[string]bool{}
	for i := range r.declaration.Routes {
		route := &r.declaration.Routes[i]
		e := Entry{Route, route.Name}
		r.warnRepeated(seen, e)
		r.reviewMatch(e, route)
		r.reviewTimes(e, route)
		r.reviewRouteTargets(e, route)
		r.warnIf(route.Attempts > 1 && !route.Repeatable(), e, "it allows %d attempts, but its calls may not be repeated", route.Attempts)
		r.warnIf(route.Resumable && route.Work != bluebelldeployment.Stream, e, "it may be resumed, but is no stream")
		r.warnIf(route.Priority < 0 || route.Priority > maxPriority, e, "the priority %d is not between 0 and %d", route.Priority, maxPriority)
	}
}

// reviewMatch warns of a host or prefix that no call, or more calls than intended, can match. A call
// uses the longest prefix, so a route is hidden only by one of the same host and prefix, which is an
// error.
func (r *reviewer) reviewMatch(e Entry, route *bluebelldeployment.Route) {
	switch {
	case route.Host == "":
		r.warnIf(true, e, "the host is empty, so it matches only calls that name no host")
	case strings.ContainsAny(route.Host, "/*? \t"):
		r.warnIf(true, e, "the host %q has characters that no host has, so no call matches", route.Host)
	case strings.Count(route.Host, ":") == 1, strings.Contains(route.Host, "]:"):
		r.warnIf(true, e, "the host %q has a port, so no call matches: calls are matched without their port", route.Host)
	}
	switch {
	case route.Prefix == "":
		r.warnIf(true, e, "the prefix is empty, so it matches every path of the host")
	case !strings.HasPrefix(route.Prefix, "/"):
		r.warnIf(true, e, "the prefix %q does not begin with a slash, so no call matches", route.Prefix)
	case strings.ContainsAny(route.Prefix, "?# \t"):
		r.warnIf(true, e, "the prefix %q has characters that no path has, so no call matches", route.Prefix)
	case !strings.HasSuffix(route.Prefix, "/"):
		r.warnIf(true, e, "the prefix %q does not end with a slash, so it also matches %q", route.Prefix, route.Prefix+"x")
	}
}

func (r *reviewer) reviewTimes(e Entry, route *bluebelldeployment.Route) {
	timeout := route.Timeout
	r.warnIf(timeout > 0 && timeout < minTimeout, e, "the timeout %v is shorter than %v, so no attempt fits", timeout, minTimeout)
	r.warnIf(timeout > 0 && route.Objective > timeout, e, "the objective %v is longer than the timeout %v", route.Objective, timeout)
	r.warnIf(route.Objective < 0, e, "the objective %v is negative", route.Objective)
	if route.Work != bluebelldeployment.Stream {
		return // the gap has no effect, and operators may declare the same one for all routes
	}
	r.warnIf(timeout > 0 && route.MaxEventGap > timeout, e, "the longest event gap %v is longer than the timeout %v", route.MaxEventGap, timeout)
	r.warnIf(route.MaxEventGap < 0, e, "the longest event gap %v is negative", route.MaxEventGap)
}

func (r *reviewer) reviewRouteTargets(e Entry, route *bluebelldeployment.Route) {
	total := 0.0
	for _, t := range route.Targets {
		total += t.Weight
	}
	seen := map[string]bool{}
	for _, t := range route.Targets {
		r.warnIf(seen[t.Name], e, "target %q is listed more than once", t.Name)
		seen[t.Name] = true
		r.warnIf(t.Weight == 0 && total > 0, e, "target %q has weight 0 and gets no calls", t.Name)
		target := r.targets[t.Name]
		r.warnIf(target != nil && target.Engine == nil && t.Weight > 0 && route.Work == bluebelldeployment.Stream, e,
			"it streams to target %q, which has no engine", t.Name)
	}
}

func (r *reviewer) reviewTargets() {
	used := map[string]bool{}
	for i := range r.declaration.Routes {
		for _, t := range r.declaration.Routes[i].Targets {
			used[t.Name] = true
		}
	}
	seen := map[string]bool{}
	for i := range r.declaration.Targets {
		t := &r.declaration.Targets[i]
		e := Entry{Target, t.Name}
		r.warnRepeated(seen, e)
		r.warnIf(!used[t.Name], e, "no route uses it")
		r.warnIf(t.HealthPath != "" && !strings.HasPrefix(t.HealthPath, "/"), e, "the health path %q does not begin with a slash", t.HealthPath)
		r.warnIf(t.MaxConnections < 0, e, "the number of connections %d is negative", t.MaxConnections)
		r.warnIf(t.ColdDuration < 0, e, "the cold duration %v is negative", t.ColdDuration)
		r.warnIf(t.ColdRate < 0, e, "the cold rate %v is negative", t.ColdRate)
		r.warnIf(t.ColdDuration > 0 && t.ColdRate == 0, e, "it is cold for %v, but without a cold rate cold endpoints are not limited", t.ColdDuration)
		if t.Engine != nil {
			r.reviewEngine(e, t)
		}
	}
}

func (r *reviewer) reviewEngine(e Entry, t *bluebelldeployment.Target) {
	engine := t.Engine
	r.warnIf(len(engine.Models) == 0, e, "the engine has no models")
	r.warnIf(engine.Slots <= 0, e, "the engine has no slots")
	r.warnIf(t.MaxConnections > 0 && engine.Slots > t.MaxConnections, e, "the engine has %d slots, but an endpoint accepts only %d connections",
		engine.Slots, t.MaxConnections)
	r.warnIf(engine.Tokens < minBlockTokens, e, "the engine's memory of %d tokens is smaller than one block of about %d", engine.Tokens, minBlockTokens)
	r.warnIf(engine.TokenBytes <= 0 && len(r.declaration.Stores) > 0, e, "the engine has no cache size for a token, but there are cache stores")
}

func (r *reviewer) reviewStores() {
	engines := false
	for i := range r.declaration.Targets {
		engines = engines || r.declaration.Targets[i].Engine != nil
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i := range r.declaration.Stores {
		s := &r.declaration.Stores[i]
		e := Entry{Store, s.Name}
		r.warnRepeated(names, e)
		r.warnIf(r.targets[s.Name] != nil, e, "a target has the same name")
		r.warnIf(addresses[s.Address], e, "another store has the address %q", s.Address)
		addresses[s.Address] = true
		r.warnIf(s.Tokens <= 0, e, "it has no capacity")
		r.warnIf(s.Tokens > 0 && s.Tokens < minBlockTokens, e, "its capacity of %d tokens is smaller than one block of about %d", s.Tokens, minBlockTokens)
		r.warnIf(s.BytesPerSecond <= 0, e, "its link has no bandwidth")
		r.warnIf(s.SetupDelay < 0, e, "the delay before transfers %v is negative", s.SetupDelay)
		r.warnIf(s.FailureDomain == "", e, "it has no failure domain")
		r.warnIf(!engines, e, "no target has an engine that could use it")
	}
}

func (r *reviewer) reviewCustomers() {
	seen := map[string]bool{}
	for i := range r.declaration.Customers {
		c := &r.declaration.Customers[i]
		e := Entry{Customer, c.Name}
		r.warnRepeated(seen, e)
		r.warnIf(len(c.Keys) == 0, e, "it has no keys, so no call can be its own")
		empty, repeated, padded := countKeys(c.Keys)
		r.warnIf(empty > 0, e, "a key is empty, so calls without a key count as its own")
		r.warnIf(repeated > 0, e, "a key is listed more than once")
		r.warnIf(padded > 0, e, "a key begins or ends with white space, which callers cannot send")
		r.warnIf(c.HasPriority && (c.Priority < 0 || c.Priority > maxPriority), e, "the priority %d is not between 0 and %d", c.Priority, maxPriority)
	}
}

// countKeys returns the numbers of keys that are empty, that repeat another one, and that have white
// space at an end.
func countKeys(keys []string) (empty, repeated, padded int) {
	seen := map[string]bool{}
	for _, key := range keys {
		switch {
		case key == "":
			empty++
		case seen[key]:
			repeated++
		case strings.TrimSpace(key) != key:
			padded++
		}
		seen[key] = true
	}
	return empty, repeated, padded
}

// reviewLimits warns of limits that contradict each other. A limit of 0 stands for the default.
func (r *reviewer) reviewLimits() {
	l := r.declaration.Limits
	e := Entry{Kind: Limits}
	r.warnIf(l.MaxHeaderBytes < 0, e, "the header limit of %d bytes is negative", l.MaxHeaderBytes)
	r.warnIf(l.MaxBodyBytes < 0, e, "the body limit of %d bytes is negative, so the default applies", l.MaxBodyBytes)
	r.warnIf(l.HeaderTimeout < 0, e, "the header timeout %v is negative", l.HeaderTimeout)
	r.warnIf(l.IdleTimeout < 0, e, "the idle timeout %v is negative", l.IdleTimeout)
	r.warnIf(l.MaxBodyBytes > 0 && int64(l.MaxHeaderBytes) > l.MaxBodyBytes, e, "the header limit of %d bytes is above the body limit of %d bytes",
		l.MaxHeaderBytes, l.MaxBodyBytes)
	r.warnIf(l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout, e, "the idle timeout %v is shorter than the header timeout %v", l.IdleTimeout, l.HeaderTimeout)
}
