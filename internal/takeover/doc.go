// Package takeover decides what becomes of a keyed write in flight when the proxy that accepted it is lost. It does no
// I/O and reads no clock: its callers pass the time with each event. Two parts know each other by messages only:
//
//   - [Registry] is a holder's part: which proxy owns a write, since when it may have run, and its outcome.
//   - [Claim] is an owner's part: the holders' responses decide whether and until when the write may be sent.
//
// Which proxies hold a write follows from its key ([RankHolders]), so that any proxy finds them.
//
// Guarantees, as long as nodes drop repeats for the window that a write names and clocks run within
// [Parameters.MaxClockDrift]:
//
//  1. A write that may have run before may be sent only while repeats of its first possible send are dropped: however
//     many proxies send it, cut off from one another or not, it has one effect.
//  2. Once a write was served, that is the answer to all who ask, for [Parameters.OutcomeRetention].
//  3. The epoch of a write's owner only rises; a former owner gets no permission any more.
//  4. A key that comes with another write is rejected.
//  5. Writes, their bytes and those who wait are bounded; a registry that is full says so, and gives no permission.
//
// What it can't promise: safety over a pause between the check of the permission and the first byte that is longer than
// the window, at nodes that compare nothing; and memory of a write whose owner and holders were all lost.
//
// The types are not safe for concurrent use and start no goroutines; each belongs to its caller.
package takeover
