// Package bluebellchaos runs one drill: a deployment of real processes on loopback
// addresses, load from callers, operators that change the declaration, and faults
// drawn from a seed.
//
// Faults come from outside the processes: signals to them (kill, pause, planned stop,
// restart with or without the disk), and proxies on the way to endpoints and between
// the processes, which delay, reset, silence, or cut one way. They overlap.
//
// Checked are, from what callers, endpoints and operators see:
//
//   - a call that must not run twice runs once at most,
//   - a refused call has not run and does not run later,
//   - a whole answer is the answer to its own call,
//   - a stream has all events in order and none twice,
//   - an endpoint gets the caller's method, path and body, its customer, and no key,
//   - what was acknowledged to an operator is read back, and never something older,
//   - after the faults the deployment serves again.
//
// # Usage
//
//	report, err := bluebellchaos.Run(ctx, bluebellchaos.Config{...})
package bluebellchaos
