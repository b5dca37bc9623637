// Package bluebelldispatch processes the calls of an entry, the process of a VM that
// accepts calls. It selects an endpoint, waits for a slot there, sends the call, retries
// where that is safe, and obtains claims for calls that must run at most once.
//
// # Terms
//
// An endpoint is a server that runs calls, and a slot is the right to run one call on it.
// The slots of an endpoint are divided between its owners, which are VMs. A VM that is not
// an owner forwards a call to one of them; the forwarded call carries a hop, a signed
// description of the routing decision. A claim is the right to run a non-idempotent call,
// on which the voters of the replicated log agree. A block is a piece of a prompt that
// endpoints cache, and the home of a prompt is the endpoint that should have it cached.
// A cold endpoint started, or may have restarted, a short time ago and gets fewer slots.
//
// # Usage
//
//	dispatcher := bluebelldispatch.New(bluebelldispatch.Config{...})
//	reply, callErr := dispatcher.Do(ctx, call)
//	defer reply.Close()
//	for { event, err := reply.Next(); ... }
//
// # Retries
//
// A request to a model or an idempotent call is retried at another endpoint as long as no
// byte of an answer was passed to the caller and the retry budget allows it. A
// non-idempotent call is sent once: it is sent to another endpoint only if certainly no
// byte of it was sent before.
package bluebelldispatch
