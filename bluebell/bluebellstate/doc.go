// Package bluebellstate is the replicated state machine: what the voters agree
// on. It holds the configuration, orders of operators, version moves, claims of
// non-idempotent calls, fencing numbers and requests that crash endpoints.
//
// # Usage
//
// Every voter applies the same commands in the order of the log:
//
//	machine := bluebellstate.New()
//	result := machine.Apply(command)
//	view := machine.View()
//
// The machine has no clock. Its time is the largest time of any command, so
// that all voters forget the same keys at the same place of the log.
//
// # Claims
//
// The key of a claim is a UUID of version 7 (RFC 9562), which carries the time
// of its making. A claim is remembered until the retention after that time, and
// a key older than that is answered with Expired. One clock decides both, so no
// key falls between being remembered and being refused.
//
// A claim never passes to another attempt: an attempt that dies between its
// claim and its outcome leaves the call unknown for good.
package bluebellstate
