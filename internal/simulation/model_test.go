package simulation

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"mulleinpier/policy"
)

const ms = time.Millisecond

// eighty is a fleet of eighty proxies over sixty nodes in four zones that work at half of what
// they can; a proxy meets a node once in three seconds.
func eighty(seed uint64) Plan {
	return Plan{Seed: seed, Proxies: 80, Nodes: 60, MessageDelay: ms / 2,
		Settings: policy.Settings{Zones: []string{"a", "b", "c", "d"}, OriginKind: -1, OverQuotaFactor: 0.1, EndpointsOnRequest: true, EventInterval: 2 * ms,
			Classes: []policy.Class{
				{Name: "read", Idempotency: policy.Idempotent, LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, LateWeightShare: 0.3},
				{Name: "keyed", Idempotency: policy.IdempotentWithKey, DedupWindow: 3 * time.Second, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: 3, LateWeightShare: 0.3},
				{Name: "once", Idempotency: policy.NotIdempotent, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: 3, LateWeightShare: 0.3},
			},
			Limits: policy.Limits{MaxAttempts: 4, AllowHedging: true, AllowCancel: true, MaxRetryAfter: time.Second},
			Rules: policy.Rules{ResponseGrace: 50 * ms, MaxPollInterval: 4 * time.Second, DrainGrace: 500 * ms, SlowStartShare: 0.2,
				SlowStartWindow: 8 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second},
			Costs: policy.Costs{OriginFetch: 0.3}},
		Node:         NodePlan{Workers: 4, ServiceTime: 80 * ms, MaxQueued: 30, IdleTTL: 20 * time.Second, MaxConnections: 34},
		Origin:       OriginPlan{FetchTime: 60 * ms, FetchesPerSecond: 700, MaxQueueTime: 300 * ms},
		EndpointList: EndpointListPlan{CallsPerSecond: 40},
		Clients:      ClientPlan{RequestsPerSecond: 1520, Keys: 5000, ClassShares: []float64{0.85, 0.13, 0.02}, RetryPause: 20 * ms},
	}
}

func play(t *testing.T, p Plan, length time.Duration, script func(*Fleet)) *Fleet {
	t.Helper()
	f, err := New(p)
	if err != nil {
		t.Fatal(err)
	}
	if script != nil {
		script(f)
	}
	f.RunUntil(length)
	for _, b := range f.Violations {
		t.Error("broken: " + b)
	}
	if testing.Verbose() {
		t.Log("  s first tries  good late lost  busy fail sends cold sick down hand room miss calls lost")
		for i, s := range f.PerSecond {
			t.Logf("%3d %5d %5d %5d %4d %4d %5d %4d %5d %4d %4d %4d %4d %4d %4d %5d %4d", i, s.Requests, s.ClientAttempts, s.InTime, s.Late, s.Unanswered,
				s.Rejected, s.Failed, s.Sends, s.SendsToWarming, s.SendsToFaulty, s.SendsToUnreachable, s.Handshakes, s.ConnectionsRejected, s.Misses, s.EndpointListCalls, s.EndpointListCallsLost)
		}
	}
	return f
}

// inTime is the share of first tries that were served within their aim.
func inTime(s Counters) float64 { return float64(s.InTime) / float64(max(s.Requests, 1)) }

func TestSamePlanSamePlay(t *testing.T) {
	a, b, c := play(t, eighty(1), 3*time.Second, nil), play(t, eighty(1), 3*time.Second, nil), play(t, eighty(2), 3*time.Second, nil)
	if !reflect.DeepEqual(a.PerSecond, b.PerSecond) {
		t.Error("the same plan played twice differs")
	}
	if reflect.DeepEqual(a.PerSecond, c.PerSecond) {
		t.Error("another seed plays the same")
	}
}

// TestQuietDay is what all others are held against: nothing is wrong, and all is well.
func TestQuietDay(t *testing.T) {
	f := play(t, eighty(1), 10*time.Second, nil)
	if got := inTime(f.Sum(1, 8)); got < 0.99 {
		t.Errorf("%.3f in time on a quiet day", got)
	}
}

