// Package bluebellroute decides which endpoint and which owning VM a request
// goes to.
//
// # Owners
//
// The slots of an endpoint belong to a few entry VMs of its own failure domain,
// its owners, chosen by rendezvous hashing. Only an owner sends to the endpoint;
// another VM hands the request to an owner. So the limit of an endpoint holds
// without a message between owners, an owner sees all that its endpoints do, and
// a failure domain that is cut off keeps the whole use of its own endpoints.
//
// # Choice
//
// A prompt is cut into blocks, and each block is named by a hash over customer,
// target, version and all the text up to its end. Among the usable endpoints the
// one is taken with the least expected time to the first token: the blocks that
// wait there and the blocks that are missing there, times the measured time for
// a block. Where nothing is known of a prompt, the endpoint first in rendezvous
// order is expected to have it, so all entries agree without a message
// (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
// 1998). A wrong belief costs time only: the engine decides what it reuses.
//
// # Usage
//
//	router := bluebellroute.NewRouter(bluebellroute.Config{VM: "gyor-1"})
//	router.SetTable(bluebellroute.BuildTable(input))
//	query := bluebellroute.Query{Target: "notes", Blocks: bluebellroute.Blocks(...)}
//	decision, err := router.Pick(now, &query)
//	...
//	router.Learn(now, decision, cachedBlocks, firstToken)
package bluebellroute
