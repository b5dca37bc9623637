package bluebellrelay

import (
	"net/http"
	"time"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebellgate/internal/bluebellhandover"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// routePriorities is the number of distinct route priorities within each customer
	// priority. With 3 customer priorities they fit the platform's 10 priorities.
	routePriorities = 3
	// defaultCustomerPriority is the priority of a call without a customer or of a
	// customer without a priority. It is the middle one.
	defaultCustomerPriority = 1
)

// Request is a caller's call with its route, its customer and its whole body.
type Request struct {
	Call     bluebellplatform.Call
	Route    *bluebelldeployment.Route
	Target   *bluebelldeployment.Target
	Customer *bluebelldeployment.Customer
	Method   string
	// URI is the path with the query, unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is the earlier of the caller's deadline and the timeout of the route.
	Deadline time.Time
	// Revision is the deployment revision that Route, Target and Customer come from.
	Revision uint64
	// Offer is set if another entry, which has the caller, handed the call over.
	Offer *bluebellhandover.Offer
}

// priority returns the priority of the call, 0 first. The priority of the customer takes
// precedence over that of the route.
func (r *Request) priority() int {
	customer := defaultCustomerPriority
	if r.Customer != nil && r.Customer.HasPriority {
		customer = r.Customer.Priority
	}
	return callPriority(customer, r.Route)
}

// callPriority returns the priority of a call by that of its customer and by its route.
func callPriority(customer int, route *bluebelldeployment.Route) int {
	return customer*routePriorities + min(route.Priority, routePriorities-1)
}

// Sink receives the answer to a call.
type Sink struct {
	// Begin sends the header. It is called at most once.
	Begin func(status int, h http.Header)
	// Write sends a part of the body without buffering it.
	Write func(part []byte) error
	// Abort breaks the answer off, also one that has not begun, so that the caller sees that
	// it is incomplete. It does not return.
	Abort func()
}
