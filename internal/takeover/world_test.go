package takeover

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// This file plays works in virtual time: three proxies, one node group that drops repeats, tills that ask twice, with the
// faults that a chooser draws: lost and late messages, crashes, stops, cuts, works that take longer than the window.

const ms = time.Millisecond

// tick is how finely time passes; the window is thirty.
const (
	tick   = 50 * ms
	window = 1500 * ms
)

// chooser draws what happens where more than one thing may; 0 is what happens where nothing goes wrong.
type chooser interface{ choose(what string, n int) int }

// defects are planted, to see them found.
type defects struct{ anyTime, noAge, noLook, noDrift, forgetful bool }

type due struct {
	at   int
	turn int
	do   func()
}

type proxy struct {
	Candidate
	world   *world
	rate    float64
	reg     *Registry
	up      bool
	until   int // it is stopped
	waiting []func()
	cut     bool // from the other proxies
	asks    map[uint64]func(ClaimResponse)
	tag     uint64
	gone    map[Owner]bool // whom it takes for gone
}

type world struct {
	c       chooser
	d       defects
	terms   Parameters
	t       int
	turn    int
	due     []due
	proxies []*proxy
	faults  int // left
	great   int // crashes, stops and cuts, at most
	work    int // ticks

	begun    int // when the node group began it last, -1 for never
	done     bool
	waiting  []func()
	effects  int
	answers  []string
	lives    int
	receipts int
}

func newWorld(c chooser, d defects, faults int) *world {
	terms := DefaultParameters
	terms.RecoveryPeriod = 4200 * ms // tills ask a second time within it, and a third time after it
	w := &world{c: c, d: d, terms: terms, faults: faults, great: 2, begun: -1, work: 2}
	if d.forgetful { // one loss alone is borne by those who know
		w.great, w.faults = 4, 10
	}
	if d.noDrift {
		w.terms.MaxClockDrift, w.terms.SafetyMargin = -0.3, 0
	}
	for i := range 3 {
		p := &proxy{world: w, rate: 1 + 0.05*float64(1-i)}
		p.Name, p.Zone = fmt.Sprint("p", i), fmt.Sprint("z", i)
		p.boot(uint64(i + 1))
		p.reg.startedAt = -w.terms.OutcomeRetention // it has run for long
		w.proxies = append(w.proxies, p)
	}
	return w
}

func (p *proxy) boot(run uint64) { // whatever it knew is gone
	p.Incarnation, p.up = run, true
	p.reg = NewRegistry(p.world.terms, p.Owner, p.now())
	if p.world.d.forgetful { // and it says nothing of that
		p.reg.startedAt = -p.world.terms.OutcomeRetention
	}
	p.asks, p.gone, p.waiting = make(map[uint64]func(ClaimResponse)), make(map[Owner]bool), nil
}

func (p *proxy) now() time.Duration {
	return time.Duration(float64(p.world.t) * p.rate * float64(tick))
}

func (w *world) after(ticks int, do func()) {
	w.turn++
	d := due{w.t + max(ticks, 0), w.turn, do}
	at, _ := slices.BinarySearchFunc(w.due, d, func(a, b due) int {
		if a.at != b.at {
			return a.at - b.at
		}
		return a.turn - b.turn
	})
	w.due = slices.Insert(w.due, at, d)
}

// at has a proxy's process do something, when it goes on if it is stopped, unless it has died meanwhile.
func (p *proxy) at(do func()) {
	run := p.Incarnation
	guarded := func() {
		if p.up && p.Incarnation == run {
			do()
		}
	}
	if p.world.t < p.until {
		p.waiting = append(p.waiting, guarded)
		return
	}
	guarded()
}

// send takes a message between proxies: it may be lost or late, and comes to nobody over a cut.
func (w *world) send(from, to *proxy, do func()) {
	kind := 0
	if w.faults > 0 && from != to {
		if kind = w.c.choose("message", 3); kind > 0 {
			w.faults--
		}
	}
	if kind == 1 {
		return
	}
	w.after(1+10*(kind/2), func() {
		if !from.cut && !to.cut || from == to {
			run := to.Incarnation
			to.at(func() {
				if to.Incarnation == run {
					do()
				}
			})
		}
	})
}

