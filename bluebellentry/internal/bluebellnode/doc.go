// Package bluebellnode assembles one entry process, which accepts calls on one VM. It
// consists of the voter of the replicated log if the VM has a data folder, the hub that
// passes the agreed state on, the prober of endpoint health, the mover of versions, the
// dispatcher that sends calls to endpoints, and the HTTP frontend.
//
// # Usage
//
//	node, err := bluebellnode.New(bluebellnode.Config{Settings: settings, ...})
//	err = node.Run(ctx)
//
// Run returns after a graceful stop, or with the error of the component that failed.
package bluebellnode
