// Package bluebelldirectory tells which cache store holds which blocks in whole.
//
// Core processes fill a directory from the events of the stores; entries follow
// it. A block is listed only after its store said that it is complete, since what
// is still being written must not be read. When a store starts anew, or its events
// have a gap, all that was listed of it is dropped first.
//
// An entry that learns late that a store was emptied could read a block that
// another entry has begun to write again. So nothing is written to a store until
// its present incarnation has been followed for a while (SettleTime), and an entry
// that has lost its sources for as long, or takes long to get all changes, trusts no
// listing.
//
// # Usage
//
//	directory := bluebelldirectory.New()
//	directory.Reset(store, blocks, now)
//	directory.Hold(store, block)
//	changes, cursor := directory.Since(cursor, limit)
package bluebelldirectory

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// SettleTime is how long a store's incarnation is followed before anything is
// written to it: within it, every core process notices the restart (1.2 s), every entry
// hears of it or loses its source (1.5 s), and has all of its changes (partialFor).
const SettleTime = 4 * time.Second

// partialFor is how long a view is trusted that lacks the latest changes: time enough for
// a whole directory on the slowest link.
const partialFor = time.Second

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

	cursor uint64
}

// StoreState is what is known of one store.
type StoreState struct {
	Address string
	// FollowedSince is when the store's present incarnation was first heard of;
	// Following is unset while it does not answer.
	FollowedSince time.Duration
	Following     bool
	// UsedTokens is the room that its listed blocks take, in tokens.
	UsedTokens int
}

// Settled tells whether blocks may be written to the store.
func (s StoreState) Settled(now time.Duration) bool {
	return s.Following && now-s.FollowedSince >= SettleTime
}

type row struct {
	tokens int
	gone   bool
	cursor uint64
}

type store struct {
	state StoreState
	rows  map[Key]row
	// forgotten stores are not declared any more.
	forgotten bool
}

// leastStale is the number of superseded places from which on they are worth removing.
const leastStale = 1000

// place is where a row changed last, unless the row has a later one.
type place struct {
	cursor uint64
	store  string
	key    Key
}

// Directory is safe for concurrent use.
type Directory struct {
	mu     sync.Mutex
	stores map[string]*store
	cursor uint64
	// places are in the order of their cursors, so that a follower's part is found without
	// looking at all rows.
	places []place
	// rows is the number of places that are not superseded.
	rows int
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
	s.state.FollowedSince, s.state.Following, s.forgotten = now, true, false
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

// Add lists a whole block.
func (d *Directory) Add(address string, b Block) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hold(d.store(address), b)
}

func (d *Directory) hold(s *store, b Block) {
	old, known := s.rows[b.Key]
	if known && !old.gone {
		s.state.UsedTokens -= old.tokens
	}
	d.set(s, b.Key, row{tokens: b.Tokens})
	s.state.UsedTokens += b.Tokens
}

// Remove takes a block off the list.
func (d *Directory) Remove(address string, key Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.store(address)
	if r, known := s.rows[key]; known && !r.gone {
		d.drop(s, key)
	}
}

func (d *Directory) drop(s *store, key Key) {
	s.state.UsedTokens -= s.rows[key].tokens
	d.set(s, key, row{gone: true})
}

// set puts a row at the end of the places.
func (d *Directory) set(s *store, key Key, r row) {
	if _, known := s.rows[key]; !known {
		d.rows++
	}
	d.cursor++
	r.cursor = d.cursor
	s.rows[key] = r
	d.places = append(d.places, place{cursor: d.cursor, store: s.state.Address, key: key})
	if stale := len(d.places) - d.rows; stale >= leastStale && stale >= d.rows {
		d.places = slices.DeleteFunc(d.places, func(p place) bool { return !d.isLatest(p) })
	}
}

func (d *Directory) isLatest(p place) bool {
	s := d.stores[p.store]
	return s != nil && s.rows[p.key].cursor == p.cursor
}

// RemoveStore drops a store that is no longer declared. Its rows stay as gone ones: followers
// that have them must not take them for what it holds when it is declared again.
func (d *Directory) RemoveStore(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stores[address]
	if s == nil {
		return
	}
	for key, r := range s.rows {
		if !r.gone {
			d.drop(s, key)
		}
	}
	s.forgotten = true
}

// ChangesSince returns the first changes after a place, up to a limit, and the place behind them.
func (d *Directory) ChangesSince(cursor uint64, limit int) ([]Change, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for _, p := range d.places[d.after(cursor):] {
		if !d.isLatest(p) {
			continue
		}
		if len(changes) == limit {
			return changes, changes[limit-1].cursor
		}
		r := d.stores[p.store].rows[p.key]
		changes = append(changes, Change{Store: p.store, Block: Block{Key: p.key, Tokens: r.tokens}, Gone: r.gone, cursor: p.cursor})
	}
	return changes, d.cursor
}

// after returns the index of the first place after a cursor.
func (d *Directory) after(cursor uint64) int {
	i, _ := slices.BinarySearchFunc(d.places, cursor+1, func(p place, c uint64) int { return cmp.Compare(p.cursor, c) })
	return i
}

// MaxPending returns how many changes there are after a place, at the most.
func (d *Directory) MaxPending(cursor uint64) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.places) - d.after(cursor)
}

// StoreStates returns what is known of all stores.
func (d *Directory) StoreStates() []StoreState {
	d.mu.Lock()
	defer d.mu.Unlock()
	states := make([]StoreState, 0, len(d.stores))
	for _, s := range d.stores {
		if !s.forgotten {
			states = append(states, s.state)
		}
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
