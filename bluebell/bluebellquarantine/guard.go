package bluebellquarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxSubjects bounds the subjects with crashes that an entry keeps, and maxServed those
	// whose last answer it remembers.
	MaxSubjects = 512
	maxServed   = 4096
	// maxEnded bounds the endpoints, and the answers of each, that ended with their connections.
	maxEnded = 64
	// maxReported bounds the subjects in one report.
	maxReported = 64
	// stillRunning is within what time after a crash an answer shows that the endpoint has not
	// crashed, but only the connection was lost. A restarted endpoint is back later.
	stillRunning = time.Second
)

// Verdict is a conviction that calls are refused for.
type Verdict struct {
	Subject
	// Until is when it ends.
	Until time.Duration
}

// Guard keeps the evidence of one entry and the verdicts that it enforces. It is safe for
// concurrent use.
type Guard struct {
	mu       sync.Mutex
	suspects map[Key]Suspect
	// served holds the time of the last complete answer by subject.
	served map[Key]time.Duration
	// ended holds the answers that ended with their connection, by incarnation of the endpoint.
	ended map[uint64][]endedAnswer
	// listed holds the subjects that any entry suspects.
	listed   map[Key]bool
	verdicts map[Key]Verdict
	// alone is set while no core process that knows a leader answers.
	alone bool
	// watched holds the calls that are withdrawn when one of their subjects is convicted.
	watched   map[uint64]watch
	watchNext uint64
}

// endedAnswer is an answer that was complete if its endpoint goes on.
type endedAnswer struct {
	at       time.Duration
	subjects []Subject
}

type watch struct {
	subjects []Subject
	withdraw func(v Verdict)
}

// NewGuard returns a guard without evidence and verdicts.
func NewGuard() *Guard {
	return &Guard{
		suspects: map[Key]Suspect{}, served: map[Key]time.Duration{}, ended: map[uint64][]endedAnswer{}, listed: map[Key]bool{}, verdicts: map[Key]Verdict{}, watched: map[uint64]watch{},
	}
}

// Incarnation identifies an incarnation of an endpoint in a Crash.
func Incarnation(endpoint string, startUnixMillis int64) uint64 {
	return xxhash.Sum64String(endpoint) + uint64(startUnixMillis)
}

// RecordCrash records that an incarnation of an endpoint closed the connection before the answer
// to a call with these subjects had begun.
func (g *Guard) RecordCrash(crash Crash, subjects []Subject) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.ended, crash.Endpoint)
	for _, s := range subjects {
		suspect, known := g.suspects[s.Key]
		if !known {
			g.makeRoom()
			suspect = Suspect{Subject: s, ServedAt: g.served[s.Key]}
		}
		g.suspects[s.Key] = suspect.withCrash(crash)
	}
}

// makeRoom evicts the suspect with the fewest crashes, and of those the one whose last crash is
// the oldest, if there are MaxSubjects. g.mu must be held.
func (g *Guard) makeRoom() {
	if len(g.suspects) < MaxSubjects {
		return
	}
	var weakest *Suspect
	for _, s := range g.suspects {
		if weakest == nil || len(s.Crashes) < len(weakest.Crashes) || len(s.Crashes) == len(weakest.Crashes) && s.lastCrash() < weakest.lastCrash() {
			weakest = &s
		}
	}
	delete(g.suspects, weakest.Key)
}

// lastCrash returns the time of the last crash, 0 if there is none.
func (s Suspect) lastCrash() time.Duration {
	if len(s.Crashes) == 0 {
		return 0
	}
	return s.Crashes[len(s.Crashes)-1].At
}

// RecordServed records that a call with these subjects was answered completely.
func (g *Guard) RecordServed(now time.Duration, subjects []Subject) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordServed(now, subjects)
}

// recordServed clears the subjects of the crashes until now. g.mu must be held.
func (g *Guard) recordServed(now time.Duration, subjects []Subject) {
	for _, s := range subjects {
		if suspect := g.suspects[s.Key].withServed(now); len(suspect.Crashes) == 0 {
			delete(g.suspects, s.Key)
		} else {
			g.suspects[s.Key] = suspect
		}
		if _, known := g.served[s.Key]; !known && len(g.served) >= maxServed {
			for key := range g.served {
				delete(g.served, key)
				break
			}
		}
		g.served[s.Key] = max(now, g.served[s.Key])
	}
}

// RecordEnded records that the answer to a call with these subjects ended with its connection. It
// was complete if the endpoint answers calls that are sent later.
func (g *Guard) RecordEnded(now time.Duration, incarnation uint64, subjects []Subject) {
	g.mu.Lock()
	defer g.mu.Unlock()
	answers := g.ended[incarnation]
	if len(subjects) == 0 || len(answers) >= maxEnded {
		return
	}
	if len(answers) == 0 && len(g.ended) >= maxEnded {
		for other := range g.ended {
			delete(g.ended, other)
			break
		}
	}
	g.ended[incarnation] = append(answers, endedAnswer{at: now, subjects: subjects})
}

