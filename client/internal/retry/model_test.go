package retry

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

var histories = flag.Int("histories", 10000, "random histories of handovers to check")

// world is a service under virtual time: nodes that drop repeats of a key for a window, one
// record whose effects are counted, and tries that meet every fate.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	queue  events
	seen   map[int]*entry // by idempotency key
	record int            // effects
	times  map[int]int    // effects by key
	window time.Duration
	ops    []porcupine.Operation
}

type entry struct {
	since   time.Duration
	done    bool
	waiting []func()
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (w *world) after(d time.Duration, do func()) { heap.Push(&w.queue, event{w.now + d, do}) }
func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d) + 1))
}

// begin is a request that a node begins. done is called once its effect was had, by it
// or by the one that it repeats.
func (w *world) begin(key int, done func()) {
	if e := w.seen[key]; e != nil && w.now-e.since < w.window {
		if e.done {
			done()
		} else {
			e.waiting = append(e.waiting, done)
		}
		return
	}
	e := &entry{since: w.now, waiting: []func(){done}}
	w.seen[key] = e
	work := w.upTo(300 * ms)
	if w.rng.IntN(4) == 0 {
		work = w.upTo(3000 * ms)
	}
	fails := w.rng.IntN(10) == 0
	w.after(work, func() {
		if fails { // no effect, and forgotten
			if w.seen[key] == e {
				delete(w.seen, key)
			}
			return
		}
		w.record++
		w.times[key]++
		e.done = true
		for _, done := range e.waiting {
			done()
		}
	})
}

// try is one try at a proxy; ended is told its outcome once.
func (w *world) try(key int, wait time.Duration, ended func(Outcome, time.Duration)) {
	over := false
	end := func(o Outcome, advice time.Duration) {
		if !over {
			over = true
			ended(o, advice)
		}
	}
	w.after(wait, func() { end(TimedOut, 0) })
	fate := w.rng.IntN(10)
	switch fate {
	case 0:
		advice := time.Duration(0)
		if w.rng.IntN(2) == 0 {
			advice = w.upTo(1000 * ms)
		}
		w.after(w.upTo(wait), func() { end(Rejected, advice) })
		return
	case 1:
		w.after(w.upTo(20*ms), func() { end(NotSent, 0) })
		return
	case 2: // the answer is lost, at any time
		w.after(w.upTo(wait), func() { end(ConnectionLost, 0) })
	case 3:
		w.after(w.upTo(wait), func() { end(Failed, 0) })
	case 4: // lost at once, while the node is still to begin it
		w.after(w.upTo(ms), func() { end(ConnectionLost, 0) })
	case 5:
		w.after(w.upTo(wait), func() { end(MalformedAnswer, 0) })
	}
	// The proxy may have several nodes begin it, the last just before it gives up, and a network that
	// is slow by less than the margin.
	for range 1 + w.rng.IntN(2) {
		late := w.upTo(min(wait, 100*ms))
		if fate >= 2 && fate <= 6 {
			late = w.upTo(wait + 90*ms)
		}
		w.after(late, func() {
			w.begin(key, func() { w.after(w.upTo(5*ms), func() { end(Served, 0) }) })
		})
	}
}

const (
	opRead = iota
	opHandover
)

type output struct {
	end   Result
	count int
}

// history plays some clients that hand over and read one record, and returns what they saw.
func history(seed uint64, rules *Policy) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 9)), seen: make(map[int]*entry), times: make(map[int]int), window: 1500 * ms}
	key := 0
	for client := range 2 + w.rng.IntN(2) {
		budget := &Budget{Ratio: 1, Burst: 10, saved: 10}
		left := 2 + w.rng.IntN(3)
		var next func()
		next = func() {
			if left--; left < 0 {
				return
			}
			call := w.now
			if w.rng.IntN(3) == 0 { // of the truth, at once
				w.ops = append(w.ops, porcupine.Operation{ClientId: client, Input: opRead, Call: int64(call), Return: int64(call + 1),
					Output: output{count: w.record}})
				w.after(w.upTo(500*ms)+2, next)
				return
			}
			key++
			mine := key
			r := NewRequest(rules, Keyed, 0, w.now+2500*ms)
			finish := func(end Result) {
				until := w.now
				if end == ResultUnknown {
					until = w.now + time.Hour // it may take effect at any time from its call on
				}
				w.ops = append(w.ops, porcupine.Operation{ClientId: client, Input: opHandover, Call: int64(call), Return: int64(until),
					Output: output{end: end}})
				if end == ResultUnknown { // who waits for an hour is another client
					client += 10
				}
				w.after(w.upTo(800*ms)+2, next)
			}
			var send func()
			send = func() {
				wait, ok := r.StartAttempt(at(w.now), budget.CanAfford(Keyed))
				if !ok {
					finish(r.GiveUp(NotSent, 0).Result)
					return
				}
				w.try(mine, wait, func(o Outcome, advice time.Duration) {
					v := r.AttemptEnded(at(w.now), o, advice, budget, w.rng)
					if v.Result != ResultPending {
						finish(v.Result)
						return
					}
					w.after(v.Backoff, send)
				})
			}
			send()
		}
		w.after(w.upTo(1000*ms), next)
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	return w
}

// record is what one record does: served handovers count once, refused ones not at all, unknown
// ones perhaps; reads see the count.
var record = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, out any) []any {
		n, o := state.(int), out.(output)
		switch {
		case input == opRead && n == o.count:
			return []any{n}
		case input == opRead:
			return nil
		case o.end == ResultServed:
			return []any{n + 1}
		case o.end == ResultUnknown:
			return []any{n, n + 1}
		}
		return []any{n}
	},
}

// broken counts, over many histories, those that no order explains, and the handovers that
// took effect twice.
func broken(t *testing.T, n int, rules *Policy) (unexplained, doubled, unknown int) {
	model := record.ToModel()
	for seed := range n {
		w := history(uint64(seed), rules)
		for _, times := range w.times {
			if times > 1 {
				doubled++
			}
		}
		for _, op := range w.ops {
			if op.Input == opHandover && op.Output.(output).end == ResultUnknown {
				unknown++
			}
		}
		switch porcupine.CheckOperationsTimeout(model, w.ops, 10*time.Second) {
		case porcupine.Illegal:
			unexplained++
		case porcupine.Unknown:
			t.Fatalf("history %d was not judged in time", seed)
		}
	}
	return unexplained, doubled, unknown
}

// Handovers under every fate of their tries: none takes effect twice, and each history has
// an order that explains it.
func TestHandoversAreLinearisable(t *testing.T) {
	unexplained, doubled, unknown := broken(t, *histories, &DefaultPolicy)
	if unexplained+doubled > 0 {
		t.Fatalf("of %d histories %d are not linearisable; %d handovers took effect twice", *histories, unexplained, doubled)
	}
	if unknown == 0 {
		t.Fatal("no handover ended unknown: the faults are too kind")
	}
}

// The check sees what it looks for: with a window thought to be longer than it is, and with
// no margin for the network, handovers take effect twice.
func TestCheckSeesDoubleHandovers(t *testing.T) {
	long := DefaultPolicy
	long.DedupWindow = 3 * time.Second
	if unexplained, doubled, _ := broken(t, 500, &long); doubled == 0 || unexplained == 0 {
		t.Fatalf("%d doubled, %d histories unexplained with a window of 3 s", doubled, unexplained)
	}
	bare := DefaultPolicy
	bare.SafetyMargin = 0
	if _, doubled, _ := broken(t, 5000, &bare); doubled == 0 {
		t.Fatal("none doubled without a margin")
	}
}
