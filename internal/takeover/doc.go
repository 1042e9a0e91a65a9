// Package takeover decides what happens to a keyed write in flight when the proxy that owns it is lost. It does no I/O
// and reads no clock: callers pass the time with each event. Its two parts communicate only by messages:
//
//   - [Registry] is the holder's side. It records a write's owner, when it may first have run, and its outcome.
//   - [Claim] is the owner's side. It decides from the holders' responses whether and until when to send the write.
//
// The holders of a write follow from its ID ([RankHolders]), so any proxy can find them.
//
// Guarantees, as long as nodes drop duplicates for the dedup window that a write names and clocks run within
// [Parameters.MaxClockDrift]:
//
//  1. A write that may have run before is sent only while nodes drop duplicates of its first possible send. However
//     many proxies send it, even during a network partition, it has one effect.
//  2. Once a write was served, every claim to it gets that outcome, for [Parameters.OutcomeRetention].
//  3. The epoch of a write's owner only rises; a former owner gets no further permission.
//  4. A key that is reused for another write is rejected.
//  5. Writes, their payload bytes and their waiters are bounded; a full registry declines claims.
//
// Not guaranteed: safety if a proxy pauses for longer than the window between its check of the permission and the first
// byte, unless the node has a check besides the window; and knowledge of a write whose owner and holders were all lost.
//
// The types are not safe for concurrent use and start no goroutines.
package takeover
