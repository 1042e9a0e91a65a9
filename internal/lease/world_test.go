package lease

import (
	"fmt"
	"hash/maphash"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// This file exhausts a small world by interleavings: two voters that lead one after the other, of a majority that is
// taken for granted (its library has its own proof), two contenders of one task, one change of the leader that the
// old one may not notice, one crash and restart, one stop, messages that are lost, late and doubled.

const tick = 100 * ms

// mostUnderway are messages at a time; any more are lost.
const mostUnderway = 3

// smallTerms are such that a lease is four ticks.
var smallTerms = Parameters{MaxClockDrift: 0.25, SafetyMargin: tick, MinDuration: tick, MaxDuration: time.Hour}

// planted is a defect put into the world, to see it found.
type planted struct {
	noMargin, forgets, fromReceipt, overDrift, early bool
}

type message struct {
	kind   byte // q request, a answer, c confirmation
	voter  int
	who    int
	run    int
	ask    SendRequest
	answer Response
	serial uint64
}

type world struct {
	t        int
	epoch    int // which voter leads in truth
	books    [2]*StateMachine
	keepers  [2]*ExpiryManager
	sessions [2]*Session
	runs     [2]int
	stopped  int // contender, -1 for none
	pool     []message
	tags     map[uint64]message // renewals under way, by tag
	tag      uint64
	top      uint64
	left     faults
	deposed  bool
	defect   planted
	terms    Parameters
}

// faults are how often each may befall a world.
type faults struct{ lose, double, change, stop, crash, release int }

func newWorld(d planted, f faults) *world {
	w := &world{stopped: -1, tags: make(map[uint64]message), defect: d, terms: smallTerms}
	if d.noMargin {
		w.terms.SafetyMargin = 0
		w.terms.MaxClockDrift = 0
	}
	w.left = f
	for v := range 2 {
		w.books[v] = NewStateMachine()
		w.keepers[v] = NewExpiryManager(w.terms, w.books[v])
	}
	w.keepers[0].Handle(0, LeadershipAcquired{}, nil)
	for i := range 2 {
		w.sessions[i] = NewSession(w.terms, "a", fmt.Sprint("c", i, ".0"), uint64(i+1), 4*tick, true)
	}
	return w
}

// voterNow is the voters' clock, fast by the drift bound; holderNow the contenders', slow by it.
func (w *world) voterNow() time.Duration { return w.scale(1 + smallTerms.MaxClockDrift) }
func (w *world) holderNow() time.Duration {
	if w.defect.overDrift {
		return w.scale(0.25)
	}
	return w.scale(1 - smallTerms.MaxClockDrift)
}
func (w *world) scale(by float64) time.Duration {
	return time.Duration(float64(w.t) * by * float64(tick))
}

func (w *world) copy() *world {
	c := *w
	for v := range 2 {
		b := &StateMachine{Tasks: make(map[string]*Task), LastToken: w.books[v].LastToken}
		for n, t := range w.books[v].Tasks {
			b.Tasks[n] = &Task{MaxHolders: t.MaxHolders, Grants: slices.Clone(t.Grants), Waiters: slices.Clone(t.Waiters)}
		}
		k := *w.keepers[v]
		k.book, k.until, k.heard, k.asked = b, maps.Clone(k.until), maps.Clone(k.heard), slices.Clone(k.asked)
		c.books[v], c.keepers[v] = b, &k
	}
	for i := range 2 {
		s := *w.sessions[i]
		c.sessions[i] = &s
	}
	c.pool, c.tags = slices.Clone(w.pool), maps.Clone(w.tags)
	return &c
}

// key names a state.
func (w *world) key() string {
	var b strings.Builder
	fmt.Fprint(&b, w.t, w.epoch, w.runs, w.stopped, w.top, w.left, w.deposed, "|")
	for v := range 2 {
		for n, t := range w.books[v].Tasks {
			fmt.Fprint(&b, n, *t)
		}
		k := w.keepers[v]
		fmt.Fprint(&b, w.books[v].LastToken, k.leads, k.until, k.heard, k.asked, k.serve, "|")
		s := w.sessions[v]
		fmt.Fprint(&b, s.state, s.number, s.until, s.next, s.out, s.busy, s.serial, "|")
	}
	pool := make([]string, len(w.pool))
	for i := range w.pool {
		pool[i] = fmt.Sprint(w.pool[i])
	}
	slices.Sort(pool)
	fmt.Fprint(&b, pool, w.tags)
	return b.String()
}

func (w *world) post(m message) {
	if len(w.pool) < mostUnderway {
		w.pool = append(w.pool, m)
	} // else it is lost
}

// keep does what a keeper asks.
func (w *world) keep(v int, actions []ExpiryAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case ConfirmLeadership:
			if v == w.epoch { // a majority says so now; the word may come late
				w.post(message{kind: 'c', voter: v, serial: a.Sequence})
			}
		case RenewalResult:
			m := w.tags[a.RequestID]
			delete(w.tags, a.RequestID)
			w.post(message{kind: 'a', who: m.who, run: m.run, answer: Response{m.ask.Sequence, a.Outcome, m.ask.Token}})
		case Propose:
			if v == w.epoch {
				w.commit(v, a.Command)
			}
		}
	}
}

