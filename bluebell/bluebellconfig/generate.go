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
	// maxVoters bounds the voters: more cost each change more, and their quorum is
	// cut off from more of them when regions part.
	maxVoters = 7
	// spreadVoters is the least number of voters where there are as many failure
	// domains, so that the loss of one of them is survived.
	spreadVoters = 3
)

// Generate makes the configuration from checked answers.
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
		Policy: policy(q),
	}
}

// chooseVoters spreads an odd number of voters over the failure domains, one in
// each before a second in any. docs/DESIGN.md has the availability of the ways
// that were weighed.
func chooseVoters(q *pb.Questionnaire) []string {
	want := max(int(2*q.TolerateLostVMs+1), min(len(q.FailureDomains), spreadVoters))
	byDomain := map[string][]string{}
	for _, v := range q.VMs {
		if v.DataFolder != "" {
			byDomain[v.FailureDomain] = append(byDomain[v.FailureDomain], v.Name)
		}
	}
	var voters []string
	for round := 0; ; round++ {
		before := len(voters)
		for _, name := range roundRegions(q.FailureDomains) {
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

// roundRegions orders failure domains so that one region follows another.
func roundRegions(domains []*pb.FailureDomain) []string {
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

// policy derives the values that the answers imply. An importance of 3 gives
// the middle of each range.
func policy(q *pb.Questionnaire) *pb.Policy {
	moves := float64(q.Importance.VersionMoves)
	warm := float64(q.Importance.Recomputation+q.Importance.FirstToken) / 2
	domains := float64(q.Importance.FailureDomainService)
	queueFor := time.Duration(0)
	for _, w := range q.Work {
		queueFor = max(queueFor, w.QueueFor.AsDuration())
	}
	return &pb.Policy{
		// Teams that weigh recomputation let a warm endpoint grow busier before
		// its callers are sent elsewhere.
		LoadBound: round3(1.10 + 0.15*warm),
		// Teams that weigh version moves show a new version less traffic, raise
		// it more slowly, accept fewer failures and watch it longer.
		CanaryShare:     round3(0.10 / moves),
		RampFactor:      round3(3.2 - 0.3*moves),
		FalseAlarm:      0.005,
		MissedAlarm:     round3(0.01 / moves),
		GoodFailureRate: 0.01,
		BadFailureRate:  round3(0.18 - 0.02*moves),
		WatchFor:        durationpb.New(time.Duration(2+2*moves) * time.Second),
		KeyRetention:    q.KeyRetention,
		QueueLimit:      uint32(64 + 32*domains),
		RetryPercent:    uint32(5 + 3*domains),
		WarmAfter:       durationpb.New(10 * time.Second),
		PoisonLimit:     2,
		CallTimeout:     durationpb.New(max(2*queueFor, 10*time.Second)),
		StreamTimeout:   durationpb.New(10 * time.Second),
	}
}

func round3(x float64) float64 { return math.Round(x*1000) / 1000 }

// ProcessSettings returns the settings of each VM's process, in the order of
// the answers.
func ProcessSettings(q *pb.Questionnaire, c *pb.Configuration) []*pb.ProcessSettings {
	var all []*pb.ProcessSettings
	for _, v := range c.VMs {
		all = append(all, &pb.ProcessSettings{
			VM: v, Voters: NearestVoters(c, v.FailureDomain), Neighbours: VMsInFailureDomain(c, v.FailureDomain),
			SecretFile: q.SecretFile, Operators: q.Operators,
		})
	}
	return all
}

// NearestVoters returns the voters as seen from a failure domain: those in it, those
// of its region, then the others.
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

// VMsInFailureDomain returns the VMs of one failure domain, those with a disk first.
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

func diskRank(v *pb.VM) int {
	if v.DataFolder != "" {
		return 0
	}
	return 1
}

func sortedNames(n names) []string { return slices.Sorted(maps.Keys(n)) }
