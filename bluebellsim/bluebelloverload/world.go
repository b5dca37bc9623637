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

// Policy is a way to place prompts.
type Policy string

// The policies. Product is the product's own.
const (
	Product     Policy = "Product"
	RoundRobin  Policy = "RoundRobin"
	LeastLoaded Policy = "LeastLoaded"
	PlainHash   Policy = "PlainHash"
)

// Policies lists all.
func Policies() []Policy { return []Policy{Product, RoundRobin, LeastLoaded, PlainHash} }

const (
	// newsEvery is how often entries and core processes tell each other what they know; see
	// bluebellfeed.
	newsEvery = 200 * time.Millisecond
	// heartbeatEvery is how often endpoints register.
	heartbeatEvery = 1200 * time.Millisecond
	// eventDelay is how late the directory hears of a block.
	eventDelay = 300 * time.Millisecond
	// cutNoticedAfter is how long it takes to notice that a store cannot be reached.
	cutNoticedAfter = 500 * time.Millisecond
	// againWithin is how long a block counts as read again after it was read.
	againWithin = 20 * time.Second
	// firstReturn and returnSpread are when refused callers come back; see bluebellrelay.
	firstReturn  = 400 * time.Millisecond
	returnSpread = 400 * time.Millisecond
	// warmUp is the time before the first call, in which stores settle.
	warmUp = 10 * time.Second
)

// Config sets up a run.
type Config struct {
	Load   Load
	Policy Policy
	Seed   uint64
}

// call is one call of a caller, with its way through the system.
type call struct {
	kind      *Kind
	subject   string
	entry     *entry
	arrivedAt time.Duration
	// takenAt is when its present entry got it: entries do not know that it was refused by
	// another one.
	takenAt  time.Duration
	deadline time.Duration
	returned bool
	attempts int
	tried    []string
	choice   bluebellplacement.Choice
	plan     bluebelltier.Plan
	// fetched is set if the engine got the shared blocks from a store.
	fetched bool
	// inFlight is set while its entry counts it as sent.
	inFlight bool
	// ran is set once an engine may have begun it, begun once its first event has come.
	ran, begun bool
	over       bool
}

type world struct {
	cfg        Config
	load       Load
	rand       *rand.Rand
	agenda     bluebelleventqueue.Agenda
	report     *Report
	engines    map[string]*engine
	names      []string
	entries    []*entry
	entryNames []string
	stores     map[string]*store
	storeNames []string
	declared   []bluebelldeployment.Store
	directory  *bluebelldirectory.Directory
	// views of the two sides of a cut; without one both are alike.
	views    [2]*bluebelldirectory.View
	cursors  [2]uint64
	cut      bool
	cutAt    time.Duration
	rate     float64
	fetchSum [2]map[string]bluebelltier.Load
	readAt   map[string]time.Duration
	turn     int
}

// Run carries out one run.
func Run(cfg Config) *Report {
	w := &world{
		cfg: cfg, load: cfg.Load, rand: rand.New(rand.NewPCG(cfg.Seed, 7)), report: newReport(cfg),
		engines: map[string]*engine{}, stores: map[string]*store{}, directory: bluebelldirectory.New(), rate: 1,
		readAt: map[string]time.Duration{}, views: [2]*bluebelldirectory.View{bluebelldirectory.NewView(), bluebelldirectory.NewView()},
	}
	w.build()
	w.heartbeat()
	w.news()
	end := warmUp + cfg.Load.Duration.Duration()
	for i := range w.load.Kinds {
		w.arrivals(&w.load.Kinds[i], end)
	}
	for _, t := range cfg.Load.Troubles {
		w.plan(t)
	}
	w.agenda.Run(end + time.Minute)
	return w.report
}

