package bluebellconfig

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	maxImportance = 5
	keyHashBytes  = 32
)

// names notes where each name of one kind was first used.
type names map[string]bool

// checkQuestionnaire finds what is wrong between the answers.
func checkQuestionnaire(d *document, q *pb.Questionnaire) {
	c := &checker{d: d, q: q, domains: names{}, targets: names{}}
	if q.Name == "" {
		d.add("Name", "the deployment needs a Name")
	}
	if q.SecretFile == "" {
		d.add("SecretFile", "SecretFile must name the file that holds the secret of the system's processes")
	}
	c.checkFailureDomains()
	c.checkTargets()
	c.checkVMs()
	c.checkEndpoints()
	c.checkCustomers()
	c.checkOperators()
	c.checkWork()
	c.checkImportance()
	if q.KeyRetention.AsDuration() <= 0 {
		d.add("KeyRetention", "KeyRetention must be longer than 0s, such as \"86400s\"")
	}
}

type checker struct {
	d                *document
	q                *pb.Questionnaire
	domains, targets names
}

// name reports a missing or repeated name and tells whether it is the first.
func (c *checker) name(seen names, path, name string) bool {
	switch {
	case name == "":
		c.d.add(path, "a Name is missing")
		return false
	case strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == '/' || r == '"' }):
		c.d.add(path, "name %q must have no space, slash or quote", name)
		return false
	case seen[name]:
		c.d.add(path, "name %q is used twice", name)
		return false
	}
	seen[name] = true
	return true
}

// refer reports a reference to something that is not declared.
func (c *checker) refer(known names, path, kind, name string) {
	if known[name] {
		return
	}
	var accepted []string
	for _, candidate := range sortedNames(known) {
		accepted = append(accepted, fmt.Sprintf("%q", candidate))
	}
	c.d.add(path, "%s %q is not declared; accepted: %s", kind, name, strings.Join(accepted, ", "))
}

func (c *checker) checkFailureDomains() {
	if len(c.q.FailureDomains) == 0 {
		c.d.add("FailureDomains", "at least one failure domain is needed")
	}
	for i, f := range c.q.FailureDomains {
		path := fmt.Sprintf("FailureDomains[%d]", i)
		c.name(c.domains, path+".Name", f.Name)
		if f.Region == "" {
			c.d.add(path+".Region", "failure domain %q needs a Region", f.Name)
		}
	}
}

func (c *checker) checkTargets() {
	for i, t := range c.q.Targets {
		path := fmt.Sprintf("Targets[%d]", i)
		c.name(c.targets, path+".Name", t.Name)
		if t.Kind == pb.Kind_KindUnset {
			c.d.add(path+".Kind", "target %q needs a Kind: \"Model\" or \"Service\"", t.Name)
		}
		if t.Version == "" {
			c.d.add(path+".Version", "target %q needs the Version that serves at first", t.Name)
		}
		if t.Kind == pb.Kind_Model && len(t.NonIdempotentPaths) > 0 {
			c.d.add(path+".NonIdempotentPaths", "target %q is a model; only services have calls that may not be repeated", t.Name)
		}
		for j, p := range t.NonIdempotentPaths {
			if !strings.HasPrefix(p, "/") {
				c.d.add(fmt.Sprintf("%s.NonIdempotentPaths[%d]", path, j), "path %q must start with a slash", p)
			}
		}
	}
}

func (c *checker) checkVMs() {
	seen, addresses := names{}, names{}
	entries := names{}
	disks, diskDomains := 0, names{}
	for i, v := range c.q.VMs {
		path := fmt.Sprintf("VMs[%d]", i)
		c.name(seen, path+".Name", v.Name)
		c.refer(c.domains, path+".FailureDomain", "failure domain", v.FailureDomain)
		entries[v.FailureDomain] = true
		if _, err := netip.ParseAddr(v.Address); err != nil {
			c.d.add(path+".Address", "address %q must be an IP address", v.Address)
		}
		c.port(addresses, path+".CallerPort", v.Address, v.CallerPort)
		c.port(addresses, path+".PeerPort", v.Address, v.PeerPort)
		if v.DataFolder != "" {
			disks++
			diskDomains[v.FailureDomain] = true
		}
	}
	for i, f := range c.q.FailureDomains {
		if !entries[f.Name] {
			c.d.add(fmt.Sprintf("FailureDomains[%d]", i), "failure domain %q has no entry VM", f.Name)
		}
	}
	if c.q.TolerateLostVMs > maxVoters/2 {
		c.d.add("TolerateLostVMs", "%d lost VMs cannot be tolerated; accepted: 0 to %d", c.q.TolerateLostVMs, maxVoters/2)
		return
	}
	need := int(2*c.q.TolerateLostVMs + 1)
	if disks < need {
		c.d.add("TolerateLostVMs", "tolerating %d lost VMs needs %d voters, but only %d VMs have a DataFolder", c.q.TolerateLostVMs, need, disks)
	} else if c.q.TolerateLostVMs > 0 && len(c.q.FailureDomains) >= 3 && len(diskDomains) < 3 {
		c.d.add("VMs", "VMs with a DataFolder stand in %d failure domains; the loss of one failure domain is survived only if they stand in 3", len(diskDomains))
	}
}

