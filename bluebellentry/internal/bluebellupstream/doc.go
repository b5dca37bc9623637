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
//	pool := bluebellupstream.NewPool(bluebellupstream.PoolConfig{...})
//	exchange, err := pool.Do(ctx, bluebellupstream.Request{...})
//	defer exchange.Close()
//	event, err := exchange.Events().Next()
//
// # Silent connections
//
// A connection can go silent for good while new ones work. An idle connection is
// used again only for a short time after it last carried an answer. When one
// misses a deadline, every idle connection to that address that is no younger is
// closed too.
package bluebellupstream
