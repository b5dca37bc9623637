// Package bluebellnode puts one entry process together: the voter, if the VM has
// a disk, the hub that spreads what is agreed, the prober, the mover, the
// dispatcher and the front.
//
// # Usage
//
//	node, err := bluebellnode.New(bluebellnode.Config{Settings: settings, ...})
//	err = node.Run(ctx)
//
// Run ends after a planned stop, or with the error that made the process unfit.
package bluebellnode
