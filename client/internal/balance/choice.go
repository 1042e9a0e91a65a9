package balance

import (
	"math"
	"slices"
	"time"
)

// Kind says what to do with a request.
type Kind uint8

// What to do with a request.
const (
	Send         Kind = iota // to Proxy, on a connection that is open
	Dial                     // open a connection to Proxy, and choose again
	Wait                     // choose again at RetryAt, or when anything changed
	AllRejecting             // all proxies reject requests; the first may be tried again at RetryAt
	NoProxy                  // the list is empty
)

// Choice is what to do with a request.
type Choice struct {
	Kind    Kind
	Proxy   *Proxy        // of Send and Dial
	RetryAt time.Duration // of Wait and AllRejecting
}

// never is when only a change can make a proxy usable.
const never = time.Duration(math.MaxInt64)

// Choose says where the next request goes. avoid, if not nil, is chosen only where there is no other proxy: the last
// attempt failed there.
func (b *Balancer) Choose(now time.Duration, avoid *Proxy) Choice {
	subset := b.findCandidates(now)
	if len(b.candidates) > 1 && avoid != nil {
		b.candidates = slices.DeleteFunc(b.candidates, func(p *Proxy) bool { return p == avoid })
	}
	b.preferIdle(now)
	if len(b.candidates) > 0 {
		p := b.drawCandidate(now)
		if p.hasCapacity(&b.settings) {
			return Choice{Kind: Send, Proxy: p}
		}
		return Choice{Kind: Dial, Proxy: p}
	}
	switch {
	case !subset.listed:
		return Choice{Kind: NoProxy}
	case subset.blocked > 0 && subset.blocked >= subset.size:
		return Choice{Kind: AllRejecting, RetryAt: subset.nextUsable}
	}
	return Choice{Kind: Wait, RetryAt: subset.nextUsable}
}

// subset describes the client's proxies of which none may be a candidate.
type subset struct {
	listed     bool // there is any proxy in the list
	size       int  // proxies that are reachable or soon will be
	blocked    int  // proxies that reject requests
	nextUsable time.Duration
}

// findCandidates collects the proxies of the client's subset to which a request could go at now.
func (b *Balancer) findCandidates(now time.Duration) subset {
	b.candidates = b.candidates[:0]
	found := subset{nextUsable: never}
	for _, p := range b.proxies {
		if p.removed {
			continue
		}
		found.listed = true
		if found.size >= b.settings.SubsetSize {
			break
		}
		// A proxy that can't be reached now gives its place to the next one in the order.
		if p.conns > 0 || p.dialNotBefore <= now || p.dialing > 0 {
			found.size++
		}
		usable, from := b.usable(p, now)
		if usable {
			b.candidates = append(b.candidates, p)
			continue
		}
		if p.isBlocked(now) {
			found.blocked++
		}
		found.nextUsable = min(found.nextUsable, from)
	}
	return found
}

// usable reports whether a request could go to a proxy at now, or else from when on; never if only a change could
// make it so.
func (b *Balancer) usable(p *Proxy, now time.Duration) (ok bool, from time.Duration) {
	switch {
	case p.isBlocked(now):
		return false, p.blockedUntil
	case p.rejections >= rejectionsToBlock && p.inFlight > 0:
		return false, never // a single request finds out whether it still rejects
	case p.hasCapacity(&b.settings):
		return true, 0
	case p.conns+p.draining+p.dialing >= b.settings.MaxConns || p.dialing > 0:
		return false, never
	case p.dialNotBefore > now:
		return false, p.dialNotBefore
	}
	return true, 0
}

// preferIdle leaves only candidates with idle connections, if there are any: so a client with few requests needs few
// connections.
func (b *Balancer) preferIdle(now time.Duration) {
	idle := func(p *Proxy) bool { return p.isIdle(now) }
	if slices.ContainsFunc(b.candidates, idle) {
		b.candidates = slices.DeleteFunc(b.candidates, func(p *Proxy) bool { return !idle(p) })
	}
}

// drawCandidate draws two of the candidates and returns the cheaper one.
func (b *Balancer) drawCandidate(now time.Duration) *Proxy {
	n := len(b.candidates)
	p := b.candidates[b.rng.IntN(n)]
	if n == 1 {
		return p
	}
	q := b.candidates[b.rng.IntN(n)]
	for q == p {
		q = b.candidates[b.rng.IntN(n)]
	}
	if q.cost(now) < p.cost(now) {
		return q
	}
	return p
}
