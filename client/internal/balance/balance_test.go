package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

var usual = Settings{SubsetSize: 3, MaxConns: 4, PipelineDepth: 32, ReconnectSpread: time.Second, MaxReconnectSpread: 4 * time.Second}

func newBalancer(r Settings, seed uint64, proxies int) *Balancer {
	b := New(r, rand.New(rand.NewPCG(seed, 1)))
	var list []string
	for i := range proxies {
		list = append(list, fmt.Sprintf("10.0.0.%d:11211", i))
	}
	b.Update(0, list)
	return b
}

// addresses returns the list in force.
func addresses(b *Balancer) (list []string) {
	for _, p := range b.proxies {
		if !p.gone {
			list = append(list, p.Address)
		}
	}
	return list
}

// connect opens one connection to all proxies that are wanted at now.
func connect(b *Balancer, now time.Duration) {
	for range 100 {
		c := b.Choose(now, nil)
		if c.Kind == Dial {
			b.DialStarted(c.Proxy)
			b.DialEnded(c.Proxy, now, true)
			continue
		}
		if c.Kind == Send {
			b.RequestSent(c.Proxy) // so that the others are wanted too
		}
	}
	for _, p := range b.proxies {
		p.open = 0
	}
}

// Invariant 1: many clients with three proxies each use forty alike, and a proxy that
// joins moves few.
func TestSubsetsAreEvenAndStable(t *testing.T) {
	uses := map[string]int{}
	moved := 0
	for seed := range uint64(2000) {
		b := newBalancer(usual, seed, 40)
		before := map[string]bool{}
		for _, p := range b.proxies[:3] {
			uses[p.Address]++
			before[p.Address] = true
		}
		b.Update(0, append(addresses(b), "10.0.1.1:11211"))
		for _, p := range b.proxies[:3] {
			if !before[p.Address] {
				moved++
			}
		}
	}
	for _, n := range uses {
		if n < 100 || n > 200 { // 150, give or take four deviations
			t.Fatalf("uses of a proxy: %d, want about 150", n)
		}
	}
	if len(uses) != 40 || moved > 2*2000*3/41 {
		t.Fatalf("%d proxies used, %d places moved", len(uses), moved)
	}
}

// Invariant 2.
func TestChoiceIsByOpenRequestsAndFailures(t *testing.T) {
	b := newBalancer(Settings{SubsetSize: 2, MaxConns: 1, PipelineDepth: 1000, ReconnectSpread: ms, MaxReconnectSpread: ms}, 1, 2)
	connect(b, 0)
	p, q := b.proxies[0], b.proxies[1]
	for range 100 {
		b.RequestSent(b.Choose(0, nil).Proxy)
	}
	if p.open != 50 || q.open != 50 {
		t.Fatalf("%d and %d open", p.open, q.open)
	}
	b.RequestEnded(p, 0, true, false, 0)
	for range 50 {
		if got := b.Choose(ms, nil).Proxy; got != q {
			t.Fatal("the one that failed just now was taken")
		}
	}
	for range 10 {
		b.RequestSent(q)
	}
	if got := b.Choose(10*time.Second, nil).Proxy; got != p {
		t.Fatal("a failure is remembered for ten seconds")
	}
	if got := b.Choose(10*time.Second, p).Proxy; got != q {
		t.Fatal("the one to avoid was taken")
	}
}

// lose ends all connections to a proxy, as it does itself.
func lose(b *Balancer, p *Proxy, now time.Duration) {
	for p.conns > 0 {
		b.ConnDraining(p)
		b.ConnClosed(p, now, true)
	}
}

// A client with little to ask keeps to the connection that it has.
func TestOneConnectionServesLittleLoad(t *testing.T) {
	b := newBalancer(usual, 1, 3)
	for range 100 {
		c := b.Choose(0, nil)
		for c.Kind == Dial {
			b.DialStarted(c.Proxy)
			b.DialEnded(c.Proxy, 0, true)
			c = b.Choose(0, nil)
		}
		b.RequestSent(c.Proxy)
		b.RequestEnded(c.Proxy, 0, false, false, 0)
	}
	conns := 0
	for _, p := range b.proxies {
		conns += p.conns
	}
	if conns != 1 {
		t.Fatalf("%d connections", conns)
	}
}

// busiest returns the most of some times that lie within a span, and the mean.
func busiest(times []time.Duration, span, whole time.Duration) (most int, mean float64) {
	slices.Sort(times)
	for i, j := 0, 0; j < len(times); j++ {
		for times[j]-times[i] >= span {
			i++
		}
		most = max(most, j-i+1)
	}
	return most, float64(len(times)) * float64(span) / float64(whole)
}

