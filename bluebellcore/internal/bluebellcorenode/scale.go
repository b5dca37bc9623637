package bluebellcorenode

import "bluebellhaven.org/bluebellcore/internal/bluebellscaler"

// Scales returns the agreed numbers of endpoints by target and failure domain, of which the latest has been
// applied by this process. The holder of the duty sends them to the provider.
func (n *Node) Scales() []bluebellscaler.ScaleOrder { return bluebellscaler.AgreedScales(n.coreState()) }
