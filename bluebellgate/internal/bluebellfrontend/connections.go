package bluebellfrontend

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnectionGrace is how long a new connection may carry no call before closeIdle closes it. A
// caller opens a connection for a call, whose first packet may be resent.
const newConnectionGrace = time.Second

// connections holds the open connections of callers. http.Server.Shutdown is not used because a
// server that shuts down reads calls without answering them.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]connection
}

// connection is the state of a connection and the time since which it has it.
type connection struct {
	state http.ConnState
	since time.Time
}

func newConnections() *connections { return &connections{open: map[net.Conn]connection{}} }

// track records the state of a connection. It is the server's ConnState function.
func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	c.open[conn] = connection{state: state, since: time.Now()}
}

// closeIdle makes the server close the connections without a call, and returns the number of open
// connections. A connection on which a call arrives meanwhile is either closed with the call unread,
// or stays open until the call is answered.
func (c *connections) closeIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for conn, s := range c.open {
		if s.state == http.StateIdle || s.state == http.StateNew && now.Sub(s.since) > newConnectionGrace {
			// If this fails, the connection is closed already.
			_ = conn.SetReadDeadline(now)
		}
	}
	return len(c.open)
}

// active returns the number of connections that carry a call.
func (c *connections) active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.open {
		if s.state == http.StateActive {
			n++
		}
	}
	return n
}
