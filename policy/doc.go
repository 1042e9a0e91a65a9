// Package policy decides where a proxy in front of a fleet of cache servers sends its requests: which server gets
// an attempt, whether a request is admitted or rejected, and when it is retried or hedged.
//
// What is called a server here is a cache node in the other packages, and a node's type there a machine kind here.
//
// A [Balancer] takes one [Event] at a time and answers with [Action] values. The caller owns the clock, the timers
// and all I/O; it calls [Balancer.Handle] under its own lock and carries the actions out in order. A Balancer starts
// no goroutine, reads no clock and draws random numbers only from its seed.
//
// Guarantees (property_test.go checks them on random histories):
//
//  1. The same settings, seed and events always give the same actions.
//  2. Each [Arrival] ends once: by a final [Outcome], a [ClientLeft], a [Reject] or a [Fail], the last two no later
//     than the request's deadline plus [Rules].ResponseGrace.
//  3. A request of a class that is [NotIdempotent] is never run twice. One that is [IdempotentWithKey] is repeated
//     only within its class's window, and only at servers that share its class's scope of deduplication.
//  4. A request has at most [Limits].MaxAttempts attempts, and two at once only with [Limits].AllowHedging.
//  5. No attempt goes to a server that is draining, removed or not listed.
//  6. A request ends under the settings that it arrived under, whatever [Balancer.Reconfigure] changes meanwhile.
//
// The package does not decide which [DegradationLevel] is in force (package overload) or how many connections a proxy
// keeps (package connlimit). The statistics behind outlier detection are in package outlier; outlier.go decides what
// follows from them.
//
// What each file decides:
//
//	ranking.go     which server gets a request, by expected response time
//	rendezvous.go  the home servers of a key
//	estimator.go   latencies of servers and of the origin
//	admission.go   load shedding by gates and priority
//	quota.go       shares of tenants
//	safety.go      whether a send or a rejection keeps the promises of the request's class
//	retry.go       retries and their budget
//	hedge.go       hedged requests
//	slowstart.go   the load of servers that warm up
//	outlier.go     servers and zones that fail more than others
//	endpoints.go   the endpoint list and the subscription to it
//	pause.go       pauses of this process
package policy
