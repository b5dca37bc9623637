// Package bluebellfrontend is the HTTP server of an entry, the process of a VM that accepts
// calls. It serves callers, operators, calls that other VMs forward, health checks and
// metrics.
//
// A target is the model or service that a call names. A forwarded call carries a hop, a
// signed description of the routing decision that the sending VM made.
//
// # Usage
//
//	server := bluebellfrontend.New(bluebellfrontend.Config{...})
//	go server.Serve(listener)
//	...
//	server.SetNotReady()
//	server.Drain(ctx)
//
// # Paths
//
//	POST /v1/completions, /v1/chat/completions   requests to models, streamed or not
//	GET  /v1/models                              the declared models
//	any  /services/<target>/<path>               calls of services
//	GET  /healthz/live, /healthz/ready           for the platform's load balancer
//	GET  /metrics                                metrics
//	     /operator/v1/...                        for operators
package bluebellfrontend
