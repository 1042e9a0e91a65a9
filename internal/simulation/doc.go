// Package simulation runs a complete fleet in one seeded loop of events, in virtual time: many instances of the
// decision module (package policy) and of the connection budget (package connlimit), with nodes, an origin, an endpoint
// list and clients.
//
// Guarantees:
//
//  1. The same plan and seed give the same events, to the last.
//  2. The modules are driven through their interfaces alone; none is copied.
//  3. What breaks a rule is recorded in [Fleet].Violations, by records that no module keeps.
//
// The package does no I/O, reads no clock and starts no goroutine. Its model of the outside is coarse: a node is
// workers behind a queue, a cache forgets by time alone, and a message takes the same time on every path.
package simulation
