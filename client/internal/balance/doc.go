// Package balance decides to which of several proxies a client sends its next request, and when it opens connections.
// It does no I/O, starts no goroutines and reads no clock: times are counted from any origin and never step, and
// randomness is seeded by the caller, who also serialises calls.
//
// Invariants:
//
//  1. A client uses few proxies, the first ones in an order of its own: many clients together use all proxies evenly,
//     and a change of the list moves few of them.
//  2. Of two proxies drawn at random the one with fewer requests in flight is chosen. Recent failures make a proxy's
//     requests count for more, and a proxy without a connection counts one request more. While proxies that did not
//     fail recently have idle connections, only these are drawn from.
//  3. The time of a dial is drawn uniformly from a span: from the start, from the loss of a proxy's last connection, or
//     from a failed dial, doubled by each further failure. So clients that were cut off together do not reconnect
//     together.
//  4. A proxy that rejected three requests in a row gets none until the time that it advised, and then a single one
//     first.
package balance
