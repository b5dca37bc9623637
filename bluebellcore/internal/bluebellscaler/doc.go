// Package bluebellscaler lets the leader of the core processes decide how many endpoints of a target run in each
// failure domain (bluebellscale), and agree on the numbers in the replicated log. The holder of the duty sends the
// agreed numbers to the provider.
//
// The load comes from what entries report to all core processes, and the state of endpoints from the registry. The
// agreed numbers are all that a new leader needs; it observes for some seconds before it decides on them.
//
// # Usage
//
//	scaler := bluebellscaler.New(bluebellscaler.Config{...})
//	scaler.Run(ctx)
//	orders := bluebellscaler.AgreedScales(core)
package bluebellscaler