// act carries out what a proxy's register wants.
func (p *proxy) act(actions []Action, reply map[uint64]func(ClaimResponse)) {
	for _, a := range actions {
		switch a := a.(type) {
		case ClaimResponse:
			if do := reply[a.RequestID]; do != nil {
				if a.Decision != InProgress {
					delete(reply, a.RequestID)
				}
				do(a)
			}
		case TakeOver:
			p.take(a)
		}
	}
}

func (p *proxy) handle(e Event) {
	actions := p.reg.Handle(p.now(), e, nil)
	if _, tick := e.(Tick); !tick || len(actions) > 0 {
		trace("%s %T%+v -> %+v", p.Name, e, e, actions)
	}
	p.act(actions, p.asks)
}

// ask asks a holder, itself among them.
func (p *proxy) ask(to *proxy, a ClaimRequest, heard func(ClaimResponse)) {
	w := p.world
	w.send(p, to, func() {
		to.tag++
		a.RequestID = to.tag
		to.asks[a.RequestID] = func(answer ClaimResponse) {
			if w.d.noAge {
				answer.Age = min(answer.Age, 1)
			}
			w.send(to, p, func() { heard(answer) })
		}
		to.handle(a)
	})
}

// holders are the others of a work's, as this proxy sees them: so many that live.
func (p *proxy) holders(id string, most int) (list []*proxy) {
	var places []Candidate
	for _, x := range p.world.proxies {
		if x != p {
			places = append(places, x.Candidate)
		}
	}
	for _, at := range RankHolders(id, places) {
		for _, x := range p.world.proxies {
			if x.Owner == at.Owner && len(list) < most {
				list = append(list, x)
			}
		}
	}
	return list
}

const answerTicks = 6 // a holder that has not said a word by then is missed

// serve has a till ask at a proxy, which waits for so many ticks.
func (p *proxy) serve(till string, digest uint64, wait int) {
	w := p.world
	work := Write{ID: "k", Digest: digest, DedupWindow: window, Payload: []byte("x")}
	if w.d.anyTime {
		work.DedupWindow = 10 * window
	}
	answered := false
	deadline := w.t + wait
	answer := func(text string) {
		if !answered {
			answered = true
			w.answers = append(w.answers, till+" "+text)
			if text == "served" {
				w.receipts++
			}
		}
	}
	others := p.holders("k", 2)
	kind := ClientRetry
	if till == "first" {
		kind = FirstAttempt
	}
	e := NewClaim(w.terms, work.DedupWindow, p.now(), len(others), Options{Replicas: 2, RequireReplica: true}, kind)
	acted := false
	next := func() {
		verdict, until := e.Verdict()
		if verdict == Undecided || acted {
			return
		}
		acted = true
		switch verdict {
		case Proceed:
			p.write(others, e.Epoch(), until, deadline, answer)
			return
		case ReturnReceipt:
			answer("served")
			p.settle(others, e.Epoch(), Served)
			return
		case OutcomeUnknown:
			answer("unknown")
			p.settle(others, e.Epoch(), Unknown)
			return
		case KeyConflict:
			answer("clash")
			return
		default:
			answer("busy")
		}
		p.settle(others, e.Epoch(), NotExecuted) // by this owner
	}
	ask := func(rank int, x *proxy, then func(ClaimResponse)) {
		said := false
		p.ask(x, ClaimRequest{Write: work, Owner: p.Owner, Rank: rank, Retry: kind == ClientRetry}, func(a ClaimResponse) {
			said = true
			e.HandleResponse(x.Name, a)
			then(a)
			next()
		})
		w.after(answerTicks, func() {
			p.at(func() {
				if !said {
					said = true
					p.miss(e, x)
					next()
				}
			})
		})
	}
	ask(len(others), p, func(a ClaimResponse) {
		if a.Decision == Granted || a.Decision == WindowExpired {
			for rank, x := range others {
				ask(rank, x, func(ClaimResponse) {})
			}
		}
	})
	w.after(wait, func() {
		p.at(func() {
			e.ClientTimedOut()
			next()
			answer("late")
		})
	})
}

