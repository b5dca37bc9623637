package bluebellhead

import (
	"bytes"
	"fmt"
	"net"
)

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

// Conn checks the heads of the responses that are read from a connection. It is for clients that read them in their own
// way, write each request whole before they read its response, and send no request before they have read the response
// to the last one. It is not safe for concurrent use.
type Conn struct {
	net.Conn
	// head has what was read of a head, and inHead is set until it is whole.
	head   []byte
	inHead bool
	err    error
}

// NewConn returns a Conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write writes a part of a request, whose response is read next.
func (c *Conn) Write(b []byte) (int, error) {
	c.head, c.inHead = c.head[:0], true
	return c.Conn.Write(b)
}

// Read reads a part of a response. It fails at the end of a malformed head.
func (c *Conn) Read(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(b)
	if c.inHead {
		c.head = append(c.head, b[:n]...)
		c.err = c.checkHeads()
	}
	if c.err != nil {
		return 0, c.err
	}
	return n, err
}

// checkHeads checks the heads that are whole. Those of informational responses precede that of the response.
func (c *Conn) checkHeads() error {
	for c.inHead {
		end := headEnd(c.head)
		if end < 0 {
			if len(c.head) > maxHeadBytes {
				return fmt.Errorf("%w: it has more than %d bytes", ErrMalformed, maxHeadBytes)
			}
			return nil
		}
		if err := check(c.head[:end]); err != nil {
			return err
		}
		// The status line has been checked.
		c.inHead = c.head[len("HTTP/1.1 ")] == '1'
		c.head = c.head[end:]
	}
	c.head = nil
	return nil
}

// headEnd returns the position behind the empty line that ends a head, or -1.
func headEnd(text []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(text[at:], '\n')
		if i < 0 {
			return -1
		}
		line := bytes.TrimSuffix(text[at:at+i], []byte("\r"))
		at += i + 1
		if len(line) == 0 {
			return at
		}
	}
}
