package retry

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

var histories = flag.Int("histories", 10000, "random histories of writes to check")

// simulation simulates a service in virtual time: nodes that drop duplicates of a key for a dedup window, one record
// whose effects are counted, and attempts that fail in every way.
type simulation struct {
	rng         *rand.Rand
	now         time.Duration
	queue       eventQueue
	writes      map[int]*trackedWrite // by idempotency key
	effects     int
	effectsByID map[int]int
	dedupWindow time.Duration
	operations  []porcupine.Operation
}

// trackedWrite is what nodes remember of a write.
type trackedWrite struct {
	startedAt time.Duration
	done      bool
	waiting   []func() // called when the write takes effect; all but the first belong to duplicates
}

type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *simulation) after(d time.Duration, do func()) { heap.Push(&s.queue, event{s.now + d, do}) }

// upTo draws a duration from 0 to d.
func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d) + 1))
}

// startWrite has a node start a write. It calls done once the write, or the one of which it is a duplicate, has taken
// effect.
func (s *simulation) startWrite(key int, done func()) {
	if w := s.writes[key]; w != nil && s.now-w.startedAt < s.dedupWindow {
		if w.done {
			done()
		} else {
			w.waiting = append(w.waiting, done)
		}
		return
	}
	w := &trackedWrite{startedAt: s.now, waiting: []func(){done}}
	s.writes[key] = w
	work := s.upTo(300 * ms)
	if s.rng.IntN(4) == 0 {
		work = s.upTo(3000 * ms)
	}
	fails := s.rng.IntN(10) == 0
	s.after(work, func() {
		if fails { // the write has no effect, and nodes forget its key
			if s.writes[key] == w {
				delete(s.writes, key)
			}
			return
		}
		s.effects++
		s.effectsByID[key]++
		w.done = true
		for _, done := range w.waiting {
			done()
		}
	})
}

// attempt simulates one attempt at a proxy. It calls ended once, with the outcome.
func (s *simulation) attempt(key int, wait time.Duration, ended func(Outcome, time.Duration)) {
	reported := false
	end := func(o Outcome, retryAfter time.Duration) {
		if !reported {
			reported = true
			ended(o, retryAfter)
		}
	}
	s.after(wait, func() { end(TimedOut, 0) })
	failureMode := s.rng.IntN(10)
	switch failureMode {
	case 0:
		retryAfter := time.Duration(0)
		if s.rng.IntN(2) == 0 {
			retryAfter = s.upTo(1000 * ms)
		}
		s.after(s.upTo(wait), func() { end(Rejected, retryAfter) })
		return
	case 1:
		s.after(s.upTo(20*ms), func() { end(NotSent, 0) })
		return
	case 2: // the connection is lost at any time
		s.after(s.upTo(wait), func() { end(ConnectionLost, 0) })
	case 3:
		s.after(s.upTo(wait), func() { end(Failed, 0) })
	case 4: // the connection is lost immediately, before a node starts the write
		s.after(s.upTo(ms), func() { end(ConnectionLost, 0) })
	case 5:
		s.after(s.upTo(wait), func() { end(MalformedAnswer, 0) })
	}
	// The proxy may have two nodes start the write, the second one just before it gives up, over a network whose delay
	// is less than the safety margin.
	for range 1 + s.rng.IntN(2) {
		delay := s.upTo(min(wait, 100*ms))
		if failureMode >= 2 && failureMode <= 6 {
			delay = s.upTo(wait + 90*ms)
		}
		s.after(delay, func() {
			s.startWrite(key, func() { s.after(s.upTo(5*ms), func() { end(Served, 0) }) })
		})
	}
}

const (
	opRead = iota
	opWrite
)

// output is what a client observed: how its write ended, or the count that it read.
type output struct {
	result Result
	count  int
}

// simulatedClient writes and reads the record in random order.
type simulatedClient struct {
	*simulation
	id      int
	budget  *Budget
	left    int // operations that are left
	policy  *Policy
	nextKey func() int
	request Request // the write in progress
}

// next starts the client's next operation.
func (c *simulatedClient) next() {
	c.left--
	if c.left < 0 {
		return
	}
	start := c.now
	if c.rng.IntN(3) == 0 { // a read, which returns the current count immediately
		c.operations = append(c.operations, porcupine.Operation{
			ClientId: c.id,
			Input:    opRead,
			Call:     int64(start),
			Return:   int64(start + 1),
			Output:   output{count: c.effects},
		})
		c.after(c.upTo(500*ms)+2, c.next)
		return
	}
	key := c.nextKey()
	c.request = NewRequest(c.policy, Keyed, 0, c.now+2500*ms)
	c.send(key, start)
}

