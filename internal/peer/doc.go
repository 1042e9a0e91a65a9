// Package peer decides which of a fleet's instances are alive. It does no I/O and reads no clock: callers pass the time
// with each event. The fleet's voters are its watchers. Every instance sends heartbeats to all watchers, and each of
// them forms its own opinion ([Detector]). Every instance receives all opinions and follows their majority ([View]).
//
// Guarantees, as long as a majority of the watchers runs and is reachable:
//
//  1. An instance whose process ends is gone [Parameters.ReconnectGrace] after its connections have closed.
//  2. An instance that is silent on an open connection is gone [Parameters.GoneAfter] after its last heartbeat, and
//     never earlier.
//  3. A watcher does not consider an instance gone because the watcher itself was paused.
//  4. Of two processes with one name, the first counts until it is gone or announces that it is leaving. A process that
//     has been replaced never counts again.
//  5. An instance that reaches no majority of the watchers keeps the last known states, and reports that they may be
//     outdated ([View.Isolated]).
//
// The state Gone does not guarantee that a process has stopped acting. Use leases for that.
//
// The types are not safe for concurrent use and start no goroutines.
package peer
