package bluebellconfig

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// maxVoters limits the number of voters. Each voter adds to the cost of every change,
	// and the more voters there are, the more of them a network partition between
	// regions separates from the quorum.
	maxVoters = 7
	// minSpreadVoters is the least number of voters in a system with at least that many
	// failure domains, so that the voters survive the loss of one failure domain.
	minSpreadVoters = 3
)

// Generate returns the configuration for the answers in q, which must have no findings. It
// does not modify q.
func Generate(q *pb.Questionnaire) *pb.Configuration {
	q = proto.CloneOf(q)
	slices.SortFunc(q.Endpoints, func(a, b *pb.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(q.Customers, func(a, b *pb.Customer) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(q.Targets, func(a, b *pb.Target) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(q.Work, func(a, b *pb.Work) int { return cmp.Compare(a.Name, b.Name) })
	return &pb.Configuration{
		Name: q.Name, FailureDomains: q.FailureDomains, VMs: q.VMs,
		Voters: chooseVoters(q), Targets: q.Targets, Endpoints: q.Endpoints,
		Customers: q.Customers, Work: q.Work, Operators: q.Operators,
		Policy: derivePolicy(q),
	}
}

// chooseVoters returns an odd number of voters among the VMs with a DataFolder. It picks
// one voter in each failure domain, alternating between regions, before it picks a second
// voter in any. docs/DESIGN.md compares the availability of the alternative placements.
func chooseVoters(q *pb.Questionnaire) []string {
	want := max(int(2*q.TolerateLostVMs+1), min(len(q.FailureDomains), minSpreadVoters))
	byDomain := map[string][]string{}
	for _, v := range q.VMs {
		if v.DataFolder != "" {
			byDomain[v.FailureDomain] = append(byDomain[v.FailureDomain], v.Name)
		}
	}
	var voters []string
	for round := 0; ; round++ {
		before := len(voters)
		for _, name := range interleaveRegions(q.FailureDomains) {
			if vms := byDomain[name]; round < len(vms) && len(voters) < want {
				voters = append(voters, vms[round])
			}
		}
		if len(voters) == before || len(voters) >= want {
			break
		}
	}
	if len(voters)%2 == 0 && len(voters) > 1 {
		voters = voters[:len(voters)-1]
	}
	return voters
}

// interleaveRegions returns the names of the failure domains, ordered so that they
// alternate between regions: the first of each region, then the second of each, and so on.
func interleaveRegions(domains []*pb.FailureDomain) []string {
	var regions []string
	byRegion := map[string][]string{}
	for _, f := range domains {
		if !slices.Contains(regions, f.Region) {
			regions = append(regions, f.Region)
		}
		byRegion[f.Region] = append(byRegion[f.Region], f.Name)
	}
	var ordered []string
	for round := 0; len(ordered) < len(domains); round++ {
		for _, r := range regions {
			if round < len(byRegion[r]) {
				ordered = append(ordered, byRegion[r][round])
			}
		}
	}
	return ordered
}

// derivePolicy returns the policy that follows from the answers. An importance of 3 gives
// the middle of each value's range.
func derivePolicy(q *pb.Questionnaire) *pb.Policy {
	movesWeight := float64(q.Importance.VersionMoves)
	warmWeight := float64(q.Importance.Recomputation+q.Importance.FirstToken) / 2
	domainsWeight := float64(q.Importance.FailureDomainService)
	queueFor := time.Duration(0)
	for _, w := range q.Work {
		queueFor = max(queueFor, w.QueueFor.AsDuration())
	}
	return &pb.Policy{
		// The more important recomputation and the first token are, the more load an
		// endpoint that has the prompt cached may have before calls go to another one.
		LoadBound: round3(1.10 + 0.15*warmWeight),
		// The more important version moves are, the less traffic a new version gets as
		// a canary, the more slowly its share rises, the fewer failures are accepted and
		// the longer it is watched.
		CanaryShare:     round3(0.10 / movesWeight),
		RampFactor:      round3(3.2 - 0.3*movesWeight),
		FalseAlarm:      0.005,
		MissedAlarm:     round3(0.01 / movesWeight),
		GoodFailureRate: 0.01,
		BadFailureRate:  round3(0.18 - 0.02*movesWeight),
		WatchFor:        durationpb.New(time.Duration(2+2*movesWeight) * time.Second),
		KeyRetention:    q.KeyRetention,
		QueueLimit:      uint32(64 + 32*domainsWeight),
		RetryPercent:    uint32(5 + 3*domainsWeight),
		WarmAfter:       durationpb.New(10 * time.Second),
		PoisonLimit:     2,
		CallTimeout:     durationpb.New(max(2*queueFor, 10*time.Second)),
		StreamTimeout:   durationpb.New(10 * time.Second),
	}
}

// round3 rounds x to three decimal places.
func round3(x float64) float64 { return math.Round(x*1000) / 1000 }

// ProcessSettings returns the settings of the process on each VM of c, in the order of the
// VMs.
func ProcessSettings(q *pb.Questionnaire, c *pb.Configuration) []*pb.ProcessSettings {
	var settings []*pb.ProcessSettings
	for _, v := range c.VMs {
		settings = append(settings, &pb.ProcessSettings{
			VM: v, Voters: NearestVoters(c, v.FailureDomain), Neighbours: VMsInFailureDomain(c, v.FailureDomain),
			SecretFile: q.SecretFile, Operators: q.Operators,
		})
	}
	return settings
}

// NearestVoters returns the VMs of the voters, ordered by their distance from a failure
// domain: first those in it, then those in its region, then the others.
func NearestVoters(c *pb.Configuration, domain string) []*pb.VM {
	regions := map[string]string{}
	for _, f := range c.FailureDomains {
		regions[f.Name] = f.Region
	}
	distance := func(v *pb.VM) int {
		switch {
		case v.FailureDomain == domain:
			return 0
		case regions[v.FailureDomain] == regions[domain]:
			return 1
		}
		return 2
	}
	var voters []*pb.VM
	for _, name := range c.Voters {
		if i := slices.IndexFunc(c.VMs, func(v *pb.VM) bool { return v.Name == name }); i >= 0 {
			voters = append(voters, c.VMs[i])
		}
	}
	slices.SortStableFunc(voters, func(a, b *pb.VM) int { return cmp.Compare(distance(a), distance(b)) })
	return voters
}

// VMsInFailureDomain returns the VMs of one failure domain, those with a DataFolder first.
func VMsInFailureDomain(c *pb.Configuration, domain string) []*pb.VM {
	var vms []*pb.VM
	for _, v := range c.VMs {
		if v.FailureDomain == domain {
			vms = append(vms, v)
		}
	}
	slices.SortStableFunc(vms, func(a, b *pb.VM) int {
		return cmp.Compare(diskRank(a), diskRank(b))
	})
	return vms
}

// diskRank returns the sort rank of v: 0 if it has a DataFolder, 1 if not.
func diskRank(v *pb.VM) int {
	if v.DataFolder != "" {
		return 0
	}
	return 1
}

func sortedNames(n nameSet) []string { return slices.Sorted(maps.Keys(n)) }
