package balance

import (
	"slices"
	"time"
)

// CanDial reports whether one more connection may be opened to a proxy at now.
func (b *Balancer) CanDial(p *Proxy, now time.Duration) bool {
	return !p.removed && p.dialing == 0 && p.dialNotBefore <= now && p.conns+p.draining < b.settings.MaxConns
}

// IsDialing reports whether any connection is being opened.
func (b *Balancer) IsDialing() bool {
	return slices.ContainsFunc(b.proxies, func(p *Proxy) bool { return p.dialing > 0 })
}

// DialStarted records that a connection is being opened.
func (b *Balancer) DialStarted(p *Proxy) { p.dialing++ }

// DialSucceeded records that a connection was opened.
func (b *Balancer) DialSucceeded(p *Proxy) {
	p.dialing--
	p.conns++
	b.failedDials = 0
}

// maxSpreadDoublings prevents an overflow of the shift in DialFailed.
const maxSpreadDoublings = 16

// DialFailed records that a connection could not be opened, and postpones the next dial.
func (b *Balancer) DialFailed(p *Proxy, now time.Duration) {
	p.dialing--
	round := b.subsetSize()
	rounds := min(b.failedDials/max(round, 1), maxSpreadDoublings)
	span := min(b.settings.ReconnectSpread<<rounds, b.settings.MaxReconnectSpread)
	b.failedDials++
	p.dialNotBefore = now + b.drawTime(span)
	// After a whole round of failed dials all proxies are probably down together, so no other proxy is dialed before p.
	if b.failedDials >= round && !b.hasConnection() {
		for _, q := range b.proxies {
			q.dialNotBefore = max(q.dialNotBefore, p.dialNotBefore)
		}
	}
}

// subsetSize returns the number of proxies in use. One dial of each of them makes a round.
func (b *Balancer) subsetSize() int {
	listed := 0
	for _, p := range b.proxies {
		if !p.removed {
			listed++
		}
	}
	return min(listed, b.settings.SubsetSize)
}

func (b *Balancer) hasConnection() bool {
	return slices.ContainsFunc(b.proxies, func(p *Proxy) bool { return p.conns > 0 })
}

// ConnDraining records that a connection takes no more requests.
func (b *Balancer) ConnDraining(p *Proxy) {
	p.conns--
	p.draining++
}

// ConnClosed records the end of a draining connection that the client closed, or that the proxy closed because it was
// idle.
func (b *Balancer) ConnClosed(p *Proxy) { p.draining-- }

// ConnLost records the end of a draining connection that the proxy closed while it was in use.
func (b *Balancer) ConnLost(p *Proxy, now time.Duration) {
	p.draining--
	// Postpone the dial even if other connections are left, because they may be about to end for the same reason. One
	// time is drawn for all of them, because the latest of several draws would not be uniform.
	b.postponeDial(p, now)
	if p.conns > 0 {
		return
	}
	// The proxies that replace the lost one must not all be dialed at once either.
	for _, q := range b.proxies {
		if q != p && q.conns+q.dialing == 0 {
			b.postponeDial(q, now)
		}
	}
}

// postponeDial draws the time before which a proxy is not dialed, unless one in the future is set already.
func (b *Balancer) postponeDial(p *Proxy, now time.Duration) {
	if p.dialNotBefore <= now {
		p.dialNotBefore = now + b.drawTime(b.settings.ReconnectSpread)
	}
}
