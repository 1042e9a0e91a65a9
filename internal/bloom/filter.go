// Package bloom holds the Bloom filter of the keys that a server was seen to hold, and the hashes that the filter
// shares with rendezvous hashing.
//
// Guarantees:
//
//  1. A filter contains each key that was added to it until it has been rotated twice since.
//  2. It contains others by chance only, about as often as [Filter.FalsePositiveRate] says.
//  3. The zero Filter is empty and ready for use.
//
// The package does no I/O, reads no clock and starts no goroutine; a filter belongs to the caller. It decides nothing:
// which server gets a request is package policy's.
package bloom

import "math"

const (
	filterBits = 4096 // 512 bytes a generation: hundreds of balancers share a process in the simulator
	hashCount  = 4    // near the optimum for some hundred live keys in filterBits
	wordBits   = 64
)

// Filter is a Bloom filter of keys in two generations, so that it can forget.
type Filter struct {
	words     [2][filterBits / wordBits]uint64
	keyCounts [2]float64 // keys added to each generation
	current   int        // the generation that takes new keys, 0 or 1
}

// Positions are a key's bits in every filter.
type Positions [hashCount]uint32

// Contains reports whether the filter names a key.
func (f *Filter) Contains(p *Positions) bool {
	for generation := range f.words {
		found := true
		for _, x := range p {
			found = found && f.words[generation][x/wordBits]&(1<<(x%wordBits)) != 0
		}
		if found {
			return true
		}
	}
	return false
}

// Add enters a key.
func (f *Filter) Add(p *Positions) {
	isNew := false
	for _, x := range p {
		word, bit := &f.words[f.current][x/wordBits], uint64(1)<<(x%wordBits)
		isNew = isNew || *word&bit == 0
		*word |= bit
	}
	if isNew {
		f.keyCounts[f.current]++
	}
}

// Rotate empties the older generation, which takes the new keys from now on.
func (f *Filter) Rotate() {
	f.current = 1 - f.current
	f.words[f.current] = [filterBits / wordBits]uint64{}
	f.keyCounts[f.current] = 0
}

// FalsePositiveRate is (1 - e^(-k*n/m))^k for k hashes, n live keys and m bits.
func (f *Filter) FalsePositiveRate() float64 {
	keys := max(f.keyCounts[0], f.keyCounts[1])
	return math.Pow(1-math.Exp(-hashCount*keys/filterBits), hashCount)
}
