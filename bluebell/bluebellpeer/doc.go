// Package bluebellpeer connects the system's own processes. It provides
// authenticated connections for drpc, and calls that detect a connection that no
// longer delivers data.
//
// # Authentication
//
// Both ends prove knowledge of the shared secret before the first call. Each end
// sends its name and a nonce, and then an HMAC-SHA-256 over its role (client or
// server), both names and both nonces. The secret itself is never sent. The server
// sends neither its HMAC nor any reply to a client that fails the handshake. The
// connection is not encrypted.
//
// # Usage
//
//	listener, err := net.Listen("tcp", address)
//	go bluebellpeer.Serve(ctx, bluebellpeer.ServerConfig{Listener: listener, Secret: secret, Name: name, Handler: handler})
//
//	client := bluebellpeer.NewClient(bluebellpeer.ClientConfig{...})
//	reply, err := client.Watch(ctx, request)
//
// A drpc connection carries one call at a time, so a Client keeps several
// connections. A call that fails, for example by exceeding its deadline, closes its
// connection and all idle connections that were opened no later: a network device
// between the two ends may have dropped the state of all of them.
package bluebellpeer
