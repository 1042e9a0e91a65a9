// Package balance decides to which of several proxies a client sends its next request, and when it opens connections.
// It does no I/O, starts no goroutines and reads no clock. The caller passes the time, counted from any origin on a
// clock that never steps, and a seeded random generator, and serialises calls.
//
// Invariants:
//
//  1. A client uses only a few proxies, the first ones in an order of its own: many clients together use all proxies
//     evenly, and a change of the list moves few of the clients.
//  2. Of two proxies drawn at random, the one with fewer requests in flight is chosen. A proxy's recent failures
//     increase the weight of its requests, and a proxy without a connection counts as having one more request. While
//     proxies that have not failed recently have idle connections, only these proxies are drawn.
//  3. The time of a dial is drawn uniformly from a span that begins at the start, at the loss of a connection or at a
//     failed dial; each further round of failed dials doubles the span, up to its bound. So clients that were
//     disconnected together do not reconnect together.
//  4. A proxy that rejected three requests in a row gets none until its Retry-After has passed, and then a single one
//     first.
package balance
