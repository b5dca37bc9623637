// Package bluebellrouting compares the product's router with simple routing policies and with
// a lower bound on the prompt blocks that must be computed. It runs in simulated time, with
// simulated engines (endpoints that run a model).
//
// # Usage
//
//	for _, policy := range bluebellrouting.Policies() {
//		report := bluebellrouting.Run(bluebellrouting.Config{Configuration: c, Target: "ledgers", Policy: policy, Seed: 1})
//	}
//
// All policies get the same callers. Each caller sends a long prompt, pauses, and sends it
// again with more text at its end. Some pauses are so long that the prompt has left the
// engine's cache. An engine computes one prompt at a time and caches the most recently used
// blocks (pieces of a prompt that are cached).
package bluebellrouting

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellroute"
	"bluebellhaven.org/bluebellsim/bluebelleventqueue"
)

// Policy names a way to choose an endpoint for each prompt.
type Policy string

// The policies: the product's router, endpoints in turn, the endpoint with the fewest calls,
// and a hash of the prompt's first block.
const (
	Router      Policy = "Router"
	RoundRobin  Policy = "RoundRobin"
	LeastLoaded Policy = "LeastLoaded"
	PlainHash   Policy = "PlainHash"
)

// Policies returns all policies, the product's first.
func Policies() []Policy { return []Policy{Router, RoundRobin, LeastLoaded, PlainHash} }

// Config describes a run.
type Config struct {
	Configuration *pb.Configuration
	Target        string
	Policy        Policy
	Seed          uint64
	// Callers is the number of concurrent conversations.
	Callers  int
	Duration time.Duration
	// CacheBlocks is the number of blocks that one engine can cache.
	CacheBlocks int
	// OutDomain is the failure domain that is out (gets no new calls) during the second third
	// of the run. If it is empty, all stay in.
	OutDomain string
}

// Report is the result of a run.
type Report struct {
	Policy Policy
	// First and Returning hold the times to the first token of the first prompts of
	// conversations, and of their later prompts.
	First, Returning Latencies
	// Before and During are the part of Returning from before the failure domain was taken
	// out, and from while it was out.
	Before, During Latencies
	// Blocks is the number of blocks in all prompts, and Computed the number that engines had
	// to compute. MinComputed is what engines with unlimited caches compute if each prompt
	// returns to the engine that had it before.
	Blocks, Computed, MinComputed int
	// LastCallAfterOut is the time from taking the failure domain out to the last call that
	// was sent to it while it was out.
	LastCallAfterOut time.Duration
}

// Latencies is an unordered list of times to the first token.
type Latencies []time.Duration

// Quantile returns the quantile of the list at a fraction between 0 and 1, or 0 if the list is
// empty.
func (l Latencies) Quantile(fraction float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(l))
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}

func (l Latencies) String() string {
	ms := func(fraction float64) string { return l.Quantile(fraction).Round(time.Millisecond).String() }
	return fmt.Sprintf("%d: median %s 95th %s 99th %s", len(l), ms(0.5), ms(0.95), ms(0.99))
}

func (r Report) String() string {
	return fmt.Sprintf("%-12s first %v\n             returning %v\n             recomputed %.1f %% of %d blocks, %.2f times the bound",
		r.Policy, r.First, r.Returning, 100*float64(r.Computed)/float64(r.Blocks), r.Blocks, float64(r.Computed)/float64(r.MinComputed))
}

const (
	// blockTime is the time in which an engine computes one block of a prompt.
	blockTime = 40 * time.Millisecond
	// tokenTime is the time in which an engine makes one token of an answer.
	tokenTime = 20 * time.Millisecond
	// minBlocks is the least size of a conversation's first prompt. A conversation ends with a
	// prompt of maxBlocks or more.
	minBlocks = 4
	maxBlocks = 40
	// meanPause is the mean of most pauses between the prompts of a conversation, and
	// meanLongPause the mean of the share longPauseShare of them.
	meanPause      = 60 * time.Second
	meanLongPause  = 10 * time.Minute
	longPauseShare = 0.1
	// shortPauseShare is the share of pauses that last one second.
	shortPauseShare = 0.05
	// largeCustomerShare is the share of conversations that are given to two large customers.
	largeCustomerShare = 0.5
	// updateDelay is the time until all entries apply a failure domain that is taken out or in.
	updateDelay = 100 * time.Millisecond
)

// engine simulates one endpoint with a cache of blocks.
type engine struct {
	name string
	// freeAt is when the engine has computed all prompts that it got.
	freeAt time.Duration
	// lru holds the cached blocks, the most recently used first.
	lru      *list.List
	blocks   map[uint64]*list.Element
	capacity int
	// running is the number of calls that the engine has not finished.
	running int
}

