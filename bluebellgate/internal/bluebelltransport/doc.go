// Package bluebelltransport exchanges calls and answers with endpoints over connections
// that are kept open.
//
// An error tells whether the endpoint may have received the call. Before a kept
// connection is used it is checked for a close and for bytes that belong to no
// call. An answer that names another call is skipped. A connection is kept only
// after a whole answer to a whole call with nothing behind it.
//
// The HTTP client of the standard library is not used, since it may send a call
// again by itself; its reader of answers is.
//
// # Usage
//
//	client := bluebelltransport.NewClient(bluebelltransport.Config{})
//	exchange, err := client.Do(ctx, bluebelltransport.Request{...})
//	defer exchange.Close()
//	body, err := exchange.ReadAll(limit)
package bluebelltransport
