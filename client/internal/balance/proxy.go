package balance

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"
)

// Proxy holds the balancer's state of one proxy.
type Proxy struct {
	Address string

	rank    uint64
	removed bool // no longer in the list

	inFlight      int
	conns         int // connections that take requests
	draining      int // connections that take no more requests but count towards MaxConns
	dialing       int
	dialNotBefore time.Duration

	failureWeight    float64 // weight of the failures at failureDecayedAt
	failureDecayedAt time.Duration
	rejections       int // in a row
	blockedUntil     time.Duration
}

// IsRemoved reports whether the proxy is no longer in the list.
func (p *Proxy) IsRemoved() bool { return p.removed }

// unused reports whether the client has no connections, dials and requests at the proxy.
func (p *Proxy) unused() bool { return p.conns+p.draining+p.dialing+p.inFlight == 0 }

// hasCapacity reports whether the open connections can take one more request.
func (p *Proxy) hasCapacity(settings *Settings) bool {
	return p.inFlight < p.conns*settings.PipelineDepth
}

// isBlocked reports whether the proxy rejected several requests in a row and its Retry-After has not passed yet.
func (p *Proxy) isBlocked(now time.Duration) bool {
	return p.rejections >= rejectionsToBlock && p.blockedUntil > now
}

// isIdle reports whether the proxy has an idle connection and has not failed recently.
func (p *Proxy) isIdle(now time.Duration) bool {
	return p.inFlight < p.conns && p.recentFailures(now) < recentFailure
}

// recentFailures returns the number of the proxy's failures, each weighted by its age.
func (p *Proxy) recentFailures(now time.Duration) float64 {
	if age := now - p.failureDecayedAt; age > 0 {
		p.failureWeight *= math.Exp2(-float64(age) / float64(failureHalfLife))
		p.failureDecayedAt = now
	}
	return p.failureWeight
}

// cost returns the cost of a request at the proxy. Opening a connection costs both sides about as much as waiting
// behind one request.
func (p *Proxy) cost(now time.Duration) float64 {
	position := float64(p.inFlight + 1)
	if p.conns == 0 {
		position++
	}
	return position * (1 + failureCost*p.recentFailures(now))
}

// rank returns the position of an address in the order of the client with this seed, by rendezvous hashing. The hash is
// FNV-1a with the finalizer of splitmix64, because FNV leaves the last bytes in the low bits.
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
