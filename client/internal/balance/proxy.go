package balance

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"
)

// Proxy is one proxy as the balancer knows it.
type Proxy struct {
	Address string

	rank    uint64
	removed bool // from the list

	inFlight      int
	conns         int // that take requests
	draining      int // connections that take no more requests, and still count
	dialing       int
	dialNotBefore time.Duration

	failureWeight    float64 // at failureDecayedAt
	failureDecayedAt time.Duration
	rejections       int // in a row
	blockedUntil     time.Duration
}

// IsRemoved reports whether the proxy is no longer in the list.
func (p *Proxy) IsRemoved() bool { return p.removed }

// unused reports whether nothing of the client is at the proxy any more.
func (p *Proxy) unused() bool { return p.conns+p.draining+p.dialing+p.inFlight == 0 }

// hasCapacity reports whether the connections that are open take one more request.
func (p *Proxy) hasCapacity(settings *Settings) bool {
	return p.inFlight < p.conns*settings.PipelineDepth
}

// isBlocked reports whether the proxy rejects requests and advised a time that has not come yet.
func (p *Proxy) isBlocked(now time.Duration) bool {
	return p.rejections >= rejectionsToBlock && p.blockedUntil > now
}

// isIdle reports whether a connection has no request, at a proxy that did not fail recently.
func (p *Proxy) isIdle(now time.Duration) bool {
	return p.inFlight < p.conns && p.recentFailures(now) < recentFailure
}

// recentFailures is the proxy's count of failures, each of which has decayed by its age.
func (p *Proxy) recentFailures(now time.Duration) float64 {
	if age := now - p.failureDecayedAt; age > 0 {
		p.failureWeight *= math.Exp2(-float64(age) / float64(failureHalfLife))
		p.failureDecayedAt = now
	}
	return p.failureWeight
}

// cost is what a request costs at the proxy. To open a connection costs both sides about as much as to wait behind one
// request.
func (p *Proxy) cost(now time.Duration) float64 {
	position := float64(p.inFlight + 1)
	if p.conns == 0 {
		position++
	}
	return position * (1 + failureCost*p.recentFailures(now))
}

// rank is the place of an address in the order of the client with this seed: rendezvous hashing. The hash is FNV-1a,
// mixed as by splitmix64, because FNV leaves the last bytes in the low bits.
func rank(seed uint64, address string) uint64 {
	const (
		mixer1 = 0xbf58476d1ce4e5b9
		mixer2 = 0x94d049bb133111eb
	)
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64(nil, seed))
	h.Write([]byte(address))
	x := h.Sum64()
	x = (x ^ x>>30) * mixer1
	x = (x ^ x>>27) * mixer2
	return x ^ x>>31
}
