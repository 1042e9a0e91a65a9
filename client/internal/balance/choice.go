package balance

import (
	"math"
	"slices"
	"time"
)

// Kind is the kind of a [Choice].
type Kind uint8

// Kinds of choices.
const (
	Send         Kind = iota // send the request to Proxy on an open connection
	Dial                     // open a connection to Proxy, and choose again
	Wait                     // choose again at RetryAt, or after any change
	AllRejecting             // all proxies reject requests; the first may be tried again at RetryAt
	NoProxy                  // the list of proxies is empty
)

// Choice says what to do with a request.
type Choice struct {
	Kind    Kind
	Proxy   *Proxy        // set for Send and Dial
	RetryAt time.Duration // set for Wait and AllRejecting
}

// never stands for the time at which a proxy becomes usable if only a change can make it usable.
const never = time.Duration(math.MaxInt64)

// Choose decides where the next request goes. avoid, if not nil, is the proxy at which the last attempt failed; it is
// chosen only if there is no other candidate.
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

// subset summarises the proxies that findCandidates has examined. Choose needs it if none of them is a candidate.
type subset struct {
	listed     bool // the list contains a proxy
	size       int  // proxies that have a connection, are being dialed or may be dialed now
	blocked    int  // proxies that reject requests
	nextUsable time.Duration
}

// findCandidates collects the proxies of the client's subset that can take a request at now.
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
		// If a proxy can't be reached now, the next one by rank takes its place.
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

// usable reports whether a proxy can take a request at now. If not, from is the time from which on it can, or never if
// only a change could make it usable.
func (b *Balancer) usable(p *Proxy, now time.Duration) (ok bool, from time.Duration) {
	switch {
	case p.isBlocked(now):
		return false, p.blockedUntil
	case p.rejections >= rejectionsToBlock && p.inFlight > 0:
		return false, never // a single request tests whether the proxy still rejects requests
	case p.hasCapacity(&b.settings):
		return true, 0
	case p.conns+p.draining+p.dialing >= b.settings.MaxConns || p.dialing > 0:
		return false, never
	case p.dialNotBefore > now:
		return false, p.dialNotBefore
	}
	return true, 0
}

// preferIdle keeps only the candidates with idle connections, if there are any, so that a client with few requests
// needs few connections.
func (b *Balancer) preferIdle(now time.Duration) {
	idle := func(p *Proxy) bool { return p.isIdle(now) }
	if slices.ContainsFunc(b.candidates, idle) {
		b.candidates = slices.DeleteFunc(b.candidates, func(p *Proxy) bool { return !idle(p) })
	}
}

// drawCandidate draws two different candidates and returns the one with the lower cost.
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
