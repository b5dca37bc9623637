// Package bluebellscale decides how many endpoints of a target run in each failure domain.
//
// # Load
//
// The package answers the load of a deployment whose endpoints are paid for by the second: 60 engines, 20 in
// each of three failure domains, of which between 17 and 40 may run in each. Callers come in waves of 27 % up
// and down with a period of 11 s and in bursts of 1.7 times for 3 s. An engine serves 8 s after it was ordered,
// and then has to read again every prompt that others have cached.
//
// # Decision
//
// Entries send to the endpoints of all failure domains, so the need is computed for a target as a whole and then
// divided. Demand is measured in endpoints: the number that the current load would use fully, see Measure.
//
//   - More endpoints are ordered if the forecast for the time that a new endpoint needs to serve uses more than
//     nine tenths of those that are ordered. The forecast is a level that was held for 4 s, so that bursts that
//     end before an endpoint has started order none, and the trend of medians over more than a wave.
//   - More are ordered if calls were refused or waited for 2 s, once for each time that endpoints need to start:
//     the same shortage must not be ordered for again while the answer to it is starting.
//   - Fewer are ordered only if the highest demand of at least 10 s leaves a fifth to spare, by at most a tenth,
//     and only on complete observations. After a number was
//     too few, the larger one stays for two minutes.
//   - Endpoints that were lost count as capacity until they have been lost for as long as a new one needs to
//     start. Then they are replaced if they are needed, in failure domains that have not lost most of theirs.
//
// What earlier decisions have changed is read from the input, which names the agreed numbers. A decision that
// was not agreed is therefore made again, and a new leader needs nothing from the one before.
//
// # Usage
//
//	planner := bluebellscale.New()
//	decision := planner.Decide(now, bluebellscale.Input{...}) // once a second
//	for _, change := range decision.Changes { ... }
//
// A Planner is for one target. It has no clock and is not safe for concurrent use.
package bluebellscale
