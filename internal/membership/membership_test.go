package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// sequences is how many the model test plays; 100,000 take a minute without -race.
var sequences = flag.Int("sequences", 10000, "random sequences of source events")

// bench is a module, what it has published, and a clock that obeys its wakes.
type bench struct {
	t     testing.TB
	m     *Reconciler
	twin  *Reconciler // is told the same, and must do the same
	now   time.Duration
	list  map[string]Node // the changes, replayed
	wakes []time.Duration
	looks int
}

func newBench(t testing.TB, set Settings) *bench {
	return &bench{t: t, m: New(set), twin: New(set), now: time.Hour, list: map[string]Node{}}
}

func (b *bench) handle(e Event) {
	out := b.m.Handle(b.now, e, nil)
	if again := b.twin.Handle(b.now, e, nil); !reflect.DeepEqual(out, again) {
		b.t.Fatalf("%+v brings %+v, and the same again %+v", e, out, again)
	}
	for _, a := range out {
		switch a := a.(type) {
		case Change:
			before, was := b.list[a.Name]
			if !was {
				before.Status = Gone
			}
			if before.Status != a.Previous {
				b.t.Fatalf("%+v told where %v was", a, before.Status) // invariant 4
			}
			if a.Status == Gone {
				delete(b.list, a.Name)
			} else {
				b.list[a.Name] = a.Node
			}
		case Refetch:
			b.looks++
		case SetTimer:
			b.wakes = append(b.wakes, b.now+a.After)
		}
	}
}

// pass lets time pass, with the ticks that were asked for.
func (b *bench) pass(d time.Duration) {
	for end := b.now + d; ; {
		slices.Sort(b.wakes)
		if len(b.wakes) == 0 || b.wakes[0] > end {
			b.now = end
			return
		}
		b.now, b.wakes = max(b.now, b.wakes[0]), b.wakes[1:]
		b.handle(TimerFired{})
	}
}

