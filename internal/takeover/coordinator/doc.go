// Package coordinator runs the protocol of package takeover between proxies: it asks other proxies for permission to
// send keyed writes, holds copies of their writes, takes over orphaned writes, and reports outcomes to the holders.
//
// In addition to the guarantees of package takeover:
//
//  1. A write's outcome is sent to each holder until the holder has received it, or for [completionTimeout].
//  2. Every claim ends: its client is answered before its deadline, or when the coordinator stops.
//  3. Queues are bounded. Input to a full queue is rejected or dropped, and never blocks.
//
// The coordinator does not send writes. [Core] does, and then calls [Coordinator.Complete]. Any message between proxies
// may be lost.
//
// [Coordinator.Run] owns all goroutines: one for the registry and the claims, and one per other proxy that sends the
// messages queued for it in batches.
package coordinator
