// Package client is the client library of mulleinpier proxies, for tills and couriers' apps.
//
// A [Client] reads and writes order keys through any of several proxies. It is safe for concurrent use; a process needs
// one.
//
//	c, err := client.New(client.Options{Proxies: client.Static("proxy1:11211", "proxy2:11211")})
//	...
//	defer c.Close()
//	value, err := c.Get(ctx, "order-17")
//	receipt, err := c.Set(ctx, "order-17", signature)
//
// Guarantees:
//
//  1. Each call ends by its deadline: that of its context or the wait of its class, whichever is sooner. A call without
//     any prospect ends at once.
//  2. A write takes effect once at most. Its repeats carry the same idempotency key and are sent only while every node
//     still drops them. If it can't be found out in time whether a write was carried out, the call ends with
//     [ErrUnknown], and [Client.Resolve] finds out.
//  3. The time that a refusal advises is observed, by the call and, where every proxy refuses, by the process.
//  4. Tries per call stay below 1 plus [Options.RetryRatio] in the long run, but for one more for a call whose
//     connection ended.
//  5. Connections, requests on them and waiting calls are bounded; no goroutine is left after [Client.Close].
//  6. Clients that lose a proxy together reconnect spread evenly over [Options.Spread].
//
// The library keeps no values. It does not know what a write means: only a read can show whether a write with an
// unknown outcome was carried out.
//
// A client owns its goroutines: one that follows the source, one that closes unused connections, one a dial in
// progress, and two a connection. Decisions are made by the packages retry and balance; the files are: call.go (life of
// a call), acquire.go (waiting for a connection), attempt.go (one request on one connection), pool.go (opening and
// closing connections), connection.go, connread.go and connwrite.go (one connection), answer.go and command.go (the
// protocol).
package client
