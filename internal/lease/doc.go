// Package lease decides which process of a fleet holds a task, and until when. It does no I/O and reads no clock: its
// callers pass the time with each event. Its three types communicate only through messages:
//
//   - [StateMachine] is the replicated table of grants, waiters and the last fencing token. It has no notion of time.
//   - [ExpiryManager] runs on the leading voter: it decides when a grant has expired.
//   - [Session] runs in the process that wants the lease: it decides until when that process may act.
//
// Package quorum replicates the state machine; package agent runs voters and holders in real processes.
//
// Guarantees, as long as no clock runs fast or slow by more than [Parameters.MaxClockDrift] and no voter loses saved
// state:
//
//  1. At most MaxHolders sessions of a task are valid at any moment.
//  2. A grant's fencing token is higher than those of all earlier grants of any task; no token is ever used again.
//  3. A lease ends by its holder's clock before it ends on the voters: a task is granted again only after its last
//     holder has stopped.
//  4. A revoked grant stays in force until it expires or is released; voters never assume that it has ended early.
//  5. A request that is repeated while its grant or its place in the queue exists gets no second grant.
//
// A process can still be held up between the check of its session and its action, and then act without the lease. The
// resource has to compare fencing tokens; if it can't, the gap that docs/design/lease.md describes remains.
//
// The types are not safe for concurrent use and start no goroutines; each belongs to its caller.
package lease