// miss has an errand do without a holder.
func (p *proxy) miss(e *Claim, x *proxy) {
	if p.gone[x.Owner] || !x.up && p.gone[Owner{x.Name, x.Incarnation}] {
		e.HolderGone(x.Name)
	} else {
		e.HolderTimedOut(x.Name)
	}
}

// write sends the work to a node, again where no answer comes, and settles it.
func (p *proxy) write(others []*proxy, number uint64, until time.Duration, deadline int, answer func(string)) {
	w := p.world
	mayHaveRun, ended := false, false
	var try func()
	end := func(o Outcome) {
		if !ended {
			ended = true
			p.settle(others, number, o)
		}
	}
	try = func() {
		if ended {
			return
		}
		look := p.now() < until
		if !mayHaveRun { // the owner's own repeats keep to the window from its own first, as policy has it
			until = min(until, p.now()+w.terms.atLeast(window))
		}
		if w.faults > 0 && w.c.choose("stop between look and write", 2) == 1 { // the hole, for less than the margin
			w.faults--
		}
		if !look && !w.d.noLook {
			if !mayHaveRun {
				end(NotExecuted)
				answer("busy")
			}
			return
		}
		mayHaveRun = true
		w.node(p, func() {
			answer("served")
			end(Served)
		})
		w.after(10, func() { p.at(try) })
	}
	try()
	w.after(max(deadline-w.t, 0)+80, func() { p.at(func() { end(Unknown) }) })
	w.after(deadline-w.t, func() { p.at(func() { answer("unknown") }) })
}

// node is the group that drops repeats. What a sender is told comes when the work is done.
func (w *world) node(from *proxy, told func()) {
	late := 1
	if w.faults > 0 {
		switch w.c.choose("to the node", 3) {
		case 1:
			w.faults--
			return
		case 2:
			w.faults--
			late = 2
		}
	}
	back := func() { w.after(1, func() { from.at(told) }) }
	w.after(late, func() {
		switch {
		case w.begun >= 0 && w.t-w.begun < int(window/tick):
			if w.done {
				back()
			} else {
				w.waiting = append(w.waiting, back)
			}
			return
		}
		w.effects++
		trace("effect by %s", from.Name)
		w.begun, w.done = w.t, false
		w.waiting = append(w.waiting, back)
		w.after(w.work, func() {
			w.done = true
			for _, b := range w.waiting {
				b()
			}
			w.waiting = nil
		})
	})
}

// settle tells all holders, until they have heard.
func (p *proxy) settle(others []*proxy, number uint64, o Outcome) {
	e := Completion{ID: "k", Digest: 1, Owner: p.Owner, Epoch: number, Outcome: o, Receipt: "r"}
	p.handle(e)
	for _, x := range others {
		heard := false
		var tell func(left int)
		tell = func(left int) {
			if heard || left == 0 {
				return
			}
			p.world.send(p, x, func() {
				x.handle(e)
				p.world.send(x, p, func() { heard = true })
			})
			p.world.after(8, func() { p.at(func() { tell(left - 1) }) })
		}
		tell(20)
	}
}

