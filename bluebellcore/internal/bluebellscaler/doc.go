// Package bluebellscaler lets the leader of the core processes decide how many endpoints of a target run in each
// failure domain, and agree on the numbers in the replicated log. Another package sends them to the provider.
//
// # Usage
//
//	orders := bluebellscaler.AgreedScales(core)
package bluebellscaler
