package bloom

const (
	// The offset basis and the prime of the 64-bit FNV-1a hash.
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211

	// goldenGamma is the distance between the inputs of a key's hashes: 2^64 divided by the golden ratio, as in
	// SplitMix64.
	goldenGamma = 0x9e3779b97f4a7c15
)

// PositionsOf returns the positions of a key with this hash.
func PositionsOf(hash uint64) (p Positions) {
	for i := range p {
		p[i] = uint32(Mix(hash+uint64(i)*goldenGamma) % filterBits)
	}
	return p
}

// Hash returns the hash of a key: 64-bit FNV-1a, followed by Mix.
func Hash(text string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * fnvPrime
	}
	return Mix(h)
}

// Mix makes each bit of the result depend on all bits of x: it is the finalizer of SplitMix64.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// UnitInterval maps x to the open interval (0, 1).
func UnitInterval(x uint64) float64 {
	const mantissaBits = 53
	return (float64(x>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}
