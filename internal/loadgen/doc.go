// Package loadgen generates the load of experiments: many independent clients send requests to a fleet of proxies.
// Library clients use the client package. Naive clients behave as the operators describe clients without it: they retry
// immediately or after a short fixed delay, mark only some retries as such, ignore the advice when to retry, reconnect
// immediately, and retry the write of a handover regardless of how long ago they sent its first try.
//
// Requests start on schedule without waiting for earlier answers (open loop). The load is bounded, see [Config]. [Run]
// owns all goroutines and connections, and returns when they have ended.
package loadgen
