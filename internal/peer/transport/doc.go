// Package transport runs the protocol of package peer over HTTP. Instances send heartbeats to the fleet's watchers
// ([Client]), and watchers respond with reports on all members ([Server]). A heartbeat is a long poll: the watcher
// responds once something has changed, or after a heartbeat interval. So changes are reported at once, and at most one
// exchange is in flight between an instance and a watcher.
//
// A watcher treats the end of a connection as a sign that the process behind it may have ended. So the HTTP server that
// receives the heartbeats must use the ConnContext and ConnState of its [Server].
//
// [Client.Run] and [Server.Run] own their goroutines. One lock each guards their state; no I/O is done under it.
package transport
