// Package client is a client of mulleinpier proxies, for tills and couriers' apps.
//
// A [Client] reads and writes order keys through any of several proxies. It is safe for
// concurrent use; a process needs one.
//
//	c, err := client.New(client.Options{Proxies: client.Static("proxy1:11211", "proxy2:11211")})
//	...
//	defer c.Close()
//	value, err := c.Get(ctx, "order-17")
//	receipt, err := c.Set(ctx, "order-17", signature)
//
// What it guarantees:
//
//  1. Each call ends by its deadline: that of its context or, if that is sooner, its class's
//     wait. What is hopeless before then ends at once.
//  2. A write takes effect once at the most. Its repeats carry the same idempotency key and
//     are sent only while every node still drops them; if it can't be told in time whether
//     it was carried out, the call ends with [ErrUnknown], and [Client.Resolve] finds out.
//  3. A refusal's advice is kept, by the call and, where a proxy refuses all, by the process.
//  4. Tries per call stay below 1 plus [Options.RetryRatio] in the long run, but for one more where a
//     connection ended.
//  5. Connections, requests on them and calls that wait are bounded; nothing is left
//     running after [Client.Close].
//  6. Clients that lose a proxy together reconnect spread evenly over [Options.Spread].
//
// What it does not do: it keeps no values, and it does not know what a write means: whether
// one whose outcome is unknown was carried out only a read can tell.
package client
