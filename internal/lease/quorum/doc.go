// Package quorum is one voter of the leases: go.etcd.io/raft agrees with the other voters on one log, whose commands
// [lease.StateMachine] carries out. It does no I/O and reads no clock: its caller saves, sends and answers.
//
// Guarantees:
//
//  1. Nothing is sent before what it promises has been saved.
//  2. A voter leads, for those who ask, only once it has applied all that was decided before it did.
//  3. A voter whose disk has failed sends nothing any more.
//  4. The log is bounded: it is compacted at a snapshot of the state machine.
//
// It does not find other voters or carry messages to them, and it does not decide what a lease means: see packages
// agent and lease. A [Replica] is not safe for concurrent use and starts no goroutines; it belongs to its caller.
package quorum
