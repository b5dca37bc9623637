// Package bluebellpeer connects the system's own processes: authenticated
// connections that carry drpc, and calls that notice when a connection has
// gone silent.
//
// # Authentication
//
// Both ends prove that they know the shared secret before the first call: each
// sends a nonce and answers the other's with an HMAC-SHA-256 over both nonces,
// the names and its side. The secret itself never travels. A process that fails
// the handshake gets no byte of an answer. The connection is not encrypted.
//
// # Usage
//
//	listener, err := net.Listen("tcp", address)
//	go bluebellpeer.Serve(ctx, listener, secret, name, handler)
//
//	client := bluebellpeer.NewClient(bluebellpeer.ClientConfig{...})
//	reply, err := client.Watch(ctx, request)
//
// A drpc connection carries one call at a time, so a Client keeps several. A
// call that misses its deadline closes its connection and all idle ones that
// are no younger: something between the two ends may have lost track of them.
package bluebellpeer
