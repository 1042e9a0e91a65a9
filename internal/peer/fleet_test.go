package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestEndedAndSilentMembersAreGoneInTime checks how soon a member is gone whose process has ended (guarantee 1) or
// that is silent (guarantee 2), and that a silence of 300 ms does not make a member gone.
func TestEndedAndSilentMembersAreGoneInTime(t *testing.T) {
	f := newFleet(3, "a", "b", "c")
	f.run(time.Second)
	f.endProcess(f.members[0])
	if d := f.timeUntil("a", Gone); d > 100*ms {
		t.Errorf("an ended process is gone after %v", d)
	}
	for offset := range 15 { // at any time between two heartbeats
		f := newFleet(3, "a", "b")
		f.run(time.Second + time.Duration(offset)*10*ms)
		f.members[0].silent = true
		f.run(300 * ms)
		f.members[0].silent = false
		f.run(time.Second)
		for _, c := range f.changes {
			if c == "a gone" {
				t.Errorf("offset %d: a member is gone after a pause of 300 ms: %v", offset, f.changes)
			}
		}
		f.members[0].silent = true
		if d := f.timeUntil("a", Gone); d > 700*ms || d < 400*ms {
			t.Errorf("offset %d: a silent member is gone after %v", offset, d)
		}
		f.members[0].silent = false
		f.run(300 * ms)
		if s := f.state("a"); s != Alive {
			t.Errorf("offset %d: after its return the member is %v", offset, s)
		}
	}
}

// TestPausedWatcherTakesNobodyForGone checks that watchers do not consider a member gone because they were paused
// themselves (guarantee 3), with one, two and all three watchers paused.
func TestPausedWatcherTakesNobodyForGone(t *testing.T) {
	for _, paused := range [][]int{{0}, {0, 1}, {0, 1, 2}} {
		f := newFleet(3, "a", "b")
		f.run(time.Second)
		for _, i := range paused {
			f.pausedWatchers[i] = true
		}
		f.run(3 * time.Second)
		if isolated, _ := f.view.Isolated(); isolated != (len(paused) > 1) {
			t.Errorf("%d of three watchers paused: isolated %v", len(paused), isolated)
		}
		f.pausedWatchers = map[int]bool{}
		f.changes = nil
		f.run(2 * time.Second)
		for _, name := range []string{"a", "b"} {
			if s := f.state(name); s != Alive {
				t.Errorf("%d paused: %s is %v", len(paused), name, s)
			}
		}
		for _, c := range f.changes {
			if c == "a gone" || c == "b gone" {
				t.Errorf("%d paused: %v", len(paused), f.changes)
			}
		}
	}
}

// TestStateFollowsMajority checks that the opinion of a single watcher decides nothing, and that an instance that
// reaches no majority of the watchers keeps the last known states (guarantee 5).
func TestStateFollowsMajority(t *testing.T) {
	f := newFleet(3, "a", "b")
	f.run(time.Second)
	f.members[0].cutOffFrom[1] = true
	f.run(time.Second)
	if s := f.state("a"); s != Alive {
		t.Errorf("cut off from one of three watchers, a is %v", s)
	}
	f.members[0].cutOffFrom[2] = true
	if f.timeUntil("a", Gone); f.state("a") != Gone {
		t.Error("cut off from two of three watchers, a is not gone")
	}
	f.members[0].cutOffFrom = map[int]bool{1: true}
	f.run(time.Second)
	if s := f.state("a"); s != Alive {
		t.Errorf("reaching two watchers again, a is %v", s)
	}
	f.unreachableWatchers = map[int]bool{0: true, 1: true}
	f.endProcess(f.members[1])
	f.run(2 * time.Second)
	if isolated, _ := f.view.Isolated(); !isolated || f.state("b") != Alive {
		t.Errorf("isolated %v, b is %v: want the last known state", isolated, f.state("b"))
	}
	f.unreachableWatchers = map[int]bool{}
	f.run(time.Second)
	if s := f.state("b"); s != Gone {
		t.Errorf("receiving reports again, b is %v", s)
	}
}

// TestFirstProcessOfANameCounts checks with three processes of one name that the first counts until it is gone or
// leaves, and that a replaced process never counts again (guarantee 4).
func TestFirstProcessOfANameCounts(t *testing.T) {
	f := newFleet(3, "a")
	f.run(time.Second)
	second := f.join("a", 2)
	f.run(time.Second)
	if second.result != NameTaken {
		t.Errorf("the second process gets %v", second.result)
	}
	f.members[0].silent = true // the member is paused
	f.run(time.Second)
	if second.result != Accepted || f.state("a") != Alive {
		t.Errorf("the first process is gone: the second gets %v, the member is %v", second.result, f.state("a"))
	}
	f.members[0].silent = false
	f.run(time.Second)
	if f.members[0].result != Replaced {
		t.Errorf("the first process is back and gets %v", f.members[0].result)
	}
	second.Leaving = true
	f.run(200 * ms)
	third := f.join("a", 3)
	f.run(200 * ms)
	f.endProcess(second)
	f.run(time.Second)
	if third.result != Accepted || f.state("a") != Alive {
		t.Errorf("the second process is leaving: the third gets %v, the member is %v", third.result, f.state("a"))
	}
	if list := f.view.Members(); len(list) != 1 || list[0].Incarnation != 3 {
		t.Errorf("%+v", list)
	}
}

// TestRandomFaults checks that a view recovers from faults. Members end, pause, are cut off and return with new
// incarnations, and watchers pause. After two seconds without further faults, a member must be alive if it runs and
// reaches a majority of the watchers, and gone otherwise.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newFleet(3, "a", "b", "c", "d", "e")
		f.run(time.Second)
		for i := range uint64(30) {
			f.injectFault(rng, 101+i)
			f.run(time.Duration(rng.IntN(80)) * 10 * ms)
		}
		f.pausedWatchers = map[int]bool{}
		f.run(2 * time.Second)
		for _, m := range f.members {
			want := Gone
			if !m.silent && m.countReachedWatchers() >= 2 {
				want = Alive
			}
			if s := f.state(m.Name); s != want {
				t.Fatalf("seed %d: %s is %v, want %v (silent %v, cut off from %v)",
					seed, m.Name, s, want, m.silent, m.cutOffFrom)
			}
		}
	}
}

// injectFault injects a random fault at a member or a watcher. A process that restarts has the given incarnation.
func (f *simulatedFleet) injectFault(rng *rand.Rand, incarnation uint64) {
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
		f.pausedWatchers = map[int]bool{rng.IntN(3): rng.IntN(2) == 0}
	}
}

// countReachedWatchers returns how many of the three watchers a member reaches.
func (m *simulatedMember) countReachedWatchers() (n int) {
	for i := range 3 {
		if !m.cutOffFrom[i] {
			n++
		}
	}
	return n
}

// TestThreeHundredInstances checks the reaction time and the size of reports in a large fleet: 30 of 300 instances
// end together. They must be gone after 100 ms, the others alive, and the reports may have changed members only.
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
		t.Errorf("without changes %d members are reported", f.reportedMembers)
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
		t.Errorf("%d members are reported after 30 ended", f.reportedMembers)
	}
}
