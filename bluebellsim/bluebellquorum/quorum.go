// Package bluebellquorum calculates the exact probability that the voters of a layout
// form a quorum, when failures also affect whole failure domains and cut off regions.
//
// # Usage
//
//	for _, row := range bluebellquorum.Table(bluebellquorum.ExpectedRates()) {
//		fmt.Println(row)
//	}
//
// The calculation sums the probabilities of all combinations of VMs and failure domains
// that are up or down, with and without a network partition between the regions. The
// hierarchical quorums are those of Kumar, "Hierarchical Quorum Consensus: A New
// Algorithm for Managing Replicated Data" (1991). That paper assumes that copies fail
// independently; this package does not.
package bluebellquorum

import (
	"fmt"
	"time"
)

// Rates holds the probabilities that a VM, a failure domain, or the link between the
// regions is down at a given time.
type Rates struct {
	VM, FailureDomain, RegionLink float64
}

// ExpectedRates returns the rates for the failures that the users expect: 23 of 340 VMs
// fail per day, one of 7 failure domains fails every other month, and the link between
// the regions is down for an hour per month. A failed VM is assumed to be down for 30
// minutes and a failed failure domain for 4 hours.
func ExpectedRates() Rates {
	const hoursPerMonth = 730.0
	return Rates{
		VM:            23.0 / 340 * 0.5 / 24,
		FailureDomain: 4 / (2 * 7 * hoursPerMonth),
		RegionLink:    1 / hoursPerMonth,
	}
}

// Voter is the placement of a voter: indexes of its failure domain, its region, and its
// group in a hierarchical layout.
type Voter struct {
	FailureDomain, Region, Group int
}

// Layout is a set of voters and the quorum rule for them.
type Layout struct {
	Name   string
	Voters []Voter
	// Groups is the number of groups of a hierarchical rule, which needs a majority of
	// the voters in a majority of the groups. 0 means a majority of all voters.
	Groups int
}

// Row is the evaluation of a layout: its quorum size, downtime and tolerated failures.
type Row struct {
	Layout Layout
	// Quorum is the size of the smallest quorum.
	Quorum int
	// DowntimePerYear is the expected time without a quorum in a year.
	DowntimePerYear time.Duration
	// These report whether a quorum remains after the loss of any VM, any two VMs, any
	// failure domain, or any failure domain and any one more VM.
	SurvivesAnyVM, SurvivesAnyTwoVMs, SurvivesAnyDomain, SurvivesAnyDomainAndVM bool
	// SurvivesRegionCut reports whether one region has a quorum when the regions are
	// partitioned from each other.
	SurvivesRegionCut bool
}

func (r Row) String() string {
	yesNo := func(ok bool) string {
		if ok {
			return "yes"
		}
		return "no"
	}
	return fmt.Sprintf("%-42s voters %d quorum %d down a year %-9v VM %-3s two VMs %-3s domain %-3s domain+VM %-3s regions cut %-3s",
		r.Layout.Name, len(r.Layout.Voters), r.Quorum, r.DowntimePerYear.Round(time.Second),
		yesNo(r.SurvivesAnyVM), yesNo(r.SurvivesAnyTwoVMs), yesNo(r.SurvivesAnyDomain), yesNo(r.SurvivesAnyDomainAndVM), yesNo(r.SurvivesRegionCut))
}

