// Package bluebellupstream is the HTTP client of an entry. It sends requests to endpoints and
// to the VMs that own endpoints.
//
// The package doesn't use an existing HTTP client. It opens its own connections and uses the
// request writer and response reader of net/http on them, for three reasons. Its users must
// know for certain whether any byte of a request may have been sent, need a timeout for each
// stage of an exchange, and must be able to cancel a half-read answer by closing its
// connection.
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
// Each exchange opens a new connection. An idle connection can stop passing data for good
// while new connections work. A request that is sent over it then stalls for as long as the
// endpoint may take to answer. A new connection costs one round trip, which is short inside a
// failure domain, where the owners of an endpoint are. Besides, a failure to connect proves
// that nothing was sent.
package bluebellupstream
