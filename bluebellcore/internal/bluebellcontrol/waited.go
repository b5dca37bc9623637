package bluebellcontrol

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellprocess"
)

// An order whose sender has given it up may have been sent to another core process since, and be followed there by
// a newer one. An order without a version would then undo the newer one, so it has no effect unless its sender
// still waits. The process notes which log entries it has applied, makes sure that the sender waits, and proposes
// the order only in front of any order that comes behind those entries. What happens after the check can thus take
// any time.
//
// The sender waits if it has not left, and neither this process nor the network can have held the order for as long
// as a sender waits. The connection bounds the latter: its last byte before the order was sent or received within
// maxSilence. Connections are therefore closed after each call of an operator.

const (
	// stallTick is how often the process notes that it runs, and minStall the time without such a note
	// after which it may have stood still. Together with maxSilence it is less than the second for which senders
	// wait.
	stallTick = 100 * time.Millisecond
	minStall  = 500 * time.Millisecond
	// drainTime is how long after a standstill what was received during it may still be read.
	drainTime = 300 * time.Millisecond
	// maxSilence is how long a connection may have been silent before an order on it takes effect.
	maxSilence = 450 * time.Millisecond
	// lookAgain is the time between the two looks whether the sender has left. What the network has held may
	// arrive together, the end of the connection behind the order.
	lookAgain = 50 * time.Millisecond
	// conflictPause is the time between two proposals of an order that may have been preceded by another one.
	conflictPause = 10 * time.Millisecond
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

// timedListener accepts connections that know when they were last used.
type timedListener struct {
	net.Listener
	now func() time.Duration
}

// Accept waits for the next connection.
func (l timedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	timed := &timedConn{Conn: conn}
	timed.usedAt.Store(int64(l.now()))
	return timed, nil
}

// timedConn is a connection that knows when it was accepted or when the last answer on it was made.
type timedConn struct {
	net.Conn
	usedAt atomic.Int64
	// unread is set if the connection is closed before a request on it is read to its end.
	unread atomic.Bool
}

// Close closes the connection. If unread is set, it lingers until the sender closes.
func (c *timedConn) Close() error {
	if c.unread.Load() {
		return linger.Close(c.Conn)
	}
	return c.Conn.Close()
}

// sender is who sent a call.
type sender struct {
	server *Server
	conn   *timedConn
}

// sender returns the sender of a call.
func (s *Server) sender(c *fasthttp.RequestCtx) sender {
	return sender{server: s, conn: c.Conn().(*timedConn)}
}

// check returns nil only if the sender has not left, and cannot have given the call up.
func (s sender) check() error {
	silence := s.server.cfg.Uptime() - time.Duration(s.conn.usedAt.Load())
	if s.server.stall.stalled() || silence > maxSilence || hasLeft(s.conn.Conn) {
		return errWaited
	}
	return nil
}

// propose proposes the order of a sender while it waits. If another order may have been accepted in between, it
// checks the sender again and proposes the order behind that one.
func (s sender) propose(ctx context.Context, c *pb.Command) (*pb.Result, error) {
	for pause := lookAgain; ; pause = conflictPause {
		after := max(s.server.cfg.AppliedIndex(), 1)
		if err := s.check(); err != nil {
			return nil, err
		}
		bluebellprocess.Sleep(ctx, pause)
		if hasLeft(s.conn.Conn) {
			return nil, errWaited
		}
		result, err := s.server.cfg.ProposeAfter(ctx, c, after)
		if err != nil || result.Verdict != pb.Verdict_Conflict {
			return result, err
		}
	}
}

// answered notes that the call was answered.
func (s sender) answered() { s.conn.usedAt.Store(int64(s.server.cfg.Uptime())) }

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
