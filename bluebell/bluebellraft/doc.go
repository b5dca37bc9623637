// Package bluebellraft implements the Raft consensus algorithm as a deterministic
// state machine that replicates one log to several voters.
//
// The protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014). From Ongaro's thesis ("Consensus: Bridging Theory and
// Practice", 2014) it adds pre-vote, a leader that steps down when no quorum answers,
// the leader lease and membership changes of one voter at a time.
//
// The members of the log are voters, which elect a leader and count towards a quorum,
// and learners, which receive the log but do neither.
//
// # Usage
//
// A Node has no goroutine, clock, socket or file. Its caller passes it messages and
// the time, and processes each [Ready] from [Node.Ready] in this order:
//
//  1. make Snapshot, HardState and Entries durable,
//  2. call [Node.MarkPersisted],
//  3. send Messages,
//  4. apply Committed.
//
// Times are durations on the monotonic clock of the VM, from any fixed starting point.
//
//	node, err := bluebellraft.New(cfg, stored, now)
//	node.Tick(now)
//	node.Step(now, message)
//	for node.HasReady() {
//		ready := node.Ready()
//		storage.Save(ready)
//		node.MarkPersisted(ready)
//		send(ready.Messages)
//		apply(ready.Committed)
//	}
//
// A violated invariant causes a panic: a voter whose own state is inconsistent must
// stop before it sends anything to other members.
package bluebellraft
