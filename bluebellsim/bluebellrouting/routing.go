// Package bluebellrouting measures routing against simple baselines and against a
// bound that knows everything, with small stand-ins for engines, on simulated
// time.
//
// # Usage
//
//	for _, policy := range bluebellrouting.Policies() {
//		report := bluebellrouting.Run(bluebellrouting.Config{Configuration: c, Target: "ledgers", Policy: policy, Seed: 1})
//	}
//
// All policies get the same callers: each sends a long prompt, pauses for longer
// than accelerator memory keeps it with some chance, and returns with more. An
// engine computes one prompt after the other and keeps the blocks used last.
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

// Policy is a way to choose endpoints.
type Policy string

// The policies. Router is the product's own.
const (
	Router      Policy = "Router"
	RoundRobin  Policy = "RoundRobin"
	LeastLoaded Policy = "LeastLoaded"
	PlainHash   Policy = "PlainHash"
)

// Policies lists all.
func Policies() []Policy { return []Policy{Router, RoundRobin, LeastLoaded, PlainHash} }

// Config sets up a run.
type Config struct {
	Configuration *pb.Configuration
	Target        string
	Policy        Policy
	Seed          uint64
	// Callers are conversations at the same time.
	Callers  int
	Duration time.Duration
	// CacheBlocks is the memory of one engine.
	CacheBlocks int
	// OutDomain is taken out for the second third of the run, if set.
	OutDomain string
}

// Report is what a run showed.
type Report struct {
	Policy           Policy
	First, Returning Times
	// Before and During hold the returning prompts before the failure domain was
	// taken out, and while it was out.
	Before, During Times
	// Blocks in all prompts; Computed of them; Bound is the least that must be
	// computed with endless memory and every prompt sent back to where it was.
	Blocks, Computed, Bound int
	// WorstOut is the latest call that was sent to the failure domain after it was
	// taken out.
	WorstOut time.Duration
}

// Times is a row of times.
type Times []time.Duration

