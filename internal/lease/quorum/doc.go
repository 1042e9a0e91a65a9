// Package quorum is one voter of a fleet's leases: go.etcd.io/raft replicates a log among the voters, whose commands
// [lease.StateMachine] applies. It does no I/O and reads no clock: its caller saves state, sends messages and answers
// requests.
//
// Guarantees:
//
//  1. No message is sent before the state that it promises has been saved.
//  2. A voter reports that it leads only once it has applied all entries committed before its term.
//  3. A voter whose disk has failed sends no more messages.
//  4. The log is bounded: it is compacted at a snapshot of the state machine.
//
// It does not find other voters or deliver messages to them (package agent does), and it does not define what a lease
// means (package lease does). A [Replica] is not safe for concurrent use and starts no goroutines; it belongs to its
// caller.
package quorum
