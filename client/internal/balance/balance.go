// Package balance decides to which of several proxies a client sends its next request, and
// when it opens connections. It does no I/O and has no clock; times are counted from any
// origin and never step; randomness is seeded.
//
// Invariants:
//
//  1. A client uses few proxies, those that come first in an order of its own: many clients
//     together use all alike, and a change of the list moves few of them.
//  2. Of two of them drawn by chance the one with fewer open requests is taken, each counted
//     more dearly the more it failed lately; one without a connection counts one more. Where connections idle
//     at some that did not fail lately, only these are drawn from.
//  3. Connections are opened at a time drawn evenly from a span: from the start, from the loss
//     of a proxy's last connection, or from an attempt in vain, the span doubled by each. So
//     clients that were cut off together don't come back together.
//  4. A proxy that refused three requests running is left alone until the time that it
//     advised, and then asked by one request first.
package balance

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings bound a balancer. All are needed.
type Settings struct {
	SubsetSize         int           // proxies in use at a time
	MaxConns           int           // connections to one, at most
	PipelineDepth      int           // requests on a connection, at most
	StartSpread        time.Duration // span for the first connections
	ReconnectSpread    time.Duration // span after a loss
	MaxReconnectSpread time.Duration // span after attempts in vain, at most
}

const (
	failHalf  = time.Second // after so long a failure counts half
	failPrice = 4.0         // one failure weighs like so many times the open requests
	holdAfter = 3           // refusals running
)

// Proxy is one proxy as the balancer knows it.
type Proxy struct {
	Address string

	rank    uint64
	gone    bool // not in the list any more
	open    int
	conns   int // that take requests
	closing int // that don't any more, and still count
	dialing int
	dialAt  time.Duration
	fails   float64
	failAt  time.Duration
	refused int // running
	held    time.Duration
}

// Kind says what to do with a request.
type Kind uint8

// What to do with a request.
const (
	Send         Kind = iota // to Proxy, on a connection that is there
	Dial                     // open a connection to Proxy, and ask again
	Wait                     // ask again at At, or when anything changed
	AllRejecting             // all have refused; they are to be asked again at At
	NoProxy                  // there is no proxy
)

// Choice is what to do with a request.
type Choice struct {
	Kind    Kind
	Proxy   *Proxy
	RetryAt time.Duration
}

// Balancer decides for one client. It is not safe for concurrent use.
type Balancer struct {
	rules   Settings
	rng     *rand.Rand
	seed    uint64   // of the client's own order
	inVain  int      // attempts to connect since one came up
	proxies []*Proxy // by rank
	ready   []*Proxy // scratch
}

// New returns a balancer without proxies.
func New(r Settings, rng *rand.Rand) *Balancer {
	return &Balancer{rules: r, rng: rng, seed: rng.Uint64()}
}

// rank is a proxy's place in the client's order: rendezvous hashing.
func (b *Balancer) rank(address string) uint64 {
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64(nil, b.seed))
	h.Write([]byte(address))
	x := h.Sum64() // FNV leaves the last bytes in the low bits: mixed as by splitmix64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// within draws a time evenly from a span.
func (b *Balancer) within(span time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	return time.Duration(b.rng.Int64N(int64(span)))
}

// Update puts a list into force; an empty one changes nothing, as no client is better served
// by no proxy at all. It tells whether anything changed. A proxy that has left the list gets nothing new.
func (b *Balancer) Update(now time.Duration, addresses []string) bool {
	if len(addresses) == 0 {
		return false
	}
	changed := false
	first := len(b.proxies) == 0
	for _, p := range b.proxies {
		if gone := !slices.Contains(addresses, p.Address); gone != p.gone {
			p.gone, changed = gone, true
		}
	}
	b.proxies = slices.DeleteFunc(b.proxies, func(p *Proxy) bool { return p.gone && p.conns+p.closing+p.dialing+p.open == 0 })
	for _, address := range addresses {
		if slices.ContainsFunc(b.proxies, func(p *Proxy) bool { return p.Address == address }) {
			continue
		}
		span := b.rules.ReconnectSpread
		if first {
			span = b.rules.StartSpread
		}
		b.proxies = append(b.proxies, &Proxy{Address: address, rank: b.rank(address), dialAt: now + b.within(span)})
		changed = true
	}
	slices.SortFunc(b.proxies, func(p, q *Proxy) int {
		if p.rank < q.rank {
			return -1
		}
		return 1
	})
	return changed
}

// never is when only a change can tell.
const never = time.Duration(math.MaxInt64)

// usable tells whether a proxy can be asked at now, or else from when on; never if it is
// only a change that can tell.
func (b *Balancer) usable(p *Proxy, now time.Duration) (ok bool, from time.Duration) {
	switch {
	case p.refused >= holdAfter && p.held > now:
		return false, p.held
	case p.refused >= holdAfter && p.open > 0:
		return false, never // one is asking
	case p.open < p.conns*b.rules.PipelineDepth:
		return true, 0
	case p.conns+p.closing+p.dialing >= b.rules.MaxConns || p.dialing > 0:
		return false, never
	case p.dialAt > now:
		return false, p.dialAt
	}
	return true, 0
}

