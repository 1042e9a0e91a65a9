// Package peer decides which of a fleet's instances live. It does no I/O and reads no clock: its callers pass the time
// with each event. The fleet's voters are the watchers: every instance sends heartbeats to each of them, and each has
// an opinion of its own ([Detector]); every instance receives all opinions and follows their majority ([View]).
//
// Guarantees, where a majority of the watchers runs and can be reached:
//
//  1. An instance whose process ends is gone [Parameters.ReconnectGrace] after its connections have ended.
//  2. One that is silent on an open connection is gone [Parameters.GoneAfter] after its last heartbeat, and never
//     before.
//  3. A watcher that was paused itself takes nobody for gone because of that.
//  4. Of two processes of one name the first counts until it is gone or says that it leaves; one that has been replaced
//     never counts again.
//  5. An instance that reaches no majority of the watchers keeps what it knew last, and reports that it does so
//     ([View.Isolated]).
//
// Nothing that is decided here is a promise that a process acts no more: that is what leases are for.
//
// The types are not safe for concurrent use and start no goroutines; each belongs to its caller.
package peer
