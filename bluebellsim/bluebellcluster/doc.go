// Package bluebellcluster runs the replicated state through long randomised
// histories of faults, in one goroutine and on simulated time.
//
// # Usage
//
//	world := bluebellcluster.New(bluebellcluster.Config{Seed: 1, Steps: 100_000})
//	report, err := world.Run()
//
// The voters are the product's own consensus core, write-ahead log and state
// machine; only the network, the disks, the clocks and the clients are stand-ins.
// The same seed gives the same history.
//
// # Faults
//
// Messages are lost, doubled, late and out of order. Members are cut off from
// others, also in one direction, pause, crash and lose what was not synced, have
// a sync fail, get bits flipped, and lose their disk and are replaced. Their
// clocks drift within the allowed bound. Clients send again after lost answers,
// race with equal base revisions, die between the steps of a call, and wake late.
//
// # Invariants
//
// One leader in a term; one lease at a time; a committed entry is the same on all
// members and is never lost; a view never goes back on a member, also over a
// restart; a call that may not be repeated is dispatched once; accepted changes
// have distinct revisions. The histories of claims and changes are checked for
// linearizability at the end.
//
// # Mutations
//
// A Mutation breaks one guard on purpose, to show that a run notices.
package bluebellcluster
