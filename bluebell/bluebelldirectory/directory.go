// Package bluebelldirectory records which cache store holds which complete blocks. A
// block is a piece of a prompt that is cached.
//
// A core process fills a Directory from the events of the stores. Entries, the processes
// that accept calls, keep a copy of it in a View. A block is listed only after its store
// has reported it complete, since a block that is still being written must not be read.
// When a store restarts, or its events have a gap, all blocks listed for it are removed
// first.
//
// An entry that learns late that a store was emptied could read a block that another
// entry has begun to write again. Therefore no block is written to a store until its
// current incarnation (the time since its last start) has been followed for SettleTime.
// Within this time an entry stops using its View if its sources no longer answer, or if it
// does not receive all changes in time (maxPartialAge).
//
// # Usage
//
//	directory := bluebelldirectory.New()
//	directory.Reset(store, blocks, now)
//	directory.Add(store, block)
//	changes, cursor := directory.ChangesSince(cursor, limit)
package bluebelldirectory

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// SettleTime is how long an incarnation of a store is followed before blocks are written to
// it. Within this time every core process detects the restart (1.2 s), every entry is
// informed of it or loses its source (1.5 s), and every entry receives all resulting
// changes or stops using its view (maxPartialAge).
const SettleTime = 4 * time.Second

// maxPartialAge is how long a view that lacks some changes may be read. A whole directory
// can be transferred in this time on the slowest link.
const maxPartialAge = time.Second

// Key identifies a block. The scope separates blocks of isolated customers and of different
// model weights; see Scope.
type Key struct {
	Scope, ID string
}

// Block is a complete block that a store holds, with its length in tokens.
type Block struct {
	Key
	Tokens int
}

// Change reports that a store now holds a block or, if Gone is set, that it no longer does.
type Change struct {
	Store string
	Block
	Gone bool

	cursor uint64
}

// StoreState is the state of one store, without its blocks.
type StoreState struct {
	Address string
	// FollowedSince is when the events of the store's current incarnation began to be
	// followed without a break. Following is false while the store does not answer.
	FollowedSince time.Duration
	Following     bool
	// UsedTokens is the total length of the listed blocks.
	UsedTokens int
	// Removed is set if the store is no longer declared.
	Removed bool
}

// Settled reports whether the store answers and has been followed for at least SettleTime,
// so that blocks may be written to it.
func (s StoreState) Settled(now time.Duration) bool {
	return s.Following && now-s.FollowedSince >= SettleTime
}

// record is the last change of one block in one store.
type record struct {
	tokens int
	gone   bool
	cursor uint64
}

// store is the state of one store with the records of its blocks.
type store struct {
	state   StoreState
	records map[Key]record
	// cursor is the cursor of the last change of state.
	cursor uint64
}

// minSuperseded is the number of superseded references in the change log below which the log
// is not compacted.
const minSuperseded = 1000

// changeRef refers to one change of a record. A later reference to the same record
// supersedes it.
type changeRef struct {
	cursor uint64
	store  string
	key    Key
}

// Directory lists the complete blocks of all stores and numbers the changes of this list.
// The number of a change is its cursor. Directory is safe for concurrent use.
type Directory struct {
	mu     sync.Mutex
	stores map[string]*store
	cursor uint64
	// changeLog is ordered by cursor, so that the changes that a follower lacks are found
	// without a scan of all records.
	changeLog []changeRef
	// recordCount is the number of records of all stores, and so of the references in
	// changeLog that are not superseded.
	recordCount int
}

// New returns an empty directory.
func New() *Directory { return &Directory{stores: map[string]*store{}} }

func (d *Directory) store(address string) *store {
	s := d.stores[address]
	if s == nil {
		s = &store{state: StoreState{Address: address}, records: map[Key]record{}}
		d.stores[address] = s
	}
	return s
}

// Reset replaces all blocks listed for a store, after a restart of the store or a gap in its
// events.
func (d *Directory) Reset(address string, blocks []Block, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.store(address)
	for key, r := range s.records {
		if !r.gone {
			d.remove(s, key)
		}
	}
	s.state.FollowedSince, s.state.Following, s.state.Removed = now, true, false
	d.stateChanged(s)
	for _, b := range blocks {
		d.add(s, b)
	}
}

// SetFollowing records whether a store answers. If the store answers again, its
// FollowedSince becomes now, so it must settle again.
func (d *Directory) SetFollowing(address string, following bool, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.store(address)
	if following == s.state.Following {
		return
	}
	if following {
		s.state.FollowedSince = now
	}
	s.state.Following = following
	d.stateChanged(s)
}

// stateChanged numbers a change of the state of a store.
func (d *Directory) stateChanged(s *store) {
	d.cursor++
	s.cursor = d.cursor
}

