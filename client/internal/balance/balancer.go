package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Balancer makes the decisions for one client. It is not safe for concurrent use.
type Balancer struct {
	settings    Settings
	rng         *rand.Rand
	seed        uint64   // determines the client's own order of proxies
	failedDials int      // since the last dial that succeeded
	proxies     []*Proxy // sorted by rank
	candidates  []*Proxy // scratch space of Choose
}

// New returns a balancer without proxies.
func New(settings Settings, rng *rand.Rand) *Balancer {
	return &Balancer{settings: settings, rng: rng, seed: rng.Uint64()}
}

// drawTime draws a time uniformly from a span.
func (b *Balancer) drawTime(span time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	return time.Duration(b.rng.Int64N(int64(span)))
}

// Update replaces the list of proxies and reports whether anything changed. An empty list is ignored, because a client
// is never better off without any proxy. A proxy that is no longer in the list gets no new requests.
func (b *Balancer) Update(now time.Duration, addresses []string) bool {
	if len(addresses) == 0 {
		return false
	}
	span := b.settings.ReconnectSpread
	if len(b.proxies) == 0 {
		span = b.settings.StartSpread
	}
	changed := b.markRemoved(addresses)
	b.proxies = slices.DeleteFunc(b.proxies, func(p *Proxy) bool { return p.removed && p.unused() })
	for _, address := range addresses {
		if slices.ContainsFunc(b.proxies, func(p *Proxy) bool { return p.Address == address }) {
			continue
		}
		p := &Proxy{Address: address, rank: rank(b.seed, address)}
		p.dialNotBefore = now + b.drawTime(span)
		b.proxies = append(b.proxies, p)
		changed = true
	}
	slices.SortFunc(b.proxies, func(p, q *Proxy) int { return cmp.Compare(p.rank, q.rank) })
	return changed
}

// markRemoved marks the proxies that are missing from addresses, unmarks the others and reports whether any mark
// changed.
func (b *Balancer) markRemoved(addresses []string) (changed bool) {
	for _, p := range b.proxies {
		removed := !slices.Contains(addresses, p.Address)
		if removed != p.removed {
			p.removed = removed
			changed = true
		}
	}
	return changed
}

// RequestSent records that a request is sent to a proxy.
func (b *Balancer) RequestSent(p *Proxy) { p.inFlight++ }

// Outcome is how a request to a proxy ended, as far as it matters for the choice of proxies.
type Outcome uint8

// Values of [Outcome].
const (
	Answered Outcome = iota
	Failed           // no usable answer arrived
	Rejected         // the proxy rejected the request
)

// RequestEnded records the end of a request to a proxy. retryAfter is a rejection's Retry-After, 0 if it had none.
func (b *Balancer) RequestEnded(p *Proxy, now time.Duration, outcome Outcome, retryAfter time.Duration) {
	p.inFlight--
	switch outcome {
	case Answered:
		p.rejections = 0
	case Failed:
		p.failureWeight = p.recentFailures(now) + 1
		p.failureDecayedAt = now
	case Rejected:
		p.rejections++
		if p.rejections >= rejectionsToBlock && retryAfter > 0 {
			p.blockedUntil = max(p.blockedUntil, now+retryAfter+b.drawTime(retryAfter/4))
		}
	}
}
