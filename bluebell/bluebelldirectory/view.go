package bluebelldirectory

import (
	"slices"
	"sync"
	"time"
)

// View is an entry's copy of one source's directory. It is safe for concurrent use.
type View struct {
	mu      sync.RWMutex
	holders map[Key]map[string]int // tokens by store
	stores  map[string]StoreState
	// partial is set while more changes are on their way, since partialSince.
	partial      bool
	partialSince time.Duration
}

// NewView returns an empty view.
func NewView() *View {
	return &View{holders: map[Key]map[string]int{}, stores: map[string]StoreState{}}
}

// Apply replaces the states of the stores and takes in changes. With anew set, all
// that was known before is dropped first; with partial set, more follow.
func (v *View) Apply(states []StoreState, changes []Change, anew, partial bool, now time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if partial && !v.partial {
		v.partialSince = now
	}
	v.partial = partial
	if anew {
		clear(v.holders)
	}
	clear(v.stores)
	for _, s := range states {
		v.stores[s.Address] = s
	}
	for _, c := range changes {
		if c.Gone {
			delete(v.holders[c.Key], c.Store)
			continue
		}
		if v.holders[c.Key] == nil {
			v.holders[c.Key] = map[string]int{}
		}
		v.holders[c.Key][c.Store] = c.Tokens
	}
}

// Holders returns the stores that hold a block and answer, in order.
func (v *View) Holders(key Key, now time.Duration) []string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var stores []string
	if v.partial && now-v.partialSince > partialFor {
		return stores
	}
	for address := range v.holders[key] {
		if v.stores[address].Following {
			stores = append(stores, address)
		}
	}
	slices.Sort(stores)
	return stores
}

// WritableStores returns the stores that blocks may be written to, with their use. There is none
// while the view is partial: blocks that seem to be missing may be held.
func (v *View) WritableStores(now time.Duration) map[string]StoreState {
	v.mu.RLock()
	defer v.mu.RUnlock()
	settled := map[string]StoreState{}
	if v.partial {
		return settled
	}
	for address, s := range v.stores {
		if s.Settled(now) {
			settled[address] = s
		}
	}
	return settled
}
