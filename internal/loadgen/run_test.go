package loadgen

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/fake/scriptednode"
)

// reaction returns how the scripted proxies react to a request. number counts the requests at all proxies.
type reaction = func(number int, r scriptednode.ReceivedRequest) scriptednode.Reaction

// runLoad sends a load of one second to two scripted proxies. It returns the result and the requests that the proxies
// received.
func runLoad(t *testing.T, c Config, react reaction) (*Result, []scriptednode.ReceivedRequest) {
	t.Helper()
	proxies, err := scriptednode.Start(scriptednode.Meta, 2, react)
	if err != nil {
		t.Fatal(err)
	}
	defer proxies.Close()
	c.Addresses = []string{proxies.Address(0), proxies.Address(1)}
	c.Clients = 20
	c.Rate = 200
	c.HandoverShare = 0.2
	c.Keys = 100
	c.Skew = 1.1
	c.Seed = 5
	c.Phases = []Phase{{"first", 500 * time.Millisecond}, {"second", 500 * time.Millisecond}}
	r, err := Run(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	return r, proxies.Requests()
}

// reactInTurn cycles through several reactions.
func reactInTurn(number int, _ scriptednode.ReceivedRequest) scriptednode.Reaction {
	reactions := []scriptednode.Reaction{
		scriptednode.Serve, scriptednode.Serve, scriptednode.Serve, scriptednode.Busy, scriptednode.Fail,
		scriptednode.Miss, scriptednode.Reset,
	}
	return reactions[number%len(reactions)]
}

// TestCountsAddUp checks the counts for both kinds of clients: each offered request has one outcome, and each try was
// received by a proxy or, with pipelining, sent on a connection that ended before the proxy read the try.
func TestCountsAddUp(t *testing.T) {
	for _, kind := range []Kind{Library, Naive} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			r, received := runLoad(t, Config{Kind: kind}, reactInTurn)
			tries, handovers, offered := 0, 0, 0
			for _, p := range r.Phases {
				checkPhase(t, p)
				tries += p.Tries
				handovers += p.Handovers
				offered += p.Offered
			}
			writes, values := countWrites(t, kind, received)
			exact := kind == Naive // naive clients do not pipeline
			if tries < len(received) || exact && tries != len(received) || tries <= offered {
				t.Errorf("%d tries, %d received, %d offered", tries, len(received), offered)
			}
			if handovers < values || exact && handovers != values || writes < values {
				t.Errorf("%d handovers, %d received in %d writes", handovers, values, writes)
			}
		})
	}
}

func checkPhase(t *testing.T, p PhaseResult) {
	t.Helper()
	if p.Offered < 50 || p.Offered != p.InTime+p.Late+p.Refused+p.Failed+p.Unknown {
		t.Errorf("outcomes do not add up: %+v", p)
	}
	if p.Dials == 0 || p.DialsBusiest50ms < 1 || p.P50 <= 0 {
		t.Errorf("%+v", p)
	}
}

// countWrites counts the writes that proxies received and their different values, and checks that each value has one
// idempotency key.
func countWrites(t *testing.T, kind Kind, received []scriptednode.ReceivedRequest) (writes, values int) {
	t.Helper()
	keys := map[string]string{}
	for _, r := range received {
		if r.Value == "" {
			continue
		}
		writes++
		before, known := keys[r.Value]
		if known && before != r.IdempotencyKey || !strings.HasPrefix(r.Value, strings.ToUpper(string(kind[:1]))) {
			t.Fatalf("%q under %q and %q", r.Value, before, r.IdempotencyKey)
		}
		keys[r.Value] = r.IdempotencyKey
	}
	return writes, len(keys)
}

// TestLostRequestsAreDetected checks that requests are counted as lost if a proxy receives them and then does not
// answer or closes the connection, and not if it closes an idle connection.
func TestLostRequestsAreDetected(t *testing.T) {
	for name, c := range map[string]struct {
		reaction scriptednode.Reaction
		seen     bool
		lost     bool
	}{
		"well":    {scriptednode.Serve, true, false},
		"silent":  {scriptednode.Hang, true, true},
		"closes":  {scriptednode.Reset, true, true},
		"crossed": {scriptednode.Reset, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config := Config{Kind: Library, SeenByNode: func(string) bool { return c.seen }}
			r, _ := runLoad(t, config, onceAtEach(c.reaction))
			lost, crossed := 0, 0
			for _, p := range r.Phases {
				lost += p.Lost
				crossed += p.CrossedClose
			}
			if name == "crossed" { // the first request on a connection cannot cross a close
				lost -= strings.Count(strings.Join(r.LostSamples, " "), "used before: false")
				crossed += len(r.LostSamples)
			}
			if (lost > 0) != c.lost || (crossed > 0) != (name == "crossed") {
				t.Errorf("%d lost, %d crossed: %q", lost, crossed, r.LostSamples)
			}
		})
	}
}

// onceAtEach returns a reaction that reacts with special to the twentieth request at each proxy and serves all others.
func onceAtEach(special scriptednode.Reaction) reaction {
	var mu sync.Mutex
	received := map[int]int{}
	return func(_ int, r scriptednode.ReceivedRequest) scriptednode.Reaction {
		mu.Lock()
		defer mu.Unlock()
		received[r.Node]++
		if received[r.Node] == 20 {
			return special
		}
		return scriptednode.Serve
	}
}
