// Package bluebellrelay sends a caller's call to an endpoint, retries it at other endpoints
// if that is safe, and returns the answer to the caller. It runs in an entry, a process that
// takes calls. An endpoint is one instance of the service or inference engine that answers
// them, and a target is a group of endpoints that do the same work.
//
// # Retries
//
// Idempotent calls and resumable streams are retried at another endpoint after a failure,
// within the attempts of their route and a budget that bounds retries over all entries.
// Any other call is retried only if the endpoint answered that it did not run the call, or
// cannot have received any of it.
//
// # Lost links
//
// While this entry can open no connection to any endpoint of a target, its calls are handed over to
// entries that can, and it runs the calls of others while they cannot. See bluebelllink and
// bluebellhandover.
//
// # Final answers
//
// Status 503 with a Retry-After time means that the call has not run and will not. If the
// call may have run, the status is 502, or 504 at the deadline. An answer that has begun and
// cannot be completed is broken off, so that the caller sees that it is incomplete. Each
// call gets its final answer as soon as the outcome is known.
//
// # Usage
//
//	relay := bluebellrelay.New(bluebellrelay.Config{...})
//	relay.Serve(ctx, request, sink)
package bluebellrelay
