package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// randomHistory makes random calls to a balancer and checks its counts after each.
type randomHistory struct {
	*testing.T
	seed uint64
	rng  *rand.Rand
	b    *Balancer
	now  time.Duration
}

// TestRandomHistories checks that in random histories counts are never negative or above their bounds, that nothing is
// sent to a proxy that has no capacity or is not in the list, and that a request that waits has a time or an event to
// wait for.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		settings := Settings{
			SubsetSize:         1 + rng.IntN(4),
			MaxConns:           1 + rng.IntN(3),
			PipelineDepth:      1 + rng.IntN(4),
			StartSpread:        time.Duration(rng.IntN(2)) * time.Second,
			ReconnectSpread:    time.Second,
			MaxReconnectSpread: 4 * time.Second,
		}
		h := &randomHistory{T: t, seed: seed, rng: rng, b: newBalancer(settings, seed, 1+rng.IntN(6))}
		for range 500 {
			h.now += time.Duration(rng.IntN(200)) * ms
			h.step(h.b.proxies[rng.IntN(len(h.b.proxies))])
			h.checkCounts()
		}
	}
}

// step makes one random call. It concerns p, unless it changes the list.
func (h *randomHistory) step(p *Proxy) {
	switch h.rng.IntN(8) {
	case 0, 1, 2:
		h.choose(p)
	case 3:
		if p.inFlight > 0 {
			outcome := Outcome(h.rng.IntN(3))
			h.b.RequestEnded(p, h.now, outcome, time.Duration(h.rng.IntN(1000))*ms)
		}
	case 4, 5:
		if p.dialing > 0 {
			h.endDial(p)
		}
	case 6:
		if p.conns > 0 {
			h.b.ConnDraining(p)
		} else if p.draining > 0 {
			h.endConn(p)
		}
	case 7:
		h.changeList()
	}
}

func (h *randomHistory) choose(avoid *Proxy) {
	c := h.b.Choose(h.now, avoid)
	switch c.Kind {
	case Send:
		if c.Proxy.removed || c.Proxy.inFlight >= c.Proxy.conns*h.b.settings.PipelineDepth {
			h.Fatalf("seed %d: sent without capacity", h.seed)
		}
		h.b.RequestSent(c.Proxy)
	case Dial:
		if c.Proxy.removed || c.Proxy.dialNotBefore > h.now {
			h.Fatalf("seed %d: dialed before its time", h.seed)
		}
		h.b.DialStarted(c.Proxy)
	case Wait:
		busy := slices.ContainsFunc(h.b.proxies, func(p *Proxy) bool { return !p.unused() })
		if c.RetryAt <= h.now || c.RetryAt > h.now+time.Hour && !busy {
			h.Fatalf("seed %d: waits for %v at %v for nothing", h.seed, c.RetryAt, h.now)
		}
	}
}

func (h *randomHistory) endDial(p *Proxy) {
	if h.rng.IntN(3) > 0 {
		h.b.DialSucceeded(p)
		return
	}
	h.b.DialFailed(p, h.now)
}

func (h *randomHistory) endConn(p *Proxy) {
	if h.rng.IntN(2) == 0 {
		h.b.ConnLost(p, h.now)
		return
	}
	h.b.ConnClosed(p)
}

func (h *randomHistory) changeList() {
	list := addresses(h.b)
	if h.rng.IntN(2) == 0 && len(list) > 1 {
		list = list[1:]
	} else {
		list = append(list, fmt.Sprintf("10.1.0.%d:1", h.rng.IntN(5)))
	}
	h.b.Update(h.now, list)
}

func (h *randomHistory) checkCounts() {
	for _, p := range h.b.proxies {
		negative := p.inFlight < 0 || p.conns < 0 || p.draining < 0 || p.dialing < 0
		if negative || p.conns+p.draining+p.dialing > h.b.settings.MaxConns {
			h.Fatalf("seed %d: %+v", h.seed, p)
		}
	}
}
