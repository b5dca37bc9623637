package bluebellfrontend

import (
	"errors"
	"io"
	"slices"
	"sync/atomic"
)

const (
	// defaultMaxHeldBytes is the limit on the bodies of all calls if Config sets none: a third of
	// the heap of the smallest specified entry VM.
	defaultMaxHeldBytes = 48 << 20
	// bodyStep is the number of bytes by which a body grows, firstBodyStep that with which it begins.
	bodyStep      = 32 << 10
	firstBodyStep = 2 << 10
)

// errBodiesFull is returned if the bodies of all calls together exceed their limit.
var errBodiesFull = errors.New("bodies of calls exceed the limit of this process")

// bodies counts the bytes of the bodies that calls hold.
type bodies struct {
	limit int64
	held  atomic.Int64
}

// reserve adds n bytes unless they exceed the limit.
func (b *bodies) reserve(n int64) bool {
	if b.held.Add(n) > b.limit {
		b.held.Add(-n)
		return false
	}
	return true
}

// heldBody is the memory of the body of one call.
type heldBody struct {
	bodies   *bodies
	reserved int64
}

// read reads a body into memory that it reserves while the body arrives, so that a slow caller holds
// only what it has sent.
func (h *heldBody) read(r io.Reader) ([]byte, error) {
	var pieces [][]byte
	var err error
	for step := int64(firstBodyStep); err == nil; step = bodyStep {
		if !h.bodies.reserve(step) {
			return nil, errBodiesFull
		}
		h.reserved += step
		piece := make([]byte, step)
		n := 0
		for n < len(piece) && err == nil {
			var read int
			read, err = r.Read(piece[n:])
			n += read
		}
		pieces = append(pieces, piece[:n])
	}
	if !errors.Is(err, io.EOF) {
		return nil, err
	}
	body := slices.Concat(pieces...)
	h.bodies.held.Add(int64(len(body)) - h.reserved)
	h.reserved = int64(len(body))
	return body, nil
}

// release frees the memory when the call has ended.
func (h *heldBody) release() {
	h.bodies.held.Add(-h.reserved)
	h.reserved = 0
}
