// Package bluebellsync spreads what every entry must know: the agreed view,
// downwards from the voters, and the health of endpoints, both ways.
//
// # Tree
//
// The VMs of one failure domain form a tree in the order of the generated
// settings, those with a disk first. Each node follows its parent by long polls;
// the first one follows a voter. So a change costs the voters one answer for
// each failure domain and a few children, whatever the number of entries. A node
// whose parent does not answer, or says that it has itself heard nothing lately,
// goes on to the parent's parent and at last to the voters.
//
// A node takes only views that are newer than its own, from wherever they come,
// so a stale relay delays a node and never takes it back. After a restart
// without a disk a node prefers an up-to-date source, and takes what it can get
// only after a grace period, so that a failure domain that is cut off still
// serves.
//
// # Deltas
//
// A follower says which revision and configuration it has. It is sent the short
// lists of the view, and of the configuration only what differs from its own; the
// result is compared by a hash, and after a mismatch the whole is sent.
//
// # Usage
//
//	hub := bluebellsync.NewHub(bluebellsync.HubConfig{...})
//	reply := hub.Answer(ctx, request)            // as a source
//	go bluebellsync.Follow(ctx, followConfig)     // as a follower
package bluebellsync
