package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

var usualSettings = Settings{
	SubsetSize:         3,
	MaxConns:           4,
	PipelineDepth:      32,
	ReconnectSpread:    time.Second,
	MaxReconnectSpread: 4 * time.Second,
}

// newBalancer returns a balancer with the given number of proxies.
func newBalancer(settings Settings, seed uint64, proxies int) *Balancer {
	b := New(settings, rand.New(rand.NewPCG(seed, 1)))
	var list []string
	for i := range proxies {
		list = append(list, fmt.Sprintf("10.0.0.%d:11211", i))
	}
	b.Update(0, list)
	return b
}

// addresses returns the current list.
func addresses(b *Balancer) (list []string) {
	for _, p := range b.proxies {
		if !p.removed {
			list = append(list, p.Address)
		}
	}
	return list
}

// connect opens one connection to each proxy that can be chosen at now.
func connect(b *Balancer, now time.Duration) {
	for range 100 {
		c := b.Choose(now, nil)
		if c.Kind == Dial {
			b.DialStarted(c.Proxy)
			b.DialSucceeded(c.Proxy)
			continue
		}
		if c.Kind == Send {
			b.RequestSent(c.Proxy) // so that the others are chosen too
		}
	}
	for _, p := range b.proxies {
		p.inFlight = 0
	}
}

// TestSubsetsAreEvenAndStable checks that many clients with three proxies each use forty proxies evenly, and that a
// proxy that joins moves few of the clients (invariant 1).
func TestSubsetsAreEvenAndStable(t *testing.T) {
	uses := map[string]int{}
	moved := 0
	for seed := range uint64(2000) {
		b := newBalancer(usualSettings, seed, 40)
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
		if n < 100 || n > 200 { // 150 expected, plus or minus four standard deviations
			t.Fatalf("uses of a proxy: %d, want about 150", n)
		}
	}
	if len(uses) != 40 || moved > 2*2000*3/41 {
		t.Fatalf("%d proxies used, %d places moved", len(uses), moved)
	}
}

// TestChoiceByRequestsInFlightAndFailures checks that the choice between two proxies depends on the requests in flight
// and on recent failures (invariant 2).
func TestChoiceByRequestsInFlightAndFailures(t *testing.T) {
	settings := Settings{SubsetSize: 2, MaxConns: 1, PipelineDepth: 1000, ReconnectSpread: ms, MaxReconnectSpread: ms}
	b := newBalancer(settings, 1, 2)
	connect(b, 0)
	p, q := b.proxies[0], b.proxies[1]
	for range 100 {
		b.RequestSent(b.Choose(0, nil).Proxy)
	}
	if p.inFlight != 50 || q.inFlight != 50 {
		t.Fatalf("%d and %d in flight", p.inFlight, q.inFlight)
	}
	b.RequestEnded(p, 0, Failed, 0)
	for range 50 {
		if got := b.Choose(ms, nil).Proxy; got != q {
			t.Fatal("the proxy that has just failed was chosen")
		}
	}
	for range 10 {
		b.RequestSent(q)
	}
	if got := b.Choose(10*time.Second, nil).Proxy; got != p {
		t.Fatal("a failure still counts after ten seconds")
	}
	if got := b.Choose(10*time.Second, p).Proxy; got != q {
		t.Fatal("the proxy to avoid was chosen")
	}
}

// loseConnections simulates that a proxy closes all its connections.
func loseConnections(b *Balancer, p *Proxy, now time.Duration) {
	for p.conns > 0 {
		b.ConnDraining(p)
		b.ConnLost(p, now)
	}
}

// TestLowLoadUsesOneConnection checks that a client with few requests needs only one connection, since proxies with
// idle connections are preferred (invariant 2).
func TestLowLoadUsesOneConnection(t *testing.T) {
	b := newBalancer(usualSettings, 1, 3)
	for range 100 {
		c := b.Choose(0, nil)
		for c.Kind == Dial {
			b.DialStarted(c.Proxy)
			b.DialSucceeded(c.Proxy)
			c = b.Choose(0, nil)
		}
		b.RequestSent(c.Proxy)
		b.RequestEnded(c.Proxy, 0, Answered, 0)
	}
	conns := 0
	for _, p := range b.proxies {
		conns += p.conns
	}
	if conns != 1 {
		t.Fatalf("%d connections", conns)
	}
}

// busiest returns the largest number of times that lie within one span, and the average number per span.
func busiest(times []time.Duration, span, total time.Duration) (highest int, mean float64) {
	slices.Sort(times)
	for i, j := 0, 0; j < len(times); j++ {
		for times[j]-times[i] >= span {
			i++
		}
		highest = max(highest, j-i+1)
	}
	return highest, float64(len(times)) * float64(span) / float64(total)
}

// firstDial returns when a client that always has a request to send opens its next connection.
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

// TestReconnectsAreSpread checks that a thousand clients that lose their only proxy, or start, at the same moment
// spread their dials over the span (invariant 3).
func TestReconnectsAreSpread(t *testing.T) {
	for name, lost := range map[string]bool{"restart": true, "cold start": false} {
		var times []time.Duration
		for seed := range uint64(1000) {
			settings := usualSettings
			settings.StartSpread = time.Second
			b := newBalancer(settings, seed, 1)
			now := time.Duration(0)
			if lost {
				now = 10 * time.Second
				connect(b, now)
				loseConnections(b, b.proxies[0], now)
			}
			times = append(times, firstDial(t, b, now)-now)
		}
		highest, mean := busiest(times, 50*ms, time.Second)
		if float64(highest) > 2*mean || slices.Max(times) > time.Second {
			t.Fatalf("%s: %d in the busiest 50 ms, %.1f on average", name, highest, mean)
		}
	}
}

