package bluebellroute

import (
	"sync"
	"time"
)

const (
	// defaultBlockTime is the time to compute one block before any was measured.
	defaultBlockTime = 40 * time.Millisecond
	// blockTimeWeight is the weight of one new measurement.
	blockTimeWeight = 0.1
	// slowRatio is how many times slower than its target's endpoints one must be
	// to be thought slow. Below it, measurements differ by chance.
	slowRatio = 2
	// firstSuspicion is how long an endpoint or VM that failed is avoided; it
	// doubles with each failure in a row.
	firstSuspicion = 500 * time.Millisecond
	maxSuspicion   = 8 * time.Second
	// remoteLoadFor is how long the load that an owner told is used.
	remoteLoadFor = 500 * time.Millisecond
)

// load is what this VM knows of the use of one endpoint.
type load struct {
	mu sync.Mutex
	// pending is the number of blocks sent and not yet computed.
	pending int
	// remotePending is what the owner told, and until when it is used.
	remotePending int
	remoteUntil   time.Duration
	blockTime     time.Duration
	suspectUntil  time.Duration
	failures      int
}

// expect returns the blocks that wait, the time measured for one block (0 before
// any was measured), and whether the endpoint has failed a short time ago.
func (l *load) expect(now time.Duration) (pending int, blockTime time.Duration, suspect bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending = l.pending
	if now < l.remoteUntil {
		pending = max(pending, l.remotePending)
	}
	return pending, l.blockTime, now < l.suspectUntil
}

func (l *load) ownPending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending
}

func (l *load) add(blocks int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending += blocks
}

func (l *load) done(blocks int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending -= blocks
	if l.pending < 0 {
		panic("more blocks were computed than were sent")
	}
}

func (l *load) measured(blockTime time.Duration) {
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

func (l *load) told(now time.Duration, pending int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remotePending, l.remoteUntil = pending, now+remoteLoadFor
}

func (l *load) failed(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspectUntil = now + min(firstSuspicion<<min(l.failures, 8), maxSuspicion)
	l.failures++
}

// loadSet keeps the loads by name while tables come and go.
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
