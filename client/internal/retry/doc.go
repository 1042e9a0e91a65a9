// Package retry decides what follows after an attempt has ended: whether another one is made, after which backoff, and
// with which timeout. It also limits what one process sends to a service that rejects its requests. It does no I/O,
// starts no goroutines and reads no clock; the caller passes the time and the source of randomness, and serialises
// calls.
//
// Invariants:
//
//  1. An unsafe request is never sent again once an attempt may have run.
//  2. A keyed request that may have run is sent again only if none of its attempts, including those that timed out, can
//     start at a node later than one dedup window after the first. Nodes drop duplicates for that long, counted from
//     the first attempt that they started.
//  3. A keyed or unsafe request that may have run never ends as rejected, because a rejection promises that it is safe
//     to send the request again.
//  4. The budget pays for each attempt after the first, except after an attempt that was never sent and, once per
//     request, after a lost connection.
//  5. A request ends as soon as no further attempt is possible.
package retry