// Add lists a complete block of a store.
func (d *Directory) Add(address string, b Block) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.add(d.store(address), b)
}

func (d *Directory) add(s *store, b Block) {
	old, found := s.records[b.Key]
	if found && !old.gone {
		s.state.UsedTokens -= old.tokens
	}
	d.set(s, b.Key, record{tokens: b.Tokens})
	s.state.UsedTokens += b.Tokens
}

// Remove removes a block of a store from the list. It does nothing if the block is not
// listed.
func (d *Directory) Remove(address string, key Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.store(address)
	if r, found := s.records[key]; found && !r.gone {
		d.remove(s, key)
	}
}

func (d *Directory) remove(s *store, key Key) {
	s.state.UsedTokens -= s.records[key].tokens
	d.set(s, key, record{gone: true})
}

// set stores a record and appends a reference to the change log. It compacts the log when
// at least minSuperseded references, and at least half of all, are superseded.
func (d *Directory) set(s *store, key Key, r record) {
	if _, found := s.records[key]; !found {
		d.recordCount++
	}
	d.stateChanged(s)
	r.cursor = d.cursor
	s.records[key] = r
	d.changeLog = append(d.changeLog, changeRef{cursor: d.cursor, store: s.state.Address, key: key})
	if superseded := len(d.changeLog) - d.recordCount; superseded >= minSuperseded && superseded >= d.recordCount {
		d.changeLog = slices.DeleteFunc(d.changeLog, func(ref changeRef) bool { return !d.isLatest(ref) })
	}
}

func (d *Directory) isLatest(ref changeRef) bool {
	s := d.stores[ref.store]
	return s != nil && s.records[ref.key].cursor == ref.cursor
}

// RemoveStore removes a store that is no longer declared. Its records stay, marked as gone:
// otherwise a follower that has the blocks would list them again when the store is declared
// again.
func (d *Directory) RemoveStore(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stores[address]
	if s == nil {
		return
	}
	for key, r := range s.records {
		if !r.gone {
			d.remove(s, key)
		}
	}
	s.state.Removed = true
	d.stateChanged(s)
}

// StateChangesSince returns the states of the stores whose state has changed after a
// cursor, and what ChangesSince returns. Both are as of one moment: blocks that are newer
// than the state of their store could be read although the store was emptied.
func (d *Directory) StateChangesSince(cursor uint64, limit int) ([]StoreState, []Change, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var states []StoreState
	for _, s := range d.stores {
		if s.cursor > cursor {
			states = append(states, s.state)
		}
	}
	changes, next := d.changesSince(cursor, limit)
	return states, changes, next
}

// ChangesSince returns the first changes after a cursor, at most limit of them, and the
// cursor to continue from.
func (d *Directory) ChangesSince(cursor uint64, limit int) ([]Change, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changesSince(cursor, limit)
}

func (d *Directory) changesSince(cursor uint64, limit int) ([]Change, uint64) {
	var changes []Change
	for _, ref := range d.changeLog[d.indexAfter(cursor):] {
		if !d.isLatest(ref) {
			continue
		}
		if len(changes) == limit {
			return changes, changes[limit-1].cursor
		}
		r := d.stores[ref.store].records[ref.key]
		changes = append(changes, Change{Store: ref.store, Block: Block{Key: ref.key, Tokens: r.tokens}, Gone: r.gone, cursor: ref.cursor})
	}
	return changes, d.cursor
}

// indexAfter returns the index in the change log of the first reference after a cursor.
func (d *Directory) indexAfter(cursor uint64) int {
	i, _ := slices.BinarySearchFunc(d.changeLog, cursor+1, func(ref changeRef, c uint64) int { return cmp.Compare(ref.cursor, c) })
	return i
}

// MaxPending returns an upper bound of the number of changes after a cursor: superseded
// changes are counted too.
func (d *Directory) MaxPending(cursor uint64) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.changeLog) - d.indexAfter(cursor)
}

// StoreStates returns the states of all declared stores.
func (d *Directory) StoreStates() []StoreState {
	d.mu.Lock()
	defer d.mu.Unlock()
	states := make([]StoreState, 0, len(d.stores))
	for _, s := range d.stores {
		if !s.state.Removed {
			states = append(states, s.state)
		}
	}
	return states
}

// Blocks returns the blocks listed for a store.
func (d *Directory) Blocks(address string) []Block {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stores[address]
	if s == nil {
		return nil
	}
	var blocks []Block
	for key, r := range s.records {
		if !r.gone {
			blocks = append(blocks, Block{Key: key, Tokens: r.tokens})
		}
	}
	return blocks
}
