package bluebelloverload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebelltier"
	"bluebellhaven.org/bluebellsim/bluebelleventqueue"
)

// Policy names a way to place prompts.
type Policy string

// The policies: the product's own placement, engines in turn, the engine with the fewest calls,
// and a hash of the prompt's subject.
const (
	Product     Policy = "Product"
	RoundRobin  Policy = "RoundRobin"
	LeastLoaded Policy = "LeastLoaded"
	PlainHash   Policy = "PlainHash"
)

// Policies returns all policies, the product's first.
func Policies() []Policy { return []Policy{Product, RoundRobin, LeastLoaded, PlainHash} }

const (
	// corePollInterval is the time between polls of the core processes by the entries, as in
	// bluebellfeed.
	corePollInterval = 200 * time.Millisecond
	// registrationInterval is the time between registrations of an endpoint.
	registrationInterval = 1200 * time.Millisecond
	// directoryDelay is the time until the directory (the index of the blocks in stores) has a
	// change of a store.
	directoryDelay = 300 * time.Millisecond
	// unreachableAfter is the time after which a store on the other side of a cut counts as
	// unreachable.
	unreachableAfter = 500 * time.Millisecond
	// rereadWindow is the time after a block was read during which it counts as reread.
	rereadWindow = 20 * time.Second
	// A refused caller retries after minRetryAfter and a random part of retryAfterSpread, as in
	// bluebellrelay.
	minRetryAfter    = 400 * time.Millisecond
	retryAfterSpread = 400 * time.Millisecond
	// warmUp is the time before the first call. It lets the directory list all stores.
	warmUp = 10 * time.Second
)

// Config describes a run.
type Config struct {
	Load   Load
	Policy Policy
	Seed   uint64
}

// call is the state of one call of a caller.
type call struct {
	kind      *CallKind
	subject   string
	entry     *entry
	arrivedAt time.Duration
	// receivedAt is when the present entry got the call. It differs from arrivedAt after a
	// retry, because entries do not know that another one refused the call.
	receivedAt time.Duration
	deadline   time.Duration
	// retried is set at the first refusal, after which the caller retries.
	retried  bool
	attempts int
	// tried lists the engines to which the present entry has sent the call.
	tried     []string
	choice    bluebellplacement.Choice
	cachePlan bluebelltier.Plan
	// fetched is set if the engine got the shared block from a store.
	fetched bool
	// inFlight is set while the entry's placer counts the call as sent.
	inFlight bool
	// mayHaveRun is set once the call has reached an engine, and begun once its first event has
	// come.
	mayHaveRun, begun bool
	ended             bool
}

// simulation is the state of one run.
type simulation struct {
	cfg            Config
	load           Load
	rand           *rand.Rand
	eventQueue     bluebelleventqueue.Queue
	report         *Report
	engines        map[string]*engine
	engineIDs      []string
	entries        []*entry
	entryNames     []string
	stores         map[string]*store
	storeNames     []string
	declaredStores []bluebelldeployment.Store
	directory      *bluebelldirectory.Directory
	// views holds the directory as each side of a cut sees it. Without a cut both are alike.
	views   [2]*bluebelldirectory.View
	cursors [2]uint64
	// cut is set while the first failure domain is cut off, and cutAt is when that began.
	cut   bool
	cutAt time.Duration
	// rateFactor multiplies the rate of arrivals.
	rateFactor float64
	// fetchSums holds the reported fetches in flight of each side, by store address.
	fetchSums [2]map[string]bluebelltier.Load
	// readAt is when some engine last read or used the shared block of a subject.
	readAt map[string]time.Duration
	// nextEngine counts the choices of RoundRobin.
	nextEngine int
}