// spreadVoters assigns voters to failure domains in turn. regions holds the number of
// failure domains of each region; group returns the group of a failure domain.
func spreadVoters(voters int, regions []int, group func(domain int) int) []Voter {
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

// Layouts returns the layouts to compare: 3 failure domains with 2 VMs each, and 7
// failure domains in 2 regions with at most 7 VMs.
func Layouts() []Layout {
	ownGroup := func(domain int) int { return domain }
	threeGroups := func(domain int) int { return domain % 3 }
	small, large := []int{3}, []int{4, 3}
	return []Layout{
		{"3 domains: one voter in each, majority", spreadVoters(3, small, ownGroup), 0},
		{"3 domains: five voters, majority", spreadVoters(5, small, ownGroup), 0},
		{"3 domains: six voters, majority", spreadVoters(6, small, ownGroup), 0},
		{"3 domains: six voters, hierarchical", spreadVoters(6, small, ownGroup), 3},
		{"7 domains: three voters, majority", []Voter{{0, 0, 0}, {1, 0, 1}, {4, 1, 2}}, 0},
		{"7 domains: five voters, majority", []Voter{{0, 0, 0}, {1, 0, 1}, {2, 0, 2}, {4, 1, 3}, {5, 1, 4}}, 0},
		{"7 domains: one voter in each, majority", spreadVoters(7, large, ownGroup), 0},
		{"7 domains: one voter in each, hierarchical", spreadVoters(7, large, threeGroups), 3},
	}
}

// Table evaluates all layouts.
func Table(rates Rates) []Row {
	var rows []Row
	for _, l := range Layouts() {
		rows = append(rows, Evaluate(l, rates))
	}
	return rows
}

// Evaluate evaluates one layout. The failure domains and the VMs of the voters are down
// independently of each other, and a failure domain takes its VMs down.
func Evaluate(l Layout, rates Rates) Row {
	domains := 0
	for _, v := range l.Voters {
		domains = max(domains, v.FailureDomain+1)
	}
	down := 0.0
	for downDomains := range 1 << domains {
		for downVMs := range 1 << len(l.Voters) {
			p := probability(downDomains, domains, rates.FailureDomain) * probability(downVMs, len(l.Voters), rates.VM)
			up := func(i int) bool {
				return downVMs>>i&1 == 0 && downDomains>>l.Voters[i].FailureDomain&1 == 0
			}
			if !l.quorumOnAnySide(up, false) {
				down += p * (1 - rates.RegionLink)
			}
			if !l.quorumOnAnySide(up, true) {
				down += p * rates.RegionLink
			}
		}
	}
	row := Row{Layout: l, Quorum: l.smallestQuorum(), DowntimePerYear: time.Duration(down * 365 * 24 * float64(time.Hour))}
	row.SurvivesAnyVM = l.survives(func(i, a, _ int) bool { return i == a })
	row.SurvivesAnyTwoVMs = l.survives(func(i, a, b int) bool { return i == a || i == b })
	row.SurvivesAnyDomain = l.survives(func(i, a, _ int) bool { return l.Voters[i].FailureDomain == l.Voters[a].FailureDomain })
	row.SurvivesAnyDomainAndVM = l.survives(func(i, a, b int) bool {
		return l.Voters[i].FailureDomain == l.Voters[a].FailureDomain || i == b
	})
	row.SurvivesRegionCut = l.quorumOnAnySide(func(int) bool { return true }, true)
	return row
}

// probability returns the probability that of n components exactly those are down whose
// bit in bits is set, when each component is down with probability down.
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

// quorumOnAnySide reports whether the voters that are up form a quorum. If cut is set,
// the voters of one region must form it.
func (l Layout) quorumOnAnySide(up func(i int) bool, cut bool) bool {
	if !cut {
		return l.hasQuorum(up)
	}
	for region := range 2 {
		if l.hasQuorum(func(i int) bool { return up(i) && l.Voters[i].Region == region }) {
			return true
		}
	}
	return false
}

// hasQuorum reports whether the voters that are up form a quorum.
func (l Layout) hasQuorum(up func(i int) bool) bool {
	if l.Groups == 0 {
		n := 0
		for i := range l.Voters {
			if up(i) {
				n++
			}
		}
		return n > len(l.Voters)/2
	}
	size, upCount := make([]int, l.Groups), make([]int, l.Groups)
	for i, v := range l.Voters {
		size[v.Group]++
		if up(i) {
			upCount[v.Group]++
		}
	}
	groups := 0
	for g := range size {
		if upCount[g] > size[g]/2 {
			groups++
		}
	}
	return groups > l.Groups/2
}

// smallestQuorum returns the size of the smallest quorum.
func (l Layout) smallestQuorum() int {
	smallest := len(l.Voters)
	for bits := range 1 << len(l.Voters) {
		n := 0
		for i := range l.Voters {
			n += bits >> i & 1
		}
		if n < smallest && l.hasQuorum(func(i int) bool { return bits>>i&1 == 1 }) {
			smallest = n
		}
	}
	return smallest
}

// survives reports whether a quorum remains for every pair of voters a and b when all
// voters i with lost(i, a, b) are down.
func (l Layout) survives(lost func(i, a, b int) bool) bool {
	for a := range l.Voters {
		for b := range l.Voters {
			if !l.hasQuorum(func(i int) bool { return !lost(i, a, b) }) {
				return false
			}
		}
	}
	return true
}
