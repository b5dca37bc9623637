package bluebellroute

import (
	"sync"
	"time"
)

const (
	beliefShards    = 64
	beliefsPerShard = 1024
	// evictionSample is how many beliefs are looked at to evict an old one.
	evictionSample = 8
)

// belief says that an endpoint held a block when it was last used there.
type belief struct {
	endpoint    string
	incarnation string
	at          time.Duration
}

// beliefTable remembers where blocks were last used. Its size is bounded; when a
// shard is full, the oldest of a few beliefs gives way.
type beliefTable struct {
	shards [beliefShards]beliefShard
}

type beliefShard struct {
	mu      sync.Mutex
	beliefs map[uint64]belief
}

func newBeliefTable() *beliefTable {
	t := &beliefTable{}
	for i := range t.shards {
		t.shards[i].beliefs = map[uint64]belief{}
	}
	return t
}

func (t *beliefTable) get(block uint64) (belief, bool) {
	s := &t.shards[block%beliefShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.beliefs[block]
	return b, ok
}

func (t *beliefTable) set(block uint64, b belief) {
	s := &t.shards[block%beliefShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.beliefs[block]; !known && len(s.beliefs) >= beliefsPerShard {
		s.evict()
	}
	s.beliefs[block] = b
}

// evict drops the oldest of a few beliefs, in the map's own random order.
func (s *beliefShard) evict() {
	var oldest uint64
	var at time.Duration
	seen := 0
	for block, b := range s.beliefs {
		if seen == 0 || b.at < at {
			oldest, at = block, b.at
		}
		if seen++; seen == evictionSample {
			break
		}
	}
	delete(s.beliefs, oldest)
}