// run queues a prompt, and returns the time of its first token and the number of blocks that
// were not cached.
func (e *engine) run(now time.Duration, prompt []uint64) (firstToken time.Duration, computed int) {
	cached := 0
	for cached < len(prompt) && e.blocks[prompt[cached]] != nil {
		cached++
	}
	for _, b := range slices.Backward(prompt) {
		if at := e.blocks[b]; at != nil {
			e.lru.MoveToFront(at)
			continue
		}
		e.blocks[b] = e.lru.PushFront(b)
	}
	for e.lru.Len() > e.capacity {
		oldest := e.lru.Back()
		delete(e.blocks, oldest.Value.(uint64))
		e.lru.Remove(oldest)
	}
	computed = len(prompt) - cached
	e.freeAt = max(e.freeAt, now) + time.Duration(computed)*blockTime
	return e.freeAt + tokenTime, computed
}

// simulation is the state of one run.
type simulation struct {
	cfg    Config
	rand   *rand.Rand
	queue  bluebelleventqueue.Queue
	report Report
	// engines and domains (failure domains) are indexed by the endpoint's name.
	engines map[string]*engine
	domains map[string]string
	// names lists the target's endpoints, and usable those whose failure domain is in.
	names, usable []string
	// routers holds the router of each VM's entry.
	routers map[string]*bluebellroute.Router
	vms     []string
	// nextEndpoint counts the choices of RoundRobin.
	nextEndpoint int
	lastPromptID uint64
	// out is set while the failure domain is out, and outAt is when that last changed.
	out   bool
	outAt time.Duration
}

// Run simulates one run and returns its report. It panics if the router finds no endpoint.
func Run(cfg Config) Report {
	s := &simulation{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 3)), report: Report{Policy: cfg.Policy},
		engines: map[string]*engine{}, domains: map[string]string{}, routers: map[string]*bluebellroute.Router{},
	}
	for _, e := range cfg.Configuration.Endpoints {
		if e.Target == cfg.Target {
			s.engines[e.Name] = &engine{name: e.Name, lru: list.New(), blocks: map[uint64]*list.Element{}, capacity: cfg.CacheBlocks}
			s.names = append(s.names, e.Name)
			s.domains[e.Name] = e.FailureDomain
		}
	}
	for _, v := range cfg.Configuration.VMs {
		s.vms = append(s.vms, v.Name)
		s.routers[v.Name] = bluebellroute.NewRouter(bluebellroute.Config{VM: v.Name, LoadBound: cfg.Configuration.Policy.LoadBound})
	}
	s.setOut(false)
	for i := range cfg.Callers {
		s.queue.After(time.Duration(s.rand.Float64()*float64(meanPause)), func() { s.startConversation(i) })
	}
	if cfg.OutDomain != "" {
		s.queue.After(cfg.Duration/3, func() { s.setOut(true) })
		s.queue.After(2*cfg.Duration/3, func() { s.setOut(false) })
	}
	s.queue.Run(cfg.Duration)
	return s.report
}

// setOut takes the failure domain out or in. All entries apply this after updateDelay, or at
// once at time 0.
func (s *simulation) setOut(out bool) {
	s.out, s.outAt = out, s.queue.Now()
	apply := func() {
		view := &pb.View{Revision: 1, Configuration: s.cfg.Configuration}
		if out {
			view.FailureDomainsOut = []string{s.cfg.OutDomain}
		}
		health := map[string]*pb.EndpointHealth{}
		s.usable = nil
		for _, t := range s.cfg.Configuration.Targets {
			view.Versions = append(view.Versions, &pb.TargetVersion{Target: t.Name, Version: t.Version})
		}
		for _, e := range s.cfg.Configuration.Endpoints {
			health[e.Name] = &pb.EndpointHealth{Endpoint: e.Name, State: pb.HealthState_Ready, Versions: []string{"v1"}, Incarnation: "1"}
		}
		for _, name := range s.names {
			if !out || s.domains[name] != s.cfg.OutDomain {
				s.usable = append(s.usable, name)
			}
		}
		for _, r := range s.routers {
			r.SetTable(bluebellroute.BuildTable(bluebellroute.TableInput{View: view, Health: health}))
		}
	}
	if s.queue.Now() == 0 {
		apply()
		return
	}
	s.queue.After(updateDelay, apply)
}

// startConversation sends the first prompt of a new conversation of a caller.
func (s *simulation) startConversation(caller int) {
	customer := fmt.Sprint("customer", caller%10)
	if s.rand.Float64() < largeCustomerShare {
		customer = fmt.Sprint("customer", caller%2)
	}
	s.lastPromptID++
	id := s.lastPromptID
	size := minBlocks + s.rand.IntN(minBlocks)
	s.sendPrompt(caller, customer, id, size, 0)
}

