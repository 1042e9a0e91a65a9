// Package lease decides which process of a fleet holds a task, and until when. It does no I/O and reads no clock: its
// callers pass the time with each event. Three parts know each other by messages only:
//
//   - [StateMachine] is the replicated table of grants, waiters and the last fencing token. It has no notion of time.
//   - [ExpiryManager] runs on the voter that leads: it decides when a grant may be taken back.
//   - [Session] runs in the process that wants the lease: it decides until when that process may act.
//
// Package quorum replicates the state machine, package agent runs voters and holders in real processes.
//
// Guarantees, as long as clocks run within [Parameters.MaxClockDrift] of one another and voters remember what they
// have promised:
//
//  1. No more than a task's MaxHolders sessions are valid at any moment.
//  2. Every grant's fencing token is higher than those of all grants before it, of any task, for ever.
//  3. A holder's lease ends by its own clock before it ends on the voters: a task is granted anew only after its last
//     holder has stopped.
//  4. A grant that is revoked is waited out, never believed to be over early.
//  5. The same request, sent twice or late, gets one grant.
//
// It does not promise that nothing happens between a process's check of its session and its action. The resource has to
// compare fencing tokens; where it can't, the gap that docs/design/lease.md describes remains.
//
// The types are not safe for concurrent use and start no goroutines; each belongs to its caller.
package lease
