package bluebellgateway

import (
	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebell/bluebellpressure"
)

// demands returns the calls that wait at this entry or were told to return, for the other entries.
func (g *Gateway) demands() bluebellfeed.Demands { return g.relay.Demands() }

// otherDemand returns the demand for a target at the other entries. Without the feed it is empty: the
// entry then decides by its own calls.
func (g *Gateway) otherDemand(target string) bluebellpressure.Demand {
	demands, at := g.follower.DemandsOfOthers()
	return demands[target].After(g.now() - at)
}
