// Package bluebellcluster runs the replicated state machine through long randomised
// sequences of faults, in one goroutine and on simulated time, and checks invariants.
//
// # Usage
//
//	simulation := bluebellcluster.New(bluebellcluster.Config{Seed: 1, Steps: 100_000, Voters: 3})
//	report, err := simulation.Run()
//
// The voters run the production consensus core, write-ahead log and state machine.
// Only the network, the disks, the clocks and the clients are simulated. The same
// seed gives the same sequence of events.
//
// # Faults
//
// Messages are lost, duplicated, delayed and reordered. Members are partitioned from
// the others in one or both directions, pause, crash and lose unsynced data, have a
// sync fail, have a bit of their disk flipped, and lose their disk and are replaced.
// Their clocks drift within the allowed bound. Clients resend commands after lost
// answers, submit concurrent changes with equal base revisions, die between the steps
// of a call, and continue after a long delay.
//
// # Invariants
//
// A term has at most one leader. At most one member holds the leader lease at a time. A
// committed entry is the same on all members and is never lost. The revision of the view
// that a member publishes never decreases, also over a restart. A non-idempotent call is
// dispatched at most once. Accepted changes have distinct revisions. At the end of a run
// the histories of claims (rights to run a non-idempotent call) and of configuration
// changes are checked for linearizability. With Config.Usage, a usage window is decided once and never reported with
// different counts, and no decision is lost.
//
// # Mutations
//
// A Mutation disables one safeguard on purpose, to show that a run detects it.
package bluebellcluster
