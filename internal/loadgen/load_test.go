package loadgen

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/fake/scriptednode"
)

func play(t *testing.T, c Config, react func(int, scriptednode.ReceivedRequest) scriptednode.Reaction) (*Result, []scriptednode.ReceivedRequest) {
	t.Helper()
	ns, err := scriptednode.Start(scriptednode.Meta, 2, react)
	if err != nil {
		t.Fatal(err)
	}
	defer ns.Close()
	c.Addresses = []string{ns.Address(0), ns.Address(1)}
	c.Clients, c.Rate, c.HandoverShare, c.Keys, c.Skew, c.Seed = 20, 200, 0.2, 100, 1.1, 5
	if c.Phases == nil {
		c.Phases = []Phase{{"first", 500 * time.Millisecond}, {"second", 500 * time.Millisecond}}
	}
	r, err := Run(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	return r, ns.Requests()
}

// Both kinds are counted alike: what was offered has one end each, and tries are those that
// proxies saw, and those of a pipeline that was cut before its end.
func TestFiguresAddUp(t *testing.T) {
	for _, kind := range []Kind{Library, Naive} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			r, asked := play(t, Config{Kind: kind}, func(number int, _ scriptednode.ReceivedRequest) scriptednode.Reaction {
				return []scriptednode.Reaction{scriptednode.Serve, scriptednode.Serve, scriptednode.Serve, scriptednode.Busy, scriptednode.Fail, scriptednode.Miss, scriptednode.Reset}[number%7]
			})
			tries, handovers, offered := 0, 0, 0
			for _, f := range r.Phases {
				if f.Offered < 50 || f.Offered != f.InTime+f.Late+f.Refused+f.Failed+f.Unknown || f.Dials == 0 || f.DialsBusiest50ms < 1 || f.P50 <= 0 {
					t.Errorf("%+v", f)
				}
				tries, handovers, offered = tries+f.Tries, handovers+f.Handovers, offered+f.Offered
			}
			writes := 0
			keys := map[string]string{}
			for _, a := range asked {
				if a.Value != "" {
					writes++
					if was, ok := keys[a.Value]; ok && was != a.Idempotency || !strings.HasPrefix(a.Value, strings.ToUpper(string(kind[:1]))) {
						t.Fatalf("%q under %q and %q", a.Value, was, a.Idempotency)
					}
					keys[a.Value] = a.Idempotency
				}
			}
			if tries < len(asked) || kind == Naive && tries != len(asked) || tries <= offered || handovers < len(keys) || kind == Naive && handovers != len(keys) || writes < len(keys) {
				t.Errorf("%d tries, %d seen, %d offered; %d handovers, %d seen", tries, len(asked), offered, handovers, len(keys))
			}
		})
	}
}

// A proxy that takes a request and never answers it, or ends its connection, is found out;
// one that closes between requests is not.
func TestLostRequestsAreSeen(t *testing.T) {
	for name, c := range map[string]struct {
		reaction scriptednode.Reaction
		seen     bool
		lost     bool
	}{"well": {scriptednode.Serve, true, false}, "silent": {scriptednode.Hang, true, true}, "closes": {scriptednode.Reset, true, true}, "crossed": {scriptednode.Reset, false, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			served := map[int]int{}
			r, _ := play(t, Config{Kind: Library, SeenByNode: func(string) bool { return c.seen }}, func(_ int, a scriptednode.ReceivedRequest) scriptednode.Reaction {
				mu.Lock()
				defer mu.Unlock()
				if served[a.Node]++; served[a.Node] == 20 {
					return c.reaction
				}
				return scriptednode.Serve
			})
			lost, crossed := 0, 0
			for _, f := range r.Phases {
				lost, crossed = lost+f.Lost, crossed+f.CrossedClose
			}
			if name == "crossed" { // what was first on its connection can't have crossed a close
				lost -= strings.Count(strings.Join(r.LostSamples, " "), "used before: false")
				crossed += len(r.LostSamples)
			}
			if (lost > 0) != c.lost || (crossed > 0) != (name == "crossed") {
				t.Errorf("%d lost, %d crossed: %q", lost, crossed, r.LostSamples)
			}
		})
	}
}

func TestBusiest(t *testing.T) {
	times := []time.Duration{100, 0, 10, 51, 99, 200, 149}
	if n := busiest(slices.Clone(times), 50); n != 3 { // 100, 99, 51 and 149, 100
		t.Fatal(n)
	}
	if n := busiest(nil, 50); n != 0 {
		t.Fatal(n)
	}
}

func TestLoadIsBounded(t *testing.T) {
	good := Config{Kind: Naive, Addresses: []string{"127.0.0.1:1"}, Clients: 1, Rate: 1, Phases: []Phase{{"a", time.Second}}, Keys: 1, Skew: 1.1}
	if err := good.check(); err != nil {
		t.Fatal(err)
	}
	for _, change := range []func(*Config){
		func(c *Config) { c.Kind = "rude" }, func(c *Config) { c.Addresses = nil }, func(c *Config) { c.Clients = 10001 }, func(c *Config) { c.Rate = 20001 },
		func(c *Config) { c.Rate = 0 }, func(c *Config) { c.Phases = nil }, func(c *Config) { c.Phases = []Phase{{"a", 2 * time.Hour}} },
		func(c *Config) { c.HandoverShare = 1.1 }, func(c *Config) { c.Skew = 1 }, func(c *Config) { c.Keys = 0 },
	} {
		c := good
		change(&c)
		if _, err := Run(context.Background(), c); err == nil {
			t.Errorf("%+v was taken", c)
		}
	}
}