// firstDial returns when a client with a request that can't wait opens its next connection.
func firstDial(t *testing.T, b *Balancer, now time.Duration) time.Duration {
	for range 1000 {
		switch c := b.Choose(now, nil); c.Kind {
		case Dial:
			return now
		case Wait:
			if c.RetryAt <= now || c.RetryAt > now+time.Hour {
				t.Fatalf("waits for %v at %v", c.RetryAt, now)
			}
			now = c.RetryAt
		default:
			t.Fatalf("%+v", c)
		}
	}
	t.Fatal("no dial")
	return 0
}

// Invariant 3: a thousand clients that lose their one proxy at one moment, each with a
// request at hand.
func TestReconnectsAreSpread(t *testing.T) {
	for name, lost := range map[string]bool{"restart": true, "cold start": false} {
		var times []time.Duration
		for seed := range uint64(1000) {
			rules := usual
			rules.StartSpread = time.Second
			b := newBalancer(rules, seed, 1)
			now := time.Duration(0)
			if lost {
				now = 10 * time.Second
				connect(b, now)
				lose(b, b.proxies[0], now)
			}
			times = append(times, firstDial(t, b, now)-now)
		}
		most, mean := busiest(times, 50*ms, time.Second)
		if float64(most) > 2*mean || slices.Max(times) > time.Second {
			t.Fatalf("%s: %d in the busiest 50 ms, %.1f in the mean", name, most, mean)
		}
	}
}

// Attempts in vain spread further each time, up to a bound.
func TestBackOffDoubles(t *testing.T) {
	var spans []time.Duration
	for range 6 {
		spans = append(spans, 0)
	}
	for seed := range uint64(500) {
		b := newBalancer(usual, seed, 1)
		now := time.Duration(0)
		for i := range spans {
			b.DialStarted(b.proxies[0])
			b.DialEnded(b.proxies[0], now, false)
			at := firstDial(t, b, now)
			spans[i] = max(spans[i], at-now)
			now = at
		}
	}
	for i, want := range []time.Duration{1, 2, 4, 4, 4, 4} {
		if want *= time.Second; spans[i] > want || spans[i] < want*9/10 {
			t.Fatalf("longest waits %v", spans)
		}
	}
}

// One proxy that is down at the start holds nobody up: the others are asked at once. Once all were asked
// in vain, they wait together.
func TestOneThatIsDownHoldsNobodyUp(t *testing.T) {
	b := newBalancer(usual, 1, 3)
	for i := range 3 {
		c := b.Choose(0, nil)
		if c.Kind != Dial {
			t.Fatalf("attempt %d: %+v", i, c)
		}
		b.DialStarted(c.Proxy)
		b.DialEnded(c.Proxy, 0, false)
	}
	c := b.Choose(0, nil)
	if c.Kind != Wait || c.RetryAt <= 0 || c.RetryAt > time.Second {
		t.Fatalf("after a round in vain: %+v", c)
	}
	for _, p := range b.proxies {
		if p.dialAt < c.RetryAt {
			t.Fatalf("%s may be asked at %v, before %v", p.Address, p.dialAt, c.RetryAt)
		}
	}
}

// Those that step in for a proxy that went away are not asked at once by all who lost it.
func TestStandInsAreSpreadToo(t *testing.T) {
	var times []time.Duration
	for seed := range uint64(1000) {
		rules := usual
		rules.SubsetSize = 1
		b := newBalancer(rules, seed, 4)
		now := 10 * time.Second
		connect(b, now)
		for _, p := range b.proxies {
			lose(b, p, now)
		}
		times = append(times, firstDial(t, b, now)-now)
	}
	// The first of four times drawn evenly: most of them come early, by twice to four times the mean.
	if most, mean := busiest(times, 50*ms, time.Second); float64(most) > 5*mean {
		t.Fatalf("%d in the busiest 50 ms, %.1f in the mean", most, mean)
	}
}

