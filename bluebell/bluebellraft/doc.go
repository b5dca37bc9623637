// Package bluebellraft is the consensus core: a deterministic state machine
// that keeps one log on several voters.
//
// The protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014) with the pre-vote, the check of the quorum, the
// leader lease and the change of one voter at a time of Ongaro's thesis
// ("Consensus: Bridging Theory and Practice", 2014).
//
// # Usage
//
// A Node has no goroutine, clock, socket or file. Its caller hands it messages
// and the time and carries out what [Node.Ready] returns, in this order:
//
//  1. make Snapshot, HardState and Entries durable,
//  2. call [Node.MarkPersisted],
//  3. send Messages,
//  4. apply Committed.
//
// Times are durations since any fixed start on the monotonic clock of the VM.
//
//	node, err := bluebellraft.New(cfg, stored, now)
//	node.Tick(now)
//	node.Step(now, message)
//	for node.HasReady() {
//		ready := node.Ready()
//		storage.Save(ready)
//		node.Persisted(ready)
//		send(ready.Messages)
//		apply(ready.Committed)
//	}
//
// A violated invariant panics: a voter that cannot trust its own state must
// stop before it says anything to the others.
package bluebellraft
