// Package core handles requests from their arrival to their answer: it accepts them from client connections,
// asks the decision module (package policy) what to do with each, and carries out the decisions over the
// connections to cache nodes. It does not depend on the dialects of clients.
//
// Guarantees:
//
//  1. Every accepted request gets exactly one answer, and its [Reply] is released exactly once, after the
//     last of its attempts has ended.
//  2. All events reach the decision module one at a time, under one lock. That lock is never held during
//     network I/O. Rare log lines are written under it: pauses, node status changes, collapsed lists,
//     outdated lists and aborted requests.
//  3. A request is checked against a single configuration: the rules are replaced as a whole.
//  4. An endpoint list that was requested before a change never undoes what a watch has reported since.
//  5. Nothing that was decided before a pause of the process is sent after it without being checked again.
//
// The package does not choose nodes, decide on retries or degradation levels, reconcile endpoint lists or detect
// pauses. Packages policy, overload, membership and pause do, without performing I/O.
//
// Goroutines and state: [Core.Run] owns the goroutines of this package, of the connections to nodes and of
// the event log, and returns when all have ended. Core.mu guards everything that is not documented
// otherwise. Lock order: Core.mu is acquired before the lock of upstream.Pool and before those that a [Reply]
// takes; neither of them may call the core while holding its own lock.
//
// Files: requests.go (a request from Submit to its answer), attempts.go (attempts of a request), decisions.go
// (events and actions of the decision module), timers.go, endpoints.go, sources.go, watch.go and refresh.go
// (the endpoint list), pause.go, takeover.go, overload.go, counts.go, record.go (event log).
package core
