// Package agent runs what packages lease and quorum decide in real processes: voters, each with a file and connections
// to the others, and holders, which send them requests. The proxy's requests never wait for them.
//
// Guarantees:
//
//  1. A voter does not run without its file, which [InitVoter] or [InitJoiningVoter] creates once.
//  2. A voter saves the state that a message promises before it sends the message.
//  3. [Holder.RunGuarded] starts an action only while the lease is valid, cancels its context when the lease ends,
//     and returns an error if the action has outlived the lease.
//  4. A holder whose grant was revoked releases it only after its last action has ended.
//
// It does not protect the resource from an action that outlives its lease: the resource has to compare fencing tokens.
//
// [Voter.Run] owns the voter's goroutines; one of them owns the replica and the state of its requests. A [Holder] owns
// the goroutines of its requests until [Holder.Close] or [Holder.Abandon].
package agent
