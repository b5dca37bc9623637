package bluebellcorenode

import (
	"slices"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebell/bluebellprovider"
	"bluebellhaven.org/bluebellcore/internal/bluebellscaler"
	"bluebellhaven.org/platform/bluebellplatform"
)

// Scales returns the agreed numbers of endpoints by target and failure domain, as of the latest core state that
// this process has applied. The holder of the duty sends them to the provider.
func (n *Node) Scales() []bluebellscaler.ScaleOrder {
	return bluebellscaler.AgreedScales(n.coreState())
}

// newScaler returns the scaler of this process.
func (n *Node) newScaler(declared *declaredDeployment) *bluebellscaler.Scaler {
	return bluebellscaler.New(bluebellscaler.Config{
		Enabled: func() bool {
			duties, _ := bluebellplatform.DecodeDuties(n.cfg.Settings().GetProvider().GetDuties())
			return slices.Contains(duties, bluebellprovider.Scale)
		},
		IsLeader: n.isLeader, Registry: n.registry, Deployment: n.source.Deployment,
		Targets:   func() []bluebelldeployment.Target { return declared.current().Targets() },
		CoreState: n.coreState,
		Loads:     func() []bluebellfeed.PeerLoads { return append(n.follower.PeerLoads(), n.source.OwnLoads()) },
		Cores:     func() int { return len(n.otherCores()) + 1 },
		Propose:   n.voter.Propose, Now: n.now, Scope: n.metrics.Scope, Logger: n.cfg.Logger,
	})
}