// take is this proxy's part for a work that it has taken over: the other holders are heard before it is sent.
func (p *proxy) take(a TakeOver) {
	w := p.world
	others := p.holders("k", 2)
	age := a.Age
	if w.d.noAge {
		age = 1
	}
	e := NewClaim(w.terms, a.Write.DedupWindow, p.now(), len(others), Options{Replicas: 2}, TakenOver)
	acted := false
	next := func() {
		verdict, until := e.Verdict()
		if verdict == Undecided || acted {
			return
		}
		acted = true
		switch verdict {
		case Proceed:
			p.write(others, a.Epoch, until, w.t+20, func(string) {})
		case ReturnReceipt:
			p.settle(others, a.Epoch, Served)
		default:
			p.settle(others, a.Epoch, Unknown)
		}
	}
	e.HandleResponse(p.Name, ClaimResponse{Decision: Granted, Epoch: a.Epoch, Age: age, PreviousOwner: a.PreviousOwner})
	for rank, x := range others {
		said := false
		p.ask(x, ClaimRequest{Write: a.Write, Owner: p.Owner, Rank: rank, Epoch: a.Epoch, Age: age, Retry: true}, func(answer ClaimResponse) {
			said = true
			e.HandleResponse(x.Name, answer)
			next()
		})
		w.after(answerTicks, func() {
			p.at(func() {
				if !said {
					said = true
					p.miss(e, x)
					next()
				}
			})
		})
	}
}

// befall has one of the great faults begin, at most once a life.
func (w *world) befall() {
	if w.faults == 0 || w.lives >= w.great {
		return
	}
	kind := w.c.choose("fault", 10)
	if kind == 0 {
		return
	}
	w.faults--
	w.lives++
	p := w.proxies[(kind-1)%3]
	switch (kind - 1) / 3 {
	case 0: // kill -9, and another process in half a second
		old := p.Owner
		p.up = false
		w.see(old, true, 2)
		w.after(10, func() { p.boot(old.Incarnation + 10) })
	case 1: // stopped for three seconds
		p.until = w.t + 60
		w.see(p.Owner, true, 13)
		w.after(60, func() {
			do := p.waiting
			p.waiting = nil
			p.handle(Rejoined{})
			w.see(p.Owner, false, 3)
			for _, f := range do {
				f()
			}
		})
	case 2: // cut off from the others for three seconds
		p.cut = true
		w.see(p.Owner, true, 13)
		w.after(60, func() {
			p.cut = false
			p.at(func() { p.handle(Rejoined{}) })
			w.see(p.Owner, false, 3)
		})
	}
}

// see has the others take a process for gone, or hear it again.
func (w *world) see(o Owner, gone bool, ticks int) {
	w.after(ticks, func() {
		for _, x := range w.proxies {
			if x.Owner != o && !x.cut {
				x.at(func() {
					x.gone[o] = gone
					if gone {
						x.handle(OwnerLost{o})
					} else {
						x.handle(OwnerReturned{o})
					}
				})
			}
		}
	})
}

// play has a till ask, and ask again once or twice, at any proxy; then time passes until all is settled.
func (w *world) play() (wrong string) {
	w.work = []int{2, 36}[w.c.choose("work", 2)]
	w.at(0, func(p *proxy) { p.serve("first", 1, 24) })
	second := []int{8, 16, 20, 24, 26, 40, 80}[w.c.choose("asks again", 7)]
	w.at(second, func(p *proxy) { p.serve("second", 1, 24) })
	w.at(100, func(p *proxy) { p.serve("third", 1, 24) })
	for ; w.t < 200; w.t++ {
		if w.t%4 == 0 && w.t < 60 {
			w.befall()
		}
		for len(w.due) > 0 && w.due[0].at <= w.t {
			d := w.due[0]
			w.due = w.due[1:]
			d.do()
		}
		for _, p := range w.proxies {
			if p.up && w.t >= p.until {
				p.handle(Tick{})
			}
		}
	}
	switch {
	case w.effects > 1:
		wrong = fmt.Sprintf("%d effects", w.effects)
	case w.receipts > 0 && w.effects == 0:
		wrong = "a receipt of nothing"
	}
	for _, p := range w.proxies {
		for _, x := range p.reg.entries {
			if x.outcome == InFlight && x.orphaned {
				wrong += fmt.Sprintf(" %s leaves a lost work open", p.Name)
			}
			if x.outcome == Unknown && w.receipts > 0 && !strings.Contains(strings.Join(w.answers, ","), "unknown") && w.lives == 0 {
				wrong += " unknown without a loss"
			}
		}
	}
	return wrong
}

