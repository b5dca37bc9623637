// Package bluebellengine simulates endpoints that are model engines or plain services.
// Tests and operators can inject faults into them.
//
// # Usage
//
//	weights := bluebellengine.NewWeightStore(2, time.Second)
//	engine := bluebellengine.New(bluebellengine.Config{...})
//	go engine.Serve(listener)
//
// # Simulated behaviour
//
// An engine processes a prompt block by block and only one prompt at a time. A block is
// a piece of a prompt that is cached; the cache has a bounded size, and a cached block is
// reused only for the same customer and version. Tokens of different requests are
// generated in parallel.
//
// An endpoint is cold for some time after its start. A cold endpoint can run only as many
// requests as it has cold slots: with more it crashes, loses its cache and starts again
// as a new incarnation. Versions are loaded from a weight store, which slows down when
// too many loads run at the same time.
//
// The system controls an endpoint by orders, which load or unload a version. Each order
// carries a fencing number, so that an endpoint can refuse orders from an outdated sender.
//
// # Paths
//
//	GET  /health     state, incarnation and loaded versions
//	POST /orders     load or unload a version
//	POST /fault      inject a fault
//	GET  /counts     counters since the start of the program
//	any other path   completion request in the OpenAI format, such as
//	                 POST /v1/completions, or a call of a plain service
package bluebellengine