// Run simulates one run and returns its report.
func Run(cfg Config) *Report {
	sim := &simulation{
		cfg: cfg, load: cfg.Load, rand: rand.New(rand.NewPCG(cfg.Seed, 7)), report: newReport(cfg),
		engines: map[string]*engine{}, stores: map[string]*store{}, directory: bluebelldirectory.New(), rateFactor: 1,
		readAt: map[string]time.Duration{}, views: [2]*bluebelldirectory.View{bluebelldirectory.NewView(), bluebelldirectory.NewView()},
	}
	sim.build()
	sim.registerEngines()
	sim.exchangeReports()
	end := warmUp + cfg.Load.Duration.Duration()
	for i := range sim.load.Kinds {
		sim.scheduleArrivals(&sim.load.Kinds[i], end)
	}
	for _, f := range cfg.Load.Troubles {
		sim.scheduleFault(f)
	}
	sim.eventQueue.Run(end + time.Minute)
	return sim.report
}

// build creates the engines, stores and entries.
func (sim *simulation) build() {
	for i := range sim.load.Engines {
		id := fmt.Sprintf("i-%02d", i)
		sim.engines[id] = &engine{sim: sim, id: id, domain: i % sim.load.Domains, blocks: map[string]*block{}}
		sim.engineIDs = append(sim.engineIDs, id)
	}
	for i := range sim.load.Stores {
		s := &store{address: fmt.Sprintf("s-%02d", i), domain: i % sim.load.Domains, blockTokens: map[string]int{}, slowdown: 1}
		sim.stores[s.address] = s
		sim.storeNames = append(sim.storeNames, s.address)
		sim.directory.Reset(s.address, nil, 0)
		sim.declaredStores = append(sim.declaredStores, bluebelldeployment.Store{
			Name: s.address, Address: s.address, FailureDomain: domainName(s.domain), Tokens: sim.load.StoreRoom, BytesPerSecond: sim.load.StoreBytesPerSecond,
		})
	}
	for i := range sim.load.Entries {
		sim.entries = append(sim.entries, sim.newEntry(i))
		sim.entryNames = append(sim.entryNames, sim.entries[i].name)
	}
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// side returns the index of the side of a cut on which a failure domain is.
func (sim *simulation) side(domain int) int {
	if domain == 0 {
		return 0
	}
	return 1
}

// cutBetween reports whether two failure domains cannot reach each other.
func (sim *simulation) cutBetween(a, b int) bool { return sim.cut && sim.side(a) != sim.side(b) }

// scheduleArrivals schedules the calls of a kind as a Poisson process until end.
func (sim *simulation) scheduleArrivals(k *CallKind, end time.Duration) {
	var next func()
	next = func() {
		if sim.eventQueue.Now() >= end {
			return
		}
		if sim.eventQueue.Now() >= warmUp {
			sim.arrive(k)
		}
		sim.eventQueue.After(time.Duration(sim.rand.ExpFloat64()/(k.PerSecond*sim.rateFactor)*float64(time.Second)), next)
	}
	sim.eventQueue.After(warmUp, next)
}

// arrive lets a new call of a kind arrive at a random entry.
func (sim *simulation) arrive(k *CallKind) {
	// Subjects are nearly equally frequent, as the users state. The exponent favours the first
	// ones a little.
	n := int(math.Pow(sim.rand.Float64(), 1.3) * float64(k.Subjects))
	c := &call{
		kind: k, subject: fmt.Sprintf("%s-%d", k.Name, n), entry: sim.entries[sim.rand.IntN(len(sim.entries))],
		arrivedAt: sim.eventQueue.Now(), receivedAt: sim.eventQueue.Now(), deadline: sim.eventQueue.Now() + k.Deadline.Duration(),
	}
	sim.report.recordArrival(sim.eventQueue.Now(), k)
	sim.eventQueue.After(k.Deadline.Duration(), func() {
		if !c.ended {
			sim.end(c, failed)
		}
	})
	sim.place(c)
}

// place passes a call to the policy of the run.
func (sim *simulation) place(c *call) {
	if sim.cfg.Policy == Product {
		c.entry.placeOrQueue(c)
		return
	}
	sim.placeByBaseline(c)
}

// deliver passes a call to its engine after the fetch of its shared block, if it has one.
func (sim *simulation) deliver(c *call, e *engine) {
	c.fetched = false
	delay := networkDelay
	if len(c.cachePlan.Fetch) > 0 && c.cachePlan.Fetch[0] != "" && e.blocks[c.subject] == nil {
		s := sim.stores[c.cachePlan.Fetch[0]]
		if s != nil && s.blockTokens[c.subject] > 0 && !sim.cutBetween(e.domain, s.domain) {
			c.fetched = true
			delay += s.fetch(sim.eventQueue.Now(), c.kind.SharedTokens, sim.load.StoreBytesPerSecond) - sim.eventQueue.Now()
		}
	}
	sim.eventQueue.After(delay, func() {
		if !c.ended {
			c.mayHaveRun = true
			e.enqueue(c)
		}
	})
}

// countRead counts the shared block of a call as read by an engine.
func (sim *simulation) countRead(c *call) {
	last, read := sim.readAt[c.subject]
	sim.report.ReadTokens += c.kind.SharedTokens
	if read && sim.eventQueue.Now()-last < rereadWindow {
		sim.report.RereadTokens += c.kind.SharedTokens
	}
	sim.readAt[c.subject] = sim.eventQueue.Now()
}

// saveBlock writes the shared block of a call that was read to the store of the call's plan, if
// there is room.
func (sim *simulation) saveBlock(c *call) {
	if len(c.cachePlan.Save) == 0 || c.cachePlan.Save[0] == "" {
		return
	}
	s := sim.stores[c.cachePlan.Save[0]]
	if s == nil || s.blockTokens[c.subject] > 0 || s.usedTokens+c.kind.SharedTokens > sim.load.StoreRoom {
		return
	}
	s.blockTokens[c.subject] = c.kind.SharedTokens
	s.usedTokens += c.kind.SharedTokens
	sim.eventQueue.After(directoryDelay, func() {
		if s.blockTokens[c.subject] > 0 {
			sim.directory.Add(s.address, bluebelldirectory.Block{
				Key: bluebelldirectory.Key{Scope: bluebelldirectory.Scope("", model, 1), ID: c.subject}, Tokens: c.kind.SharedTokens,
			})
		}
	})
}

// firstEvent records the first event of a call's answer from an engine.
func (sim *simulation) firstEvent(c *call, e *engine) {
	sim.readAt[c.subject] = sim.eventQueue.Now()
	if sim.cfg.Policy == Product && c.choice.Endpoint.ID == e.id {
		c.entry.placer.FirstEvent(c.choice, sim.eventQueue.Now())
		c.entry.cachePlanner.FetchesDone(c.cachePlan)
	}
	if !c.begun {
		c.begun = true
		sim.report.recordFirstEvent(c, sim.eventQueue.Now())
	}
}

// answer ends a call that an engine has answered.
func (sim *simulation) answer(c *call, e *engine) {
	if sim.cfg.Policy == Product && c.choice.Endpoint.ID == e.id {
		c.entry.attemptDone(c, bluebellplacement.Answered)
	}
	sim.end(c, answered)
}

// refuse ends a call as refused, or schedules the caller's only retry if the call has not run.
func (sim *simulation) refuse(q *queuedCall) {
	c := q.call
	if c.retried || c.mayHaveRun {
		sim.end(c, refused)
		return
	}
	c.retried, c.tried = true, nil
	sim.eventQueue.After(c.entry.returnAfter(q), func() {
		if !c.ended {
			c.entry, c.receivedAt = sim.entries[sim.rand.IntN(len(sim.entries))], sim.eventQueue.Now()
			sim.place(c)
		}
	})
}

// end ends a call and counts its outcome. Later calls of end have no effect.
func (sim *simulation) end(c *call, o outcome) {
	if c.ended {
		return
	}
	c.ended = true
	c.entry.attemptDone(c, bluebellplacement.Abandoned)
	sim.report.recordEnd(c, o)
}