func (w *world) build() {
	for i := range w.load.Engines {
		id := fmt.Sprintf("i-%02d", i)
		w.engines[id] = &engine{w: w, id: id, domain: i % w.load.Domains, blocks: map[string]*block{}}
		w.names = append(w.names, id)
	}
	for i := range w.load.Stores {
		s := &store{address: fmt.Sprintf("s-%02d", i), domain: i % w.load.Domains, held: map[string]int{}, slowness: 1}
		w.stores[s.address] = s
		w.storeNames = append(w.storeNames, s.address)
		w.directory.Reset(s.address, nil, 0)
		w.declared = append(w.declared, bluebelldeployment.Store{
			Name: s.address, Address: s.address, FailureDomain: domainName(s.domain), Tokens: w.load.StoreRoom, BytesPerSecond: w.load.StoreBytesPerSecond,
		})
	}
	for i := range w.load.Entries {
		w.entries = append(w.entries, w.newEntry(i))
		w.entryNames = append(w.entryNames, w.entries[i].name)
	}
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// side tells on which side of the cut a failure domain is.
func (w *world) side(domain int) int {
	if domain == 0 {
		return 0
	}
	return 1
}

func (w *world) isCut(a, b int) bool { return w.cut && w.side(a) != w.side(b) }

// arrivals lets the calls of a kind come, each second evenly spread by chance.
func (w *world) arrivals(k *Kind, end time.Duration) {
	var next func()
	next = func() {
		if w.agenda.Now() >= end {
			return
		}
		if w.agenda.Now() >= warmUp {
			w.arrive(k)
		}
		w.agenda.After(time.Duration(w.rand.ExpFloat64()/(k.PerSecond*w.rate)*float64(time.Second)), next)
	}
	w.agenda.After(warmUp, next)
}

func (w *world) arrive(k *Kind) {
	// Subjects are nearly equally popular, as in the users' sheets.
	n := int(math.Pow(w.rand.Float64(), 1.3) * float64(k.Subjects))
	c := &call{
		kind: k, subject: fmt.Sprintf("%s-%d", k.Name, n), entry: w.entries[w.rand.IntN(len(w.entries))],
		arrivedAt: w.agenda.Now(), takenAt: w.agenda.Now(), deadline: w.agenda.Now() + k.Deadline.Duration(),
	}
	w.report.asked(w.agenda.Now(), k)
	w.agenda.After(k.Deadline.Duration(), func() {
		if !c.over {
			w.end(c, failed)
		}
	})
	w.place(c)
}

func (w *world) place(c *call) {
	if w.cfg.Policy == Product {
		c.entry.take(c)
		return
	}
	w.baseline(c)
}

// carry brings a call to its engine, behind its fetch.
func (w *world) carry(c *call, e *engine) {
	c.fetched = false
	delay := wayThere
	if len(c.plan.Fetch) > 0 && c.plan.Fetch[0] != "" && e.blocks[c.subject] == nil {
		s := w.stores[c.plan.Fetch[0]]
		if s != nil && s.held[c.subject] > 0 && !w.isCut(e.domain, s.domain) {
			c.fetched = true
			delay += s.fetch(w.agenda.Now(), c.kind.SharedTokens, w.load.StoreBytesPerSecond) - w.agenda.Now()
		}
	}
	w.agenda.After(delay, func() {
		if !c.over {
			c.ran = true
			e.arrive(c)
		}
	})
}

// noteRead counts shared tokens that an engine reads.
func (w *world) noteRead(c *call) {
	last, read := w.readAt[c.subject]
	w.report.Read += c.kind.SharedTokens
	if read && w.agenda.Now()-last < againWithin {
		w.report.Again += c.kind.SharedTokens
	}
	w.readAt[c.subject] = w.agenda.Now()
}

// saved writes the shared block of a call that was read to its store.
func (w *world) saved(c *call) {
	if len(c.plan.Save) == 0 || c.plan.Save[0] == "" {
		return
	}
	s := w.stores[c.plan.Save[0]]
	if s == nil || s.held[c.subject] > 0 || s.used+c.kind.SharedTokens > w.load.StoreRoom {
		return
	}
	s.held[c.subject] = c.kind.SharedTokens
	s.used += c.kind.SharedTokens
	w.agenda.After(eventDelay, func() {
		if s.held[c.subject] > 0 {
			w.directory.Add(s.address, bluebelldirectory.Block{
				Key: bluebelldirectory.Key{Scope: bluebelldirectory.Scope("", model, 1), ID: c.subject}, Tokens: c.kind.SharedTokens,
			})
		}
	})
}

func (w *world) firstEvent(c *call, e *engine) {
	w.readAt[c.subject] = w.agenda.Now()
	if w.cfg.Policy == Product && c.choice.Endpoint.ID == e.id {
		c.entry.placer.FirstEvent(c.choice, w.agenda.Now())
		c.entry.tier.FetchesDone(c.plan)
	}
	if !c.begun {
		c.begun = true
		w.report.begun(c, w.agenda.Now())
	}
}

func (w *world) answered(c *call, e *engine) {
	if w.cfg.Policy == Product && c.choice.Endpoint.ID == e.id {
		c.entry.done(c, bluebellplacement.Answered)
	}
	w.end(c, answered)
}

// refuse tells a caller when to come back, once.
func (w *world) refuse(c *call) {
	if c.returned || c.ran {
		w.end(c, refused)
		return
	}
	c.returned, c.tried = true, nil
	w.agenda.After(firstReturn+time.Duration(w.rand.Float64()*float64(returnSpread)), func() {
		if !c.over {
			c.entry, c.takenAt = w.entries[w.rand.IntN(len(w.entries))], w.agenda.Now()
			w.place(c)
		}
	})
}

func (w *world) end(c *call, o outcome) {
	if c.over {
		return
	}
	c.over = true
	c.entry.done(c, bluebellplacement.Abandoned)
	w.report.ended(c, o)
}