// promptBlocks returns the IDs of the blocks of a prompt. Prompts of one conversation share
// their first blocks.
func promptBlocks(id uint64, size int) []uint64 {
	blocks := make([]uint64, size)
	for i := range blocks {
		blocks[i] = id<<16 | uint64(i)
	}
	return blocks
}

// sendPrompt sends a prompt of size blocks, of which the conversation has sent the first
// sentBefore, and schedules the next prompt.
func (s *simulation) sendPrompt(caller int, customer string, id uint64, size, sentBefore int) {
	prompt := promptBlocks(id, size)
	vm := s.vms[s.rand.IntN(len(s.vms))]
	name, recordAnswer := s.choose(vm, prompt)
	if s.out && s.domains[name] == s.cfg.OutDomain {
		s.report.LastCallAfterOut = max(s.report.LastCallAfterOut, s.queue.Now()-s.outAt)
	}
	e := s.engines[name]
	at, computed := e.run(s.queue.Now(), prompt)
	e.running++
	firstToken := at - s.queue.Now()
	s.report.Blocks += size
	s.report.Computed += computed
	s.report.MinComputed += size - sentBefore
	if sentBefore == 0 {
		s.report.First = append(s.report.First, firstToken)
	} else {
		s.report.Returning = append(s.report.Returning, firstToken)
		switch {
		case s.out:
			s.report.During = append(s.report.During, firstToken)
		case s.outAt == 0:
			s.report.Before = append(s.report.Before, firstToken)
		}
	}
	s.queue.After(firstToken, func() { recordAnswer(size-computed, firstToken) })
	s.queue.After(firstToken+50*tokenTime, func() {
		e.running--
		if size >= maxBlocks {
			s.startConversation(caller)
			return
		}
		s.queue.After(s.pause(), func() { s.sendPrompt(caller, customer, id, size+1+s.rand.IntN(3), size) })
	})
}

// pause returns a random time between an answer and the caller's next prompt.
func (s *simulation) pause() time.Duration {
	switch x := s.rand.Float64(); {
	case x < shortPauseShare:
		return time.Second
	case x < shortPauseShare+longPauseShare:
		return time.Duration(s.rand.ExpFloat64() * float64(meanLongPause))
	}
	return time.Duration(s.rand.ExpFloat64() * float64(meanPause))
}

// choose returns the endpoint that the policy picks for a prompt, and a function to call with
// the number of cached blocks and the time to the first token.
func (s *simulation) choose(vm string, prompt []uint64) (string, func(cached int, firstToken time.Duration)) {
	ignore := func(int, time.Duration) {}
	switch s.cfg.Policy {
	case RoundRobin:
		s.nextEndpoint++
		return s.usable[s.nextEndpoint%len(s.usable)], ignore
	case LeastLoaded:
		least := s.usable[0]
		for _, name := range s.usable {
			if s.engines[name].running < s.engines[least].running {
				least = name
			}
		}
		return least, ignore
	case PlainHash:
		h := prompt[0] * 0x9e3779b97f4a7c15
		return s.usable[h>>33%uint64(len(s.usable))], ignore
	}
	return s.route(vm, prompt)
}

// route asks the router of the entry that got the call. The entry forwards the call to an owner
// of the endpoint (an entry that sends calls to it), unless it is that owner itself; the routers
// of both count the call as pending.
func (s *simulation) route(vm string, prompt []uint64) (string, func(int, time.Duration)) {
	q := bluebellroute.Query{Target: s.cfg.Target}
	for _, b := range prompt {
		// The multiplication spreads the small IDs over 64 bits, as hashes of prompts are.
		q.Blocks = append(q.Blocks, bluebellroute.Block(b*0x9e3779b97f4a7c15^b>>7))
	}
	r := s.routers[vm]
	d, err := r.Pick(s.queue.Now(), &q)
	if err != nil {
		panic(err)
	}
	r.AddPending(&d)
	owner := s.routers[d.Owner]
	ahead := owner.PendingBlocks(d.Endpoint.Name) * len(d.Endpoint.Owners)
	if d.Owner != vm {
		owner.AddPending(&d)
	}
	return d.Endpoint.Name, func(cached int, firstToken time.Duration) {
		r.RemovePending(&d)
		if d.Owner != vm {
			owner.RemovePending(&d)
			r.RecordOwnerLoad(s.queue.Now(), d.Endpoint.Name, owner.PendingBlocks(d.Endpoint.Name))
			r.RecordAnswer(s.queue.Now(), &d, cached, 0, 0)
		}
		owner.RecordAnswer(s.queue.Now(), &d, cached, ahead, firstToken)
	}
}
