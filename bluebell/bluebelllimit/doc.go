// Package bluebelllimit limits the load that a process sends to an endpoint, one
// process or machine that runs calls.
//
// Gate is the admission control for one endpoint: it enforces a number of slots
// (concurrent requests), holds further requests in a bounded queue that is fair
// between customers, and uses fewer slots while the endpoint is cold, which means
// recently started and not yet at full speed. RetryBudget and WindowBudget limit
// how often calls are retried.
//
// # Usage
//
// Each process that owns a part of an endpoint's slots has its own Gate for that
// endpoint. A Gate has no goroutine and no clock: the caller passes in requests
// and the time, and starts the requests that the Gate returns:
//
//	gate := bluebelllimit.NewGate(bluebelllimit.GateConfig{QueueLimit: 100})
//	gate.SetLimits(now, bluebelllimit.SlotLimits{Warm: 8, Cold: 2, ...})
//	started, retryAfter, err := gate.Offer(now, request)
//	...
//	next := gate.Release(now, request, true)
//
// # Order
//
// Requests of higher priority start first. Within one priority the order is that
// of start-time fair queuing (Goyal, Vin and Cheng, 1996): each request gets a
// start tag, the larger of the gate's virtual time and the customer's last finish
// tag, and the request with the smallest start tag starts first. A burst of one
// customer therefore delays mainly that customer's own requests.
//
// # Cold start
//
// A cold endpoint starts with its cold slots. Every few completed requests raise
// the limit by one slot, up to the number of warm slots. The endpoint counts as
// warm once that number is reached and its warm-up time is over. A failure of a cold
// endpoint resets the limit to the cold slots. MarkCold does so for a warm endpoint
// too, when it may have lost the contents of its memory.
package bluebelllimit
