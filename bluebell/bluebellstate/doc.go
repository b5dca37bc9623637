// Package bluebellstate is the replicated state machine on which the voters agree
// through the log. It holds:
//
//   - the configuration, the failure domains that operators took out and the endpoints
//     that they drained
//   - version moves: the gradual replacement of the version that serves a target, which
//     is a model or a service
//   - claims: the exclusive right of one attempt to run a non-idempotent call, which must
//     not run twice
//   - the fencing number, by which endpoints refuse orders of former leaders
//   - poisoned requests: requests that crash the endpoints that run them
//   - the declared deployment and the named versions of model weights
//   - the decided usage windows, and which of them the provider has accepted
//
// # Usage
//
// Every voter applies the same commands in the order of the log:
//
//	machine := bluebellstate.New()
//	result := machine.Apply(command)
//	view := machine.View()
//
// The machine does not read a clock. Its time is the largest time of the commands
// applied so far, so that all voters expire the same keys at the same log position.
//
// # Claims
//
// The key of a claim is a UUID of version 7 (RFC 9562), which contains its creation
// time. The machine keeps a claim until the retention after that time has passed, and
// then answers its key with Expired. The same clock decides both, so there is no key
// whose claim has been dropped but which is still granted a new one.
//
// A claim does not pass to another attempt unless the attempt releases it: if an
// attempt dies between claim and outcome, the outcome of the call stays unknown.
package bluebellstate