// TestZoneLostAndBackCold loses a quarter of the nodes without a word and has them back empty.
func TestZoneLostAndBackCold(t *testing.T) {
	f := play(t, eighty(1), 24*time.Second, func(f *Fleet) {
		var zone []string
		for i, name := range f.NodeNames() {
			if i%4 == 1 {
				zone = append(zone, name)
			}
		}
		f.At(5*time.Second, func() { f.Crash(zone...) })
		f.At(12*time.Second, func() { f.Restart(zone...) })
	})
	t.Logf("in time %.3f %.3f %.3f", inTime(f.Sum(5, 7)), inTime(f.Sum(7, 12)), inTime(f.Sum(12, 22)))
	if s := f.Sum(7, 12); float64(s.SendsToUnreachable) > 0.05*float64(s.Sends) { // a quarter is their part
		t.Errorf("%d of %d sends go to lost nodes from the third second on", s.SendsToUnreachable, s.Sends)
	}
	// They are back at a fifth to two fifths of what they can, and told to be.
	if s := f.Sum(13, 15); s.SendsToWarming < s.Sends/50 {
		t.Errorf("%d of %d sends go to nodes that are back cold, from the second second on", s.SendsToWarming, s.Sends)
	}
	if got := inTime(f.Sum(5, 22)); got < 0.98 {
		t.Errorf("%.3f in time while a zone is lost and back cold", got)
	}
}

// storm replaces six in ten nodes within seven seconds while one in five is bad, and starts
// most proxies anew.
func storm(f *Fleet) {
	names := slices.Clone(f.NodeNames())
	for i, name := range names {
		if i%10 == 4 || i%10 == 7 {
			trouble := AnswersErrors
			if i%3 == 0 {
				trouble = Silent
			}
			f.At(4*time.Second, func() { f.SetFault(name, trouble) })
			f.At(20*time.Second, func() { f.SetFault(name, Healthy) })
		}
		if i%5 < 3 {
			at := 6*time.Second + time.Duration(i)*7*time.Second/60
			f.At(at, func() { f.Drain(name) })
			f.At(at+time.Second, func() {
				f.Remove(name)
				f.add(fmt.Sprintf("r%03d", i), i%4, f.now)
				f.tell([]policy.Endpoint{f.nodes[fmt.Sprintf("r%03d", i)].Endpoint})
			})
			f.At(at+2*time.Second, func() { f.Crash(name) })
		}
	}
	var most []int
	for i := range f.Proxies * 7 / 10 {
		most = append(most, i)
	}
	f.At(14*time.Second, func() { f.KillProxies(300*ms, most...) })
}

func TestSixInTenReplacedAndMostProxiesStartedAnew(t *testing.T) {
	f := play(t, eighty(1), 30*time.Second, storm)
	t.Logf("in time %.3f %.3f %.3f %.3f, of all %.3f", inTime(f.Sum(4, 8)), inTime(f.Sum(8, 13)), inTime(f.Sum(13, 20)), inTime(f.Sum(20, 28)),
		inTime(f.Sum(0, 28)))
	// Cold nodes are six in ten and give a fifth to a half of what warm ones do: no proxy
	// meets one often, and all must do so from its first second on.
	if s := f.Sum(9, 13); float64(s.SendsToWarming) < 0.1*float64(s.Sends) {
		t.Errorf("%d of %d sends go to cold nodes while six in ten are", s.SendsToWarming, s.Sends)
	}
	// One in five is bad, and gets as much as another until it is found out.
	if s := f.Sum(7, 10); float64(s.SendsToFaulty) > 0.16*float64(s.Sends) {
		t.Errorf("%d of %d sends go to bad nodes from their third second on", s.SendsToFaulty, s.Sends)
	}
	if got := inTime(f.Sum(8, 13)); got < 0.75 {
		t.Errorf("%.3f in time while nodes are replaced", got)
	}
	if got := inTime(f.Sum(20, 28)); got < 0.97 {
		t.Errorf("%.3f in time after it", got)
	}
}
