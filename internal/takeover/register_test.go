package takeover

import (
	"fmt"
	"testing"
	"time"
)

func work(id string) Work { return Work{ID: id, Digest: 1, Window: window, Text: make([]byte, 10)} }

// only returns the one answer among actions.
func only(t *testing.T, actions []Action) Answer {
	t.Helper()
	if len(actions) != 1 {
		t.Fatalf("%+v: want one answer", actions)
	}
	a, ok := actions[0].(Answer)
	if !ok {
		t.Fatalf("%+v: want an answer", actions)
	}
	return a
}

var a, b = Owner{"a", 1}, Owner{"b", 1}

// TestRegister walks a work through its life.
func TestRegister(t *testing.T) {
	r := NewRegister(Usual, Owner{"h", 1}, -time.Hour)
	ask := func(now time.Duration, o Owner, tag uint64) Answer {
		return only(t, r.Handle(now, Ask{Tag: tag, Work: work("k"), Owner: o}, nil))
	}
	if got := ask(0, a, 1); got.Word != Leave || got.Age != 0 || got.Young || got.Number != 1 {
		t.Errorf("new: %+v", got)
	}
	if list := r.List(50*ms, 10); len(list) != 1 || list[0].State != "open" || list[0].Owner != "a" || list[0].Age != 50*ms {
		t.Errorf("listed as %+v", list)
	}
	if got := ask(ms, b, 2); got.Word != Parked {
		t.Errorf("in another's hand: %+v", got)
	}
	if got := only(t, r.Handle(2*ms, Ask{Tag: 3, Work: Work{ID: "k", Digest: 2}, Owner: b}, nil)); got.Word != Conflict {
		t.Errorf("another write under the key: %+v", got)
	}
	if got := only(t, r.Handle(100*ms, Lost{a}, nil)); got.Tag != 2 || got.Word != Leave || got.Number != 2 || got.Age != 100*ms || got.Was != a {
		t.Errorf("the owner is lost: %+v", got)
	}
	if got := only(t, r.Handle(110*ms, Ask{Tag: 4, Work: work("k"), Owner: a, Number: 1}, nil)); got.Word == Leave {
		t.Errorf("a former owner has leave: %+v", got)
	}
	if out := r.Handle(120*ms, Settle{ID: "k", Owner: a, Number: 1, Outcome: Unknown}, nil); len(out) != 0 || r.works["k"].outcome != Open {
		t.Errorf("a former owner gives it up: %+v", out)
	}
	r.Handle(200*ms, Settle{ID: "k", Owner: a, Number: 1, Outcome: Served, Receipt: "r"}, nil) // but what it was served is so
	for _, o := range []Owner{a, b} {
		if got := ask(300*ms, o, 5); got.Word != Known || got.Receipt != "r" {
			t.Errorf("served: %+v", got)
		}
	}
	if list := r.List(time.Second, 10); len(list) != 1 || list[0].State != "served" || list[0].Receipt != "r" || list[0].Owners != 2 {
		t.Errorf("listed as %+v", list)
	}
	r.Handle(Usual.Keep+201*ms, Tick{}, nil)
	if r.Len() != 0 || r.bytes != 0 {
		t.Errorf("%d works of %d bytes are kept", r.Len(), r.bytes)
	}
}

// TestTurnsAndWindows has holders take a lost work over in their order, and none after its window.
func TestTurnsAndWindows(t *testing.T) {
	for rank := range 3 {
		r := NewRegister(Usual, Owner{"h", 1}, -time.Hour)
		r.Handle(0, Ask{Tag: 1, Work: work("k"), Owner: a, Rank: rank}, nil)
		r.Handle(100*ms, Lost{a}, nil)
		taken := time.Duration(-1)
		for now := 100 * ms; now < time.Second && taken < 0; now += 10 * ms {
			for _, x := range r.Handle(now, Tick{}, nil) {
				if take, ok := x.(Take); ok {
					taken = now
					if take.Number != 2 || take.Age != now || take.Was != a {
						t.Errorf("%+v at %v", take, now)
					}
				}
			}
		}
		if want := 100*ms + time.Duration(rank)*Usual.Step; taken != want {
			t.Errorf("rank %d takes it at %v, want %v", rank, taken, want)
		}
	}
	r := NewRegister(Usual, Owner{"h", 1}, -time.Hour)
	r.Handle(0, Ask{Tag: 1, Work: work("k"), Owner: a}, nil)
	r.Handle(1400*ms, Lost{a}, nil)
	if out := r.Handle(1410*ms, Tick{}, nil); len(out) != 0 || r.works["k"].outcome != Unknown {
		t.Errorf("after its window: %+v", out)
	}
	if got := only(t, r.Handle(2*time.Second, Ask{Tag: 2, Work: work("k"), Owner: b}, nil)); got.Word != Spent {
		t.Errorf("asked for then: %+v", got)
	}
}

