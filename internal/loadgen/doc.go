// Package loadgen is the client side of load experiments: many clients that send requests to a fleet of proxies, each
// on its own. Library clients use the client package. Naive clients behave as the operators describe those without it:
// they retry at once or after a short fixed wait, mark repetitions only sometimes, ignore advice, reconnect at once,
// and write a handover again however long ago its first try was sent.
//
// Arrivals do not wait for answers. The load is bounded, see [Config]. [Run] owns all goroutines and connections, and
// returns when they have ended.
package loadgen
