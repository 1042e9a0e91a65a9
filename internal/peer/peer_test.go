package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// fleet is some members and watchers in virtual time: each member beats at each watcher unless a way is cut.
type fleet struct {
	now     time.Duration
	watches []*Detector
	view    *View
	known   map[int]uint64 // versions of the watchers' opinions
	stopped map[int]bool   // watchers
	viewCut map[int]bool   // watchers that the view doesn't hear
	members []*living
	changes []string
	told    int // members in opinions
}

type living struct {
	Member
	silent  bool
	cut     map[int]bool // watchers that it does not reach
	refused HeartbeatResult
}

func newFleet(watchers int, names ...string) *fleet {
	f := &fleet{view: NewView(DefaultParameters, watchers, 0), known: map[int]uint64{}, stopped: map[int]bool{}, viewCut: map[int]bool{}}
	for range watchers {
		f.watches = append(f.watches, NewDetector(DefaultParameters, 0))
	}
	for i, name := range names {
		f.join(name, uint64(i+1))
	}
	return f
}

func (f *fleet) join(name string, run uint64) *living {
	m := &living{Member: Member{Name: name, Incarnation: run}, cut: map[int]bool{}}
	f.members = append(f.members, m)
	return m
}

// run lets time pass: beats, looks and opinions, a tick every 10 ms.
func (f *fleet) run(d time.Duration) {
	for until := f.now + d; f.now < until; f.now += 10 * ms {
		for i, w := range f.watches {
			if f.stopped[i] {
				continue
			}
			for _, m := range f.members {
				if !m.silent && !m.cut[i] && f.now%DefaultParameters.HeartbeatInterval == 0 {
					m.refused = w.Handle(f.now, Heartbeat{m.Member, m.Incarnation})
				}
			}
			w.Handle(f.now, Tick{})
			if !f.viewCut[i] {
				list, whole := w.ChangedSince(f.known[i])
				f.known[i] = w.Version()
				f.told += len(list)
				f.note(f.view.Merge(f.now, fmt.Sprint(i), whole, list))
			}
		}
		f.note(f.view.Tick(f.now))
	}
}

func (f *fleet) note(changes []Change) {
	for _, c := range changes {
		f.changes = append(f.changes, fmt.Sprint(c.Name, " ", c.State))
	}
}

// end closes a member's connections, as the end of its process does.
func (f *fleet) end(m *living) {
	m.silent = true
	for i, w := range f.watches {
		if !f.stopped[i] {
			w.Handle(f.now, ConnectionLost{m.Incarnation})
		}
	}
}

func (f *fleet) state(name string) State {
	for _, s := range f.view.Members() {
		if s.Name == name {
			return s.State
		}
	}
	return 0
}

// until returns how long it takes until a member is in a state, a second at the most.
func (f *fleet) until(name string, s State) time.Duration {
	from := f.now
	for f.state(name) != s && f.now-from < time.Second {
		f.run(10 * ms)
	}
	return f.now - from
}

// TestBounds guards guarantees 1 and 2.
func TestBounds(t *testing.T) {
	f := newFleet(3, "a", "b", "c")
	f.run(time.Second)
	f.end(f.members[0])
	if d := f.until("a", Gone); d > 100*ms {
		t.Errorf("the end of a process is known after %v", d)
	}
	for offset := range 15 { // wherever in a beat
		f := newFleet(3, "a", "b")
		f.run(time.Second + time.Duration(offset)*10*ms)
		f.members[0].silent = true
		f.run(300 * ms)
		f.members[0].silent = false
		f.run(time.Second)
		for _, c := range f.changes {
			if c == "a gone" {
				t.Errorf("offset %d: a stop of 300 ms passes for a death: %v", offset, f.changes)
			}
		}
		f.members[0].silent = true
		if d := f.until("a", Gone); d > 700*ms || d < 400*ms {
			t.Errorf("offset %d: silence is known after %v", offset, d)
		}
		f.members[0].silent = false
		f.run(300 * ms)
		if s := f.state("a"); s != Alive {
			t.Errorf("offset %d: back, it is %v", offset, s)
		}
	}
}

// TestConnectionReplaced guards against a reset on the way that passes for a death.
func TestConnectionReplaced(t *testing.T) {
	w := NewDetector(DefaultParameters, 0)
	w.Handle(0, Heartbeat{Member{Name: "a", Incarnation: 1}, 7})
	w.Handle(10*ms, ConnectionLost{7})
	if w.Members()[0].State != Suspect {
		t.Error("an end is not suspected")
	}
	if next := w.NextTick(10 * ms); next > 70*ms {
		t.Errorf("looks again at %v", next)
	}
	w.Handle(40*ms, Heartbeat{Member{Name: "a", Incarnation: 1}, 8})
	w.Handle(60*ms, ConnectionLost{7}) // told late
	w.Handle(120*ms, Tick{})
	if s := w.Members()[0].State; s != Alive {
		t.Errorf("with a new connection it is %v", s)
	}
}

// TestWatcherThatStoodStill guards guarantee 3, at a watcher and at all of them.
func TestWatcherThatStoodStill(t *testing.T) {
	for _, stopped := range [][]int{{0}, {0, 1}, {0, 1, 2}} {
		f := newFleet(3, "a", "b")
		f.run(time.Second)
		for _, i := range stopped {
			f.stopped[i] = true
		}
		f.run(3 * time.Second)
		if blind, _ := f.view.Isolated(); blind != (len(stopped) > 1) {
			t.Errorf("%d of three stopped, blind %v", len(stopped), blind)
		}
		f.stopped = map[int]bool{}
		f.changes = nil
		f.run(2 * time.Second)
		for _, name := range []string{"a", "b"} {
			if s := f.state(name); s != Alive {
				t.Errorf("%d stopped: %s is %v", len(stopped), name, s)
			}
		}
		for _, c := range f.changes {
			if c == "a gone" || c == "b gone" {
				t.Errorf("%d stopped: %v", len(stopped), f.changes)
			}
		}
	}
}

