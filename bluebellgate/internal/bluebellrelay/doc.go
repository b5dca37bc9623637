// Package bluebellrelay carries one caller's call to endpoints and the answer back.
//
// # What may be repeated
//
// Idempotent calls and streams that may be resumed are sent to another endpoint
// after a failure, within the attempts of their route and a budget that bounds
// repeats over all entries. All other calls are sent again only if the endpoint
// said that it did not run them, or certainly received nothing.
//
// # What callers are told
//
// A refusal (503 with a time to come back) says that the call has not run and will
// not. If it may have run, the answer is 502, or 504 at the time limit. An answer
// that has begun and cannot be completed is broken off visibly. Each call gets its
// final answer as soon as it is known.
//
// # Usage
//
//	relay := bluebellrelay.New(bluebellrelay.Config{...})
//	relay.Serve(ctx, query, sink)
package bluebellrelay
