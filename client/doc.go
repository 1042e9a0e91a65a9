// Package client is the client library for mulleinpier proxies. Point-of-sale terminals and courier apps use it.
//
// A [Client] reads and writes order keys through any of several proxies. It is safe for concurrent use; one per process
// is enough.
//
//	c, err := client.New(client.Options{Proxies: client.Static("proxy1:11211", "proxy2:11211")})
//	...
//	defer c.Close()
//	value, err := c.Get(ctx, "order-17")
//	receipt, err := c.Set(ctx, "order-17", signature)
//
// Guarantees:
//
//  1. Each call ends by its deadline: that of its context or the wait of its class, whichever is sooner. It ends early
//     once it is known that no attempt can be sent in time, or that every proxy rejects requests.
//  2. A write takes effect at most once. A write that may have run is retried only with the same idempotency key, and
//     only while every node still drops duplicates. If the outcome can't be determined in time, the call ends with
//     [ErrUnknown], and [Client.Resolve] finds out whether the write was carried out.
//  3. Retry-After is honoured: by the call that was rejected and, while every proxy rejects requests, by the whole
//     process.
//  4. In the long run the average number of attempts per call stays below 1 + [Options.RetryRatio], not counting one
//     extra attempt of a call whose connection was lost.
//  5. Connections, requests on them and waiting calls are bounded; no goroutine is left after [Client.Close].
//  6. Clients that lose a proxy at the same time spread their reconnects evenly over [Options.Spread].
//
// The library does not cache values and does not know what a write means, so only a read can show whether a write with
// an unknown outcome was carried out.
//
// A client runs these goroutines: one that follows the source, one that closes unused connections, one per dial in
// progress, and two per connection. The packages retry and balance make the decisions. The files of this package are:
// call.go (the life cycle of a call), acquire.go (waiting for a connection), attempt.go (one request on one
// connection), pool.go (opening and closing connections), connection.go, connread.go and connwrite.go (one connection),
// answer.go and command.go (the protocol).
package client
