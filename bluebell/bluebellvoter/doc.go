// Package bluebellvoter runs one voter of the shared state: it drives the
// consensus core with time, messages and storage, and applies what is agreed.
//
// # Usage
//
//	voter, err := bluebellvoter.New(bluebellvoter.Config{...})
//	go voter.Run(ctx)
//	result, err := voter.Propose(ctx, command)
//
// One goroutine owns the core, the log and the state machine. It takes in all
// that is waiting before it writes, so that many proposals share one sync of the
// disk. Run returns an error when storage fails; the process must then end.
package bluebellvoter
