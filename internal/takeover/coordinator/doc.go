// Package coordinator runs what package takeover decides in a real process: it asks other proxies for permission to
// send keyed writes, holds writes for them, takes over what is orphaned, and says what came of it.
//
// What the guarantees of package takeover need beside it:
//
//  1. A write's outcome is told to each holder until it is heard, or for five seconds.
//  2. Every claim ends: its client is answered before its time is over, and when the coordinator stops.
//  3. What waits is bounded; what has no room is rejected or dropped, and nothing else waits for it.
//
// It does not send writes itself: [Core] does, and calls [Coordinator.Complete]. All messages between proxies may be
// lost.
//
// [Coordinator.Run] owns all goroutines: one owns the registry and the claims, one for each other proxy carries
// messages to it, as many at a time as there are.
package coordinator