// Choose says where the next request goes. avoid, if not nil, is taken only where there is
// no other: the last try ended badly there.
func (b *Balancer) Choose(now time.Duration, avoid *Proxy) Choice {
	b.ready = b.ready[:0]
	next, holds, seen, listed := never, 0, 0, false
	for _, p := range b.proxies {
		if p.gone {
			continue
		}
		listed = true
		if seen >= b.rules.SubsetSize {
			break
		}
		// One that can't be reached now gives its place to the next in the order.
		if p.conns > 0 || p.dialAt <= now || p.dialing > 0 {
			seen++
		}
		ok, from := b.usable(p, now)
		if ok {
			b.ready = append(b.ready, p)
			continue
		}
		if p.refused >= holdAfter && p.held > now {
			holds++
		}
		next = min(next, from)
	}
	if len(b.ready) > 1 && avoid != nil {
		b.ready = slices.DeleteFunc(b.ready, func(p *Proxy) bool { return p == avoid })
	}
	// Who has little to ask keeps to the connections that it has.
	idle := func(p *Proxy) bool { return p.open < p.conns && p.failed(now) < 0.5 }
	if slices.ContainsFunc(b.ready, idle) {
		b.ready = slices.DeleteFunc(b.ready, func(p *Proxy) bool { return !idle(p) })
	}
	switch n := len(b.ready); {
	case n > 0:
		p := b.ready[b.rng.IntN(n)]
		if n > 1 {
			q := b.ready[b.rng.IntN(n)]
			for q == p {
				q = b.ready[b.rng.IntN(n)]
			}
			if b.price(q, now) < b.price(p, now) {
				p = q
			}
		}
		if p.open < p.conns*b.rules.PipelineDepth {
			return Choice{Kind: Send, Proxy: p}
		}
		return Choice{Kind: Dial, Proxy: p}
	case !listed:
		return Choice{Kind: NoProxy}
	case holds > 0 && holds >= seen:
		return Choice{Kind: AllRejecting, RetryAt: next}
	}
	return Choice{Kind: Wait, RetryAt: next}
}

// price is what a request costs at a proxy. A connection that has yet to be opened costs both sides
// about as much as waiting behind one request.
func (b *Balancer) price(p *Proxy, now time.Duration) float64 {
	ahead := float64(p.open + 1)
	if p.conns == 0 {
		ahead++
	}
	return ahead * (1 + failPrice*p.failed(now))
}

func (p *Proxy) failed(now time.Duration) float64 {
	if d := now - p.failAt; d > 0 {
		p.fails, p.failAt = p.fails*math.Exp2(-float64(d)/float64(failHalf)), now
	}
	return p.fails
}

// CanDial tells whether one more connection may be opened to a proxy at now.
func (b *Balancer) CanDial(p *Proxy, now time.Duration) bool {
	return !p.gone && p.dialing == 0 && p.dialAt <= now && p.conns+p.closing < b.rules.MaxConns
}

// IsDialing tells whether a connection is being opened.
func (b *Balancer) IsDialing() bool {
	return slices.ContainsFunc(b.proxies, func(p *Proxy) bool { return p.dialing > 0 })
}

// IsRemoved tells whether a proxy has left the list.
func (p *Proxy) IsRemoved() bool { return p.gone }

// DialStarted is told that a connection is being opened.
func (b *Balancer) DialStarted(p *Proxy) { p.dialing++ }

// DialEnded is told how that went.
func (b *Balancer) DialEnded(p *Proxy, now time.Duration, ok bool) {
	p.dialing--
	if ok {
		p.conns++
		b.inVain = 0
		return
	}
	n := 0 // proxies in use; a round is an attempt at each
	for _, q := range b.proxies {
		if !q.gone && n < b.rules.SubsetSize {
			n++
		}
	}
	span := min(b.rules.ReconnectSpread<<min(b.inVain/max(n, 1), 16), b.rules.MaxReconnectSpread)
	b.inVain++
	p.dialAt = now + b.within(span)
	// Where a whole round was in vain they are all gone together, as likely as not: the others wait as long.
	if b.inVain >= n && !slices.ContainsFunc(b.proxies, func(q *Proxy) bool { return q.conns > 0 }) {
		for _, q := range b.proxies {
			q.dialAt = max(q.dialAt, p.dialAt)
		}
	}
}

// ConnDraining is told that a connection takes no more requests.
func (b *Balancer) ConnDraining(p *Proxy) {
	p.conns--
	p.closing++
}

// ConnClosed is told that a connection that was [Balancer.ConnDraining] is no more. cut tells that the proxy
// ended it, not idleness or its client.
func (b *Balancer) ConnClosed(p *Proxy, now time.Duration, cut bool) {
	p.closing--
	if !cut {
		return
	}
	// Also while others are left: they may be about to end for the same reason.
	// One time is drawn for all of them: the latest of several would not be even.
	b.postpone(p, now)
	if p.conns > 0 {
		return
	}
	// Those that step in for it are not all asked at once either.
	for _, q := range b.proxies {
		if q != p && q.conns+q.dialing == 0 {
			b.postpone(q, now)
		}
	}
}

// postpone has no connection be opened to a proxy until a time drawn from the span after a loss.
func (b *Balancer) postpone(p *Proxy, now time.Duration) {
	if p.dialAt <= now {
		p.dialAt = now + b.within(b.rules.ReconnectSpread)
	}
}

// RequestSent is told that a request goes to a proxy.
func (b *Balancer) RequestSent(p *Proxy) { p.open++ }

// RequestEnded is told how a request at a proxy ended. advice is a refusal's.
func (b *Balancer) RequestEnded(p *Proxy, now time.Duration, failed, refused bool, advice time.Duration) {
	p.open--
	if failed {
		p.fails = p.failed(now) + 1
		p.failAt = now
	}
	if !refused {
		if !failed {
			p.refused = 0
		}
		return
	}
	if p.refused++; p.refused >= holdAfter && advice > 0 {
		p.held = max(p.held, now+advice+b.within(advice/4))
	}
}
