// Package bloom holds what a Bloom record of the keys that a server was seen to hold is made of, and
// the hashes that it shares with the rendezvous. It does no I/O and reads no clock.
//
// What it guarantees:
//  1. A record has each key that was added to it until it has turned twice since.
//  2. It has others by chance only, about as often as FalseHit says.
//  3. The zero Record is empty and ready.
//
// It decides nothing: which server is asked is package policy's.
package bloom

import "math"

const (
	bits   = 4096 // F: 512 bytes a generation, hundreds of instances share a process
	hashes = 4    // W: near the best for some hundred live keys in F bits
)

// Filter is a Bloom record of keys served, in two generations.
type Filter struct {
	words [2][bits / 64]uint64
	live  [2]float64 // D: keys added to each generation
	now   int        // generation that takes new keys
}

// Positions are a key's places in every record.
type Positions [hashes]uint32

// Contains tells whether the record names a key.
func (c *Filter) Contains(p *Positions) bool {
	for g := range c.words {
		found := true
		for _, x := range p {
			found = found && c.words[g][x/64]&(1<<(x%64)) != 0
		}
		if found {
			return true
		}
	}
	return false
}

// Add enters a key.
func (c *Filter) Add(p *Positions) {
	fresh := false
	for _, x := range p {
		word, bit := &c.words[c.now][x/64], uint64(1)<<(x%64)
		fresh = fresh || *word&bit == 0
		*word |= bit
	}
	if fresh {
		c.live[c.now]++
	}
}

// Rotate empties the older generation, which takes the new keys from now on.
func (c *Filter) Rotate() {
	c.now = 1 - c.now
	c.words[c.now], c.live[c.now] = [bits / 64]uint64{}, 0
}

// FalsePositiveRate is Fp = (1 - e^(-WD/F))^W of the live keys.
func (c *Filter) FalsePositiveRate() float64 {
	d := max(c.live[0], c.live[1])
	return math.Pow(1-math.Exp(-hashes*d/bits), hashes)
}

// PositionsOf returns the positions of a key with this hash.
func PositionsOf(hash uint64) (p Positions) {
	for i := range p {
		p[i] = uint32(Mix(hash+uint64(i)*0x9e3779b97f4a7c15) % bits)
	}
	return p
}

// Hash is a key's.
func Hash(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(text); i++ {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return Mix(h)
}

// Mix scatters the bits of a number over all of its word.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// UnitInterval is a number as a share, above 0 and below 1.
func UnitInterval(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }
