// Package bluebellbody bounds the memory of all messages that a process reads at a time, such as the requests of a
// server, so that messages that are large, or have no end, leave room for the others.
//
// A message reserves memory while it arrives. If the pool is full, a message that is more than twice as large and
// still being read is given up in favor of a smaller one: it is interrupted and fails with ErrFull. If there is no
// such message, the smaller one fails itself. What has been read to its end is not given up.
//
// # Usage
//
//	pool := bluebellbody.NewPool(48 << 20)
//	body := pool.Open(func() { _ = conn.SetReadDeadline(time.Now()) })
//	defer body.Release()
//	text, err := body.Read(reader)
package bluebellbody

import (
	"errors"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// step is the number of bytes by which a body grows, firstStep that with which it begins.
	step      = 32 << 10
	firstStep = 2 << 10
	// interruptTimeout bounds the wait for an interrupted message to free its memory.
	interruptTimeout = 500 * time.Millisecond
)

// ErrFull is returned if there is no room for a message.
var ErrFull = errors.New("messages exceed the memory of this process for them")

// Pool is the memory of messages. It is safe for concurrent use.
type Pool struct {
	limit int64

	mu   sync.Mutex
	held int64
	// reading holds the messages that can be interrupted.
	reading map[*Body]bool
	// released is closed and replaced when memory is freed for which one of the waiting messages waits.
	released chan struct{}
	waiting  int
}

// NewPool returns a pool with a limit in bytes.
func NewPool(limit int64) *Pool {
	return &Pool{limit: limit, reading: map[*Body]bool{}, released: make(chan struct{})}
}

// Body is the memory of one message. Its methods must not be called at the same time.
type Body struct {
	pool      *Pool
	interrupt func()
	// The following are guarded by pool.mu.
	reserved    int64
	interrupted bool
}

// Open returns the memory of a message, which is empty. interrupt makes the reading of the message fail; it is not
// called after Settle or Release.
func (p *Pool) Open(interrupt func()) *Body { return &Body{pool: p, interrupt: interrupt} }

// Reserve adds n bytes, which are about to be read. It returns ErrFull if there is no room for them.
func (b *Body) Reserve(n int64) error {
	p := b.pool
	var timeout <-chan time.Time
	for {
		p.mu.Lock()
		p.reading[b] = true
		reserved := !b.interrupted && p.held+n <= p.limit
		if reserved {
			p.held, b.reserved = p.held+n, b.reserved+n
		}
		wait := !reserved && !b.interrupted && p.makeRoom(b.reserved+n, n)
		if wait {
			p.waiting++
		}
		released := p.released
		p.mu.Unlock()
		switch {
		case reserved:
			return nil
		case !wait:
			return ErrFull
		}
		if timeout == nil {
			timer := time.NewTimer(interruptTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-released:
			p.stopWaiting()
		case <-timeout:
			p.stopWaiting()
			return ErrFull
		}
	}
}

func (p *Pool) stopWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
}

// makeRoom reports whether n bytes for a message that then has a size will be free soon, and interrupts a larger
// message for that if necessary. p.mu must be held.
func (p *Pool) makeRoom(size, n int64) bool {
	free := p.limit - p.held
	var largest *Body
	for other := range p.reading {
		switch {
		case other.interrupted:
			free += other.reserved
		case largest == nil || other.reserved > largest.reserved:
			largest = other
		}
	}
	if free >= n {
		return true
	}
	if largest == nil || largest.reserved <= 2*size {
		return false
	}
	largest.interrupted = true
	largest.interrupt()
	return true
}

// Settle records that the message was read to its end and has n bytes.
func (b *Body) Settle(n int64) { b.settle(n) }

// Release frees the memory. The body can be used for another message.
func (b *Body) Release() { b.settle(0) }

func (b *Body) settle(n int64) {
	p := b.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reading, b)
	p.held += n - b.reserved
	freed := n < b.reserved
	b.reserved, b.interrupted = n, false
	if freed && p.waiting > 0 {
		close(p.released)
		p.released = make(chan struct{})
	}
}

// Read reads to the end of r and reserves the memory for it while it arrives, so that a slow sender holds only what
// it has sent. The error is ErrFull if there is no room.
func (b *Body) Read(r io.Reader) ([]byte, error) {
	var pieces [][]byte
	var err error
	length := int64(0)
	for n := int64(firstStep); err == nil; n = step {
		if err := b.Reserve(n); err != nil {
			return nil, err
		}
		piece := make([]byte, n)
		filled := 0
		for filled < len(piece) && err == nil {
			var read int
			read, err = r.Read(piece[filled:])
			filled += read
		}
		pieces = append(pieces, piece[:filled])
		length += int64(filled)
	}
	if !errors.Is(err, io.EOF) {
		if b.wasInterrupted() {
			err = errors.Join(ErrFull, err)
		}
		return nil, err
	}
	b.Settle(length)
	return slices.Concat(pieces...), nil
}

func (b *Body) wasInterrupted() bool {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	return b.interrupted
}
