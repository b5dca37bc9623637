// Package bluebellquorum works out exactly how often the voters of a layout can
// form a quorum, with failures that take whole failure domains and regions.
//
// # Usage
//
//	for _, row := range bluebellquorum.Table(bluebellquorum.Letter()) {
//		fmt.Println(row)
//	}
//
// Every combination of VMs and failure domains that are up or down is counted
// with its probability, with and without the regions cut off from each other. The
// hierarchical quorums are those of Kumar, "Hierarchical Quorum Consensus: A New
// Algorithm for Managing Replicated Data" (1991), which assumes that copies fail
// independently; here they do not.
package bluebellquorum

import (
	"fmt"
	"time"
)

// Rates are the probabilities that something is down at any time.
type Rates struct {
	VM, FailureDomain, RegionLink float64
}

// ExpectedRates returns the rates that follow from what the users expect: 23 of 340 VMs
// fail in a day, a failure domain of 7 every other month, and the regions lose
// each other for an hour in a month. That a VM is away for 30 minutes and a
// failure domain for 4 hours is assumed.
func ExpectedRates() Rates {
	const hoursInMonth = 730.0
	return Rates{
		VM:            23.0 / 340 * 0.5 / 24,
		FailureDomain: 4 / (2 * 7 * hoursInMonth),
		RegionLink:    1 / hoursInMonth,
	}
}

// Voter stands in a failure domain of a region, and in a group of a hierarchical
// layout.
type Voter struct {
	FailureDomain, Region, Group int
}

// Layout is a set of voters and the rule of its quorums.
type Layout struct {
	Name   string
	Voters []Voter
	// Groups is the number of groups of a hierarchical rule; 0 is a flat majority.
	Groups int
}

// Row is what a layout costs and survives.
type Row struct {
	Layout Layout
	// Quorum is the smallest number of voters that suffices.
	Quorum int
	// DowntimePerYear is the expected time without a quorum.
	DowntimePerYear time.Duration
	// What is survived whatever VM, two VMs, failure domain, or failure domain and
	// one more VM it is.
	SurvivesAnyVM, SurvivesAnyTwoVMs, SurvivesAnyDomain, SurvivesAnyDomainAndVM bool
	// SurvivesRegionCut tells whether one side still has a quorum when regions are cut off
	// from each other.
	SurvivesRegionCut bool
}

func (r Row) String() string {
	mark := func(ok bool) string {
		if ok {
			return "yes"
		}
		return "no"
	}
	return fmt.Sprintf("%-42s voters %d quorum %d down a year %-9v VM %-3s two VMs %-3s domain %-3s domain+VM %-3s regions cut %-3s",
		r.Layout.Name, len(r.Layout.Voters), r.Quorum, r.DowntimePerYear.Round(time.Second),
		mark(r.SurvivesAnyVM), mark(r.SurvivesAnyTwoVMs), mark(r.SurvivesAnyDomain), mark(r.SurvivesAnyDomainAndVM), mark(r.SurvivesRegionCut))
}

// spread places voters over failure domains of regions, in turn.
func spread(voters int, regions []int, group func(domain int) int) []Voter {
	var domains []int
	for region, n := range regions {
		for range n {
			domains = append(domains, region)
		}
	}
	var all []Voter
	for i := range voters {
		d := i % len(domains)
		all = append(all, Voter{FailureDomain: d, Region: domains[d], Group: group(d)})
	}
	return all
}

// Layouts returns the layouts that were weighed: 3 failure domains with 2 VMs
// each, and 7 failure domains in 2 regions with at most 7 VMs.
func Layouts() []Layout {
	own := func(domain int) int { return domain }
	thirds := func(domain int) int { return domain % 3 }
	small, large := []int{3}, []int{4, 3}
	return []Layout{
		{"3 domains: one voter in each, majority", spread(3, small, own), 0},
		{"3 domains: five voters, majority", spread(5, small, own), 0},
		{"3 domains: six voters, majority", spread(6, small, own), 0},
		{"3 domains: six voters, hierarchical", spread(6, small, own), 3},
		{"7 domains: three voters, majority", []Voter{{0, 0, 0}, {1, 0, 1}, {4, 1, 2}}, 0},
		{"7 domains: five voters, majority", []Voter{{0, 0, 0}, {1, 0, 1}, {2, 0, 2}, {4, 1, 3}, {5, 1, 4}}, 0},
		{"7 domains: one voter in each, majority", spread(7, large, own), 0},
		{"7 domains: one voter in each, hierarchical", spread(7, large, thirds), 3},
	}
}

