// Package simulation runs a complete fleet in one seeded event loop, in virtual time: many instances of the decision
// module (package policy) and of the connection budget (package connlimit), with nodes, an origin, an endpoint list and
// clients.
//
// Guarantees:
//
//  1. The same plan and seed give exactly the same events.
//  2. The modules are only called through their interfaces; no logic of theirs is copied.
//  3. Violations of rules are recorded in [Fleet].Violations. The checks use the simulation's own records, not the
//     state of the modules.
//
// The package does no I/O, reads no clock and starts no goroutine. Its model of the environment is coarse: a node
// is a set of workers behind a queue, cached keys expire by time only, and all messages have the same delay.
package simulation
