package bluebellquarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// sumInterval is how often the sums are made at most.
	sumInterval = 50 * time.Millisecond
	// maxListed bounds the suspects that entries are asked about, and maxSummed those in a sum.
	maxListed = 64
	maxSummed = 512
	// aliveMargin is how long after a crash a registration of the incarnation must be received to
	// show that there was no crash. One that was sent before may arrive later than the crash.
	aliveMargin = 1500 * time.Millisecond
)

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	// Registered returns when the incarnations of endpoints last registered. It may be nil.
	Registered func() map[uint64]time.Duration
}

// Report is what an entry has observed until now.
type Report struct {
	// Number increases with each report of an entry and begins anew when it restarts, 0 if unknown.
	Number   uint64
	Suspects []Suspect
}

// Ledger adds up what processes report. It is safe for concurrent use.
type Ledger struct {
	cfg LedgerConfig

	mu      sync.Mutex
	reports map[string]processReport
	// ended holds the last crashes that entries reported before they restarted.
	ended map[string]processReport
	// all and own are the sums of all reports and of those of entries, as of summedAt.
	all, own []Suspect
	// listed are the subjects that entries should report answers of.
	listed   []Key
	summedAt time.Duration
}

// processReport is the last report of an entry, or the sum that another core process has sent.
type processReport struct {
	at       time.Duration
	number   uint64
	suspects []Suspect
	// relayed is set for the sum of another core process.
	relayed bool
}

// NewLedger returns a ledger without reports.
func NewLedger(cfg LedgerConfig) *Ledger {
	return &Ledger{cfg: cfg, reports: map[string]processReport{}, ended: map[string]processReport{}, summedAt: -time.Hour}
}

// Record replaces the report of an entry. If the entry has restarted, which makes it forget what it has
// observed, the crashes that it reported before still count.
func (l *Ledger) Record(entry string, now time.Duration, r Report) {
	l.mu.Lock()
	old := l.reports[entry]
	if r.Number != 0 && r.Number <= old.number {
		l.ended[entry] = l.ended[entry].with(old)
		old = processReport{}
	}
	l.mu.Unlock()
	l.record(entry, processReport{at: now, number: r.Number, suspects: r.Suspects}.completed(old))
}

// completed returns the report with what is missing in it for want of room, from the one before.
func (r processReport) completed(old processReport) processReport {
	reported := map[Key]bool{}
	crashed := 0
	for _, s := range r.suspects {
		reported[s.Key] = true
		if len(s.Crashes) > 0 {
			crashed++
		}
	}
	if crashed < maxReported {
		return r
	}
	r.suspects = slices.Clone(r.suspects)
	for _, s := range old.suspects {
		if !reported[s.Key] && len(s.Crashes) > 0 && len(r.suspects) < maxSummed {
			r.suspects = append(r.suspects, s)
		}
	}
	return r
}

// with returns the report with the suspects of a later one of the same process.
func (r processReport) with(later processReport) processReport {
	sum := map[Key]Suspect{}
	for _, s := range append(slices.Clone(r.suspects), later.suspects...) {
		sum[s.Key] = sum[s.Key].merge(s)
	}
	later.suspects = sorted(sum)
	return later
}

// RecordPeer replaces what another core process has added up.
func (l *Ledger) RecordPeer(core string, now time.Duration, suspects []Suspect) {
	l.record(core, processReport{at: now, suspects: suspects, relayed: true})
}

func (l *Ledger) record(process string, r processReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[process] = r
}

// Suspects returns the sum of all reports, the suspects with the most crashes first.
func (l *Ledger) Suspects(now time.Duration) []Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum(now)
	return l.all
}

// Own returns the sum of the reports of entries, for other core processes.
func (l *Ledger) Own(now time.Duration) []Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum(now)
	return l.own
}

// Listed returns the keys of the subjects that entries should report answers of: those with the
// most crashes, of two or more, whether an answer has cleared them or not.
func (l *Ledger) Listed(now time.Duration) []Key {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum(now)
	return l.listed
}

// sum makes the sums if they are due. l.mu must be held.
func (l *Ledger) sum(now time.Duration) {
	if now-l.summedAt < sumInterval {
		return
	}
	l.summedAt = now
	all, own := map[Key]Suspect{}, map[Key]Suspect{}
	for _, reports := range []map[string]processReport{l.reports, l.ended} {
		maps.DeleteFunc(reports, func(_ string, r processReport) bool { return now-r.at > EvidenceRetention })
		for _, r := range reports {
			for _, s := range r.suspects {
				s = s.withoutCrashes(func(c Crash) bool { return now-c.At > EvidenceRetention })
				all[s.Key] = all[s.Key].merge(s)
				if !r.relayed {
					own[s.Key] = own[s.Key].merge(s)
				}
			}
		}
	}
	l.listed = nil
	for _, s := range sorted(all) {
		if len(s.Crashes) >= 2 && len(l.listed) < maxListed {
			l.listed = append(l.listed, s.Key)
		}
	}
	l.all, l.own = sorted(l.withoutRefuted(cleared(all))), sorted(own)
}

// withoutRefuted returns the suspects without the crashes of incarnations that have registered since:
// only a connection to them was lost.
func (l *Ledger) withoutRefuted(suspects map[Key]Suspect) map[Key]Suspect {
	if l.cfg.Registered == nil || len(suspects) == 0 {
		return suspects
	}
	registered := l.cfg.Registered()
	for key, s := range suspects {
		suspects[key] = s.withoutCrashes(func(c Crash) bool {
			at, known := registered[c.Endpoint]
			return known && at-c.At >= aliveMargin
		})
	}
	return suspects
}

// sorted returns the suspects with the most crashes, most first.
func sorted(suspects map[Key]Suspect) []Suspect {
	list := slices.SortedFunc(maps.Values(suspects), compareEvidence)
	return list[:min(len(list), maxSummed)]
}

// compareEvidence orders suspects by their crashes, most first.
func compareEvidence(a, b Suspect) int {
	return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Key, b.Key))
}

// cleared returns the suspects without the crashes before an answer.
func cleared(suspects map[Key]Suspect) map[Key]Suspect {
	for key, s := range suspects {
		suspects[key] = s.withServed(s.ServedAt)
	}
	return suspects
}

// merge returns the suspect with the evidence of another report. Crashes before an answer stay.
func (s Suspect) merge(other Suspect) Suspect {
	s.Key, s.Depth = other.Key, max(s.Depth, other.Depth)
	servedAt := s.ServedAt
	if servedAt == 0 || other.ServedAt != 0 && other.ServedAt > servedAt {
		servedAt = other.ServedAt
	}
	s.ServedAt = 0
	for _, c := range other.Crashes {
		s = s.withCrash(c)
	}
	s.ServedAt = servedAt
	return s
}
