package bluebellengine

import (
	"sync"
	"time"
)

// WeightStore simulates the store from which endpoints load model weights. Its bandwidth
// is shared by all loads that run at the same time.
type WeightStore struct {
	fullSpeedLoads int
	loadTime       time.Duration

	mu      sync.Mutex
	loading int
}

// NewWeightStore returns a store on which a load takes loadTime as long as at most
// fullSpeedLoads loads run at the same time. With more, the time of a load grows in
// proportion to their number.
func NewWeightStore(fullSpeedLoads int, loadTime time.Duration) *WeightStore {
	return &WeightStore{fullSpeedLoads: fullSpeedLoads, loadTime: loadTime}
}

// load blocks for the duration of one load.
func (s *WeightStore) load() {
	s.mu.Lock()
	s.loading++
	factor := max(1, float64(s.loading)/float64(s.fullSpeedLoads))
	s.mu.Unlock()
	time.Sleep(time.Duration(factor * float64(s.loadTime)))
	s.mu.Lock()
	s.loading--
	s.mu.Unlock()
}