// RecordAnswer records that an incarnation of an endpoint has begun to answer a call that was sent
// at the time sentAt. Connections that were lost shortly before were not lost by a crash.
func (g *Guard) RecordAnswer(now, sentAt time.Duration, incarnation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended[incarnation] = slices.DeleteFunc(g.ended[incarnation], func(a endedAnswer) bool {
		if a.at >= sentAt {
			return false
		}
		g.recordServed(a.at, a.subjects)
		return true
	})
	if len(g.ended[incarnation]) == 0 {
		delete(g.ended, incarnation)
	}
	wasNoCrash := func(c Crash) bool { return c.Endpoint == incarnation && c.At < sentAt && now-c.At < stillRunning }
	for key, s := range g.suspects {
		if !slices.ContainsFunc(s.Crashes, wasNoCrash) {
			continue
		}
		if s = s.withoutCrashes(wasNoCrash); len(s.Crashes) == 0 {
			delete(g.suspects, key)
			continue
		}
		g.suspects[key] = s
	}
}

// Report returns what this entry has observed: its suspects, and the answers to calls with
// subjects that any entry suspects or that are convicted. If there are too many suspects, those with the
// most crashes are reported, of these the ones that other entries suspect too, and then the latest.
func (g *Guard) Report(now time.Duration) []Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Suspect
	for key, s := range g.suspects {
		if s = s.withoutCrashes(func(c Crash) bool { return now-c.At > EvidenceRetention }); len(s.Crashes) == 0 {
			delete(g.suspects, key)
			continue
		}
		list = append(list, s)
	}
	for key, at := range g.served {
		if !g.listed[key] && g.verdicts[key].Key == 0 {
			continue
		}
		if _, suspected := g.suspects[key]; !suspected && now-at <= EvidenceRetention {
			list = append(list, Suspect{Subject: Subject{Key: key}, ServedAt: at})
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), compareBool(g.listed[b.Key], g.listed[a.Key]), cmp.Compare(b.lastCrash(), a.lastCrash()))
	})
	if len(list) <= maxReported {
		return list
	}
	// Answers are kept, since they clear suspects of other entries.
	return append(list[:maxReported:maxReported], slices.DeleteFunc(list[maxReported:], func(s Suspect) bool { return len(s.Crashes) > 0 })...)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// SetListed replaces the subjects that any entry suspects.
func (g *Guard) SetListed(keys []Key) {
	listed := make(map[Key]bool, len(keys))
	for _, key := range keys {
		listed[key] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listed = listed
}

// SetVerdicts replaces the verdicts in force, and withdraws the watched calls that they apply to.
// It returns the new ones.
func (g *Guard) SetVerdicts(now time.Duration, verdicts []Verdict) []Verdict {
	g.mu.Lock()
	old := g.verdicts
	g.verdicts = make(map[Key]Verdict, len(verdicts))
	var added []Verdict
	for _, v := range verdicts {
		g.verdicts[v.Key] = v
		if _, known := old[v.Key]; !known && now < v.Until {
			added = append(added, v)
		}
	}
	var withdraw []func()
	for _, w := range g.watched {
		if len(added) == 0 {
			break
		}
		if v, blocked := g.blocked(now, w.subjects); blocked {
			withdraw = append(withdraw, func() { w.withdraw(v) })
		}
	}
	g.mu.Unlock()
	for _, f := range withdraw {
		f()
	}
	return added
}

// SetAlone sets whether no core process that knows a leader answers, so that this entry decides by
// itself.
func (g *Guard) SetAlone(alone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.alone = alone
}

// Watch calls withdraw with the verdict when one of the subjects is convicted, until the returned
// function is called. A call of withdraw that has begun may still go on then.
func (g *Guard) Watch(subjects []Subject, withdraw func(v Verdict)) (unwatch func()) {
	if len(subjects) == 0 {
		return func() {}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watchNext++
	id := g.watchNext
	g.watched[id] = watch{subjects: subjects, withdraw: withdraw}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.watched, id)
	}
}

// Blocked returns the verdict that applies to a call, if there is one.
func (g *Guard) Blocked(now time.Duration, subjects []Subject) (Verdict, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blocked(now, subjects)
}

func (g *Guard) blocked(now time.Duration, subjects []Subject) (Verdict, bool) {
	for _, s := range subjects {
		if v, convicted := g.verdicts[s.Key]; convicted && now < v.Until {
			return v, true
		}
	}
	if !g.alone {
		return Verdict{}, false
	}
	for _, s := range subjects {
		if suspect, known := g.suspects[s.Key]; known && g.convictsAlone(suspect) {
			return Verdict{Subject: suspect.Subject, Until: suspect.lastCrash() + EvidenceRetention}, true
		}
	}
	return Verdict{}, false
}

// convictsAlone reports whether the evidence of this entry alone convicts a suspect.
func (g *Guard) convictsAlone(s Suspect) bool {
	if moments(s.Crashes) < Strikes {
		return false
	}
	return slices.Contains(Judge(slices.Collect(maps.Values(g.suspects)), nil), s.Subject)
}

// NeedsCalls reports whether whole calls are suspect or convicted, so that their subjects have to
// be computed for each call.
func (g *Guard) NeedsCalls() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range g.verdicts {
		if v.Depth == CallDepth {
			return true
		}
	}
	if len(g.listed) > 0 {
		return true
	}
	for _, s := range g.suspects {
		if s.Depth == CallDepth {
			return true
		}
	}
	return false
}
