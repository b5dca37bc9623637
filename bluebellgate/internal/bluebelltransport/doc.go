// Package bluebelltransport sends calls over HTTP/1.1 to endpoints, which are the servers that
// run the calls, and reuses idle connections.
//
// Each Error reports whether the endpoint may have received the call. Before an idle connection
// is reused, it is checked for a close by the endpoint and for unread bytes, which belong to no
// call. A response that belongs to another call is skipped. A connection is reused only if the
// call was written in full, its response was read in full and no bytes follow it.
//
// An endpoint may write the response to an earlier call once more. Its ID tells it from that of the
// current call, since a connection never carries two calls with the same ID: a call that is sent to
// an endpoint again uses another connection. A call without an ID, and a HEAD, use one that carries
// no other call.
//
// The HTTP client of the standard library is not used because it may resend a call by itself;
// its response parser is used.
//
// # Usage
//
//	client := bluebelltransport.NewClient(bluebelltransport.Config{})
//	exchange, err := client.Do(ctx, bluebelltransport.Request{...})
//	defer exchange.Close()
//	body, err := exchange.ReadAll(limit, deadline)
package bluebelltransport
