package bluebelldirectory

import (
	"slices"
	"sync"
	"time"
)

// View is an entry's copy of the directory of one source (core process). It is safe for
// concurrent use.
type View struct {
	mu      sync.RWMutex
	holders map[Key]map[string]int // length in tokens by address of the store
	stores  map[string]StoreState
	// partial is set while the source has more changes than it has sent. partialSince is
	// when it was set.
	partial      bool
	partialSince time.Duration
}

// NewView returns an empty view.
func NewView() *View {
	return &View{holders: map[Key]map[string]int{}, stores: map[string]StoreState{}}
}

// Apply records the states of stores and applies changes. If reset is true, all stores and
// blocks are removed first. If partial is true, more changes follow in a later call.
func (v *View) Apply(states []StoreState, changes []Change, reset, partial bool, now time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if partial && !v.partial {
		v.partialSince = now
	}
	v.partial = partial
	if reset {
		clear(v.holders)
		clear(v.stores)
	}
	for _, s := range states {
		if s.Removed {
			delete(v.stores, s.Address)
			continue
		}
		v.stores[s.Address] = s
	}
	for _, c := range changes {
		if c.Gone {
			delete(v.holders[c.Key], c.Store)
			if len(v.holders[c.Key]) == 0 {
				delete(v.holders, c.Key)
			}
			continue
		}
		if v.holders[c.Key] == nil {
			v.holders[c.Key] = map[string]int{}
		}
		v.holders[c.Key][c.Store] = c.Tokens
	}
}

// Holders returns the sorted addresses of the stores that hold a block and answer. It
// returns none if the view has been partial for more than maxPartialAge.
func (v *View) Holders(key Key, now time.Duration) []string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var stores []string
	if v.partial && now-v.partialSince > maxPartialAge {
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

// WritableStores returns the states, by address, of the stores that blocks may be written
// to. It returns none while the view is partial, since a store may then hold a block that
// the view lacks.
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
