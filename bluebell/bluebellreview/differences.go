package bluebellreview

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bluebellhaven.org/bluebell/bluebelldeployment"
)

// Change is the way in which an entry differs.
type Change int

// The changes.
const (
	Added Change = iota
	Removed
	Changed
)

func (c Change) String() string { return [...]string{"added", "removed", "changed"}[c] }

// Difference is a difference in one entry of two declarations.
type Difference struct {
	Entry  Entry
	Change Change
	// Text describes the difference and, where it is not obvious, its effect. It may be empty if
	// an entry was added or removed.
	Text string
}

func (d Difference) String() string {
	if d.Text == "" {
		return fmt.Sprintf("%s %s", d.Entry, d.Change)
	}
	return fmt.Sprintf("%s %s: %s", d.Entry, d.Change, d.Text)
}

// Differences returns what changes if next replaces inForce, in the order of the kinds of entries and
// then of their names. An entry that changes in several ways has a Difference for each. The order of
// entries within a declaration does not matter.
func Differences(inForce, next bluebelldeployment.Declaration) []Difference {
	c := &comparison{inForce: &inForce, next: &next}
	c.compareWhole()
	for _, p := range pairByName(inForce.Routes, next.Routes, func(r *bluebelldeployment.Route) string { return r.Name }) {
		c.entry = Entry{Route, p.name}
		c.compareRoute(p.inForce, p.next)
	}
	for _, p := range pairByName(inForce.Targets, next.Targets, func(t *bluebelldeployment.Target) string { return t.Name }) {
		c.entry = Entry{Target, p.name}
		c.compareTarget(p.inForce, p.next)
	}
	for _, p := range pairByName(inForce.Stores, next.Stores, func(s *bluebelldeployment.Store) string { return s.Name }) {
		c.entry = Entry{Store, p.name}
		c.compareStore(p.inForce, p.next)
	}
	for _, p := range pairByName(inForce.Customers, next.Customers, func(c *bluebelldeployment.Customer) string { return c.Name }) {
		c.entry = Entry{Customer, p.name}
		c.compareCustomer(p.inForce, p.next)
	}
	c.entry = Entry{Kind: Limits}
	c.compareLimits(inForce.Limits, next.Limits)
	return c.differences
}

// pair is an entry in two declarations. It is nil where the declaration does not have it.
type pair[T any] struct {
	name          string
	inForce, next *T
}

// pairByName pairs the entries of the same name, in the order of names. Entries that share a name are
// paired in their order.
func pairByName[T any](inForce, next []T, nameOf func(*T) string) []pair[T] {
	type key struct {
		name  string
		index int
	}
	byKey := map[key]*pair[T]{}
	add := func(entries []T, set func(*pair[T], *T)) {
		count := map[string]int{}
		for i := range entries {
			name := nameOf(&entries[i])
			k := key{name, count[name]}
			count[name]++
			if byKey[k] == nil {
				byKey[k] = &pair[T]{name: name}
			}
			set(byKey[k], &entries[i])
		}
	}
	add(inForce, func(p *pair[T], entry *T) { p.inForce = entry })
	add(next, func(p *pair[T], entry *T) { p.next = entry })
	keys := slices.SortedFunc(maps.Keys(byKey), func(a, b key) int {
		return cmp.Or(strings.Compare(a.name, b.name), a.index-b.index)
	})
	pairs := make([]pair[T], 0, len(keys))
	for _, k := range keys {
		pairs = append(pairs, *byKey[k])
	}
	return pairs
}

type comparison struct {
	inForce, next *bluebelldeployment.Declaration
	entry         Entry // entry that is being compared
	differences   []Difference
}

func (c *comparison) add(change Change, format string, args ...any) {
	c.differences = append(c.differences, Difference{c.entry, change, fmt.Sprintf(format, args...)})
}

// field adds a difference if two values of a field differ. The effect may be empty.
func field[T comparable](c *comparison, name string, inForce, next T, effect string) {
	if inForce == next {
		return
	}
	if effect != "" {
		effect = ": " + effect
	}
	c.add(Changed, "%s %v becomes %v%s", name, inForce, next, effect)
}

// effectOf returns the text for a value that grows or shrinks.
func effectOf[T cmp.Ordered](inForce, next T, grows, shrinks string) string {
	if next > inForce {
		return grows
	}
	return shrinks
}

func (c *comparison) compareWhole() {
	c.entry = Entry{}
	inForce, next := c.inForce.Version, c.next.Version
	if next <= inForce {
		c.add(Changed, "version %d is not newer than the version %d in force: the system ignores the declaration", next, inForce)
	} else {
		c.add(Changed, "version %d becomes %d", inForce, next)
	}
	switch before, after := len(c.inForce.Customers) > 0, len(c.next.Customers) > 0; {
	case before && !after:
		c.add(Changed, "it has no customers any more: no call needs a key")
	case !before && after:
		c.add(Changed, "it has customers now: calls on routes that are not public need a key")
	}
	if before, after := isolatedNames(c.inForce), isolatedNames(c.next); !slices.Equal(before, after) {
		c.add(Changed, "the isolated customers change: blocks that the other customers share are cached anew")
	}
}

