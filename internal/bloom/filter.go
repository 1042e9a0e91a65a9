// Package bloom implements a Bloom filter for the keys that a server was observed to store, and the hashes that the
// filter shares with rendezvous hashing.
//
// Guarantees:
//
//  1. A filter contains each added key until it has been rotated twice after the key was last added.
//  2. It contains other keys only by chance, about as often as [Filter.FalsePositiveRate] estimates.
//  3. The zero Filter is empty and ready for use.
//
// The package does no I/O, reads no clock and starts no goroutine; a filter is not safe for concurrent use. It makes no
// decisions: package policy chooses the server for a request.
package bloom

import "math"

const (
	filterBits = 4096 // 512 bytes per generation: hundreds of balancers share a process in the simulator
	hashCount  = 4    // near the optimum for several hundred live keys in filterBits
	wordBits   = 64
)

// Filter is a Bloom filter with two generations. Rotate replaces the older one, so that old keys are forgotten.
type Filter struct {
	words     [2][filterBits / wordBits]uint64
	keyCounts [2]float64 // keys added to each generation
	current   int        // the generation that keys are added to, 0 or 1
}

// Positions are the bit positions of a key, the same in every filter.
type Positions [hashCount]uint32

// Contains reports whether one of the generations contains a key; see FalsePositiveRate.
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

// Add adds a key to the current generation.
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

// Rotate clears the older generation and makes it the current one.
func (f *Filter) Rotate() {
	f.current = 1 - f.current
	f.words[f.current] = [filterBits / wordBits]uint64{}
	f.keyCounts[f.current] = 0
}

// FalsePositiveRate returns the estimated rate (1 - e^(-k*n/m))^k for k hashes, m bits and the n keys of the generation
// with more keys.
func (f *Filter) FalsePositiveRate() float64 {
	keys := max(f.keyCounts[0], f.keyCounts[1])
	return math.Pow(1-math.Exp(-hashCount*keys/filterBits), hashCount)
}
