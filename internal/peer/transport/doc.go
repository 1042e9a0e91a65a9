// Package transport runs what package peer decides in real processes: instances that send heartbeats to the fleet's
// watchers ([Client]), and watchers that report to them what they know of all members ([Server]). A heartbeat is a
// request that is answered once something has changed, or a heartbeat interval later: so changes are known at once, and
// one exchange is under way at a time between an instance and a watcher.
//
// A watcher takes the end of a connection for a sign that the process behind it may have ended. So a server of
// heartbeats must have the ConnContext and ConnState of its [Server].
//
// [Client.Run] and [Server.Run] own their goroutines; their state is guarded by one lock each, under which there is no
// I/O.
package transport
