// Package bluebellchaos tests a deployment under random faults. It runs gates and core
// processes on loopback addresses with stub endpoints, load from callers, an operator that
// changes the declaration, and faults drawn from a seed. Gates accept callers' calls and route
// them to endpoints; core processes replicate the declaration of routes, targets and customers.
//
// Faults are injected from outside the processes: signals (kill, pause, planned stop, restart
// with or without the disk, reload), alone and in series, and proxies in front of endpoints and
// between core processes, which delay data, hold it back, drop it in both directions or one, or reset
// connections. Endpoints crash, restart in series under new IDs, misbehave, pause and leave, and write refusals and
// answers once more where the next response on the connection is due. Faults may overlap. At the end, all
// processes are killed right after changes were acknowledged.
//
// Callers open a connection for each call, keep one to each gate, or cling to one until its gate closes
// it, also while the gate stops. Some calls are chunked, slow or late on their connection.
//
// The following is checked against what callers, endpoints and operators observe:
//
//   - a call that was sent is answered or refused, unless package bluebellanswer knows an excuse,
//   - a non-idempotent call or a stream that cannot be resumed runs at most once,
//   - such a call that is refused with status 408, 421, 429 or 503 has not run and does not run later,
//   - a complete answer is the answer to its own call,
//   - a stream has its events in order, none twice and, if it is complete, all of them,
//   - an endpoint gets the caller's method, path and body and the customer's name, but not the key,
//   - an operator reads back each version as it was declared, and never one older than a version
//     that was acknowledged before,
//   - a failure domain that was taken out of service gets no calls, and engines get the version of the
//     weights that was acknowledged, and are never ordered to load an older one,
//   - no process ends by itself or reports a panic,
//   - after the faults the deployment serves calls again.
//
// # Usage
//
//	report, err := bluebellchaos.Run(ctx, bluebellchaos.Config{...})
//
// The data folder then holds the logs of the processes and, in events.log, the faults in order.
package bluebellchaos
