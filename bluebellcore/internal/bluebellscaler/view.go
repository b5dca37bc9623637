package bluebellscaler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellscale"
)

const (
	// failingEntries and failingTime define an endpoint that cannot be reached although it registers, or did lately:
	// it failed at several entries, which may have lost their own links, and answered none. The time is shorter than
	// that of a shortage, so that the loss of many endpoints is noticed before calls have waited for long.
	failingEntries = 3
	failingTime    = time.Second
	// coverageTime is how long an entry or core process that no longer reports is missed. Afterwards it counts as
	// stopped, and its calls go through others.
	coverageTime = time.Minute
	// coveredShare is the share of the entries that must report: an entry in ten may be restarting.
	coveredShare = 0.9
	// readRate is the number of prompt tokens that engines are assumed to read per second. Entries assume the same
	// until they have an estimate. Known ones read 48,000 to 66,000: the assumption overstates the demand.
	readRate = 43_000
)

// coverage remembers how many entries and core processes have reported lately.
type coverage struct {
	entries map[string]time.Duration
	cores   []coreCount
}

// coreCount is the number of core processes that answered at a time.
type coreCount struct {
	at    time.Duration
	cores int
}

// complete reports whether the observations at the time now include what all entries have in flight. known is the
// number of core processes that may have entries of their own.
func (c *coverage) complete(now time.Duration, loads []bluebellfeed.PeerLoads, known int) bool {
	if c.entries == nil {
		c.entries = map[string]time.Duration{}
	}
	reporting := map[string]bool{}
	for _, l := range loads {
		for _, e := range l.Entries {
			reporting[e.Address] = true
			c.entries[e.Address] = now
		}
	}
	maps.DeleteFunc(c.entries, func(_ string, at time.Duration) bool { return now-at > coverageTime })
	// A new leader has not heard of the core processes that it misses: it waits as if they had just stopped.
	if len(c.cores) == 0 {
		c.cores = append(c.cores, coreCount{now, known})
	}
	c.cores = append(c.cores, coreCount{now, len(loads)})
	c.cores = slices.DeleteFunc(c.cores, func(n coreCount) bool { return now-n.at > coverageTime })
	most := slices.MaxFunc(c.cores, func(a, b coreCount) int { return cmp.Compare(a.cores, b.cores) }).cores
	return len(reporting) > 0 && float64(len(reporting)) >= coveredShare*float64(len(c.entries)) && len(loads) >= most
}

// view is what is observed at one moment.
type view struct {
	now       time.Duration
	endpoints []bluebellfleet.Endpoint
	uses      map[string]bluebellfeed.Use
	demands   []*pb.TargetDemand
	scales    []ScaleOrder
	out       []string
	complete  bool
}

// view observes the endpoints and their load.
func (s *Scaler) view() *view {
	deployment, _ := s.cfg.Deployment()
	loads := s.cfg.Loads()
	v := &view{
		now: s.cfg.Now(), endpoints: s.cfg.Registry.Endpoints(), uses: map[string]bluebellfeed.Use{},
		scales: AgreedScales(s.cfg.CoreState()), out: deployment.GetDomainsOut(),
	}
	for _, l := range loads {
		for _, u := range l.Uses {
			sum := v.uses[u.Endpoint]
			sum.Calls += u.Calls
			sum.Tokens += u.Tokens
			sum.Unread += u.Unread
			sum.Failing += u.Failing
			sum.AnsweredAt = max(sum.AnsweredAt, u.AnsweredAt)
			v.uses[u.Endpoint] = sum
		}
	}
	if s.cfg.Demands != nil {
		v.demands = s.cfg.Demands()
	}
	v.complete = s.cover.complete(v.now, loads, s.cfg.Cores())
	return v
}

// usable reports whether an endpoint serves calls now.
func (v *view) usable(e bluebellfleet.Endpoint) bool {
	if e.State != bluebellfleet.Serving || v.now-e.ReceivedAt > bluebellfeed.SilentAfter {
		return false
	}
	u := v.uses[e.ID]
	return u.Failing < failingEntries || v.now-u.AnsweredAt <= failingTime
}

// load returns the load of a target. Calls at an endpoint that cannot be reached do not count: they end without an
// answer or are sent elsewhere.
func (v *view) load(t bluebelldeployment.Target) bluebellscale.Load {
	var capacity bluebellscale.Capacity
	if t.Engine != nil {
		capacity = bluebellscale.Capacity{Tokens: t.Engine.Tokens, Slots: t.Engine.Slots, ReadRate: readRate, ReadsPrompts: true}
	}
	var endpoints []bluebellscale.EndpointLoad
	for _, e := range v.endpoints {
		if e.Target != t.Name {
			continue
		}
		if t.Engine == nil {
			capacity.Slots = max(capacity.Slots, e.Slots)
		}
		if e.State == bluebellfleet.Serving && !v.usable(e) {
			continue
		}
		u := v.uses[e.ID]
		endpoints = append(endpoints, bluebellscale.EndpointLoad{Calls: u.Calls, Tokens: u.Tokens, Unread: u.Unread})
	}
	var backlog bluebellscale.Backlog
	for _, d := range v.demands {
		if d.Target != t.Name {
			continue
		}
		backlog.Waiting += sum(d.Waiting)
		backlog.WaitingTokens += sum(d.WaitingTokens)
		backlog.Returning += sum(d.Returning)
	}
	return bluebellscale.Measure(capacity, endpoints, backlog)
}

func sum[T uint32 | uint64](list []T) int {
	total := 0
	for _, n := range list {
		total += int(n)
	}
	return total
}

// domains returns the state of a target in each failure domain where it runs or was ordered.
func (v *view) domains(target string) []bluebellscale.Domain {
	byName := map[string]*bluebellscale.Domain{}
	domain := func(name string) *bluebellscale.Domain {
		if byName[name] == nil {
			byName[name] = &bluebellscale.Domain{Name: name, Out: slices.Contains(v.out, name)}
		}
		return byName[name]
	}
	for _, o := range v.scales {
		if o.Target == target {
			domain(o.FailureDomain).Ordered = o.Endpoints
		}
	}
	for _, e := range v.endpoints {
		if e.Target != target || e.FailureDomain == "" || e.State != bluebellfleet.Serving {
			continue
		}
		d := domain(e.FailureDomain)
		d.Registered++
		if v.usable(e) {
			d.Usable++
		}
	}
	list := make([]bluebellscale.Domain, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, *byName[name])
	}
	return list
}