// TestDoubtStays has a retry fail that a young register can't judge: once the register is old, and knows no more than
// before, who asks again is told the same.
func TestDoubtStays(t *testing.T) {
	r := NewRegister(Usual, Owner{"h", 1}, 0)
	if got := only(t, r.Handle(ms, Ask{Tag: 1, Work: work("k"), Owner: a, Retry: true}, nil)); got.Word != Leave || !got.Young {
		t.Errorf("a retry at a young register: %+v", got)
	}
	r.Handle(2*ms, Settle{ID: "k", Owner: a, Number: 1, Outcome: Unknown}, nil)
	if got := only(t, r.Handle(2*Usual.Young, Ask{Tag: 2, Work: work("k"), Owner: b, Retry: true}, nil)); got.Word != Spent {
		t.Errorf("asked again at an old one: %+v", got)
	}
	r.Handle(2*Usual.Young, Settle{ID: "k", Owner: Owner{"c", 1}, Number: 1, Outcome: Served, Receipt: "r"}, nil)
	if got := only(t, r.Handle(2*Usual.Young, Ask{Tag: 3, Work: work("k"), Owner: b, Retry: true}, nil)); got.Word != Known {
		t.Errorf("once its owner has told: %+v", got)
	}
}

// TestBounds guards guarantee 5.
func TestBounds(t *testing.T) {
	terms := Usual
	terms.Works, terms.Bytes, terms.Parked = 3, 25, 2
	r := NewRegister(terms, Owner{"h", 1}, -time.Hour)
	for i := range 4 {
		got := only(t, r.Handle(0, Ask{Tag: 1, Work: work(fmt.Sprint(i)), Owner: a}, nil))
		if (got.Word == Full) != (i >= 2) { // of bytes
			t.Errorf("work %d: %+v", i, got)
		}
	}
	for i := range 3 {
		got := only(t, r.Handle(0, Ask{Tag: 1, Work: work("0"), Owner: Owner{fmt.Sprint("o", i), 1}}, nil))
		if (got.Word == Full) != (i >= 2) {
			t.Errorf("the %dth that waits: %+v", i, got)
		}
	}
	r.Handle(terms.Open, Tick{}, nil)
	r.Handle(terms.Open+terms.Keep, Tick{}, nil)
	if r.Len() != 0 {
		t.Errorf("%d are never forgotten", r.Len())
	}
}

