package bluebellroute

import (
	"sync"
	"time"
)

const (
	// defaultBlockTime is the assumed time to compute one block before the first
	// measurement.
	defaultBlockTime = 40 * time.Millisecond
	// blockTimeWeight is the weight of a new measurement in the moving average.
	blockTimeWeight = 0.1
	// slowRatio is the multiple of the target's block time above which an
	// endpoint's own block time is used. Smaller differences occur by chance.
	slowRatio = 2
	// initialSuspicion is how long an endpoint or VM is suspect after a failure;
	// it doubles with each consecutive failure, up to maxSuspicion.
	initialSuspicion = 500 * time.Millisecond
	maxSuspicion     = 8 * time.Second
	// ownerLoadTTL is how long a load reported by an owner is used.
	ownerLoadTTL = 500 * time.Millisecond
)

// load holds this VM's pending work, measured speed and recent failures of one
// endpoint, target or VM.
type load struct {
	mu sync.Mutex
	// pending is the number of blocks sent by this VM and not yet computed.
	pending int
	// ownerPending is the number of pending blocks that the owner reported. It is
	// used until ownerPendingUntil.
	ownerPending      int
	ownerPendingUntil time.Duration
	blockTime         time.Duration
	suspectUntil      time.Duration
	failures          int
}

// snapshot returns the number of pending blocks, the measured time per block (0
// before the first measurement), and whether a recent failure makes it suspect.
func (l *load) snapshot(now time.Duration) (pending int, blockTime time.Duration, suspect bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending = l.pending
	if now < l.ownerPendingUntil {
		pending = max(pending, l.ownerPending)
	}
	return pending, l.blockTime, now < l.suspectUntil
}

func (l *load) pendingBlocks() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending
}

func (l *load) addPending(blocks int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending += blocks
}

func (l *load) removePending(blocks int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending -= blocks
	if l.pending < 0 {
		panic("more pending blocks were removed from a load than were added")
	}
}

// recordSuccess ends the suspicion, and adds a measured time per block to the
// average if it is above 0.
func (l *load) recordSuccess(blockTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
	l.suspectUntil = 0
	switch {
	case blockTime <= 0:
	case l.blockTime == 0:
		l.blockTime = blockTime
	default:
		l.blockTime += time.Duration(blockTimeWeight * float64(blockTime-l.blockTime))
	}
}

func (l *load) recordOwnerLoad(now time.Duration, pending int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownerPending, l.ownerPendingUntil = pending, now+ownerLoadTTL
}

func (l *load) recordFailure(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspectUntil = now + min(initialSuspicion<<min(l.failures, 8), maxSuspicion)
	l.failures++
}

// loadSet holds loads by name. It outlives the routing tables, so a new table
// continues with the loads of the previous one.
type loadSet struct {
	mu    sync.Mutex
	loads map[string]*load
}

func (s *loadSet) get(name string) *load {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loads[name]
	if l == nil {
		l = &load{}
		s.loads[name] = l
	}
	return l
}