// At returns the time that a part of the others do not exceed.
func (t Times) At(part float64) time.Duration {
	if len(t) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

func (t Times) String() string {
	ms := func(part float64) string { return t.At(part).Round(time.Millisecond).String() }
	return fmt.Sprintf("%d: median %s 95th %s 99th %s", len(t), ms(0.5), ms(0.95), ms(0.99))
}

func (r Report) String() string {
	return fmt.Sprintf("%-12s first %v\n             returning %v\n             recomputed %.1f %% of %d blocks, %.2f times the bound",
		r.Policy, r.First, r.Returning, 100*float64(r.Computed)/float64(r.Blocks), r.Blocks, float64(r.Computed)/float64(r.Bound))
}

const (
	blockTime   = 40 * time.Millisecond
	tokenTime   = 20 * time.Millisecond
	minBlocks   = 4
	maxBlocks   = 40
	meanPause   = 60 * time.Second
	longPause   = 10 * time.Minute
	longPauses  = 0.1 // share of pauses that are long
	bursts      = 0.05
	largeShare  = 0.5 // of conversations that a few large customers have
	healthDelay = 100 * time.Millisecond
)

// engine is the stand-in of one endpoint.
type engine struct {
	name     string
	freeAt   time.Duration
	order    *list.List
	blocks   map[uint64]*list.Element
	capacity int
	running  int
}

// run computes a prompt, and returns the time of its first token and the blocks
// that it had to compute.
func (e *engine) run(now time.Duration, prompt []uint64) (firstToken time.Duration, computed int) {
	held := 0
	for held < len(prompt) && e.blocks[prompt[held]] != nil {
		held++
	}
	for _, b := range slices.Backward(prompt) {
		if at := e.blocks[b]; at != nil {
			e.order.MoveToFront(at)
			continue
		}
		e.blocks[b] = e.order.PushFront(b)
	}
	for e.order.Len() > e.capacity {
		oldest := e.order.Back()
		delete(e.blocks, oldest.Value.(uint64))
		e.order.Remove(oldest)
	}
	computed = len(prompt) - held
	e.freeAt = max(e.freeAt, now) + time.Duration(computed)*blockTime
	return e.freeAt + tokenTime, computed
}

type world struct {
	cfg     Config
	rand    *rand.Rand
	agenda  bluebelleventqueue.Agenda
	report  Report
	engines map[string]*engine
	domains map[string]string
	// names of the target's endpoints, and of those in use
	names, usable []string
	routers       map[string]*bluebellroute.Router
	vms           []string
	next          int
	nextPrompt    uint64
	out           bool
	outAt         time.Duration
}

// Run carries out one run.
func Run(cfg Config) Report {
	w := &world{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 3)), report: Report{Policy: cfg.Policy},
		engines: map[string]*engine{}, domains: map[string]string{}, routers: map[string]*bluebellroute.Router{},
	}
	for _, e := range cfg.Configuration.Endpoints {
		if e.Target == cfg.Target {
			w.engines[e.Name] = &engine{name: e.Name, order: list.New(), blocks: map[uint64]*list.Element{}, capacity: cfg.CacheBlocks}
			w.names = append(w.names, e.Name)
			w.domains[e.Name] = e.FailureDomain
		}
	}
	for _, v := range cfg.Configuration.VMs {
		w.vms = append(w.vms, v.Name)
		w.routers[v.Name] = bluebellroute.NewRouter(bluebellroute.Config{VM: v.Name, LoadBound: cfg.Configuration.Policy.LoadBound})
	}
	w.setOut(false)
	for i := range cfg.Callers {
		w.agenda.After(time.Duration(w.rand.Float64()*float64(meanPause)), func() { w.conversation(i) })
	}
	if cfg.OutDomain != "" {
		w.agenda.After(cfg.Duration/3, func() { w.setOut(true) })
		w.agenda.After(2*cfg.Duration/3, func() { w.setOut(false) })
	}
	w.agenda.Run(cfg.Duration)
	return w.report
}

// setOut takes the failure domain out or in at all entries, a little later.
func (w *world) setOut(out bool) {
	w.out, w.outAt = out, w.agenda.Now()
	apply := func() {
		view := &pb.View{Revision: 1, Configuration: w.cfg.Configuration}
		if out {
			view.FailureDomainsOut = []string{w.cfg.OutDomain}
		}
		health := map[string]*pb.EndpointHealth{}
		w.usable = nil
		for _, t := range w.cfg.Configuration.Targets {
			view.Versions = append(view.Versions, &pb.TargetVersion{Target: t.Name, Version: t.Version})
		}
		for _, e := range w.cfg.Configuration.Endpoints {
			health[e.Name] = &pb.EndpointHealth{Endpoint: e.Name, State: pb.HealthState_Ready, Versions: []string{"v1"}, Incarnation: "1"}
		}
		for _, name := range w.names {
			if !out || w.domains[name] != w.cfg.OutDomain {
				w.usable = append(w.usable, name)
			}
		}
		for _, r := range w.routers {
			r.SetTable(bluebellroute.BuildTable(bluebellroute.TableInput{View: view, Health: health}))
		}
	}
	if w.agenda.Now() == 0 {
		apply()
		return
	}
	w.agenda.After(healthDelay, apply)
}

// conversation sends one prompt again and again, longer each time.
func (w *world) conversation(caller int) {
	customer := fmt.Sprint("customer", caller%10)
	if w.rand.Float64() < largeShare {
		customer = fmt.Sprint("customer", caller%2)
	}
	w.nextPrompt++
	id := w.nextPrompt
	size := minBlocks + w.rand.IntN(minBlocks)
	w.visit(caller, customer, id, size, 0)
}

// promptBlocks names the blocks of a conversation's prompt.
func promptBlocks(id uint64, size int) []uint64 {
	blocks := make([]uint64, size)
	for i := range blocks {
		blocks[i] = id<<16 | uint64(i)
	}
	return blocks
}