// commit has the true leader carry out a command.
func (w *world) commit(v int, c Command) Result {
	r := w.books[v].Apply(&c)
	w.keep(v, w.keepers[v].Handle(w.voterNow(), CommandApplied{c, r}, nil))
	return r
}

func (w *world) renew(v int, m message, number uint64) {
	w.tag++
	m.ask.Token = number
	w.tags[w.tag] = m
	w.keep(v, w.keepers[v].Handle(w.voterNow(), Renew{w.tag, "a", number}, nil))
}

// deliver brings a message to its end.
func (w *world) deliver(m message, v int) {
	switch m.kind {
	case 'q':
		switch k := w.keepers[v]; {
		case !k.IsLeader():
			w.post(message{kind: 'a', who: m.who, run: m.run, answer: Response{Sequence: m.ask.Sequence}})
		case m.ask.Token > 0:
			w.renew(v, m, m.ask.Token)
		case v != w.epoch: // it is never decided
		default:
			w.keep(v, k.Handle(w.voterNow(), WaiterSeen{"a", m.ask.Command.Holder, m.ask.Command.Nonce}, nil))
			r := w.commit(v, m.ask.Command)
			switch {
			case r.Grant.Token > 0 && !r.Created:
				w.renew(v, m, r.Grant.Token)
			case r.Grant.Token > 0:
				w.post(message{kind: 'a', who: m.who, run: m.run, answer: Response{m.ask.Sequence, Granted, r.Grant.Token}})
			default:
				w.post(message{kind: 'a', who: m.who, run: m.run, answer: Response{Sequence: m.ask.Sequence, Outcome: Queued}})
			}
		}
	case 'c':
		w.keep(m.voter, w.keepers[m.voter].Handle(w.voterNow(), LeadershipConfirmed{m.serial}, nil))
	case 'a':
		if m.run == w.runs[m.who] {
			w.tell(m.who, m.answer)
		}
	}
}

// tell has a contender take an event.
func (w *world) tell(i int, e SessionEvent) {
	s := w.sessions[i]
	if a, ok := e.(Response); ok && w.defect.fromReceipt && a.Outcome == Granted && s.busy && a.Sequence == s.serial {
		s.out = w.holderNow() // counted from the answer, not from the question
	}
	for _, a := range s.Handle(w.holderNow(), e, nil) {
		switch a := a.(type) {
		case SendRequest:
			w.post(message{kind: 'q', who: i, run: w.runs[i], ask: a})
		case SendRelease:
			w.post(message{kind: 'q', who: i, run: w.runs[i], ask: SendRequest{Command: a.Command}})
		}
	}
}

// pass lets a tick go by: who is not stopped notices.
func (w *world) pass() {
	w.t++
	for v := range 2 {
		w.keep(v, w.keepers[v].Handle(w.voterNow(), Tick{}, nil))
	}
	for i := range 2 {
		if i != w.stopped {
			w.tell(i, TimerFired{})
		}
	}
}

// broken tells what a state breaks.
func (w *world) broken() string {
	valid := 0
	for _, s := range w.sessions {
		if n, ok := s.Valid(w.holderNow()); ok {
			if valid++; n < w.top {
				return fmt.Sprintf("number %d after %d", n, w.top)
			}
			w.top = n
		}
	}
	if valid > 1 {
		return "two holders"
	}
	return ""
}

