// Package policy decides where a proxy in front of a fleet of cache servers sends its requests: which server gets
// an attempt, whether a request is admitted or rejected, and when it is retried or hedged.
//
// A server in this package is a node in the other packages, and a machine kind here is a node's type there.
//
// A [Balancer] takes one [Event] at a time and returns the resulting [Action] values. The caller owns the clock, the
// timers and all I/O; it calls [Balancer.Handle] under its own lock and carries the actions out in order. A Balancer
// starts no goroutine, reads no clock and draws random numbers only from its seed.
//
// Guarantees (property_test.go checks them on random histories):
//
//  1. The same settings, seed and events always give the same actions.
//  2. Each [Arrival] ends exactly once: by a final [Outcome], a [ClientLeft], a [Reject] or a [Fail]. A Reject or a
//     Fail comes no later than the request's deadline plus [Rules].ResponseGrace.
//  3. A request of a [NotIdempotent] class is never run twice. A request of an [IdempotentWithKey] class is repeated
//     only within the class's dedup window, and only on servers in the same dedup scope.
//  4. A request has at most [Limits].MaxAttempts attempts, and two at once only with [Limits].AllowHedging.
//  5. No attempt is sent to a server that is draining, removed or not listed.
//  6. A request keeps the class and the limits that were in force when it arrived, even if [Balancer.Reconfigure]
//     changes them before it ends.
//
// The package does not decide which [DegradationLevel] is in force (package overload) or how many connections a proxy
// keeps (package connlimit). The statistics behind outlier detection are in package outlier; outlier.go decides what to
// do with them.
//
// What each file decides:
//
//	ranking.go     which server gets a request, by expected response time
//	rendezvous.go  the home servers of a key
//	estimator.go   latencies of servers and of the origin
//	admission.go   load shedding by gates and priority
//	quota.go       tenants' shares
//	safety.go      whether an attempt or a rejection is allowed by the request's idempotency
//	retry.go       retries and their budget
//	hedge.go       hedged requests
//	slowstart.go   the load of servers that are warming up
//	outlier.go     which servers and zones fail more than others
//	endpoints.go   the endpoint list and the subscription to it
//	pause.go       which estimates ignore a pause of this process
package policy
