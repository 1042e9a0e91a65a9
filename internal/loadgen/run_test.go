package loadgen

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/fake/scriptednode"
)

// reaction is what scripted proxies do with a request, by its number over all of them.
type reaction = func(number int, r scriptednode.ReceivedRequest) scriptednode.Reaction

// play puts a load of a second on two scripted proxies, and returns the result with the requests that they received.
func play(t *testing.T, c Config, react reaction) (*Result, []scriptednode.ReceivedRequest) {
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

// reactInTurn goes through several reactions.
func reactInTurn(number int, _ scriptednode.ReceivedRequest) scriptednode.Reaction {
	reactions := []scriptednode.Reaction{
		scriptednode.Serve, scriptednode.Serve, scriptednode.Serve, scriptednode.Busy, scriptednode.Fail,
		scriptednode.Miss, scriptednode.Reset,
	}
	return reactions[number%len(reactions)]
}

// Both kinds are counted alike: every offered request has one end, and tries are those that proxies received and those
// of a pipeline that ended before them.
func TestCountsAddUp(t *testing.T) {
	for _, kind := range []Kind{Library, Naive} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			r, received := play(t, Config{Kind: kind}, reactInTurn)
			tries, handovers, offered := 0, 0, 0
			for _, p := range r.Phases {
				checkPhase(t, p)
				tries += p.Tries
				handovers += p.Handovers
				offered += p.Offered
			}
			writes, values := countWrites(t, kind, received)
			exact := kind == Naive // which pipelines nothing
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
		t.Errorf("ends don't add up: %+v", p)
	}
	if p.Dials == 0 || p.DialsBusiest50ms < 1 || p.P50 <= 0 {
		t.Errorf("%+v", p)
	}
}

// countWrites counts the writes that proxies received and their different values, each of which has one idempotency
// key.
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

// A proxy that receives a request and never answers it, or ends its connection, is detected; one that closes between
// requests is not blamed.
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
			r, _ := play(t, config, onceAtEach(c.reaction))
			lost, crossed := 0, 0
			for _, p := range r.Phases {
				lost += p.Lost
				crossed += p.CrossedClose
			}
			if name == "crossed" { // the first request on a connection can't have crossed a close
				lost -= strings.Count(strings.Join(r.LostSamples, " "), "used before: false")
				crossed += len(r.LostSamples)
			}
			if (lost > 0) != c.lost || (crossed > 0) != (name == "crossed") {
				t.Errorf("%d lost, %d crossed: %q", lost, crossed, r.LostSamples)
			}
		})
	}
}

// onceAtEach reacts in a way to the twentieth request at each proxy, and serves the others.
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