func (c *checker) port(taken names, path, address string, port uint32) {
	if port == 0 || port > 65535 {
		c.d.add(path, "port %d must be from 1 to 65535", port)
		return
	}
	key := fmt.Sprintf("%s port %d", address, port)
	if taken[key] {
		c.d.add(path, "%s is used twice", key)
	}
	taken[key] = true
}

func (c *checker) checkEndpoints() {
	seen, addresses, served := names{}, names{}, names{}
	for i, e := range c.q.Endpoints {
		path := fmt.Sprintf("Endpoints[%d]", i)
		c.name(seen, path+".Name", e.Name)
		c.refer(c.domains, path+".FailureDomain", "failure domain", e.FailureDomain)
		c.refer(c.targets, path+".Target", "target", e.Target)
		served[e.Target] = true
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			c.d.add(path+".Address", "address %q must be an IP address and a port", e.Address)
		}
		if addresses[e.Address] {
			c.d.add(path+".Address", "address %q is used twice", e.Address)
		}
		addresses[e.Address] = true
		if e.Slots == 0 {
			c.d.add(path+".Slots", "endpoint %q needs at least one slot", e.Name)
		}
		if e.ColdSlots == 0 || e.ColdSlots > e.Slots {
			c.d.add(path+".ColdSlots", "endpoint %q has %d cold slots; accepted: 1 to its %d slots", e.Name, e.ColdSlots, e.Slots)
		}
	}
	for i, t := range c.q.Targets {
		if !served[t.Name] {
			c.d.add(fmt.Sprintf("Targets[%d]", i), "target %q has no endpoint", t.Name)
		}
	}
}

func (c *checker) checkCustomers() {
	seen, keys := names{}, names{}
	for i, u := range c.q.Customers {
		path := fmt.Sprintf("Customers[%d]", i)
		c.name(seen, path+".Name", u.Name)
		c.keyHash(keys, path+".KeyHash", u.KeyHash)
		if u.Share == 0 {
			c.d.add(path+".Share", "customer %q needs a Share of 1 or more", u.Name)
		}
	}
}

func (c *checker) checkOperators() {
	seen, keys := names{}, names{}
	if len(c.q.Operators) == 0 {
		c.d.add("Operators", "at least one operator is needed")
	}
	for i, o := range c.q.Operators {
		path := fmt.Sprintf("Operators[%d]", i)
		c.name(seen, path+".Name", o.Name)
		c.keyHash(keys, path+".KeyHash", o.KeyHash)
	}
}

func (c *checker) keyHash(taken names, path, hash string) {
	raw, err := hex.DecodeString(hash)
	switch {
	case err != nil || len(raw) != keyHashBytes || hash != strings.ToLower(hash):
		c.d.add(path, "KeyHash must be the SHA-256 of the key in 64 lower-case hexadecimal digits")
	case taken[hash]:
		c.d.add(path, "two have the same key")
	}
	taken[hash] = true
}

func (c *checker) checkWork() {
	seen := names{}
	for i, w := range c.q.Work {
		path := fmt.Sprintf("Work[%d]", i)
		c.name(seen, path+".Name", w.Name)
		c.refer(c.targets, path+".Target", "target", w.Target)
		if w.FirstTokenWithin.AsDuration() <= 0 {
			c.d.add(path+".FirstTokenWithin", "work %q needs a FirstTokenWithin longer than 0s", w.Name)
		}
		if w.QueueFor.AsDuration() > w.FirstTokenWithin.AsDuration() {
			c.d.add(path+".QueueFor", "work %q may queue longer than its FirstTokenWithin allows", w.Name)
		}
	}
}

func (c *checker) checkImportance() {
	i := c.q.Importance
	if i == nil {
		c.d.add("Importance", "Importance is needed: what is measured, each weighed from 1 to %d", maxImportance)
		return
	}
	check := func(name string, value uint32) {
		if value < 1 || value > maxImportance {
			c.d.add("Importance."+name, "%s is weighed %d; accepted: 1 to %d", name, value, maxImportance)
		}
	}
	check("FirstToken", i.FirstToken)
	check("Recomputation", i.Recomputation)
	check("VersionMoves", i.VersionMoves)
	check("FailureDomainService", i.FailureDomainService)
}
