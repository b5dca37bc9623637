// Package bluebelloverload models a discovered deployment at its worst load: entries that
// place prompts with the product's own decisions, engines that batch and cache, stores
// behind slow links, and callers who wait, come back and leave.
//
// # What is modelled
//
// An engine takes steps. A step gives each running call one token and reads a piece of one
// prompt; it takes longer the more calls run and the more is read. Running calls and cached
// blocks share its memory, the least recently used blocks yield. A call that is sent with
// the name of a store first fetches what the engine lacks, behind other fetches on the
// store's link. Blocks that were read are written to a store, and entries hear of them later.
//
// Entries are bluebellplacement.Placer, bluebellqueue and bluebelltier, one of each for an entry.
// They hear of each other's calls and failures by polls, so what they know is as old as it
// is in a deployment. The other policies are baselines without waiting or refusals.
//
// # What is left out
//
// Processor time and links of entries, preemption in the middle of an answer, lost packets,
// and the core processes, which pass news on without fail. The model is lighter than the
// users' bench by that; docs/MEASUREMENTS.md compares both.
//
// # Usage
//
//	for _, policy := range bluebelloverload.Policies() {
//		report := bluebelloverload.Run(bluebelloverload.Config{Load: load, Policy: policy, Seed: 1})
//		fmt.Println(report)
//	}
package bluebelloverload
