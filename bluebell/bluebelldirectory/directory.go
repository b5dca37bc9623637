// Package bluebelldirectory tells which cache store holds which blocks in whole.
//
// Core processes fill a directory from the events of the stores; entries follow
// it. A block is listed only after its store said that it is complete, since what
// is still being written must not be read. When a store starts anew, or its events
// have a gap, all that was listed of it is dropped first.
//
// An entry that learns late that a store was emptied could read a block that
// another entry has begun to write again. So nothing is written to a store until
// its present incarnation has been followed for a while (SettleFor), and an entry
// that has lost its sources for as long trusts no listing.
//
// # Usage
//
//	directory := bluebelldirectory.New()
//	directory.Reset(store, blocks, now)
//	directory.Hold(store, block)
//	blocks, cursor := directory.Since(cursor)
package bluebelldirectory

import (
	"sync"
	"time"
)

// SettleFor is how long a store's incarnation is followed before anything is
// written to it: within it, every core process notices the restart (1.2 s), and
// every entry hears of it or loses its source (1.5 s).
const SettleFor = 3 * time.Second

// Key names a block. The scope keeps customers and weights apart.
type Key struct {
	Scope, ID string
}

// Block is a block that a store holds.
type Block struct {
	Key
	Tokens int
}

// Change is a block that a store holds from now on, or no longer.
type Change struct {
	Store string
	Block
	Gone bool
}

// StoreState is what is known of one store.
type StoreState struct {
	Address string
	// FollowedSince is when the store's present incarnation was first heard of;
	// Following is unset while it does not answer.
	FollowedSince time.Duration
	Following     bool
	// Used is the room that its listed blocks take, in tokens.
	Used int
}

// Settled tells whether blocks may be written to the store.
func (s StoreState) Settled(now time.Duration) bool {
	return s.Following && now-s.FollowedSince >= SettleFor
}

type row struct {
	tokens int
	gone   bool
	cursor uint64
}

type store struct {
	state StoreState
	rows  map[Key]row
}

// Directory is safe for concurrent use.
type Directory struct {
	mu     sync.Mutex
	stores map[string]*store
	cursor uint64
}

// New returns an empty directory.
func New() *Directory { return &Directory{stores: map[string]*store{}} }

func (d *Directory) store(address string) *store {
	s := d.stores[address]
	if s == nil {
		s = &store{state: StoreState{Address: address}, rows: map[Key]row{}}
		d.stores[address] = s
	}
	return s
}

// Reset replaces all that is listed of a store: it started anew, or its events have
// a gap.
func (d *Directory) Reset(address string, blocks []Block, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.store(address)
	for key, r := range s.rows {
		if !r.gone {
			d.drop(s, key)
		}
	}
	s.state.FollowedSince, s.state.Following = now, true
	for _, b := range blocks {
		d.hold(s, b)
	}
}

// SetFollowing notes whether a store answers.
func (d *Directory) SetFollowing(address string, following bool, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.store(address)
	if following && !s.state.Following {
		s.state.FollowedSince = now
	}
	s.state.Following = following
}

// Hold lists a whole block.
func (d *Directory) Hold(address string, b Block) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hold(d.store(address), b)
}

func (d *Directory) hold(s *store, b Block) {
	old, known := s.rows[b.Key]
	if known && !old.gone {
		s.state.Used -= old.tokens
	}
	d.cursor++
	s.rows[b.Key] = row{tokens: b.Tokens, cursor: d.cursor}
	s.state.Used += b.Tokens
}

// Drop takes a block off the list.
func (d *Directory) Drop(address string, key Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.store(address)
	if r, known := s.rows[key]; known && !r.gone {
		d.drop(s, key)
	}
}

func (d *Directory) drop(s *store, key Key) {
	s.state.Used -= s.rows[key].tokens
	d.cursor++
	s.rows[key] = row{gone: true, cursor: d.cursor}
}

// Forget drops a store that is no longer declared.
func (d *Directory) Forget(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.stores, address)
}

// Since returns the changes after a place, and the new place.
func (d *Directory) Since(cursor uint64) ([]Change, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cursor >= d.cursor {
		return nil, d.cursor
	}
	var changes []Change
	for address, s := range d.stores {
		for key, r := range s.rows {
			if r.cursor > cursor && (cursor > 0 || !r.gone) {
				changes = append(changes, Change{Store: address, Block: Block{Key: key, Tokens: r.tokens}, Gone: r.gone})
			}
		}
	}
	return changes, d.cursor
}

// States returns what is known of all stores.
func (d *Directory) States() []StoreState {
	d.mu.Lock()
	defer d.mu.Unlock()
	states := make([]StoreState, 0, len(d.stores))
	for _, s := range d.stores {
		states = append(states, s.state)
	}
	return states
}

// Blocks returns what is listed of a store.
func (d *Directory) Blocks(address string) []Block {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stores[address]
	if s == nil {
		return nil
	}
	var blocks []Block
	for key, r := range s.rows {
		if !r.gone {
			blocks = append(blocks, Block{Key: key, Tokens: r.tokens})
		}
	}
	return blocks
}