// TestFailedDialsDoubleTheSpan checks that each failed dial doubles the span of the next one, up to its bound
// (invariant 3).
func TestFailedDialsDoubleTheSpan(t *testing.T) {
	var spans []time.Duration
	for range 6 {
		spans = append(spans, 0)
	}
	for seed := range uint64(500) {
		b := newBalancer(usualSettings, seed, 1)
		now := time.Duration(0)
		for i := range spans {
			b.DialStarted(b.proxies[0])
			b.DialFailed(b.proxies[0], now)
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

// TestUnreachableProxyDelaysNothing checks that a proxy that is down at the start does not delay the dials of the
// others, and that after one failed dial to each proxy no proxy is dialed before a common time.
func TestUnreachableProxyDelaysNothing(t *testing.T) {
	b := newBalancer(usualSettings, 1, 3)
	for i := range 3 {
		c := b.Choose(0, nil)
		if c.Kind != Dial {
			t.Fatalf("dial %d: %+v", i, c)
		}
		b.DialStarted(c.Proxy)
		b.DialFailed(c.Proxy, 0)
	}
	c := b.Choose(0, nil)
	if c.Kind != Wait || c.RetryAt <= 0 || c.RetryAt > time.Second {
		t.Fatalf("after a round of failed dials: %+v", c)
	}
	for _, p := range b.proxies {
		if p.dialNotBefore < c.RetryAt {
			t.Fatalf("%s may be dialed at %v, before %v", p.Address, p.dialNotBefore, c.RetryAt)
		}
	}
}

// TestDialsOfReplacementsAreSpread checks that the proxies that replace a lost one are not dialed at the same time by
// all clients that lost it (invariant 3).
func TestDialsOfReplacementsAreSpread(t *testing.T) {
	var times []time.Duration
	for seed := range uint64(1000) {
		settings := usualSettings
		settings.SubsetSize = 1
		b := newBalancer(settings, seed, 4)
		now := 10 * time.Second
		connect(b, now)
		for _, p := range b.proxies {
			loseConnections(b, p, now)
		}
		times = append(times, firstDial(t, b, now)-now)
	}
	// Each time is the first of four uniform times, so most are early: the busiest span has two to four times the mean.
	if highest, mean := busiest(times, 50*ms, time.Second); float64(highest) > 5*mean {
		t.Fatalf("%d in the busiest 50 ms, %.1f on average", highest, mean)
	}
}

// TestRejectingProxyIsBlocked checks that a proxy that rejects three requests in a row is blocked until its Retry-After
// has passed, and then gets a single request first (invariant 4).
func TestRejectingProxyIsBlocked(t *testing.T) {
	settings := Settings{SubsetSize: 1, MaxConns: 1, PipelineDepth: 32, ReconnectSpread: ms, MaxReconnectSpread: ms}
	b := newBalancer(settings, 1, 1)
	connect(b, 0)
	p := b.proxies[0]
	for i := range 3 {
		if c := b.Choose(0, nil); c.Kind != Send {
			t.Fatalf("rejection %d: %+v", i, c)
		}
		b.RequestSent(p)
		b.RequestEnded(p, 0, Rejected, time.Second)
	}
	c := b.Choose(900*ms, nil)
	if c.Kind != AllRejecting || c.RetryAt < time.Second || c.RetryAt > 1250*ms {
		t.Fatalf("after three rejections: %+v", c)
	}
	if c = b.Choose(c.RetryAt, nil); c.Kind != Send {
		t.Fatalf("at the advised time: %+v", c)
	}
	b.RequestSent(p)
	if c = b.Choose(1300*ms, nil); c.Kind != Wait {
		t.Fatalf("while a single request is in flight: %+v", c)
	}
	b.RequestEnded(p, 1300*ms, Rejected, time.Second)
	if c = b.Choose(1400*ms, nil); c.Kind != AllRejecting {
		t.Fatalf("rejected once more: %+v", c)
	}
	b.RequestSent(p)
	b.RequestEnded(p, 3*time.Second, Answered, 0)
	for range 5 {
		if c = b.Choose(3*time.Second, nil); c.Kind != Send {
			t.Fatalf("served again: %+v", c)
		}
		b.RequestSent(p)
	}
}

// TestListChangesAreFollowed checks that an empty list changes nothing, and that a proxy that leaves the list gets no
// new requests from then on.
func TestListChangesAreFollowed(t *testing.T) {
	b := newBalancer(usualSettings, 1, 3)
	connect(b, 0)
	if b.Update(0, nil) || len(addresses(b)) != 3 {
		t.Fatal("an empty list was put into force")
	}
	removed := b.proxies[0]
	keep := []string{b.proxies[1].Address, b.proxies[2].Address}
	if !b.Update(0, keep) || !removed.IsRemoved() {
		t.Fatal("not removed")
	}
	for range 100 {
		if b.Choose(0, nil).Proxy == removed {
			t.Fatal("a removed proxy was chosen")
		}
	}
	loseConnections(b, removed, 0)
	b.Update(0, keep)
	if len(b.proxies) != 2 {
		t.Fatal("a removed proxy without connections is still known")
	}
}