// isolatedNames returns the sorted names of the isolated customers.
func isolatedNames(d *bluebelldeployment.Declaration) []string {
	var names []string
	for i := range d.Customers {
		if d.Customers[i].Isolated {
			names = append(names, d.Customers[i].Name)
		}
	}
	slices.Sort(names)
	return names
}

func (c *comparison) compareRoute(inForce, next *bluebelldeployment.Route) {
	switch {
	case inForce == nil:
		c.add(Added, "%s is sent to %s%s", describeMatch(next), describeTargets(next), destination(c.inForce, next, "; in force, its calls use %s"))
		return
	case next == nil:
		c.add(Removed, "%s%s", describeMatch(inForce), destination(c.next, inForce, "; its calls will use %s"))
		return
	}
	if before, after := describeMatch(inForce), describeMatch(next); before != after {
		c.add(Changed, "%s becomes %s%s", before, after, destination(c.next, inForce, "; calls to the former will use %s"))
	}
	c.compareShares(inForce, next)
	field(c, "kind", inForce.Work, next.Work, "")
	if before, after := inForce.Repeatable(), next.Repeatable(); before != after {
		c.add(Changed, "%s", map[bool]string{true: "its calls may be repeated", false: "its calls may no longer be repeated"}[after])
	}
	c.compareDuration("timeout", inForce.Timeout, next.Timeout, "calls may wait longer", "calls that take longer fail")
	c.compareDuration("objective", inForce.Objective, next.Objective, "", "")
	c.compareDuration("longest event gap", inForce.MaxEventGap, next.MaxEventGap, "", "")
	field(c, "priority", inForce.Priority, next.Priority, effectOf(inForce.Priority, next.Priority, "less urgent", "more urgent"))
	field(c, "attempts", inForce.Attempts, next.Attempts, "")
	field(c, "resumable", inForce.Resumable, next.Resumable, "")
	if inForce.Public != next.Public {
		c.add(Changed, "%s", map[bool]string{true: "becomes public: its calls need no key", false: "is no longer public: its calls need a key"}[next.Public])
	}
}

// compareDuration compares a duration of which 0 means that none is declared.
func (c *comparison) compareDuration(name string, inForce, next time.Duration, longer, shorter string) {
	switch {
	case inForce == next:
	case inForce == 0:
		c.add(Changed, "%s %v is new", name, next)
	case next == 0:
		c.add(Changed, "%s %v is removed", name, inForce)
	case next > inForce:
		c.add(Changed, "%s becomes longer, %v instead of %v%s", name, next, inForce, suffix(longer))
	default:
		c.add(Changed, "%s becomes shorter, %v instead of %v%s", name, next, inForce, suffix(shorter))
	}
}

func suffix(effect string) string {
	if effect == "" {
		return ""
	}
	return ": " + effect
}

// shares returns the share of the calls of a route by target, without targets that get none.
func shares(r *bluebelldeployment.Route) map[string]float64 {
	total := 0.0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	byTarget := map[string]float64{}
	for _, t := range r.Targets {
		if t.Weight > 0 {
			byTarget[t.Name] += t.Weight / total
		}
	}
	return byTarget
}

// minShareChange is the least change of a share that is reported. Smaller ones are rounding errors,
// for example where all weights are multiplied by the same number.
const minShareChange = 1e-9

func (c *comparison) compareShares(inForce, next *bluebelldeployment.Route) {
	before, after := shares(inForce), shares(next)
	same := func(a, b float64) bool { return max(a-b, b-a) < minShareChange }
	if maps.EqualFunc(before, after, same) {
		return
	}
	kept := false
	for name := range before {
		kept = kept || after[name] > 0
	}
	verb := "its calls are divided differently"
	if !kept {
		verb = "its calls move to other targets"
	}
	c.add(Changed, "%s: %s instead of %s", verb, describeTargets(next), describeTargets(inForce))
}

func describeMatch(r *bluebelldeployment.Route) string {
	return fmt.Sprintf("host %q with prefix %q", strings.ToLower(r.Host), r.Prefix)
}

// describeTargets returns the targets of a route with their shares, sorted by name.
func describeTargets(r *bluebelldeployment.Route) string {
	byTarget := shares(r)
	var texts []string
	for _, name := range slices.Sorted(maps.Keys(byTarget)) {
		if len(byTarget) == 1 {
			return fmt.Sprintf("%q", name)
		}
		texts = append(texts, fmt.Sprintf("%q (%.4g%%)", name, 100*byTarget[name]))
	}
	if len(texts) == 0 {
		return "no target"
	}
	return strings.Join(texts, ", ")
}

