// Package ticket derives idempotency keys for writes that come without one, so that a client can repeat such a write at
// any proxy and it still takes effect once.
//
// The answer to a read carries a ticket, which consists of its time of issue and random bits. A write that returns the
// ticket is forwarded with an idempotency key derived from the ticket, the cache key and the value. A ticket is valid
// for the nodes' deduplication window less [Margin].
//
// Invariants:
//
//  1. Two writes that differ in ticket, cache key or value have different idempotency keys. A repeat has the same
//     idempotency key as the first write.
//  2. A write is not executed before its ticket is issued, and no attempt of it is sent later than one deduplication
//     window after the issue. So each repeat is sent to nodes that still drop it.
//  3. A ticket whose time of issue is not recent is rejected, whether it is old, from the future or a number that
//     another server issued: a write that cannot be distinguished from a late repeat is not executed. Tickets are not
//     signed: a forged one with a recent time is accepted.
//
// The package reads no clock and has no state. Proxies share nothing but the time of day.
package ticket

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

const (
	timeBits   = 40 // time of issue in milliseconds, which wraps every 34 years
	randomBits = 64 - timeBits
	randomMask = 1<<randomBits - 1
	keyLen     = 16 // bytes of hash in an idempotency key
)

// Margin is the difference between the deduplication window and the time for which a ticket is valid. It covers the
// clock errors of two proxies, each up to a quarter of Margin, and the time that an attempt takes to reach a node.
const Margin = 200 * time.Millisecond

// New returns a ticket that is issued at now, with the low bits of random. It is never 0.
func New(now time.Time, random uint64) uint64 {
	ticket := uint64(now.UnixMilli())<<randomBits | random&randomMask
	return max(ticket, 1)
}

// Remaining returns for how long a ticket is still valid at now, where window is the nodes' deduplication window. The
// result is zero or less for a ticket that has expired or that New did not issue recently.
func Remaining(ticket uint64, now time.Time, window time.Duration) time.Duration {
	sinceIssue := age(ticket, now)
	if sinceIssue < -Margin/2 {
		return 0 // issued in the future, so the clock of the issuer is wrong or New did not issue the ticket
	}
	return window - Margin - sinceIssue
}

// age returns the time since a ticket's issue, which is negative for a ticket from the future. Times of issue wrap, so
// two differences are possible; age returns the one closer to zero.
func age(ticket uint64, now time.Time) time.Duration {
	issuedAt := ticket &^ randomMask
	difference := uint64(now.UnixMilli())<<randomBits - issuedAt
	millis := int64(difference) >> randomBits // an arithmetic shift keeps the sign
	return time.Duration(millis) * time.Millisecond
}

// IdempotencyKey returns the idempotency key of a write that returns ticket: 32 hexadecimal characters.
func IdempotencyKey(ticket uint64, cacheKey string, value []byte) string {
	hash := sha256.New()
	var header [16]byte
	binary.BigEndian.PutUint64(header[:], ticket)
	binary.BigEndian.PutUint64(header[8:], uint64(len(cacheKey)))
	hash.Write(header[:])
	hash.Write([]byte(cacheKey))
	hash.Write(value)
	return hex.EncodeToString(hash.Sum(nil)[:keyLen])
}
