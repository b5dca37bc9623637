// Package bluebellengine is a small stand-in for model engines and plain
// services, with faults that can be ordered.
//
// # Usage
//
//	weights := bluebellengine.NewWeightStore(2, time.Second)
//	engine := bluebellengine.New(bluebellengine.Config{...})
//	go engine.Serve(listener)
//
// # What it imitates
//
// An engine computes prompts one block after the other, caches blocks by customer
// and version in a bounded memory, and generates tokens side by side. Freshly
// started it bears its cold slots only: with more it breaks down and loses its
// memory. Loading a version goes through a weight store that slows down when more
// than a few load.
//
//	POST /v1/completions, /v1/chat/completions   as model engines have them
//	any other path                               a call of a plain service
//	GET  /health                                 state, incarnation, versions
//	POST /orders                                 load or unload a version
//	POST /fault                                  order a fault
//	GET  /counts                                 what has happened so far
package bluebellengine