// serving says who serves, in a word.
func (b *bench) serving() string {
	var names []string
	for name, n := range b.list {
		if n.Status == Up {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, "")
}

func (b *bench) expect(want, when string) {
	b.t.Helper()
	if got := b.serving(); got != want {
		b.t.Errorf("%s: %q serve, want %q", when, got, want)
	}
}

// whole is a list of nodes by letters; an upper one drains.
func whole(source, letters string) ListReceived {
	e := ListReceived{Source: source, Complete: true}
	for _, c := range letters {
		n := Node{Name: strings.ToLower(string(c)), Address: "h:1", Instance: "1"}
		if n.Name != string(c) {
			n.Status, n.Reason = Draining, "in maintenance"
		}
		e.Nodes = append(e.Nodes, n)
	}
	return e
}

func look(source, letters string) ListReceived {
	e := whole(source, letters)
	e.Refetched = true
	return e
}

func consul() Settings {
	return Settings{Limits: DefaultLimits, Sources: []Source{{Name: "c", NeedsConfirmation: true}}, InferRestarts: true}
}

func TestSourcesAreMergedAndTheDrainRuleWins(t *testing.T) {
	set := consul()
	set.Sources = []Source{{Name: "file"}, {Name: "c", NeedsConfirmation: true}}
	b := newBench(t, set)
	b.handle(whole("c", "abc"))
	b.handle(whole("file", "bcd"))
	b.expect("abcd", "both told")
	if got := b.list["b"]; got.Status != Up {
		t.Errorf("b is %+v", got)
	}
	b.handle(whole("c", "aBc")) // draining in one, up in the other
	b.expect("acd", "b drains in one")
	b.handle(whole("c", "ac")) // gone in one, up in the other
	b.expect("acd", "b is gone in one")
	if why := b.list["b"].Reason; !strings.Contains(why, "gone in c") {
		t.Errorf("b's reason is %q", why)
	}
	b.handle(whole("file", "cd")) // now in none
	if _, there := b.list["b"]; there {
		t.Error("b is still there")
	}
	b.handle(whole("file", "bcd")) // c's word on b has been forgotten with it
	b.handle(whole("c", "abc"))
	b.expect("abcd", "b is back in both")
	b.handle(ListReceived{Source: "file", Nodes: []Node{{Name: "a", Status: Gone}}})
	b.expect("bcd", "a left by one's word, which had never listed it")
}

func TestReloadKeepsTheOldListUntilTheNewOneIsTold(t *testing.T) {
	b := newBench(t, Settings{Limits: DefaultLimits, Sources: []Source{{Name: "platform"}}})
	b.handle(whole("platform", "abC"))
	b.handle(SourcesChanged{Sources: []Source{{Name: "c", NeedsConfirmation: true}}})
	b.expect("ab", "the new source has told nothing")
	b.handle(whole("platform", "aBC"))
	b.expect("a", "the old source is heard until then")
	b.handle(whole("c", "bcd"))
	b.expect("bcd", "the new one has told")
	b.handle(SourcesChanged{Sources: []Source{{Name: "platform"}}})
	b.handle(whole("platform", "a"))
	b.expect("a", "and back")
}

// TestNewSourceMayBeginWithChanges guards a move to a service that takes what the old one
// told for known: on the bench it once left a proxy with the few nodes that had changed.
func TestNewSourceMayBeginWithChanges(t *testing.T) {
	b := newBench(t, Settings{Limits: DefaultLimits, Sources: []Source{{Name: "old"}}})
	b.handle(whole("old", "abCd"))
	b.handle(SourcesChanged{Sources: []Source{{Name: "new"}}})
	b.handle(ListReceived{Source: "new", Nodes: []Node{{Name: "a", Status: Draining}, {Name: "c"}, {Name: "d", Status: Gone}, {Name: "e"}}})
	b.expect("bce", "after changes only")
	b.handle(ListReceived{Source: "new", Nodes: []Node{{Name: "a"}}})
	b.expect("abce", "after more")
	b.handle(whole("new", "ae"))
	b.expect("ae", "after a whole list")
}

// TestCollapses plays each way in which a list may collapse, truly and falsely.
func TestCollapses(t *testing.T) {
	const all = "abcdefgh"
	for _, c := range []struct {
		name string
		play func(*bench)
	}{
		{"some leave", func(b *bench) {
			b.handle(whole("c", "abcdef"))
			b.expect("abcdef", "at once")
		}},
		{"half for a moment, falsely", func(b *bench) {
			b.handle(whole("c", "abc"))
			b.expect(all, "in doubt")
			b.pass(100 * ms)
			b.handle(look("c", all))
			b.pass(time.Minute)
			b.expect(all, "looked again")
		}},
		{"most, truly", func(b *bench) {
			b.handle(whole("c", "abc"))
			b.pass(50 * ms)
			b.handle(look("c", "abc"))
			b.expect("abc", "confirmed")
		}},
		{"most, and no second look comes", func(b *bench) {
			b.handle(whole("c", "abc"))
			b.pass(DefaultLimits.ConfirmTimeout - ms)
			b.expect(all, "in doubt")
			b.pass(ms)
			b.expect("abc", "within the drain rule's time")
		}},
		{"most, from a source that fails", func(b *bench) {
			b.handle(whole("c", "abc"))
			for range 40 {
				b.handle(RefetchFailed{"c"})
				b.pass(250 * ms)
			}
			b.expect(all, "looks fail")
			if b.looks < 10 {
				b.t.Errorf("%d looks in ten seconds", b.looks)
			}
			b.handle(look("c", "abc"))
			b.expect("abc", "a look has succeeded")
		}},
		{"most, from a source that fails for good", func(b *bench) {
			b.handle(whole("c", "abc"))
			b.handle(RefetchFailed{"c"})
			b.pass(DefaultLimits.FailedConfirmTimeout + ms)
			b.expect("abc", "believed after all")
		}},
		{"slice by slice", func(b *bench) {
			for n := 7; n > 3; n-- {
				b.handle(whole("c", all[:n]))
				b.pass(time.Second)
			}
			b.expect("abcd", "half are left")
			b.handle(whole("c", "abc"))
			b.expect("abcd", "one more is a collapse")
			b.handle(look("c", "abc"))
			b.expect("abc", "which is confirmed")
		}},
		{"one by one in time", func(b *bench) {
			for n := 7; n >= 0; n-- {
				b.pass(time.Minute)
				b.handle(whole("c", all[:n]))
				b.expect(all[:n], "a list that works")
			}
		}},
		{"empty for a second", func(b *bench) {
			b.handle(whole("c", ""))
			b.handle(look("c", ""))
			b.pass(time.Second)
			b.expect(all, "empty")
			b.handle(whole("c", all))
			b.pass(time.Minute)
			b.expect(all, "back")
		}},
		{"empty for good, nodes well", func(b *bench) {
			b.handle(whole("c", ""))
			b.handle(look("c", ""))
			b.pass(10 * time.Second)
			b.expect(all, "ten seconds")
			b.pass(DefaultLimits.FailedConfirmTimeout)
			b.expect("", "believed after all")
		}},
		{"empty, and half of the nodes are really gone", func(b *bench) {
			b.handle(whole("c", ""))
			for range DefaultLimits.FailureThreshold {
				for _, name := range "abcd" {
					b.handle(ConnectionObserved{string(name), Failed})
				}
				b.pass(failPause)
			}
			b.expect("efgh", "by two witnesses")
		}},
		{"empty, then some", func(b *bench) {
			b.handle(whole("c", ""))
			b.pass(time.Second)
			b.handle(whole("c", "abc"))
			b.expect(all, "the others in doubt")
			b.pass(100 * ms)
			b.handle(look("c", "abc"))
			b.expect("abc", "which is confirmed")
		}},
		{"named ones leave in a collapse", func(b *bench) {
			b.handle(whole("c", "abcDEFGH"))
			b.expect("abc", "what is said outright is never doubted")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, consul())
			b.handle(whole("c", all))
			c.play(b)
		})
	}
}