// at has a till come to a proxy that a choice names, if its process is up.
func (w *world) at(ticks int, do func(p *proxy)) {
	w.after(ticks, func() {
		p := w.proxies[w.c.choose("where", 3)]
		if p.up {
			p.at(func() { do(p) })
		}
	})
}

// script is a chooser that says 0 but at some places.
type script struct {
	at    map[int]int
	count int
	sizes []int
}

func (s *script) choose(_ string, n int) int {
	i := s.count
	s.count++
	if i >= len(s.sizes) {
		s.sizes = append(s.sizes, n)
	}
	return min(s.at[i], n-1)
}

// explore plays all lives with at most so many choices that are not 0, and returns how many there are.
func explore(t *testing.T, d defects, depth, most int) (lives, effects int, wrong string) {
	var walk func(at map[int]int, from, left int)
	walk = func(at map[int]int, from, left int) {
		if wrong != "" || lives >= most {
			return
		}
		s := &script{at: at}
		w := newWorld(s, d, 2)
		lives++
		if wrong = w.play(); wrong != "" {
			wrong = fmt.Sprintf("%s: choices %v, answers %v", wrong, at, w.answers)
			return
		}
		effects += w.effects
		if left == 0 {
			return
		}
		for i := from; i < len(s.sizes); i++ {
			for v := 1; v < s.sizes[i]; v++ {
				next := map[int]int{i: v}
				for k, x := range at {
					next[k] = x
				}
				walk(next, i+1, left-1)
			}
		}
	}
	walk(map[int]int{}, 0, depth)
	return lives, effects, wrong
}

// TestSmallWorld guards guarantee 1 over all lives with up to two choices that are not the usual one, or with as many as
// MULLEINPIER_DEPTH says.
func TestSmallWorld(t *testing.T) {
	depth := 2
	if n, err := strconv.Atoi(os.Getenv("MULLEINPIER_DEPTH")); err == nil {
		depth = n
	}
	lives, effects, wrong := explore(t, defects{}, depth, 1<<30)
	t.Logf("%d lives, %d effects", lives, effects)
	if wrong != "" {
		t.Error(wrong)
	}
	if effects < lives/2 {
		t.Errorf("only %d effects", effects)
	}
}

type chance struct{ rng *rand.Rand }

func (c chance) choose(_ string, n int) int {
	if n == 10 && c.rng.IntN(3) > 0 || n < 5 && n != 7 && c.rng.IntN(4) > 0 {
		return 0
	}
	return c.rng.IntN(n)
}

func random(seeds int, d defects) (wrong string, seed int, served, effects int) {
	for seed = range seeds {
		w := newWorld(chance{rand.New(rand.NewPCG(uint64(seed), 5))}, d, 6)
		if wrong = w.play(); wrong != "" {
			return fmt.Sprintf("%s: %v", wrong, w.answers), seed, served, effects
		}
		served, effects = served+w.receipts, effects+w.effects
	}
	return "", seeds, served, effects
}

// TestRandomLives plays many faults together. MULLEINPIER_LIVES is how many lives, 20,000 if it is not set.
func TestRandomLives(t *testing.T) {
	seeds := 20_000
	if n, err := strconv.Atoi(os.Getenv("MULLEINPIER_LIVES")); err == nil {
		seeds = n
	}
	wrong, seed, served, effects := random(seeds, defects{})
	t.Logf("%d lives, %d served, %d effects", seeds, served, effects)
	if wrong != "" {
		t.Errorf("seed %d: %s", seed, wrong)
	}
}

// TestDefectsAreFound plants one after the other.
func TestDefectsAreFound(t *testing.T) {
	for name, d := range map[string]defects{"leave at any time": {anyTime: true}, "age not told": {noAge: true}, "no look before the write": {noLook: true},
		"clocks beyond the bound": {noDrift: true}, "a register that forgets": {forgetful: true}} {
		wrong, seed, _, _ := random(300_000, d)
		t.Logf("%s: life %d: %s", name, seed, wrong)
		if wrong == "" {
			t.Errorf("%s: not found", name)
		}
	}
}

var trace = func(string, ...any) {}
