// Package bluebellfrontend is the HTTP side of an entry: callers, operators, hops
// from other VMs, health and metrics.
//
// # Usage
//
//	front := bluebellfrontend.New(bluebellfrontend.Config{...})
//	go front.Serve(listener)
//	...
//	front.StopAccepting()
//	front.Drain(ctx)
//
// # Paths
//
//	POST /v1/completions, /v1/chat/completions   model work, streamed or not
//	GET  /v1/models                              the models that are served
//	any  /services/<target>/<path>               calls of plain services
//	GET  /healthz/live, /healthz/ready           for the platform's balancer
//	GET  /metrics                                for scraping
//	     /operator/v1/...                        for operators
package bluebellfrontend