// next are all steps that may follow.
func (w *world) next() (list []func(*world)) {
	step := func(do func(*world)) { list = append(list, do) }
	step((*world).pass)
	take := func(c *world, i int) message {
		m := c.pool[i]
		c.pool = slices.Delete(c.pool, i, i+1)
		return m
	}
	for i, m := range w.pool {
		if m.kind == 'a' && m.who == w.stopped {
			continue // it is not read
		}
		if m.kind != 'a' || m.run == w.runs[m.who] {
			to := 1
			if m.kind == 'q' && w.epoch == 1 {
				to = 2 // either may be asked
			}
			for v := range to {
				step(func(c *world) { c.deliver(take(c, i), v) })
			}
		}
		if w.left.lose > 0 {
			step(func(c *world) { take(c, i); c.left.lose-- })
		}
		if w.left.double > 0 && len(w.pool) < mostUnderway {
			step(func(c *world) { c.pool = append(c.pool, c.pool[i]); c.left.double-- })
		}
	}
	if w.left.change > 0 {
		step(func(c *world) {
			c.left.change--
			c.epoch = 1
			if !c.defect.forgets {
				for n, t := range c.books[0].Tasks {
					c.books[1].Tasks[n] = &Task{MaxHolders: t.MaxHolders, Grants: slices.Clone(t.Grants), Waiters: slices.Clone(t.Waiters)}
				}
				c.books[1].LastToken = c.books[0].LastToken
			}
			c.keep(1, c.keepers[1].Handle(c.voterNow(), LeadershipAcquired{}, nil))
			if c.defect.early { // what the old leader knew is believed over
				clear(c.keepers[1].until)
				for n, t := range c.books[1].Tasks {
					for _, g := range t.Grants {
						c.keepers[1].until[g.Token] = due{task: n, at: c.voterNow()}
					}
				}
			}
		})
	}
	if w.epoch == 1 && !w.deposed {
		step(func(c *world) { c.deposed = true; c.keep(0, c.keepers[0].Handle(c.voterNow(), LeadershipLost{}, nil)) })
	}
	if w.left.stop > 0 && w.stopped < 0 {
		step(func(c *world) { c.stopped, c.left.stop = 0, 0 })
	}
	if w.stopped >= 0 {
		step(func(c *world) { c.stopped = -1; c.tell(0, TimerFired{}) })
	}
	if w.left.crash > 0 {
		step(func(c *world) {
			c.left.crash--
			c.runs[0]++
			c.sessions[0] = NewSession(c.terms, "a", "c0.1", 3, 4*tick, true)
		})
	}
	if w.left.release > 0 && w.sessions[1].state == Holding {
		step(func(c *world) { c.left.release--; c.tell(1, ReleaseRequested{}) })
	}
	return list
}

// explore visits all states until a tick, most of them at the most, and returns the first that is broken.
func explore(f faults, most, until int) (states int, all bool, broken string) {
	first := newWorld(planted{}, f)
	hash := maphash.MakeSeed()
	seen := map[uint64]struct{}{maphash.String(hash, first.key()): {}}
	for queue := []*world{first}; len(queue) > 0; queue = queue[1:] {
		for _, do := range queue[0].next() {
			c := queue[0].copy()
			do(c)
			if b := c.broken(); b != "" {
				return len(seen), false, fmt.Sprintf("at tick %d: %s", c.t, b)
			}
			if c.t > until {
				continue
			}
			k := maphash.String(hash, c.key())
			if _, ok := seen[k]; ok {
				continue
			}
			if len(seen) >= most {
				return len(seen), false, ""
			}
			seen[k] = struct{}{}
			queue = append(queue, c)
		}
	}
	return len(seen), true, ""
}

// wander takes one random course until a tick.
func wander(d planted, seed uint64, until int) (broken string) {
	r := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(d, faults{1, 1, 1, 1, 1, 1})
	for w.t <= until {
		steps := w.next()
		i := r.IntN(len(steps))
		if r.IntN(4) == 0 {
			i = 0 // time passes more often than anything else
		}
		steps[i](w)
		if b := w.broken(); b != "" {
			return fmt.Sprintf("at tick %d: %s", w.t, b)
		}
	}
	return ""
}

// untilTick bounds the states that are all visited.
const untilTick = 4

// TestNoPauseRepeatsAnEffect guards guarantees 1 to 3 in every state that the world reaches in its first ticks, and in
// random courses beyond. Each planted defect is found.
func TestNoPauseRepeatsAnEffect(t *testing.T) {
	begun, states := time.Now(), 0
	for name, f := range map[string]faults{"lost": {lose: 1}, "doubled": {double: 1}, "leader changes": {change: 1}, "stop": {stop: 1}, "crash": {crash: 1},
		"release": {release: 1}, "leader changes, stop": {change: 1, stop: 1}, "leader changes, crash": {change: 1, crash: 1}} {
		until := untilTick
		if f.change+f.stop+f.crash > 1 {
			until-- // two faults make many more
		}
		n, all, broken := explore(f, 400000, until)
		t.Logf("%s: %d states, all of them: %v", name, n, all)
		if broken != "" || !all {
			t.Errorf("%s: %d states, all of them: %v: %s", name, n, all, broken)
		}
		states += n
	}
	t.Logf("%d states in %v", states, time.Since(begun))
	const courses = 100000
	for seed := range uint64(courses) {
		if broken := wander(planted{}, seed, 24); broken != "" {
			t.Fatalf("course %d: %s", seed, broken)
		}
	}
	for name, d := range map[string]planted{"no margin and no drift allowed for": {noMargin: true}, "a voter that forgets": {forgets: true},
		"counted from the answer": {fromReceipt: true}, "drift past the bound": {overDrift: true}, "the new leader believes all over": {early: true}} {
		found, seed := "", uint64(0)
		for ; seed < courses && found == ""; seed++ {
			found = wander(d, seed, 24)
		}
		t.Logf("%s: %s, course %d", name, found, seed)
		if found == "" {
			t.Errorf("%s: not found", name)
		}
	}
}