// send makes an attempt at a write.
func (c *simulatedClient) send(key int, start time.Duration) {
	r := &c.request
	wait, ok := r.StartAttempt(at(c.now), c.budget)
	if !ok {
		c.finish(start, r.GiveUp(NotSent, 0).Result)
		return
	}
	c.attempt(key, wait, func(o Outcome, retryAfter time.Duration) {
		d := r.AttemptEnded(at(c.now), o, retryAfter, c.budget, c.rng)
		if d.Result != ResultPending {
			c.finish(start, d.Result)
			return
		}
		c.after(d.Backoff, func() { c.send(key, start) })
	})
}

// finish records the end of a write.
func (c *simulatedClient) finish(start time.Duration, result Result) {
	end := c.now
	if result == ResultUnknown {
		end = c.now + time.Hour // the write may take effect at any time from its call on
	}
	c.operations = append(c.operations, porcupine.Operation{
		ClientId: c.id,
		Input:    opWrite,
		Call:     int64(start),
		Return:   int64(end),
		Output:   output{result: result},
	})
	if result == ResultUnknown { // the operations of one porcupine client must not overlap
		c.id += 10
	}
	c.after(c.upTo(800*ms)+2, c.next)
}

// simulate runs two or three clients that write and read one record, and returns the simulation with their operations.
func simulate(seed uint64, policy *Policy) *simulation {
	s := &simulation{
		rng:         rand.New(rand.NewPCG(seed, 9)),
		writes:      make(map[int]*trackedWrite),
		effectsByID: make(map[int]int),
		dedupWindow: 1500 * ms,
	}
	key := 0
	nextKey := func() int {
		key++
		return key
	}
	for id := range 2 + s.rng.IntN(2) {
		c := &simulatedClient{
			simulation: s,
			id:         id,
			budget:     &Budget{Ratio: 1, Burst: 10, saved: 10},
			left:       2 + s.rng.IntN(3),
			policy:     policy,
			nextKey:    nextKey,
		}
		s.after(s.upTo(1000*ms), c.next)
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	return s
}

// recordModel is the model of one record: a served write counts once, one with an unknown outcome may count, any other
// does not; reads return the count.
var recordModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, out any) []any {
		count, o := state.(int), out.(output)
		switch {
		case input == opRead && count == o.count:
			return []any{count}
		case input == opRead:
			return nil
		case o.result == ResultServed:
			return []any{count + 1}
		case o.result == ResultUnknown:
			return []any{count, count + 1}
		}
		return []any{count}
	},
}

// violations counts violations of the guarantees over many histories, and the writes with an unknown outcome.
type violations struct {
	notLinearizable int // histories that no order explains
	duplicates      int // writes that took effect twice
	unknown         int // writes that ended unknown
}

// checkHistories simulates count histories and checks each.
func checkHistories(t *testing.T, count int, policy *Policy) (found violations) {
	t.Helper()
	model := recordModel.ToModel()
	for seed := range count {
		s := simulate(uint64(seed), policy)
		for _, effects := range s.effectsByID {
			if effects > 1 {
				found.duplicates++
			}
		}
		for _, op := range s.operations {
			if op.Input == opWrite && op.Output.(output).result == ResultUnknown {
				found.unknown++
			}
		}
		switch porcupine.CheckOperationsTimeout(model, s.operations, 10*time.Second) {
		case porcupine.Illegal:
			found.notLinearizable++
		case porcupine.Unknown:
			t.Fatalf("history %d was not checked in time", seed)
		}
	}
	return found
}

// TestWritesAreLinearizable checks that no write takes effect twice and that each history has an order that explains
// it, while attempts of writes fail in every way.
func TestWritesAreLinearizable(t *testing.T) {
	found := checkHistories(t, *histories, &DefaultPolicy)
	if found.notLinearizable+found.duplicates > 0 {
		t.Fatalf("of %d histories: %+v", *histories, found)
	}
	if found.unknown == 0 {
		t.Fatal("no write ended unknown: the simulation has too few faults")
	}
}

// TestCheckDetectsDuplicateWrites checks that checkHistories finds duplicate writes. They occur if the policy's dedup
// window is longer than the nodes', or if there is no safety margin for the network.
func TestCheckDetectsDuplicateWrites(t *testing.T) {
	longWindow := DefaultPolicy
	longWindow.DedupWindow = 3 * time.Second
	if found := checkHistories(t, 500, &longWindow); found.duplicates == 0 || found.notLinearizable == 0 {
		t.Fatalf("with a window of 3 s: %+v", found)
	}
	noMargin := DefaultPolicy
	noMargin.SafetyMargin = 0
	if found := checkHistories(t, 5000, &noMargin); found.duplicates == 0 {
		t.Fatal("no duplicates without a safety margin")
	}
}
