// Package bluebelloverload simulates an overloaded deployment, to compare the product's
// placement of prompts with simple policies.
//
// # Model
//
// An engine is an endpoint that runs a model. It works in steps. In one step each running
// call makes one token of its answer, and one chunk of one prompt is read. A step takes longer
// the more calls run and the larger the chunk is. Running calls and cached blocks (the parts
// of prompts that calls share) use the engine's memory; the least recently used blocks are
// evicted first. Cache stores hold blocks too, behind slow links. If a call names a store, the
// engine first fetches the block that it lacks, after the earlier fetches on the store's link.
// Blocks that an engine has read are written to a store, and entries learn of them later.
//
// An entry is the process that takes calls. Each one has its own bluebellplacement.Placer and
// bluebelltier.Planner, and orders waiting calls with bluebellqueue. Entries learn of each
// other's calls and failures by polling the core processes, so their information is as old as
// in a deployment. The other policies are baselines that neither let calls wait nor refuse
// them.
//
// Callers give up at the deadline of their call. They retry once after a refusal.
//
// # Limits
//
// The model leaves out the processor time and links of entries, preemption in the middle of an
// answer, lost packets, and failures of the core processes. So it demands less of the product
// than the users' bench; docs/MEASUREMENTS.md compares both.
//
// # Usage
//
//	for _, policy := range bluebelloverload.Policies() {
//		report := bluebelloverload.Run(bluebelloverload.Config{Load: load, Policy: policy, Seed: 1})
//		fmt.Println(report)
//	}
package bluebelloverload
