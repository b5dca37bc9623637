package bluebellfrontend

import "sync"

// activeCount counts requests that have not ended. Unlike a sync.WaitGroup it may
// grow while it is waited for.
type activeCount struct {
	mu    sync.Mutex
	count int
	zero  chan struct{}
}

func (a *activeCount) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.count == 0 {
		a.zero = make(chan struct{})
	}
	a.count++
}

func (a *activeCount) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	if a.count == 0 {
		close(a.zero)
	}
}

// none returns nil if nothing is active, and else a channel that closes when
// that is so.
func (a *activeCount) none() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.count == 0 {
		return nil
	}
	return a.zero
}
