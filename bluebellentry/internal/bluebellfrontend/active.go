package bluebellfrontend

import "sync"

// activeCount counts requests that have not ended. Unlike with a sync.WaitGroup, the count
// may rise from zero while another goroutine waits.
type activeCount struct {
	mu    sync.Mutex
	count int
	// zero is closed when count falls to 0.
	zero chan struct{}
}

// begin counts a request that starts.
func (a *activeCount) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.count == 0 {
		a.zero = make(chan struct{})
	}
	a.count++
}

// end counts a request that has ended.
func (a *activeCount) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	if a.count == 0 {
		close(a.zero)
	}
}

// waitChannel returns a channel that is closed when the count falls to 0, or nil if the
// count is 0.
func (a *activeCount) waitChannel() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.count == 0 {
		return nil
	}
	return a.zero
}