func (w *world) visit(caller int, customer string, id uint64, size, seen int) {
	prompt := promptBlocks(id, size)
	vm := w.vms[w.rand.IntN(len(w.vms))]
	name, learn := w.choose(vm, prompt)
	if w.out && w.domains[name] == w.cfg.OutDomain {
		w.report.WorstOut = max(w.report.WorstOut, w.agenda.Now()-w.outAt)
	}
	e := w.engines[name]
	at, computed := e.run(w.agenda.Now(), prompt)
	e.running++
	firstToken := at - w.agenda.Now()
	w.report.Blocks += size
	w.report.Computed += computed
	w.report.Bound += size - seen
	if seen == 0 {
		w.report.First = append(w.report.First, firstToken)
	} else {
		w.report.Returning = append(w.report.Returning, firstToken)
		switch {
		case w.out:
			w.report.During = append(w.report.During, firstToken)
		case w.outAt == 0:
			w.report.Before = append(w.report.Before, firstToken)
		}
	}
	w.agenda.After(firstToken, func() { learn(size-computed, firstToken) })
	w.agenda.After(firstToken+50*tokenTime, func() {
		e.running--
		if size >= maxBlocks {
			w.conversation(caller)
			return
		}
		w.agenda.After(w.pause(), func() { w.visit(caller, customer, id, size+1+w.rand.IntN(3), size) })
	})
}

// pause is the time until a caller returns; some come back at once, some late.
func (w *world) pause() time.Duration {
	switch x := w.rand.Float64(); {
	case x < bursts:
		return time.Second
	case x < bursts+longPauses:
		return time.Duration(w.rand.ExpFloat64() * float64(longPause))
	}
	return time.Duration(w.rand.ExpFloat64() * float64(meanPause))
}

// choose picks an endpoint, and returns what to do with the answer.
func (w *world) choose(vm string, prompt []uint64) (string, func(cached int, firstToken time.Duration)) {
	nothing := func(int, time.Duration) {}
	switch w.cfg.Policy {
	case RoundRobin:
		w.next++
		return w.usable[w.next%len(w.usable)], nothing
	case LeastLoaded:
		least := w.usable[0]
		for _, name := range w.usable {
			if w.engines[name].running < w.engines[least].running {
				least = name
			}
		}
		return least, nothing
	case PlainHash:
		h := prompt[0] * 0x9e3779b97f4a7c15
		return w.usable[h>>33%uint64(len(w.usable))], nothing
	}
	return w.route(vm, prompt)
}

// route asks the product's router, at the entry that got the call and, if that is
// another one, at the owner.
func (w *world) route(vm string, prompt []uint64) (string, func(int, time.Duration)) {
	q := bluebellroute.Query{Target: w.cfg.Target}
	for _, b := range prompt {
		// Spreads the small numbers of the stand-in as real hashes are.
		q.Blocks = append(q.Blocks, bluebellroute.Block(b*0x9e3779b97f4a7c15^b>>7))
	}
	r := w.routers[vm]
	d, err := r.Pick(w.agenda.Now(), &q)
	if err != nil {
		panic(err)
	}
	r.AddPending(&d)
	owner := w.routers[d.Owner]
	ahead := owner.PendingBlocks(d.Endpoint.Name) * len(d.Endpoint.Owners)
	if d.Owner != vm {
		owner.AddPending(&d)
	}
	return d.Endpoint.Name, func(cached int, firstToken time.Duration) {
		r.RemovePending(&d)
		if d.Owner != vm {
			owner.RemovePending(&d)
			r.RecordOwnerLoad(w.agenda.Now(), d.Endpoint.Name, owner.PendingBlocks(d.Endpoint.Name))
			r.RecordAnswer(w.agenda.Now(), &d, cached, 0, 0)
		}
		owner.RecordAnswer(w.agenda.Now(), &d, cached, ahead, firstToken)
	}
}
