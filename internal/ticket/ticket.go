// Package ticket gives a write without an idempotency key one, so that a client may
// repeat it at any proxy and it still takes effect once. It reads no clock, and shares
// nothing between proxies but the time of day.
//
// A read's answer carries a ticket: the time of its issue and random bits. A write
// that brings it back goes on under a key made of ticket, record and value, as long as
// the ticket lives, which is the nodes' window less [Margin].
//
// Invariants:
//
//  1. Two writes that differ in ticket, record or value have different keys; a repeat
//     has the key of the first.
//  2. The first run of a write comes no earlier than its ticket's issue, and no try of
//     it is sent later than the window's length after that, so whatever repeat is
//     sent reaches nodes that still drop it.
//  3. A ticket that no proxy issued lately is refused, be it old, made up, or another
//     server's: what can't be told from a late repeat is not carried out.
package ticket

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

const (
	timeBits   = 40 // milliseconds: they come round in 34 years
	randomBits = 64 - timeBits
)

// Margin is what a ticket's life is shorter than the window by. It covers the clocks of
// two proxies, each up to a quarter of it off the true time, and a try on its way.
const Margin = 200 * time.Millisecond

// New returns a ticket issued at a time. It is never 0.
func New(now time.Time, random uint64) uint64 {
	t := uint64(now.UnixMilli())<<randomBits | random&(1<<randomBits-1)
	return max(t, 1)
}

// Remaining returns how long a ticket yet lives at a time, where nodes drop repeats for
// window; zero or less if it lives no more, or was never issued.
func Remaining(t uint64, now time.Time, window time.Duration) time.Duration {
	// The difference of two times that come round, with its sign.
	age := time.Duration(int64(uint64(now.UnixMilli())<<randomBits-t>>randomBits<<randomBits)>>randomBits) * time.Millisecond
	if age < -Margin/2 {
		return 0 // from the future: not issued by a clock that may be relied on
	}
	return window - Margin - age
}

// IdempotencyKey returns the idempotency key of a write with a ticket: 32 characters.
func IdempotencyKey(t uint64, record string, value []byte) string {
	h := sha256.New()
	var head [16]byte
	binary.BigEndian.PutUint64(head[:], t)
	binary.BigEndian.PutUint64(head[8:], uint64(len(record)))
	h.Write(head[:])
	h.Write([]byte(record))
	h.Write(value)
	return hex.EncodeToString(h.Sum(nil)[:16])
}