// TestErrand has an owner decide by what holders say.
func TestErrand(t *testing.T) {
	leave, known := Answer{Word: Leave, Number: 1}, Answer{Word: Known, Receipt: "r"}
	young := Answer{Word: Leave, Number: 1, Young: true}
	old := Answer{Word: Leave, Number: 2, Age: 500 * ms, Was: Owner{"x", 1}}
	missed, gone := Answer{}, Answer{Word: 99}
	for _, c := range []struct {
		name   string
		kind   Kind
		strict bool
		says   []Answer // of own, y, x
		want   Verdict
	}{
		{"all give leave", New, true, []Answer{leave, leave, leave}, Send},
		{"one is missed", New, true, []Answer{leave, missed, leave}, Refuse},
		{"one is missed, plainly", New, false, []Answer{leave, missed, leave}, Plainly},
		{"one is gone", New, true, []Answer{leave, gone, leave}, Send},
		{"both others are gone", New, true, []Answer{leave, gone, gone}, Refuse},
		{"one knows the outcome", New, true, []Answer{leave, leave, known}, Receipt},
		{"a retry that nobody knows", Retry, true, []Answer{leave, leave, leave}, Send},
		{"a retry, one may have forgotten", Retry, true, []Answer{leave, leave, young}, Send},
		{"a retry, two may have forgotten", Retry, true, []Answer{young, leave, young}, Unsure},
		{"a retry, one is young and one gone", Retry, false, []Answer{leave, gone, young}, Unsure},
		{"a first try, all are young", New, true, []Answer{young, young, young}, Send},
		{"a retry, one is missed", Retry, false, []Answer{leave, leave, missed}, Unsure},
		{"a retry of a lost owner's", Retry, true, []Answer{leave, old, gone}, Send},
		{"taken over, the other knows", Taken, true, []Answer{old, known, gone}, Receipt},
		{"taken over, the other is missed", Taken, true, []Answer{old, missed, gone}, Unsure},
		{"taken over, the other gives leave", Taken, true, []Answer{old, old, gone}, Send},
		{"its window is over", Retry, true, []Answer{leave, {Word: Spent}, leave}, Unsure},
		{"another write", New, true, []Answer{leave, {Word: Conflict}, leave}, Clash},
		{"no room", New, true, []Answer{leave, {Word: Full}, {Word: Full}}, Refuse},
	} {
		e := NewErrand(Usual, window, 0, 2, Options{Others: 2, Strict: c.strict}, c.kind)
		for i, name := range []string{"own", "y", "x"} {
			switch c.says[i].Word {
			case 0:
				e.Missed(name)
			case gone.Word:
				e.Gone(name)
			default:
				e.Heard(name, c.says[i])
			}
		}
		verdict, until := e.Verdict()
		if verdict != c.want {
			t.Errorf("%s: %v, want %v", c.name, verdict, c.want)
		}
		if verdict == Send && (until <= 0 || until > Usual.Leave || e.age > 0 && until > window-500*ms) {
			t.Errorf("%s: until %v", c.name, until)
		}
	}
	alone := NewErrand(Usual, window, 0, 0, Options{Others: 1, Strict: true}, Retry)
	if v, _ := alone.Verdict(); v != Waiting {
		t.Errorf("alone, before its own register has been heard: %v", v)
	}
	if alone.Heard("own", known); alone.Receipt() != "r" {
		t.Error("alone, its own register knows the receipt in vain")
	}
	e := NewErrand(Usual, window, 0, 2, Options{Others: 2, Strict: true}, Retry)
	e.Heard("own", leave)
	e.Heard("y", Answer{Word: Parked})
	if e.Over(); !e.Joined() {
		t.Error("it has not joined")
	}
	if v, _ := e.Verdict(); v != Unsure {
		t.Errorf("its client's time over, another has it in hand: %v", v)
	}
}

// TestOrder guards that any proxy finds the same holders, in different zones, and that a loss moves few works.
func TestOrder(t *testing.T) {
	var places []Place
	for i := range 12 {
		places = append(places, Place{Owner{fmt.Sprint("p", i), 1}, fmt.Sprint("z", i%3)})
	}
	first, moved := make(map[string]int), 0
	for i := range 3000 {
		id := fmt.Sprint("key", i)
		list := Order(id, places)
		if len(list) != len(places) || list[0].Zone == list[1].Zone || list[1].Zone == list[2].Zone {
			t.Fatalf("%s: %+v", id, list)
		}
		first[list[0].Name]++
		if less := Order(id, places[1:]); less[0].Name != list[0].Name {
			moved++
			if list[0].Name != "p0" {
				t.Errorf("%s moved from %s as p0 went", id, list[0].Name)
			}
		}
	}
	for name, n := range first {
		if n < 150 || n > 350 {
			t.Errorf("%s is first for %d of 3000", name, n)
		}
	}
	if moved != first["p0"] {
		t.Errorf("%d moved, p0 had %d", moved, first["p0"])
	}
}