// TestFlapsAreHeldDown guards rule 4: going at once, coming back ever later, and never
// everybody held.
func TestFlapsAreHeldDown(t *testing.T) {
	b := newBench(t, consul())
	b.handle(whole("c", "abcd"))
	up, last := time.Duration(0), 0
	for i := range 150 { // every 200 ms, half of it gone
		b.handle(whole("c", "bcd"))
		if strings.Contains(b.serving(), "a") {
			t.Fatal("it serves while it is gone")
		}
		b.pass(200 * ms)
		b.handle(whole("c", "abcd"))
		if strings.Contains(b.serving(), "a") {
			up, last = up+200*ms, i
		}
		b.pass(200 * ms)
	}
	if up > 2*time.Second || last > 20 {
		t.Errorf("a flapping node served %v of a minute, last at its flap %d", up, last)
	}
	b.pass(DefaultLimits.MaxHoldDown)
	b.expect("abcd", "steady for as long as a hold may last")
	if got := b.list["a"]; got.Started != 0 {
		t.Errorf("the same instance, never long gone, counts as started at %v", got.Started)
	}
	for range 10 {
		b.handle(whole("c", "ABCD"))
		b.expect("", "all drain")
		b.pass(100 * ms)
		b.handle(whole("c", "abcd"))
		if b.serving() == "" {
			t.Fatal("all are held down")
		}
	}
}

func TestStartTimesAreWorkedOut(t *testing.T) {
	started := func(b *bench, name string) time.Duration { return b.list[name].Started }
	for _, c := range []struct {
		name string
		cold bool
		play func(*bench)
	}{
		{"from the start", false, func(b *bench) {}},
		{"drained and back", false, func(b *bench) {
			b.handle(whole("c", "Abcd"))
			b.pass(time.Minute)
			b.handle(whole("c", "abcd"))
		}},
		{"gone for a moment", false, func(b *bench) {
			b.handle(whole("c", "bcd"))
			b.pass(time.Second)
			b.handle(whole("c", "abcd"))
		}},
		{"gone for long", true, func(b *bench) {
			b.handle(whole("c", "bcd"))
			b.pass(DefaultLimits.CacheRetention + ms)
			b.handle(whole("c", "abcd"))
		}},
		{"gone for a moment, its process ended", true, func(b *bench) {
			for range DefaultLimits.FailureThreshold {
				b.handle(ConnectionObserved{"a", Failed})
				b.pass(failPause)
			}
			b.handle(whole("c", "bcd"))
			b.pass(time.Second)
			b.handle(whole("c", "abcd"))
		}},
		{"another instance at once", true, func(b *bench) {
			e := whole("c", "abcd")
			e.Nodes[0].Instance = "2"
			b.handle(e)
		}},
		{"replaced while the source is silent", true, func(b *bench) {
			for range DefaultLimits.FailureThreshold {
				b.handle(ConnectionObserved{"a", Failed})
				b.pass(failPause)
			}
			b.pass(10 * time.Minute)
			b.handle(ConnectionObserved{"a", Answered})
		}},
		{"a connection that ends with all that waited on it", false, func(b *bench) {
			for range 100 {
				b.handle(ConnectionObserved{"a", Failed})
			}
			b.handle(ConnectionObserved{"a", Answered})
		}},
		{"a connection or two that end", false, func(b *bench) {
			for range 100 {
				b.handle(ConnectionObserved{"a", Failed})
				b.pass(failPause)
				b.handle(ConnectionObserved{"a", Answered})
			}
		}},
		{"new", true, func(b *bench) {
			b.handle(whole("c", "bcd"))
			b.pass(DefaultLimits.ForgetAfter + time.Second)
			b.handle(whole("c", "abcd"))
		}},
	} {
		b := newBench(t, consul())
		b.handle(whole("c", "abcd"))
		c.play(b)
		b.pass(DefaultLimits.MaxHoldDown)
		if got := started(b, "a"); (got != 0) != c.cold || got > b.now || !strings.Contains(b.serving(), "a") {
			t.Errorf("%s: counts as started at %v of %v; %s serve", c.name, got, b.now, b.serving())
		}
		if started(b, "b") != 0 {
			t.Errorf("%s: another counts as started", c.name)
		}
	}
}

