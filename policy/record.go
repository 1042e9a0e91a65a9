package policy

import "math"

const (
	recordBits   = 4096 // F: 512 bytes a generation, hundreds of instances share a process
	recordHashes = 4    // W: near the best for some hundred live keys in F bits
)

// record is a Bloom record of keys served, in two generations.
type record struct {
	bits [2][recordBits / 64]uint64
	live [2]float64 // D: keys added to each generation
	now  int        // generation that takes new keys
}

// positions are a key's places in every record.
type positions [recordHashes]uint32

func (c *record) has(p *positions) bool {
	for g := range c.bits {
		found := true
		for _, x := range p {
			found = found && c.bits[g][x/64]&(1<<(x%64)) != 0
		}
		if found {
			return true
		}
	}
	return false
}

func (c *record) add(p *positions) {
	fresh := false
	for _, x := range p {
		word, bit := &c.bits[c.now][x/64], uint64(1)<<(x%64)
		fresh = fresh || *word&bit == 0
		*word |= bit
	}
	if fresh {
		c.live[c.now]++
	}
}

func (c *record) turn() {
	c.now = 1 - c.now
	c.bits[c.now], c.live[c.now] = [recordBits / 64]uint64{}, 0
}

// falseHit is Fp = (1 - e^(-WD/F))^W of the live keys.
func (c *record) falseHit() float64 {
	d := max(c.live[0], c.live[1])
	return math.Pow(1-math.Exp(-recordHashes*d/recordBits), recordHashes)
}

// places returns the positions of a key with this hash.
func places(hash uint64) (p positions) {
	for i := range p {
		p[i] = uint32(mix(hash+uint64(i)*0x9e3779b97f4a7c15) % recordBits)
	}
	return p
}

func hash(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(text); i++ {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return mix(h)
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func unit(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }
