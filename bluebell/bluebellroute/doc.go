// Package bluebellroute chooses the endpoint for a request, and the entry VM that
// sends the request to it.
//
// # Terms
//
// A target is a model or service that callers name; endpoints serve it. An entry
// is a process that takes calls. A block is a piece of a prompt that an endpoint
// can have cached. The home of a prompt is the endpoint that should have it cached.
//
// # Owners
//
// The slots of an endpoint are divided among a few entry VMs of its failure domain,
// its owners, chosen by rendezvous hashing. Only an owner sends requests to the
// endpoint; other VMs forward theirs to an owner. So the endpoint's limit holds
// without messages between owners, the owners together observe all the work of the
// endpoint, and a failure domain that is cut off can still use all the slots of its
// own endpoints.
//
// # Choice
//
// A prompt is cut into blocks. Each block is identified by a hash over customer,
// target, version and all the text up to the block's end. Pick chooses the usable
// endpoint with the least expected time to the first token: the blocks pending
// there plus the prompt's blocks that are not cached there, times the measured
// time per block. If no block of a prompt is known to be cached, the endpoint that
// is first in rendezvous order, the prompt's home, is expected to have it. All
// entries so agree on the home without messages (Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998). A wrong expectation costs
// only time, because the endpoint itself decides which cached blocks it reuses.
//
// # Usage
//
//	router := bluebellroute.NewRouter(bluebellroute.Config{VM: "gyor-1"})
//	router.SetTable(bluebellroute.BuildTable(input))
//	query := bluebellroute.Query{Target: "notes", Blocks: bluebellroute.Blocks(...)}
//	decision, err := router.Pick(now, &query)
//	...
//	router.RecordAnswer(now, &decision, cachedBlocks, blocksAhead, firstToken)
package bluebellroute
