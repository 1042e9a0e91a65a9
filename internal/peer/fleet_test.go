package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestEndedAndSilentMembersAreGoneInTime guards guarantees 1 and 2.
func TestEndedAndSilentMembersAreGoneInTime(t *testing.T) {
	f := newFleet(3, "a", "b", "c")
	f.run(time.Second)
	f.endProcess(f.members[0])
	if d := f.timeUntil("a", Gone); d > 100*ms {
		t.Errorf("the end of a process is known after %v", d)
	}
	for offset := range 15 { // wherever between two heartbeats
		f := newFleet(3, "a", "b")
		f.run(time.Second + time.Duration(offset)*10*ms)
		f.members[0].silent = true
		f.run(300 * ms)
		f.members[0].silent = false
		f.run(time.Second)
		for _, c := range f.changes {
			if c == "a gone" {
				t.Errorf("offset %d: a pause of 300 ms counts as a death: %v", offset, f.changes)
			}
		}
		f.members[0].silent = true
		if d := f.timeUntil("a", Gone); d > 700*ms || d < 400*ms {
			t.Errorf("offset %d: silence is known after %v", offset, d)
		}
		f.members[0].silent = false
		f.run(300 * ms)
		if s := f.state("a"); s != Alive {
			t.Errorf("offset %d: back, it is %v", offset, s)
		}
	}
}

// TestPausedWatcherTakesNobodyForGone guards guarantee 3, at a watcher and at all of them.
func TestPausedWatcherTakesNobodyForGone(t *testing.T) {
	for _, stopped := range [][]int{{0}, {0, 1}, {0, 1, 2}} {
		f := newFleet(3, "a", "b")
		f.run(time.Second)
		for _, i := range stopped {
			f.stoppedWatchers[i] = true
		}
		f.run(3 * time.Second)
		if isolated, _ := f.view.Isolated(); isolated != (len(stopped) > 1) {
			t.Errorf("%d of three stopped, isolated %v", len(stopped), isolated)
		}
		f.stoppedWatchers = map[int]bool{}
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

// TestStateFollowsMajority guards guarantee 5, and that one watcher's opinion is no verdict.
func TestStateFollowsMajority(t *testing.T) {
	f := newFleet(3, "a", "b")
	f.run(time.Second)
	f.members[0].cutOffFrom[1] = true
	f.run(time.Second)
	if s := f.state("a"); s != Alive {
		t.Errorf("cut off from one of three: %v", s)
	}
	f.members[0].cutOffFrom[2] = true
	if f.timeUntil("a", Gone); f.state("a") != Gone {
		t.Error("cut off from two of three it is not gone")
	}
	f.members[0].cutOffFrom = map[int]bool{1: true}
	f.run(time.Second)
	if s := f.state("a"); s != Alive {
		t.Errorf("back at two: %v", s)
	}
	f.unreachableWatchers = map[int]bool{0: true, 1: true}
	f.endProcess(f.members[1])
	f.run(2 * time.Second)
	if isolated, _ := f.view.Isolated(); !isolated || f.state("b") != Alive {
		t.Errorf("isolated %v, b %v: want what was known last", isolated, f.state("b"))
	}
	f.unreachableWatchers = map[int]bool{}
	f.run(time.Second)
	if s := f.state("b"); s != Gone {
		t.Errorf("hearing the watchers again, b is %v", s)
	}
}

// TestFirstProcessOfANameCounts guards guarantee 4.
func TestFirstProcessOfANameCounts(t *testing.T) {
	f := newFleet(3, "a")
	f.run(time.Second)
	second := f.join("a", 2)
	f.run(time.Second)
	if second.result != NameTaken {
		t.Errorf("the second is answered %v", second.result)
	}
	f.members[0].silent = true // it is paused
	f.run(time.Second)
	if second.result != Accepted || f.state("a") != Alive {
		t.Errorf("the first is gone: the second is answered %v, the name is %v", second.result, f.state("a"))
	}
	f.members[0].silent = false
	f.run(time.Second)
	if f.members[0].result != Replaced {
		t.Errorf("the first is back and answered %v", f.members[0].result)
	}
	second.Leaving = true
	f.run(200 * ms)
	third := f.join("a", 3)
	f.run(200 * ms)
	f.endProcess(second)
	f.run(time.Second)
	if third.result != Accepted || f.state("a") != Alive {
		t.Errorf("a leaving process keeps its name: %v, %v", third.result, f.state("a"))
	}
	if list := f.view.Members(); len(list) != 1 || list[0].Incarnation != 3 {
		t.Errorf("%+v", list)
	}
}

// TestRandomFaults has members end, pause, be cut off and come back under new incarnations, and watchers stop. Whatever
// happened before: after a quiet time a member is alive if it runs and reaches a majority, and gone if not.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newFleet(3, "a", "b", "c", "d", "e")
		f.run(time.Second)
		for i := range uint64(30) {
			f.causeFault(rng, 101+i)
			f.run(time.Duration(rng.IntN(80)) * 10 * ms)
		}
		f.stoppedWatchers = map[int]bool{}
		f.run(2 * time.Second)
		for _, m := range f.members {
			want := Gone
			if !m.silent && m.reachedWatchers() >= 2 {
				want = Alive
			}
			if s := f.state(m.Name); s != want {
				t.Fatalf("seed %d: %s is %v, want %v (silent %v, cut off from %v)",
					seed, m.Name, s, want, m.silent, m.cutOffFrom)
			}
		}
	}
}

// causeFault has something befall a member or a watcher. A process that comes back has the given incarnation.
func (f *simulatedFleet) causeFault(rng *rand.Rand, incarnation uint64) {
	m := f.members[rng.IntN(len(f.members))]
	switch rng.IntN(6) {
	case 0:
		f.endProcess(m)
	case 1:
		m.silent = true
	case 2:
		m.silent = false
	case 3:
		if m.silent {
			m.Incarnation, m.silent = incarnation, false
		}
	case 4:
		m.cutOffFrom[rng.IntN(3)] = rng.IntN(2) == 0
	case 5:
		f.stoppedWatchers = map[int]bool{rng.IntN(3): rng.IntN(2) == 0}
	}
}

// reachedWatchers counts the three watchers that a member reaches.
func (m *simulatedMember) reachedWatchers() (n int) {
	for i := range 3 {
		if !m.cutOffFrom[i] {
			n++
		}
	}
	return n
}

// TestThreeHundredInstances has 300 instances at three watchers, of which a tenth end at once: all is known in its
// time, and what is reported for it is bounded, as a watcher reports changes alone.
func TestThreeHundredInstances(t *testing.T) {
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprint("p", i))
	}
	f := newFleet(3, names...)
	f.run(2 * time.Second)
	f.reportedMembers, f.changes = 0, nil
	f.run(time.Second)
	if f.reportedMembers != 0 || len(f.changes) != 0 {
		t.Errorf("at rest %d members are reported", f.reportedMembers)
	}
	for i := range 30 {
		f.endProcess(f.members[i])
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
	if f.reportedMembers > 3*2*30 {
		t.Errorf("%d members are reported for 30 that ended", f.reportedMembers)
	}
}
