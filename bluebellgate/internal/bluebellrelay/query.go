package bluebellrelay

import (
	"net/http"
	"time"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/platform/bluebellplatform"
)

// A query is a caller's call once it has a route, a customer and its whole body.

const (
	// routeRanks is the number of priorities of routes that are told apart within one
	// priority of customers: with as many of these they fit the platform's ten.
	routeRanks = 3
	// plainCustomer is the priority of a customer that has none, the middle one.
	plainCustomer = 1
)

// Request is a caller's call as the front has read it.
type Request struct {
	Call     bluebellplatform.Call
	Route    *bluebelldeployment.Route
	Target   *bluebelldeployment.Target
	Customer *bluebelldeployment.Customer
	Method   string
	// URI is the path with the query, as it came.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is when the caller's or the route's time is over.
	Deadline time.Time
	// Revision of the deployment that the call was decided by.
	Revision uint64
}

// priority of the call: that of the customer goes before that of the route.
func (q *Request) priority() int {
	customer := plainCustomer
	if q.Customer != nil && q.Customer.HasPriority {
		customer = q.Customer.Priority
	}
	return customer*routeRanks + min(q.Route.Priority, routeRanks-1)
}

// Sink is where the answer goes.
type Sink struct {
	// Begin sends the header. It is called once at most.
	Begin func(status int, h http.Header)
	// Write sends a part of the body at once.
	Write func(part []byte) error
	// Abort breaks the answer off visibly. It does not return.
	Abort func()
}
