package bluebellconfig

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// maxImportance is the highest weight that an answer in Importance can have.
	maxImportance = 5
	// keyHashBytes is the length of a SHA-256 hash.
	keyHashBytes = 32
)

// nameSet is a set of strings that must be unique or declared, such as the names of all
// targets.
type nameSet map[string]bool

// checkQuestionnaire checks the values of a parsed questionnaire and the references
// between them, and adds the findings to d.
func checkQuestionnaire(d *document, q *pb.Questionnaire) {
	c := &checker{d: d, q: q, domains: nameSet{}, targets: nameSet{}}
	if q.Name == "" {
		d.addFinding("Name", "the deployment needs a Name")
	}
	if q.SecretFile == "" {
		d.addFinding("SecretFile", "SecretFile must name the file that holds the secret of the system's processes")
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
		d.addFinding("KeyRetention", "KeyRetention must be longer than 0s, such as \"86400s\"")
	}
}

// checker checks one questionnaire. The names in domains and targets are complete once
// checkFailureDomains and checkTargets have run.
type checker struct {
	d                *document
	q                *pb.Questionnaire
	domains, targets nameSet
}

// checkName adds a finding if name is missing, malformed or in seen. Otherwise it adds name
// to seen and returns true.
func (c *checker) checkName(seen nameSet, path, name string) bool {
	switch {
	case name == "":
		c.d.addFinding(path, "a Name is missing")
		return false
	case strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == '/' || r == '"' }):
		c.d.addFinding(path, "name %q must have no space, slash or quote", name)
		return false
	case seen[name]:
		c.d.addFinding(path, "name %q is used twice", name)
		return false
	}
	seen[name] = true
	return true
}

// checkReference adds a finding if name is not in declared. Kind is the kind of object that
// the name refers to.
func (c *checker) checkReference(declared nameSet, path, kind, name string) {
	if declared[name] {
		return
	}
	var accepted []string
	for _, candidate := range sortedNames(declared) {
		accepted = append(accepted, fmt.Sprintf("%q", candidate))
	}
	c.d.addFinding(path, "%s %q is not declared; accepted: %s", kind, name, strings.Join(accepted, ", "))
}

func (c *checker) checkFailureDomains() {
	if len(c.q.FailureDomains) == 0 {
		c.d.addFinding("FailureDomains", "at least one failure domain is needed")
	}
	for i, f := range c.q.FailureDomains {
		path := fmt.Sprintf("FailureDomains[%d]", i)
		c.checkName(c.domains, path+".Name", f.Name)
		if f.Region == "" {
			c.d.addFinding(path+".Region", "failure domain %q needs a Region", f.Name)
		}
	}
}

func (c *checker) checkTargets() {
	for i, t := range c.q.Targets {
		path := fmt.Sprintf("Targets[%d]", i)
		c.checkName(c.targets, path+".Name", t.Name)
		if t.Kind == pb.Kind_KindUnset {
			c.d.addFinding(path+".Kind", "target %q needs a Kind: \"Model\" or \"Service\"", t.Name)
		}
		if t.Version == "" {
			c.d.addFinding(path+".Version", "target %q needs the Version that serves at first", t.Name)
		}
		if t.Kind == pb.Kind_Model && len(t.NonIdempotentPaths) > 0 {
			c.d.addFinding(path+".NonIdempotentPaths", "target %q is a model; only services have calls that may not be repeated", t.Name)
		}
		for j, p := range t.NonIdempotentPaths {
			if !strings.HasPrefix(p, "/") {
				c.d.addFinding(fmt.Sprintf("%s.NonIdempotentPaths[%d]", path, j), "path %q must start with a slash", p)
			}
		}
	}
}

func (c *checker) checkVMs() {
	seen, addresses := nameSet{}, nameSet{}
	entryDomains := nameSet{}
	diskVMs, diskDomains := 0, nameSet{}
	for i, v := range c.q.VMs {
		path := fmt.Sprintf("VMs[%d]", i)
		c.checkName(seen, path+".Name", v.Name)
		c.checkReference(c.domains, path+".FailureDomain", "failure domain", v.FailureDomain)
		entryDomains[v.FailureDomain] = true
		if _, err := netip.ParseAddr(v.Address); err != nil {
			c.d.addFinding(path+".Address", "address %q must be an IP address", v.Address)
		}
		c.checkPort(addresses, path+".CallerPort", v.Address, v.CallerPort)
		c.checkPort(addresses, path+".PeerPort", v.Address, v.PeerPort)
		if v.DataFolder != "" {
			diskVMs++
			diskDomains[v.FailureDomain] = true
		}
	}
	for i, f := range c.q.FailureDomains {
		if !entryDomains[f.Name] {
			c.d.addFinding(fmt.Sprintf("FailureDomains[%d]", i), "failure domain %q has no entry VM", f.Name)
		}
	}
	if c.q.TolerateLostVMs > maxVoters/2 {
		c.d.addFinding("TolerateLostVMs", "%d lost VMs cannot be tolerated; accepted: 0 to %d", c.q.TolerateLostVMs, maxVoters/2)
		return
	}
	neededVoters := int(2*c.q.TolerateLostVMs + 1)
	if diskVMs < neededVoters {
		c.d.addFinding("TolerateLostVMs", "tolerating %d lost VMs needs %d voters, but only %d VMs have a DataFolder", c.q.TolerateLostVMs, neededVoters, diskVMs)
	} else if c.q.TolerateLostVMs > 0 && len(c.q.FailureDomains) >= 3 && len(diskDomains) < 3 {
		c.d.addFinding("VMs", "VMs with a DataFolder stand in %d failure domains; the loss of one failure domain is survived only if they stand in 3", len(diskDomains))
	}
}