// TestPlainSourcesPassAsTheyAre guards the platform's list: no doubt, no hold, no start
// time but its own.
func TestPlainSourcesPassAsTheyAre(t *testing.T) {
	b := newBench(t, Settings{Limits: DefaultLimits, Sources: []Source{{Name: "p"}}})
	b.handle(whole("p", "abcd"))
	for range 20 {
		b.handle(whole("p", "a"))
		b.expect("a", "at once")
		b.handle(whole("p", ""))
		b.expect("", "at once")
		b.handle(whole("p", "abcd"))
		b.expect("abcd", "at once")
	}
	if len(b.wakes)+b.looks > 0 || b.list["a"].Started != 0 {
		t.Errorf("%d wakes, %d looks, a started at %v", len(b.wakes), b.looks, b.list["a"].Started)
	}
}

// TestSilenceChangesNothing guards rule 5.
func TestSilenceChangesNothing(t *testing.T) {
	b := newBench(t, consul())
	b.handle(whole("c", "abC"))
	b.pass(10 * time.Minute)
	b.expect("ab", "after ten minutes of silence")
}

// word is a plain model's idea of what a source said last of a node.
type word struct {
	status Status
	listed bool
}

// TestAgreesWithAPlainModel plays random events of several sources against a model that
// is nothing but the sources' latest words, worked through from scratch each time. Holds and
// doubts may only put off what it says, by as much as the invariants allow.
func TestAgreesWithAPlainModel(t *testing.T) {
	served, held, doubted := 0, 0, 0
	for seed := range *sequences {
		rng := rand.New(rand.NewPCG(uint64(seed), 7))
		set := Settings{Limits: DefaultLimits, InferRestarts: rng.IntN(3) > 0}
		sources := []string{"x", "y", "z"}[:1+rng.IntN(3)]
		for _, name := range sources {
			set.Sources = append(set.Sources, Source{Name: name, NeedsConfirmation: rng.IntN(2) == 0})
		}
		b := newBench(t, set)
		words := map[string]map[string]word{}
		for _, name := range sources {
			words[name] = map[string]word{}
		}
		lastWord := map[string]time.Duration{} // of a node, when a source's word on it last changed
		for range 4 + rng.IntN(24) {
			var e Event
			src := rng.IntN(len(sources))
			name := sources[src]
			switch k := rng.IntN(20); {
			case k < 12:
				e = randomList(rng, name, rng.IntN(5) > 0)
			case k < 14:
				e = RefetchFailed{name}
			case k < 17:
				e = ConnectionObserved{string(rune('a' + rng.IntN(6))), Observation(rng.IntN(2))}
			default:
				b.pass(time.Duration(rng.IntN(40000)) * ms)
				e = TimerFired{}
			}
			b.handle(e)
			if told, ok := e.(ListReceived); ok {
				say(words[name], told, lastWord, b.now)
			}
			checkModel(t, b, set, words, lastWord)
			for _, n := range b.list {
				switch n.Status {
				case Up:
					served++
				case Draining:
					held++
				}
			}
			for _, name := range sources {
				doubted += len(b.m.Unconfirmed(name))
			}
		}
		b.pass(10 * time.Minute) // holds and doubts are over: what is left is the model's
		b.handle(TimerFired{})
		for name, want := range plain(words, nil) {
			if got, ok := b.list[name]; want == Up && (!ok || got.Status != Up) || want != Up && ok && got.Status == Up {
				t.Fatalf("seed %d: in the end %s is %v, want %v", seed, name, got.Status, want)
			}
		}
	}
	if served == 0 || held == 0 || doubted == 0 {
		t.Errorf("%d served, %d drained or held, %d doubted: the sequences miss a case", served, held, doubted)
	}
}

