package bluebellstub

import (
	"context"
	"net"
	"net/http"
)

// maxCopyBytes is the length of the longest response that a connection keeps.
const maxCopyBytes = 64 << 10

// copyingListener accepts connections that keep the response to their latest call.
type copyingListener struct{ net.Listener }

// Accept returns the next connection, a *copyingConn.
func (l copyingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &copyingConn{Conn: conn}, nil
}

// copyingConn is a connection that keeps the response to its latest call. The HTTP server uses a
// connection for one request at a time, so that all that is written in between is one response.
type copyingConn struct {
	net.Conn
	// keeps is set from the arrival of a call until that of the next request.
	keeps    bool
	response []byte
}

// Write writes to the connection and keeps what is a part of a response to a call.
func (c *copyingConn) Write(b []byte) (int, error) {
	if c.keeps {
		c.response = append(c.response, b...)
		if len(c.response) > maxCopyBytes {
			c.keeps, c.response = false, nil
		}
	}
	return c.Conn.Write(b)
}

// beginRequest forgets the response to the latest call and returns it, or nil if there is none.
func (c *copyingConn) beginRequest(isCall bool) []byte {
	response := c.response
	c.keeps, c.response = isCall, nil
	return response
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// beginRequest writes the response to the previous call on the connection of a call once more, if
// Config.Copies says so.
func (e *Endpoint) beginRequest(r *http.Request, isCall bool) {
	conn, ok := r.Context().Value(connKey{}).(*copyingConn)
	if !ok {
		return
	}
	response := conn.beginRequest(isCall)
	if isCall && len(response) > 0 && e.cfg.Copies != nil && e.cfg.Copies() {
		// If this fails, so does the response to the call.
		_, _ = conn.Conn.Write(response)
	}
}