// destination tells which route of another declaration gets the calls to the host and prefix of a
// route.
func destination(d *bluebelldeployment.Declaration, route *bluebelldeployment.Route, format string) string {
	var best *bluebelldeployment.Route
	for i := range d.Routes {
		r := &d.Routes[i]
		if strings.EqualFold(r.Host, route.Host) && strings.HasPrefix(route.Prefix, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	if best == nil {
		return fmt.Sprintf(format, "no route (404)")
	}
	return fmt.Sprintf(format, fmt.Sprintf("route %q", best.Name))
}

func (c *comparison) compareTarget(inForce, next *bluebelldeployment.Target) {
	switch {
	case inForce == nil:
		c.add(Added, "")
		return
	case next == nil:
		c.add(Removed, "")
		return
	}
	field(c, "health path", fmt.Sprintf("%q", inForce.HealthPath), fmt.Sprintf("%q", next.HealthPath), "")
	field(c, "connections", inForce.MaxConnections, next.MaxConnections, "")
	c.compareDuration("cold duration", inForce.ColdDuration, next.ColdDuration, "", "")
	field(c, "cold rate", inForce.ColdRate, next.ColdRate, "")
	c.compareEngine(inForce.Engine, next.Engine)
	switch before, after := inForce.Scale, next.Scale; {
	case before == nil && after == nil:
	case before == nil:
		c.add(Changed, "the system now keeps between %d and %d endpoints in each failure domain", after.Min, after.Max)
	case after == nil:
		c.add(Changed, "the system no longer changes its number of endpoints")
	default:
		field(c, "smallest scale", before.Min, after.Min, "")
		field(c, "largest scale", before.Max, after.Max, "")
		c.compareDuration("start duration", before.StartDuration, after.StartDuration, "", "")
	}
}

func (c *comparison) compareEngine(inForce, next *bluebelldeployment.Engine) {
	switch {
	case inForce == nil && next == nil:
		return
	case inForce == nil:
		c.add(Changed, "it has an engine now")
		return
	case next == nil:
		c.add(Changed, "it has no engine any more: nothing is cached for it")
		return
	}
	field(c, "slots", inForce.Slots, next.Slots, effectOf(inForce.Slots, next.Slots, "", "fewer calls run on an endpoint"))
	field(c, "memory in tokens", inForce.Tokens, next.Tokens, "")
	field(c, "bytes for a token", inForce.TokenBytes, next.TokenBytes, "")
	field(c, "models", fmt.Sprintf("%q", inForce.Models), fmt.Sprintf("%q", next.Models), "")
}

func (c *comparison) compareStore(inForce, next *bluebelldeployment.Store) {
	switch {
	case inForce == nil:
		c.add(Added, "in failure domain %q", next.FailureDomain)
		return
	case next == nil:
		c.add(Removed, "its cached blocks are no longer used")
		return
	}
	field(c, "address", inForce.Address, next.Address, "")
	field(c, "failure domain", fmt.Sprintf("%q", inForce.FailureDomain), fmt.Sprintf("%q", next.FailureDomain), "")
	field(c, "capacity in tokens", inForce.Tokens, next.Tokens, "")
	field(c, "bytes per second", inForce.BytesPerSecond, next.BytesPerSecond, "")
	c.compareDuration("delay before transfers", inForce.SetupDelay, next.SetupDelay, "", "")
	if inForce.Managed != next.Managed {
		c.add(Changed, "%s", map[bool]string{true: "it no longer evicts blocks by itself", false: "it evicts blocks by itself"}[next.Managed])
	}
}

func (c *comparison) compareCustomer(inForce, next *bluebelldeployment.Customer) {
	switch {
	case inForce == nil:
		c.add(Added, "with %d keys", len(keySet(next)))
		return
	case next == nil:
		c.add(Removed, "its %d keys are no longer its own", len(keySet(inForce)))
		return
	}
	before, after := keySet(inForce), keySet(next)
	added, removed := 0, 0
	for key := range after {
		if !before[key] {
			added++
		}
	}
	for key := range before {
		if !after[key] {
			removed++
		}
	}
	if added+removed > 0 {
		c.add(Changed, "%d keys added, %d keys removed", added, removed)
	}
	field(c, "priority", describePriority(inForce), describePriority(next), "")
	if inForce.Isolated != next.Isolated {
		c.add(Changed, "%s", map[bool]string{
			true: "becomes isolated: it shares no cached blocks any more", false: "is no longer isolated: it shares cached blocks",
		}[next.Isolated])
	}
}

// keySet returns the keys of a customer without repetition.
func keySet(c *bluebelldeployment.Customer) map[string]bool {
	set := map[string]bool{}
	for _, key := range c.Keys {
		set[key] = true
	}
	return set
}

func describePriority(c *bluebelldeployment.Customer) string {
	if !c.HasPriority {
		return "none"
	}
	return fmt.Sprint(c.Priority)
}

func (c *comparison) compareLimits(inForce, next bluebelldeployment.Limits) {
	field(c, "header limit in bytes", inForce.MaxHeaderBytes, next.MaxHeaderBytes, "")
	effect := ""
	if next.MaxBodyBytes > 0 && next.MaxBodyBytes < inForce.MaxBodyBytes {
		effect = "larger bodies are refused (413)"
	}
	field(c, "body limit in bytes", inForce.MaxBodyBytes, next.MaxBodyBytes, effect)
	c.compareDuration("header timeout", inForce.HeaderTimeout, next.HeaderTimeout, "", "")
	c.compareDuration("idle timeout", inForce.IdleTimeout, next.IdleTimeout, "", "")
}
