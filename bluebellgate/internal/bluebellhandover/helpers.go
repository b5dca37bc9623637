package bluebellhandover

import (
	"slices"
	"sync"
	"time"

	"bluebellhaven.org/bluebell/bluebellfeed"
)

const (
	// declineRetention is how long an entry that has declined a call of a target, has broken one off, or
	// could not be reached, is not asked again.
	declineRetention = time.Second
	// cutOffEntries is the number of entries in succession that could not be reached from which on none
	// is asked for declineRetention.
	cutOffEntries = 3
)

// HelpersConfig configures Helpers.
type HelpersConfig struct {
	// Entries returns the states of the other entries.
	Entries func() []bluebellfeed.EntryState
	// FailureDomain is that of this entry. Regions returns the region of each failure domain; if
	// there is only one, all entries may help.
	FailureDomain string
	Regions       func() map[string]string
	Now           func() time.Duration
	// Random returns a random number in [0, 1).
	Random func() float64
}

// Helpers selects the entries to which calls are handed over. It is safe for concurrent use.
type Helpers struct {
	cfg HelpersConfig

	mu sync.Mutex
	// declinedAt holds when entries last declined calls of a target, or failed them.
	declinedAt map[declined]time.Duration
	// unreachable counts the entries that could not be reached since one was. unreachableAt is when
	// the last of them could not.
	unreachable   int
	unreachableAt time.Duration
}

type declined struct{ entry, target string }

// NewHelpers returns Helpers of which none has declined.
func NewHelpers(cfg HelpersConfig) *Helpers {
	return &Helpers{cfg: cfg, declinedAt: map[declined]time.Duration{}}
}

// Pick returns an entry that may run a call of a target and is not among those asked. It is a random
// one, so that the calls of many origins spread over all helpers. Entries of the own failure domain are
// preferred if there are enough of them. If holders are given, it is one of them.
func (h *Helpers) Pick(target string, asked, holders []string) (entry string, ok bool) {
	candidates, near := h.candidates(target)
	excluded := func(e bluebellfeed.EntryState) bool {
		return slices.Contains(asked, e.Address) || len(holders) > 0 && !slices.Contains(holders, e.Address)
	}
	for _, list := range [][]bluebellfeed.EntryState{near, candidates} {
		list = slices.DeleteFunc(slices.Clone(list), excluded)
		if len(list) > 0 {
			return list[min(int(h.cfg.Random()*float64(len(list))), len(list)-1)].Address, true
		}
	}
	return "", false
}

// Available reports whether an entry may run a call of a target.
func (h *Helpers) Available(target string) bool {
	candidates, _ := h.candidates(target)
	return len(candidates) > 0
}

// Linked reports whether an entry is known that has not lost a target, whether or not it takes calls.
func (h *Helpers) Linked(target string) bool {
	return slices.ContainsFunc(h.cfg.Entries(), func(e bluebellfeed.EntryState) bool { return !e.Lost(target) })
}

// Declined records that an entry has declined a call of a target.
func (h *Helpers) Declined(entry, target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unreachable = 0
	h.exclude(entry, target)
}

// Failed records that an entry has taken a call of a target and gave no answer of a helper, although
// there was time for one.
func (h *Helpers) Failed(entry, target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exclude(entry, target)
}

// Unreachable records that no connection to an entry could be opened for a call of a target.
func (h *Helpers) Unreachable(entry, target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unreachable, h.unreachableAt = h.unreachable+1, h.cfg.Now()
	h.exclude(entry, target)
}

// Reached records that an entry has taken a call.
func (h *Helpers) Reached() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unreachable = 0
}

// exclude makes an entry one that is not asked for declineRetention. h.mu must be held.
func (h *Helpers) exclude(entry, target string) {
	now := h.cfg.Now()
	for d, at := range h.declinedAt {
		if now-at > declineRetention {
			delete(h.declinedAt, d)
		}
	}
	h.declinedAt[declined{entry, target}] = now
}

// candidates returns the entries that may run calls of a target, and those of them that are preferred:
// those of the own failure domain, unless more entries of that domain need help than can give it.
func (h *Helpers) candidates(target string) (all, near []bluebellfeed.EntryState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, regions := h.cfg.Now(), h.cfg.Regions()
	if h.unreachable >= cutOffEntries && now-h.unreachableAt <= declineRetention {
		return nil, nil
	}
	lostNear := 1 // This entry.
	for _, e := range h.cfg.Entries() {
		isNear := e.FailureDomain != "" && e.FailureDomain == h.cfg.FailureDomain
		if e.Lost(target) {
			if isNear {
				lostNear++
			}
			continue
		}
		at, hasDeclined := h.declinedAt[declined{e.Address, target}]
		if hasDeclined && now-at <= declineRetention || !sameRegion(regions, h.cfg.FailureDomain, e.FailureDomain) {
			continue
		}
		all = append(all, e)
		if isNear {
			near = append(near, e)
		}
	}
	if len(near) < lostNear {
		near = nil
	}
	return all, near
}

// sameRegion reports whether two failure domains are known to be in one region.
func sameRegion(regions map[string]string, a, b string) bool {
	first, several := "", false
	for _, r := range regions {
		several = several || first != "" && r != first
		first = r
	}
	return !several || regions[a] != "" && regions[a] == regions[b]
}
