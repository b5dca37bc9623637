package bluebellchaos

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"bluebellhaven.org/bluebell/bluebellhead"
	"bluebellhaven.org/platform/bluebellplatform"
)

// callerKind is how a caller uses its connections to gates.
type callerKind int

const (
	// renewing callers open a connection for each call.
	renewing callerKind = iota
	// keeping callers keep one connection to each gate and choose the gate for each call.
	keeping
	// clinging callers use one connection, at short intervals, until the gate closes it, and return to
	// the same gate until it no longer accepts connections.
	clinging
	callerKinds
)

const (
	// connectTimeout bounds the opening of a connection.
	connectTimeout = time.Second
	// oneWriteBytes is the buffer from which a call is written. Most calls fit into one write.
	oneWriteBytes = 4 << 10
	// pieceBytes is the buffer of calls that are written in pieces.
	pieceBytes = 64
	// longBodyBytes is the length of long request bodies, which 1 of longBodyEach calls have.
	longBodyBytes = 16 << 10
	longBodyEach  = 16
	// chunkedEach is such that 1 of chunkedEach request bodies are chunked. 1 of closeEach calls on new
	// connections ask the gate to close the connection.
	chunkedEach = 3
	closeEach   = 2
	// 1 of lateEach new connections carries its first call up to lateTime after it was opened. 1 of
	// slowEach calls is written in pieces, with a pause of up to slowTime in the middle of its body.
	lateEach = 32
	lateTime = 900 * time.Millisecond
	slowEach = 16
	slowTime = 200 * time.Millisecond
	// 1 of idleEach calls of a clinging caller is followed by up to idleTime without one.
	idleEach = 100
	idleTime = 3 * time.Second
	// 1 of extraEach calls are on routes that only some versions of the declaration have.
	extraEach = 12
)

// connection is a caller's connection to a gate.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	heads  *bluebellhead.Reader
	opened time.Time
	// used is set once a call has been sent, and finished once no other one can be.
	used, finished bool
}

// connect opens a connection to the address of a gate.
func connect(ctx context.Context, address string) (*connection, error) {
	// The connection may be accepted, and its gate killed, before the dialer returns.
	opened := time.Now()
	conn, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	heads := bluebellhead.NewReader(conn)
	return &connection{conn: conn, reader: bufio.NewReader(heads), heads: heads, opened: opened}, nil
}

// close closes the connection.
func (c *connection) close() {
	c.finished = true
	_ = c.conn.Close()
}

// do sends a call through a buffer of the given size and adds what it observes to o. Calls are never sent twice, and the connection is
// closed when the answer says so or is not complete.
func (c *connection) do(r *http.Request, bufferSize int, o *outcome) {
	o.opened, o.reused, c.used = c.opened, c.used, true
	o.began = time.Now()
	defer func() {
		o.ended = time.Now()
		if !o.complete || c.finished {
			c.close()
		}
	}()
	if err := c.conn.SetDeadline(o.began.Add(clientTimeout)); err != nil {
		return
	}
	out := bufio.NewWriterSize(c.conn, bufferSize)
	if err := errors.Join(r.Write(out), out.Flush()); err == nil {
		o.sent = time.Now()
	}
	// A gate may answer before it has read the whole call, and then close the connection.
	response, err := c.heads.ReadResponse(c.reader, r)
	if err != nil {
		o.oddHead = errors.Is(err, bluebellhead.ErrMalformed)
		o.gaveUp = errors.Is(err, os.ErrDeadlineExceeded)
		return
	}
	o.status, o.seal = response.StatusCode, bluebellplatform.Seal(response.Header)
	body, err := io.ReadAll(response.Body)
	o.body, o.complete, o.gaveUp = string(body), err == nil, errors.Is(err, os.ErrDeadlineExceeded)
	c.finished = response.Close || o.sent.IsZero()
}

// caller makes calls in the way of its kind.
type caller struct {
	kind  callerKind
	rng   *rand.Rand
	gates []string
	paths []string
	// kept holds the open connections by gate, and gate is the one of a clinging caller.
	kept map[int]*connection
	gate int
}

// call makes one call. The outcome has no times if no connection could be opened.
func (c *caller) call(ctx context.Context, id string) outcome {
	if c.kind != clinging || c.gate < 0 {
		c.gate = c.rng.IntN(len(c.gates))
	}
	paths := c.paths
	if paths == nil {
		paths = callPaths
	}
	o := outcome{id: id, gate: c.gate, path: paths[c.rng.IntN(len(paths))] + id + "?n=1", requestBody: "body of " + id}
	if c.rng.IntN(extraEach) == 0 && c.paths == nil {
		o.path = fmt.Sprint(extraPath, c.rng.IntN(extraRoutes), "/", id)
	}
	if c.rng.IntN(longBodyEach) == 0 {
		o.requestBody += fmt.Sprintf("%*d", longBodyBytes, 0)
	}
	r, err := newRequest(c.gates[o.gate], o, usualBlocks)
	if err != nil {
		return o
	}
	bufferSize := oneWriteBytes
	if c.rng.IntN(slowEach) == 0 {
		bufferSize = pieceBytes
		half, pause := len(o.requestBody)/2, time.Duration(c.rng.Int64N(int64(slowTime)))
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader(o.requestBody[:half]), pauseReader(pause), strings.NewReader(o.requestBody[half:])))
	}
	if c.rng.IntN(chunkedEach) == 0 {
		r.ContentLength = -1
	}
	r.Close = c.kind == renewing && c.rng.IntN(closeEach) == 0
	conn := c.kept[o.gate]
	if conn == nil {
		if conn, err = connect(ctx, c.gates[o.gate]); err != nil {
			c.gate = -1
			return o
		}
		if c.rng.IntN(lateEach) == 0 {
			time.Sleep(time.Duration(c.rng.Int64N(int64(lateTime))))
		}
	}
	conn.do(r, bufferSize, &o)
	delete(c.kept, o.gate)
	if conn.finished || c.kind != keeping && c.kind != clinging {
		conn.close()
		return o
	}
	c.kept[o.gate] = conn
	return o
}

// pause waits between two calls, on average for the time mean.
func (c *caller) pause(mean time.Duration) {
	longest := 2 * mean
	if c.kind == clinging && c.rng.IntN(idleEach) == 0 {
		longest = idleTime
	}
	time.Sleep(time.Duration(c.rng.Int64N(int64(longest))))
}

// pauseReader is a reader without data that returns after a pause.
type pauseReader time.Duration

// Read pauses and returns io.EOF.
func (p pauseReader) Read([]byte) (int, error) {
	time.Sleep(time.Duration(p))
	return 0, io.EOF
}

// close closes the open connections.
func (c *caller) close() {
	for _, conn := range c.kept {
		conn.close()
	}
}
