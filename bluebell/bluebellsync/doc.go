// Package bluebellsync distributes shared state among the VMs of a system. Each VM runs
// an entry, a process that accepts calls. The agreed state, called the view, spreads
// from the voters of the Raft group to all VMs. Evidence and the revisions in force
// spread from the VMs towards the voters; evidence is the counts of call outcomes while a
// target (a service or model) moves to another version. The health of endpoints, the
// servers that entries pass calls to, spreads both ways.
//
// # Tree
//
// The VMs of one failure domain (VMs that can fail together) form a tree in the order of
// the generated settings, in which VMs with a disk come first. Each node is a follower:
// it sends long polls to its source, which is normally its parent. The root of each tree
// follows a voter. So the voters answer only one node of each failure domain and a few
// children of their own for each change, whatever the number of entries. A node whose
// parent does not answer, or reports that its own state is stale, polls the parent's
// parent instead, and finally the voters.
//
// A node applies a view only if its revision is higher than that of its own view. So a
// stale source can delay a node, but cannot return it to an earlier revision. After a
// restart without a disk, a node has no view and waits for an up-to-date source. After a
// grace period it also accepts a stale view, so that a failure domain without a
// connection to the voters still serves calls.
//
// # Deltas
//
// A follower sends the revisions of its view and of its configuration. The reply has the
// short lists of the view in full, and only the difference to the follower's
// configuration. The follower compares a hash of the result with that of the source, and
// requests the full configuration after a mismatch.
//
// # Usage
//
//	hub := bluebellsync.NewHub(bluebellsync.HubConfig{...})
//	reply := hub.HandleWatch(ctx, request)                // as a source
//	follower := bluebellsync.NewFollower(followerConfig)  // as a follower
//	go follower.Run(ctx)
package bluebellsync
