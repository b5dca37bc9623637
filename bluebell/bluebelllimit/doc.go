// Package bluebelllimit decides when a request may run on an endpoint: the slots
// of the endpoint, its cold start, a bounded queue that is fair between
// customers, and a budget for retries.
//
// # Usage
//
// A Gate stands before each endpoint on each owner. It has no goroutine and no
// clock; the caller hands it requests and the time, and starts those that it
// returns:
//
//	gate := bluebelllimit.NewGate(bluebelllimit.GateConfig{QueueLimit: 100})
//	gate.SetLimits(now, bluebelllimit.Limits{Warm: 8, Cold: 2, ...})
//	verdict := gate.Offer(now, request)
//	...
//	started := gate.Release(now, request, true)
//
// # Order
//
// Higher priority goes first. Within one priority the customers share by
// start-time fair queuing (Goyal, Vin and Cheng, 1996): each request gets a start
// tag, the larger of the gate's virtual time and the customer's last finish tag,
// and the least start tag goes first. So one customer's burst waits behind
// itself.
//
// # Cold start
//
// A cold endpoint gets its cold slots. Each request that it completes raises the
// limit evenly towards the warm one, which it reaches only after the warm-up
// time too. A failure takes the ramp back to its start, and so does a sign that the
// endpoint has lost its memory.
package bluebelllimit
