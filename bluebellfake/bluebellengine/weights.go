package bluebellengine

import (
	"sync"
	"time"
)

// WeightStore is a stand-in for the rate-limited store of weights.
type WeightStore struct {
	atOnce int
	time   time.Duration

	mu      sync.Mutex
	loading int
}

// NewWeightStore returns a store that delivers within d while no more than
// atOnce load.
func NewWeightStore(atOnce int, d time.Duration) *WeightStore {
	return &WeightStore{atOnce: atOnce, time: d}
}

// load waits as long as one load takes.
func (s *WeightStore) load() {
	s.mu.Lock()
	s.loading++
	factor := max(1, float64(s.loading)/float64(s.atOnce))
	s.mu.Unlock()
	time.Sleep(time.Duration(factor * float64(s.time)))
	s.mu.Lock()
	s.loading--
	s.mu.Unlock()
}
