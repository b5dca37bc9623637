package bluebellcontrol

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"bluebellhaven.org/bluebell/bluebellprocess"
)

// An order that waited until its sender gave it up may have been sent to another core process since, and be
// followed there by a newer one. Orders without a version would then undo the newer one, so they are refused
// if their sender has left, or if this process stood still before it read them.

const (
	// stallTick is how often the process notes that it runs, and minStall the time without such a note
	// after which it may have stood still. Senders wait longer for an answer.
	stallTick = 100 * time.Millisecond
	minStall  = 500 * time.Millisecond
	// drainTime is how long after a standstill what was received during it may still be read.
	drainTime = 300 * time.Millisecond
)

var errWaited = errors.New("the order may have waited for longer than its sender: send it again")

// stallWatch notes when the process stood still. Its clock must go on meanwhile. The zero value is ready for
// use once Run is called.
type stallWatch struct {
	now func() time.Duration
	// ranAt is when the process last noted that it runs, and stalledUntil when the last standstill ended,
	// both 0 if never.
	ranAt, stalledUntil atomic.Int64
}

// run notes that the process runs until ctx ends.
func (w *stallWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := w.now()
		if last := time.Duration(w.ranAt.Load()); last != 0 && now-last >= minStall {
			w.stalledUntil.Store(int64(now))
		}
		w.ranAt.Store(int64(now))
		bluebellprocess.Sleep(ctx, stallTick)
	}
}

// stalled reports whether what is read now may have been received before a standstill.
func (w *stallWatch) stalled() bool {
	now, ranAt, until := w.now(), time.Duration(w.ranAt.Load()), time.Duration(w.stalledUntil.Load())
	return ranAt != 0 && now-ranAt >= minStall || until != 0 && now-until < drainTime
}

// mayHaveWaited reports whether the sender of a call may have given it up before it was read.
func (s *Server) mayHaveWaited(c *fasthttp.RequestCtx) bool {
	return s.stall.stalled() || hasLeft(c.Conn())
}

// hasLeft reports whether the other side has closed a connection.
func hasLeft(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return left || err != nil
}
