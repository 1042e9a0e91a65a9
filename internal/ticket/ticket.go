// Package ticket gives a write without an idempotency key one, so that a client may repeat it at any proxy and it
// still takes effect once.
//
// The answer to a read carries a ticket: the time of its issue and random bits. A write that returns it is
// forwarded under a key made of ticket, record and value, for as long as the ticket is valid, which is the nodes'
// deduplication window less [Margin].
//
// Invariants:
//
//  1. Two writes that differ in ticket, record or value have different keys; a repeat has the key of the first.
//  2. The first execution of a write comes no earlier than the issue of its ticket, and no attempt of it is sent later
//     than the window's length after that, so whatever repeat is sent reaches nodes that still drop it.
//  3. A ticket whose time of issue is not recent is rejected, be it old, from the future or another server's number:
//     what can't be distinguished from a late repeat is not carried out. Tickets are not signed: an invented one with
//     a recent time is accepted.
//
// The package reads no clock, has no state, and shares nothing between proxies but the time of day.
package ticket

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

const (
	timeBits   = 40 // milliseconds: they wrap in 34 years
	randomBits = 64 - timeBits
	randomMask = 1<<randomBits - 1
	keyLen     = 16 // bytes of hash in an idempotency key
)

// Margin is by how much a ticket is valid for less than the window. It covers the clocks of two proxies, each up to a
// quarter of it off the true time, and the time in which an attempt is on its way.
const Margin = 200 * time.Millisecond

// New returns a ticket that is issued at a time. It is never 0.
func New(now time.Time, random uint64) uint64 {
	ticket := uint64(now.UnixMilli())<<randomBits | random&randomMask
	return max(ticket, 1)
}

// Remaining returns for how long a ticket is still valid at a time, where nodes drop repeats for window. It is zero
// or less for a ticket that is not valid any more, or was never issued.
func Remaining(ticket uint64, now time.Time, window time.Duration) time.Duration {
	sinceIssue := age(ticket, now)
	if sinceIssue < -Margin/2 {
		return 0 // from the future: not issued by a clock that can be relied on
	}
	return window - Margin - sinceIssue
}

// age returns the time since a ticket's issue, negative for one from the future. Times wrap, so the shorter
// difference of the two possible ones is taken.
func age(ticket uint64, now time.Time) time.Duration {
	issuedAt := ticket &^ randomMask
	difference := uint64(now.UnixMilli())<<randomBits - issuedAt
	millis := int64(difference) >> randomBits // keeps the sign
	return time.Duration(millis) * time.Millisecond
}

// IdempotencyKey returns the idempotency key of a write with a ticket: 32 characters.
func IdempotencyKey(ticket uint64, record string, value []byte) string {
	hash := sha256.New()
	var head [16]byte
	binary.BigEndian.PutUint64(head[:], ticket)
	binary.BigEndian.PutUint64(head[8:], uint64(len(record)))
	hash.Write(head[:])
	hash.Write([]byte(record))
	hash.Write(value)
	return hex.EncodeToString(hash.Sum(nil)[:keyLen])
}
