// Package retry decides what follows an attempt that has ended: whether there is another one, after which backoff, and
// how long that one may wait. It also bounds what one process asks of a service that rejects its requests. It does no
// I/O, starts no goroutines and reads no clock; its caller passes the time and the source of randomness, and
// serialises calls.
//
// Invariants:
//
//  1. An unsafe request is never sent again once an attempt may have run.
//  2. A keyed request that may have run is sent again only so that none of its attempts, including those that timed
//     out, can start at a node later than one deduplication window after its first: nodes drop repeats for that long,
//     counted from the first one that they started.
//  3. A request that may have run never ends as rejected, because a rejection promises that a repeat is harmless.
//  4. The budget pays for each attempt after the first, except for attempts that were never sent and for one attempt a
//     request whose connection was lost.
//  5. A request ends as soon as no further attempt is possible.
package retry