// Invariant 4.
func TestProxyThatRefusesIsHeld(t *testing.T) {
	b := newBalancer(Settings{SubsetSize: 1, MaxConns: 1, PipelineDepth: 32, ReconnectSpread: ms, MaxReconnectSpread: ms}, 1, 1)
	connect(b, 0)
	p := b.proxies[0]
	for i := range 3 {
		if c := b.Choose(0, nil); c.Kind != Send {
			t.Fatalf("refusal %d: %+v", i, c)
		}
		b.RequestSent(p)
		b.RequestEnded(p, 0, false, true, time.Second)
	}
	c := b.Choose(900*ms, nil)
	if c.Kind != AllRejecting || c.RetryAt < time.Second || c.RetryAt > 1250*ms {
		t.Fatalf("after three refusals: %+v", c)
	}
	if c = b.Choose(c.RetryAt, nil); c.Kind != Send {
		t.Fatalf("at the advised time: %+v", c)
	}
	b.RequestSent(p)
	if c = b.Choose(1300*ms, nil); c.Kind != Wait {
		t.Fatalf("while one asks: %+v", c)
	}
	b.RequestEnded(p, 1300*ms, false, true, time.Second)
	if c = b.Choose(1400*ms, nil); c.Kind != AllRejecting {
		t.Fatalf("refused once more: %+v", c)
	}
	b.RequestSent(p)
	b.RequestEnded(p, 3*time.Second, false, false, 0)
	for range 5 {
		if c = b.Choose(3*time.Second, nil); c.Kind != Send {
			t.Fatalf("served again: %+v", c)
		}
		b.RequestSent(p)
	}
}

// A list that empties changes nothing; one that shrinks stops new requests at once.
func TestListsThatChange(t *testing.T) {
	b := newBalancer(usual, 1, 3)
	connect(b, 0)
	if b.Update(0, nil) || len(addresses(b)) != 3 {
		t.Fatal("an empty list was believed")
	}
	gone := b.proxies[0]
	keep := []string{b.proxies[1].Address, b.proxies[2].Address}
	if !b.Update(0, keep) || !gone.IsRemoved() {
		t.Fatal("not gone")
	}
	for range 100 {
		if b.Choose(0, nil).Proxy == gone {
			t.Fatal("one that has left the list was chosen")
		}
	}
	lose(b, gone, 0)
	b.Update(0, keep)
	if len(b.proxies) != 2 {
		t.Fatal("one that has left is kept for good")
	}
}

// Random lives: counts never go below zero nor over their bounds, nothing is sent to one
// without room or off the list, and whoever waits is told a time or has something to wait for.
func TestRandomLives(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		rules := Settings{SubsetSize: 1 + rng.IntN(4), MaxConns: 1 + rng.IntN(3), PipelineDepth: 1 + rng.IntN(4), StartSpread: time.Duration(rng.IntN(2)) * time.Second,
			ReconnectSpread: time.Second, MaxReconnectSpread: 4 * time.Second}
		b := newBalancer(rules, seed, 1+rng.IntN(6))
		now := time.Duration(0)
		for range 500 {
			now += time.Duration(rng.IntN(200)) * ms
			p := b.proxies[rng.IntN(len(b.proxies))]
			switch rng.IntN(8) {
			case 0, 1, 2:
				c := b.Choose(now, p)
				switch c.Kind {
				case Send:
					if c.Proxy.gone || c.Proxy.open >= c.Proxy.conns*rules.PipelineDepth {
						t.Fatalf("seed %d: sent without room", seed)
					}
					b.RequestSent(c.Proxy)
				case Dial:
					if c.Proxy.gone || c.Proxy.dialAt > now {
						t.Fatalf("seed %d: dialled before its time", seed)
					}
					b.DialStarted(c.Proxy)
				case Wait:
					busy := slices.ContainsFunc(b.proxies, func(p *Proxy) bool { return p.open+p.dialing+p.closing+p.conns > 0 })
					if c.RetryAt <= now || c.RetryAt > now+time.Hour && !busy {
						t.Fatalf("seed %d: waits for %v at %v for nothing", seed, c.RetryAt, now)
					}
				}
			case 3:
				if p.open > 0 {
					b.RequestEnded(p, now, rng.IntN(4) == 0, rng.IntN(2) == 0, time.Duration(rng.IntN(1000))*ms)
				}
			case 4, 5:
				if p.dialing > 0 {
					b.DialEnded(p, now, rng.IntN(3) > 0)
				}
			case 6:
				if p.conns > 0 {
					b.ConnDraining(p)
				} else if p.closing > 0 {
					b.ConnClosed(p, now, rng.IntN(2) == 0)
				}
			case 7:
				list := addresses(b)
				if rng.IntN(2) == 0 && len(list) > 1 {
					list = list[1:]
				} else {
					list = append(list, fmt.Sprintf("10.1.0.%d:1", rng.IntN(5)))
				}
				b.Update(now, list)
			}
			for _, p := range b.proxies {
				if p.open < 0 || p.conns < 0 || p.closing < 0 || p.dialing < 0 || p.conns+p.closing+p.dialing > rules.MaxConns {
					t.Fatalf("seed %d: %+v", seed, p)
				}
			}
		}
	}
}