// checkPort adds a finding if port is out of range or used twice at the same address.
func (c *checker) checkPort(taken nameSet, path, address string, port uint32) {
	if port == 0 || port > 65535 {
		c.d.addFinding(path, "port %d must be from 1 to 65535", port)
		return
	}
	key := fmt.Sprintf("%s port %d", address, port)
	if taken[key] {
		c.d.addFinding(path, "%s is used twice", key)
	}
	taken[key] = true
}

func (c *checker) checkEndpoints() {
	seen, addresses, served := nameSet{}, nameSet{}, nameSet{}
	for i, e := range c.q.Endpoints {
		path := fmt.Sprintf("Endpoints[%d]", i)
		c.checkName(seen, path+".Name", e.Name)
		c.checkReference(c.domains, path+".FailureDomain", "failure domain", e.FailureDomain)
		c.checkReference(c.targets, path+".Target", "target", e.Target)
		served[e.Target] = true
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			c.d.addFinding(path+".Address", "address %q must be an IP address and a port", e.Address)
		}
		if addresses[e.Address] {
			c.d.addFinding(path+".Address", "address %q is used twice", e.Address)
		}
		addresses[e.Address] = true
		if e.Slots == 0 {
			c.d.addFinding(path+".Slots", "endpoint %q needs at least one slot", e.Name)
		}
		if e.ColdSlots == 0 || e.ColdSlots > e.Slots {
			c.d.addFinding(path+".ColdSlots", "endpoint %q has %d cold slots; accepted: 1 to its %d slots", e.Name, e.ColdSlots, e.Slots)
		}
	}
	for i, t := range c.q.Targets {
		if !served[t.Name] {
			c.d.addFinding(fmt.Sprintf("Targets[%d]", i), "target %q has no endpoint", t.Name)
		}
	}
}

func (c *checker) checkCustomers() {
	seen, keys := nameSet{}, nameSet{}
	for i, u := range c.q.Customers {
		path := fmt.Sprintf("Customers[%d]", i)
		c.checkName(seen, path+".Name", u.Name)
		c.checkKeyHash(keys, path+".KeyHash", u.KeyHash)
		if u.Share == 0 {
			c.d.addFinding(path+".Share", "customer %q needs a Share of 1 or more", u.Name)
		}
	}
}

func (c *checker) checkOperators() {
	seen, keys := nameSet{}, nameSet{}
	if len(c.q.Operators) == 0 {
		c.d.addFinding("Operators", "at least one operator is needed")
	}
	for i, o := range c.q.Operators {
		path := fmt.Sprintf("Operators[%d]", i)
		c.checkName(seen, path+".Name", o.Name)
		c.checkKeyHash(keys, path+".KeyHash", o.KeyHash)
	}
}

// checkKeyHash adds a finding if hash is not a SHA-256 hash in lower-case hexadecimal
// digits, or is in taken.
func (c *checker) checkKeyHash(taken nameSet, path, hash string) {
	raw, err := hex.DecodeString(hash)
	switch {
	case err != nil || len(raw) != keyHashBytes || hash != strings.ToLower(hash):
		c.d.addFinding(path, "KeyHash must be the SHA-256 of the key in 64 lower-case hexadecimal digits")
	case taken[hash]:
		c.d.addFinding(path, "two have the same key")
	}
	taken[hash] = true
}

func (c *checker) checkWork() {
	seen := nameSet{}
	for i, w := range c.q.Work {
		path := fmt.Sprintf("Work[%d]", i)
		c.checkName(seen, path+".Name", w.Name)
		c.checkReference(c.targets, path+".Target", "target", w.Target)
		if w.FirstTokenWithin.AsDuration() <= 0 {
			c.d.addFinding(path+".FirstTokenWithin", "work %q needs a FirstTokenWithin longer than 0s", w.Name)
		}
		if w.QueueFor.AsDuration() > w.FirstTokenWithin.AsDuration() {
			c.d.addFinding(path+".QueueFor", "work %q may queue longer than its FirstTokenWithin allows", w.Name)
		}
	}
}

func (c *checker) checkImportance() {
	i := c.q.Importance
	if i == nil {
		c.d.addFinding("Importance", "Importance is needed: what is measured, each weighed from 1 to %d", maxImportance)
		return
	}
	check := func(name string, value uint32) {
		if value < 1 || value > maxImportance {
			c.d.addFinding("Importance."+name, "%s is weighed %d; accepted: 1 to %d", name, value, maxImportance)
		}
	}
	check("FirstToken", i.FirstToken)
	check("Recomputation", i.Recomputation)
	check("VersionMoves", i.VersionMoves)
	check("FailureDomainService", i.FailureDomainService)
}
