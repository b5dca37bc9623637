package bluebelltransport

import (
	"sync"
	"time"
)

// Most responses are small. The buffer is therefore divided: small responses take from one part, of which each
// endpoint has a share, and the others from the rest. Of each endpoint one response at a time may exceed the size of
// small ones or the endpoint's share, so that an endpoint whose responses have no end takes little of the buffer
// until one of them exceeds its limit. Then all that wait with it fail. A response that finds no room is not read
// any further until there is some, or until its deadline.

const (
	// defaultMaxBuffered is the limit on the bytes of all buffered responses together if Config sets none: a third
	// of the heap of the smallest specified entry VM.
	defaultMaxBuffered = 24 << 20
	// smallShare is the share of the buffer for small responses, and endpointShare the share of an endpoint in that
	// part.
	smallShare    = 1.0 / 3
	endpointShare = 1.0 / 8
	// smallBytes is the size up to which a response is small.
	smallBytes = 64 << 10
	// largestBytes is reserved for one response, the largest one that waits, so that it can go on to its end. It is
	// the limit of callers for a body, with the step in which that is exceeded.
	largestBytes = 8<<20 + bufferStep
)

// buffers divides memory among the buffered responses of all endpoints.
type buffers struct {
	limit int64

	mu sync.Mutex
	// small and large are the bytes in use of the two parts, and complete those of responses that were read to
	// their end, which the parts are without.
	small, large, complete int64
	endpoints              map[string]*endpointBuffer
	// waiting holds the responses that wait for room in the part for large ones. reserver is the one that may use
	// what is reserved there, or nil.
	waiting  map[*buffer]bool
	reserver *buffer
	// released is closed and replaced whenever there may be room again.
	released chan struct{}
}

// endpointBuffer is what an endpoint uses.
type endpointBuffer struct {
	// responses is the number of its responses, and small their bytes in the part for small ones.
	responses int
	small     int64
	// growing is the response that may exceed the size of small ones, or nil.
	growing *buffer
	// malformedAt is when a response last exceeded its limit.
	malformedAt time.Time
}

// buffer is the memory of one response.
type buffer struct {
	all      *buffers
	endpoint *endpointBuffer
	address  string
	began    time.Time
	// canceled is closed when the call has ended.
	canceled <-chan struct{}
	// small and large are its bytes in the two parts, and complete all of them once it was read to its end.
	small, large, complete int64
}

func newBuffers(limit int64) *buffers {
	return &buffers{limit: limit, endpoints: map[string]*endpointBuffer{}, waiting: map[*buffer]bool{}, released: make(chan struct{})}
}

// open returns the empty buffer of a response of the endpoint at an address.
func (a *buffers) open(address string, canceled <-chan struct{}) *buffer {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.endpoints[address]
	if e == nil {
		e = &endpointBuffer{}
		a.endpoints[address] = e
	}
	e.responses++
	return &buffer{all: a, endpoint: e, address: address, began: time.Now(), canceled: canceled}
}

// notify wakes the responses that wait. a.mu must be held.
func (a *buffers) notify() {
	close(a.released)
	a.released = make(chan struct{})
}

// grow reserves n bytes more, and waits until there is room. It returns ErrBufferFull if there is none by the
// deadline, and errSiblingMalformed if another response of the endpoint exceeds its limit meanwhile.
func (b *buffer) grow(n int64, deadline time.Time) error {
	a := b.all
	var timeout <-chan time.Time
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.waiting, b)
	}()
	for {
		a.mu.Lock()
		reserved := b.reserveSmall(n)
		malformed := b.endpoint.malformedAt.After(b.began)
		if !reserved && !malformed {
			reserved = b.reserveLarge(n)
		}
		released := a.released
		a.mu.Unlock()
		switch {
		case reserved:
			return nil
		case malformed:
			return errSiblingMalformed
		}
		if timeout == nil {
			timer := time.NewTimer(time.Until(deadline))
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-released:
		case <-timeout:
			return ErrBufferFull
		case <-b.canceled:
			return ErrBufferFull
		}
	}
}

// limits returns the sizes of the parts for small and large responses.
func (a *buffers) limits() (small, large int64) {
	left := a.limit - a.complete
	small = int64(smallShare * float64(left))
	return small, left - small
}

// reserveSmall reserves n bytes more in the part for small responses if there is room and the response is small.
// all.mu must be held.
func (b *buffer) reserveSmall(n int64) bool {
	a, e := b.all, b.endpoint
	limit, _ := a.limits()
	if e.growing == b || b.small+n > smallBytes || e.small+n > int64(endpointShare*float64(limit)) || a.small+n > limit {
		return false
	}
	b.small, e.small, a.small = b.small+n, e.small+n, a.small+n
	return true
}

// reserveLarge reserves n bytes more in the part for large responses if there is room and no other response of the
// endpoint grows. all.mu must be held.
func (b *buffer) reserveLarge(n int64) bool {
	a, e := b.all, b.endpoint
	if e.growing == nil {
		e.growing = b
	}
	if e.growing != b {
		return false
	}
	_, limit := a.limits()
	if a.large+n > limit-largestBytes {
		a.waiting[b] = true
		if a.reserver == nil && b.isLargestWaiting() {
			a.reserver = b
		}
		if a.reserver != b || a.large+n > limit {
			return false
		}
	}
	b.large, a.large = b.large+n, a.large+n
	return true
}

// isLargestWaiting reports whether no other response that waits is larger. all.mu must be held.
func (b *buffer) isLargestWaiting() bool {
	for other := range b.all.waiting {
		if other.small+other.large > b.small+b.large {
			return false
		}
	}
	return true
}

// finish records that the response was read to its end.
func (b *buffer) finish() {
	a := b.all
	a.mu.Lock()
	defer a.mu.Unlock()
	held := b.small + b.large
	b.free()
	b.complete, a.complete = held, a.complete+held
	a.notify()
}

// free takes the response out of the two parts. all.mu must be held.
func (b *buffer) free() {
	a, e := b.all, b.endpoint
	if e.growing == b {
		e.growing = nil
	}
	if a.reserver == b {
		a.reserver = nil
	}
	a.small, a.large, a.complete, e.small = a.small-b.small, a.large-b.large, a.complete-b.complete, e.small-b.small
	b.small, b.large, b.complete = 0, 0, 0
}

// fail records that the response has exceeded its limit, which fails all that wait with it.
func (b *buffer) fail() {
	b.all.mu.Lock()
	defer b.all.mu.Unlock()
	b.endpoint.malformedAt = time.Now()
	b.all.notify()
}

// release frees the memory. The buffer may be used again.
func (b *buffer) release() {
	if b.small+b.large+b.complete == 0 {
		return
	}
	b.all.mu.Lock()
	defer b.all.mu.Unlock()
	b.free()
	b.all.notify()
}

// close frees the memory for good.
func (b *buffer) close() {
	a := b.all
	a.mu.Lock()
	defer a.mu.Unlock()
	waited := b.endpoint.growing == b || a.reserver == b || b.small+b.large+b.complete > 0
	b.free()
	if waited {
		a.notify()
	}
	if b.endpoint.responses--; b.endpoint.responses == 0 {
		delete(a.endpoints, b.address)
	}
}
