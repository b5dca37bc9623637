package bluebellroute

import (
	"sync"
	"time"
)

const (
	cacheIndexShards = 64
	recordsPerShard  = 1024
	// evictionSample is the number of records examined to choose one to evict.
	evictionSample = 8
)

// cacheRecord names the endpoint that is expected to have a block cached, because
// it was the latest to run the block for this VM.
type cacheRecord struct {
	endpoint    string
	incarnation string
	usedAt      time.Duration
}

// cacheIndex records the endpoint at which each block was last used. Its size is
// bounded: a full shard evicts the oldest of a few records.
type cacheIndex struct {
	shards [cacheIndexShards]cacheIndexShard
}

type cacheIndexShard struct {
	mu      sync.Mutex
	records map[uint64]cacheRecord
}

func newCacheIndex() *cacheIndex {
	x := &cacheIndex{}
	for i := range x.shards {
		x.shards[i].records = map[uint64]cacheRecord{}
	}
	return x
}

func (x *cacheIndex) get(block uint64) (cacheRecord, bool) {
	s := &x.shards[block%cacheIndexShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.records[block]
	return record, ok
}

func (x *cacheIndex) set(block uint64, record cacheRecord) {
	s := &x.shards[block%cacheIndexShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.records[block]; !exists && len(s.records) >= recordsPerShard {
		s.evict()
	}
	s.records[block] = record
}

// evict deletes the oldest of the first few records in map order, which is random.
func (s *cacheIndexShard) evict() {
	var oldest uint64
	var oldestUsedAt time.Duration
	examined := 0
	for block, record := range s.records {
		if examined == 0 || record.usedAt < oldestUsedAt {
			oldest, oldestUsedAt = block, record.usedAt
		}
		if examined++; examined == evictionSample {
			break
		}
	}
	delete(s.records, oldest)
}
