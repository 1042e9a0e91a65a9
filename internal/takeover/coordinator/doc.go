// Package coordinator runs what package takeover decides in a real process: it asks other proxies for permission to
// send keyed writes, keeps copies of theirs, takes over orphaned writes, and reports outcomes to the other holders.
//
// Beyond the guarantees of package takeover:
//
//  1. A write's outcome is sent to each holder until it has been received, or for [completionTimeout].
//  2. Every claim ends: its client is answered before its time is over, and when the coordinator stops.
//  3. Queues are bounded; what has no room is rejected or dropped, and nothing else waits for it.
//
// It does not send writes itself: [Core] does, and calls [Coordinator.Complete]. All messages between proxies may be
// lost.
//
// [Coordinator.Run] owns all goroutines: one owns the registry and the claims, one for each other proxy sends messages
// to it, in batches of what is queued.
package coordinator
