package takeover

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Candidate is an instance that can be chosen as a holder.
type Candidate struct {
	Owner
	Zone string
}

// RankHolders orders candidates for a write by rendezvous hashing. The hash covers only the write's ID and the
// candidates' names, so every proxy finds the same order. The best candidate of each zone comes first, then all others.
func RankHolders(id string, candidates []Candidate) []Candidate {
	type weighted struct {
		Candidate
		weight uint64
	}
	list := make([]weighted, len(candidates))
	for i, c := range candidates {
		list[i] = weighted{c, hashHolder(id, c.Name)}
	}
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
	})
	var firstOfZone, rest []Candidate
	zones := make(map[string]bool)
	for _, c := range list {
		if zones[c.Zone] {
			rest = append(rest, c.Candidate)
			continue
		}
		zones[c.Zone] = true
		firstOfZone = append(firstOfZone, c.Candidate)
	}
	return append(firstOfZone, rest...)
}

// hashHolder must return the same value in every process and version.
func hashHolder(id, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write([]byte{0})
	h.Write([]byte(name))
	x := h.Sum64()
	// MurmurHash3's finalizer: the last bytes of the input change too few bits of an FNV hash.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