// Table works out all layouts.
func Table(rates Rates) []Row {
	var rows []Row
	for _, l := range Layouts() {
		rows = append(rows, Evaluate(l, rates))
	}
	return rows
}

// Evaluate works out one layout.
func Evaluate(l Layout, rates Rates) Row {
	domains := 0
	for _, v := range l.Voters {
		domains = max(domains, v.FailureDomain+1)
	}
	down := 0.0
	for domainBits := range 1 << domains {
		for voterBits := range 1 << len(l.Voters) {
			p := probability(domainBits, domains, rates.FailureDomain) * probability(voterBits, len(l.Voters), rates.VM)
			up := func(i int) bool {
				return voterBits>>i&1 == 0 && domainBits>>l.Voters[i].FailureDomain&1 == 0
			}
			if !l.anySide(up, false) {
				down += p * (1 - rates.RegionLink)
			}
			if !l.anySide(up, true) {
				down += p * rates.RegionLink
			}
		}
	}
	row := Row{Layout: l, Quorum: l.smallest(), DowntimePerYear: time.Duration(down * 365 * 24 * float64(time.Hour))}
	row.SurvivesAnyVM = l.survives(func(i, a, _ int) bool { return i == a })
	row.SurvivesAnyTwoVMs = l.survives(func(i, a, b int) bool { return i == a || i == b })
	row.SurvivesAnyDomain = l.survives(func(i, a, _ int) bool { return l.Voters[i].FailureDomain == l.Voters[a].FailureDomain })
	row.SurvivesAnyDomainAndVM = l.survives(func(i, a, b int) bool {
		return l.Voters[i].FailureDomain == l.Voters[a].FailureDomain || i == b
	})
	row.SurvivesRegionCut = l.anySide(func(int) bool { return true }, true)
	return row
}

// probability of one combination of things that are up and down.
func probability(bits, n int, down float64) float64 {
	p := 1.0
	for i := range n {
		if bits>>i&1 == 1 {
			p *= down
		} else {
			p *= 1 - down
		}
	}
	return p
}

// anySide tells whether the voters that are up form a quorum, on one side of the
// regions' cut if there is one.
func (l Layout) anySide(up func(i int) bool, cut bool) bool {
	if !cut {
		return l.quorum(up)
	}
	for region := range 2 {
		if l.quorum(func(i int) bool { return up(i) && l.Voters[i].Region == region }) {
			return true
		}
	}
	return false
}

func (l Layout) quorum(up func(i int) bool) bool {
	if l.Groups == 0 {
		n := 0
		for i := range l.Voters {
			if up(i) {
				n++
			}
		}
		return n > len(l.Voters)/2
	}
	size, have := make([]int, l.Groups), make([]int, l.Groups)
	for i, v := range l.Voters {
		size[v.Group]++
		if up(i) {
			have[v.Group]++
		}
	}
	groups := 0
	for g := range size {
		if have[g] > size[g]/2 {
			groups++
		}
	}
	return groups > l.Groups/2
}

// smallest returns the size of the smallest quorum.
func (l Layout) smallest() int {
	least := len(l.Voters)
	for bits := range 1 << len(l.Voters) {
		n := 0
		for i := range l.Voters {
			n += bits >> i & 1
		}
		if n < least && l.quorum(func(i int) bool { return bits>>i&1 == 1 }) {
			least = n
		}
	}
	return least
}

// survives tells whether a quorum is left whatever pair of voters decides what is
// lost.
func (l Layout) survives(lost func(i, a, b int) bool) bool {
	for a := range l.Voters {
		for b := range l.Voters {
			if !l.quorum(func(i int) bool { return !lost(i, a, b) }) {
				return false
			}
		}
	}
	return true
}
