// Package bluebellupstream carries one request at a time over connections that
// it controls itself: to endpoints, and to the owners of endpoints.
//
// The package uses the request writer and response reader of net/http on its own
// connections, and no client of a library: a caller must know for certain
// whether any byte of a request may have left, must bound each stage by itself,
// and must be able to end a half-read answer by closing its connection.
//
// # Usage
//
//	client := bluebellupstream.NewClient(bluebellupstream.ClientConfig{})
//	exchange, err := client.Do(ctx, bluebellupstream.Request{...})
//	defer exchange.Close()
//	event, err := exchange.Events().Next()
//
// # Connections
//
// Each exchange has a connection of its own. An idle connection can go silent for
// good while new ones work, and a request that is sent over it then stalls for as
// long as the endpoint may take to answer; a new connection costs one round trip,
// and inside a failure domain, where owners and endpoints are, that is short.
// Besides, a failure to connect proves that nothing was sent.
package bluebellupstream
