// Package agent runs what packages lease and quorum decide in real processes: voters, each with a file and connections
// to the others, and holders, which send them requests. Serving the proxy's requests never waits for it.
//
// Guarantees:
//
//  1. A voter without its file does not vote; a file is made once, by [InitVoter] or [InitJoiningVoter].
//  2. What a voter promises is on its disk before it is sent.
//  3. [Holder.RunGuarded] begins an action only while the lease is valid, cancels its context when the lease ends,
//     and returns an error when the action has outlived it.
//  4. A holder whose grant was revoked releases it only after its last action has ended.
//
// It does not make an action safe that has outlived its lease: the resource has to compare fencing tokens.
//
// [Voter.Run] owns the voter's goroutines; one of them owns the replica and all that belongs to it. A [Holder] owns the
// goroutines of its requests until [Holder.Close] or [Holder.Abandon].
package agent
