// Package bluebellvoter runs one member of the replicated state. It passes time, messages
// and stored state to the Raft node of bluebellraft, saves the node's output, and applies
// committed commands to the state machine of bluebellstate.
//
// A member is a voter or a learner; the type Voter runs both.
//
// # Usage
//
//	voter, err := bluebellvoter.New(bluebellvoter.Config{...})
//	go voter.Run(ctx)
//	result, err := voter.Propose(ctx, command)
//
// One goroutine owns the Raft node, the write-ahead log and the state machine. Before each
// write it processes the messages and proposals that are waiting, so that many proposals
// share one sync of the disk. Run returns an error when storage fails; the process must
// then exit.
package bluebellvoter