// TestMajority guards guarantee 5, and that one watcher's opinion is no verdict.
func TestMajority(t *testing.T) {
	f := newFleet(3, "a", "b")
	f.run(time.Second)
	f.members[0].cut[1] = true
	f.run(time.Second)
	if s := f.state("a"); s != Alive {
		t.Errorf("cut off from one of three: %v", s)
	}
	f.members[0].cut[2] = true
	if f.until("a", Gone); f.state("a") != Gone {
		t.Error("cut off from two of three it is not gone")
	}
	f.members[0].cut = map[int]bool{1: true}
	f.run(time.Second)
	if s := f.state("a"); s != Alive {
		t.Errorf("back at two: %v", s)
	}
	f.viewCut = map[int]bool{0: true, 1: true}
	f.end(f.members[1])
	f.run(2 * time.Second)
	if blind, _ := f.view.Isolated(); !blind || f.state("b") != Alive {
		t.Errorf("blind %v, b %v: want what was known last", blind, f.state("b"))
	}
	f.viewCut = map[int]bool{}
	f.run(time.Second)
	if s := f.state("b"); s != Gone {
		t.Errorf("seeing again, b is %v", s)
	}
}

// TestTwoOfOneName guards guarantee 4.
func TestTwoOfOneName(t *testing.T) {
	f := newFleet(3, "a")
	f.run(time.Second)
	second := f.join("a", 2)
	f.run(time.Second)
	if second.refused != NameTaken {
		t.Errorf("the second is answered %v", second.refused)
	}
	f.members[0].silent = true // it stands still
	f.run(time.Second)
	if second.refused != Accepted || f.state("a") != Alive {
		t.Errorf("the first is gone: the second is answered %v, the name is %v", second.refused, f.state("a"))
	}
	f.members[0].silent = false
	f.run(time.Second)
	if f.members[0].refused != Replaced {
		t.Errorf("the first is back and answered %v", f.members[0].refused)
	}
	second.Leaving = true
	f.run(200 * ms)
	third := f.join("a", 3)
	f.run(200 * ms)
	f.end(second)
	f.run(time.Second)
	if third.refused != Accepted || f.state("a") != Alive {
		t.Errorf("who leaves keeps its name: %v, %v", third.refused, f.state("a"))
	}
	if list := f.view.Members(); len(list) != 1 || list[0].Incarnation != 3 {
		t.Errorf("%+v", list)
	}
}

// TestBounded guards against members without end, and that who is gone is forgotten.
func TestBounded(t *testing.T) {
	terms := DefaultParameters
	terms.MaxMembers = 3
	w := NewDetector(terms, 0)
	for i := range uint64(5) {
		answer := w.Handle(0, Heartbeat{Member{Name: fmt.Sprint(i), Incarnation: 1}, i})
		if (answer == TooManyMembers) != (i >= 3) {
			t.Errorf("member %d is answered %v", i, answer)
		}
	}
	for at := time.Duration(0); at < terms.ForgetAfter+time.Second; at += 50 * ms {
		w.Handle(at, Tick{})
	}
	if n := len(w.Members()); n != 0 {
		t.Errorf("%d are not forgotten", n)
	}
}

// TestRandomLives has members end, stop, be cut off and come back under new runs, and watchers stop: whoever was well for
// long is alive, whoever is not has been gone for long, whatever befell.
func TestRandomLives(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newFleet(3, "a", "b", "c", "d", "e")
		f.run(time.Second)
		runs := uint64(100)
		for range 30 {
			at := rng.IntN(len(f.members))
			switch m := f.members[at]; rng.IntN(6) {
			case 0:
				f.end(m)
			case 1:
				m.silent = true
			case 2:
				m.silent = false
			case 3:
				if m.silent {
					runs++
					m.Incarnation, m.silent = runs, false
				}
			case 4:
				m.cut[rng.IntN(3)] = rng.IntN(2) == 0
			case 5:
				f.stopped = map[int]bool{rng.IntN(3): rng.IntN(2) == 0}
			}
			f.run(time.Duration(rng.IntN(80)) * 10 * ms)
		}
		f.stopped = map[int]bool{}
		f.run(2 * time.Second)
		for _, m := range f.members {
			reached := 0
			for i := range 3 {
				if !m.cut[i] {
					reached++
				}
			}
			want := Gone
			if !m.silent && reached >= 2 {
				want = Alive
			}
			if s := f.state(m.Name); s != want {
				t.Fatalf("seed %d: %s is %v, want %v (silent %v, cut %v)", seed, m.Name, s, want, m.silent, m.cut)
			}
		}
	}
}

// TestThreeHundred has 300 instances at three watchers, of which a tenth end at once and as many come: all is known in
// its time, and what is told for it is bounded, as a watcher tells of changes alone.
func TestThreeHundred(t *testing.T) {
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprint("p", i))
	}
	f := newFleet(3, names...)
	f.run(2 * time.Second)
	f.told, f.changes = 0, nil
	f.run(time.Second)
	if f.told != 0 || len(f.changes) != 0 {
		t.Errorf("at rest %d members are told of", f.told)
	}
	for i := range 30 {
		f.end(f.members[i])
	}
	f.run(100 * ms)
	for i := range 300 {
		want := Alive
		if i < 30 {
			want = Gone
		}
		if s := f.state(names[i]); s != want {
			t.Errorf("%s is %v, want %v", names[i], s, want)
		}
	}
	if f.told > 3*2*30 {
		t.Errorf("%d members are told of for 30 that ended", f.told)
	}
}
