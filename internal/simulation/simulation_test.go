package simulation

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"
)

// TestSamePlanGivesSameEvents checks that the same plan and seed give exactly the same events (guarantee 1).
func TestSamePlanGivesSameEvents(t *testing.T) {
	const length = 3 * time.Second
	a, b := run(t, plan80(1), length, nil), run(t, plan80(1), length, nil)
	c := run(t, plan80(2), length, nil)
	if !reflect.DeepEqual(a.PerSecond, b.PerSecond) {
		t.Error("the same plan run twice differs")
	}
	if reflect.DeepEqual(a.PerSecond, c.PerSecond) {
		t.Error("another seed gives the same events")
	}
}

// TestFleetWithoutFault checks the baseline of the other tests: without a fault, nearly all requests are in time.
func TestFleetWithoutFault(t *testing.T) {
	f := run(t, plan80(1), 10*time.Second, nil)
	checkInTime(t, f.Sum(1, 8), 0.99, "without a fault")
}

// TestZoneLostAndBackCold checks the service while a quarter of the nodes crashes without notice and restarts cold
// seven seconds later.
func TestZoneLostAndBackCold(t *testing.T) {
	f := run(t, plan80(1), 24*time.Second, func(f *Fleet) {
		zone := nodesWhere(f, func(i int) bool { return i%4 == 1 })
		f.At(5*time.Second, func() { f.Crash(zone...) })
		f.At(12*time.Second, func() { f.Restart(zone...) })
	})
	t.Logf("in time %.3f %.3f %.3f",
		inTimeShare(f.Sum(5, 7)), inTimeShare(f.Sum(7, 12)), inTimeShare(f.Sum(12, 22)))
	if s := f.Sum(7, 12); float64(s.SendsToUnreachable) > 0.05*float64(s.Sends) { // a quarter of nodes is lost
		t.Errorf("%d of %d sends go to lost nodes from the third second on", s.SendsToUnreachable, s.Sends)
	}
	// The restarted nodes have a fifth to two fifths of their capacity.
	if s := f.Sum(13, 15); s.SendsToWarming < s.Sends/50 {
		t.Errorf("%d of %d sends go to nodes that are back cold, from the second second on", s.SendsToWarming, s.Sends)
	}
	checkInTime(t, f.Sum(5, 22), 0.98, "while a zone is lost and back cold")
}

// replaceMostNodes replaces six in ten nodes within seven seconds while one in five is faulty, and restarts most
// proxies.
func replaceMostNodes(f *Fleet) {
	for i, name := range slices.Clone(f.NodeNames()) {
		if i%10 == 4 || i%10 == 7 {
			fault := AnswersErrors
			if i%3 == 0 {
				fault = Silent
			}
			f.At(4*time.Second, func() { f.SetFault(name, fault) })
			f.At(20*time.Second, func() { f.SetFault(name, Healthy) })
		}
		if i%5 < 3 {
			at := 6*time.Second + time.Duration(i)*7*time.Second/60
			f.At(at, func() { f.Drain(name) })
			f.At(at+time.Second, func() {
				f.Remove(name)
				addStartedNode(f, fmt.Sprintf("r%03d", i), i%4)
			})
			f.At(at+2*time.Second, func() { f.Crash(name) })
		}
	}
	most := allProxies(f)[:f.Proxies*7/10]
	f.At(14*time.Second, func() { f.KillProxies(300*ms, most...) })
}

func TestMostNodesReplacedAndMostProxiesRestarted(t *testing.T) {
	f := run(t, plan80(1), 30*time.Second, replaceMostNodes)
	t.Logf("in time %.3f %.3f %.3f %.3f, in all %.3f",
		inTimeShare(f.Sum(4, 8)), inTimeShare(f.Sum(8, 13)), inTimeShare(f.Sum(13, 20)), inTimeShare(f.Sum(20, 28)),
		inTimeShare(f.Sum(0, 28)))
	// Six in ten nodes are warming up, with a fifth to a half of their capacity. No proxy sends to one of them often,
	// so all proxies must use a new node from its first second on.
	if s := f.Sum(9, 13); float64(s.SendsToWarming) < 0.1*float64(s.Sends) {
		t.Errorf("%d of %d sends go to warming nodes while six in ten nodes warm up", s.SendsToWarming, s.Sends)
	}
	// One node in five is faulty, and receives as much as the others until it is ejected.
	if s := f.Sum(7, 10); float64(s.SendsToFaulty) > 0.16*float64(s.Sends) {
		t.Errorf("%d of %d sends go to faulty nodes from their third second on", s.SendsToFaulty, s.Sends)
	}
	checkInTime(t, f.Sum(8, 13), 0.75, "while nodes are replaced")
	checkInTime(t, f.Sum(20, 28), 0.97, "after it")
}
