// Package bluebelldispatch carries a request from its admission to its answer:
// it routes, waits for a slot, sends, tries again where that is safe, and claims
// calls that may not be repeated.
//
// # Usage
//
//	dispatcher := bluebelldispatch.New(bluebelldispatch.Config{...})
//	reply, callErr := dispatcher.Do(ctx, call)
//	defer reply.Close()
//	for { event, err := reply.Next(); ... }
//
// # What is repeated
//
// A request to a model, or an idempotent call, is tried again at another
// endpoint while no byte of an answer has been handed to the caller and the
// retry budget allows. A call that may not be repeated is sent once: it goes to
// another endpoint only while certainly no byte of it has left.
package bluebelldispatch