func randomList(rng *rand.Rand, source string, all bool) ListReceived {
	e := ListReceived{Source: source, Complete: all, Refetched: rng.IntN(4) == 0}
	if all && rng.IntN(6) == 0 {
		return e
	}
	for c := 'a'; c < 'g'; c++ {
		if rng.IntN(3) == 0 {
			continue
		}
		n := Node{Name: string(c), Address: "h:1"}
		switch rng.IntN(8) {
		case 0:
			n.Status = Draining
		case 1:
			n.Status = Gone
		}
		e.Nodes = append(e.Nodes, n)
	}
	return e
}

// say takes a list into a source's words.
func say(words map[string]word, e ListReceived, lastWord map[string]time.Duration, now time.Duration) {
	seen := map[string]bool{}
	for _, n := range e.Nodes {
		seen[n.Name] = true
		if w := (word{n.Status, true}); words[n.Name] != w {
			words[n.Name] = w
			lastWord[n.Name] = now
		}
	}
	for name, w := range words {
		if e.Complete && !seen[name] && (w.listed || w.status != Gone) {
			words[name] = word{Gone, false}
			lastWord[name] = now
		}
	}
}

// plain is what the words come to for each node, without holds and doubts.
func plain(words map[string]map[string]word, doubts map[string]bool) map[string]Status {
	out := map[string]Status{}
	for c := 'a'; c < 'g'; c++ {
		name := string(c)
		listed, worst := false, Up
		for _, of := range words {
			w, ok := of[name]
			if !ok {
				continue
			}
			listed = listed || w.status != Gone
			worst = max(worst, w.status)
		}
		if out[name] = worst; !listed {
			out[name] = Gone
			for _, of := range words { // once nobody lists it, who left is forgotten
				if !doubts[name] {
					delete(of, name)
				}
			}
		}
	}
	return out
}

// checkModel guards invariants 1 to 3 by the model.
func checkModel(t *testing.T, b *bench, set Settings, words map[string]map[string]word, lastWord map[string]time.Duration) {
	t.Helper()
	doubts := map[string]bool{}
	for _, s := range set.Sources {
		for _, name := range b.m.Unconfirmed(s.Name) {
			doubts[name] = true
		}
	}
	want := plain(words, doubts)
	up, serves := 0, 0
	for name, status := range want {
		got, ok := b.list[name]
		serving := ok && got.Status == Up
		if serving {
			serves++
		}
		if status == Up {
			up++
		}
		if !serving || status == Up {
			continue
		}
		for _, of := range words {
			if w := of[name]; w.listed && w.status != Up {
				t.Fatalf("%s serves, of which a source said outright %v", name, w.status) // 1
			}
		}
		if !doubts[name] {
			t.Fatalf("%s serves, which no list has and nobody doubts", name) // 2
		}
		if age := b.now - lastWord[name]; age > set.Limits.FailedConfirmTimeout {
			t.Fatalf("%s serves in a doubt of %v", name, age) // 2
		}
	}
	if up > 0 && serves == 0 {
		t.Fatalf("%d are up, none serves: %+v, words %v, published %+v, infer %v", up, want, words, b.list, set.InferRestarts) // 3
	}
}

// TestMemoryIsBounded guards invariant 5: ever new names leave nothing behind.
func TestMemoryIsBounded(t *testing.T) {
	b := newBench(t, consul())
	for i := range 5000 {
		e := ListReceived{Source: "c", Complete: true}
		for j := range 8 {
			e.Nodes = append(e.Nodes, Node{Name: fmt.Sprint("n", i+j), Address: "h:1"})
		}
		b.handle(e)
		b.pass(time.Second)
	}
	if most := 8 + int(DefaultLimits.ForgetAfter/time.Second) + 5; len(b.m.nodes) > most {
		t.Errorf("%d nodes are remembered of 5007, want %d at most", len(b.m.nodes), most)
	}
	if n := len(b.m.sources[0].nodes); n > 8 {
		t.Errorf("%d statements are kept", n)
	}
	if n := len(b.m.sources[0].losses); n > 20 {
		t.Errorf("%d losses are kept", n)
	}
}
