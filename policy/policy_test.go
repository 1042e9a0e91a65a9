package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/bloom"
)

func TestNewNamesTheWrongSetting(t *testing.T) {
	good := Settings{Classes: []Class{{LatencyObjective: 1, Deadline: 1}}, Zones: []string{"a"}}
	if _, err := New(good, 1); err != nil {
		t.Fatal(err)
	}
	for field, spoil := range map[string]func(*Settings){
		"Classes is":    func(s *Settings) { s.Classes = nil },
		"Zone 1":        func(s *Settings) { s.Zone = 1 },
		"Rules":         func(s *Settings) { s.Rules.SlowStartWindow = -1 },
		"EventInterval": func(s *Settings) { s.EventInterval = -1 },
		"Classes[0]":    func(s *Settings) { s.Classes = []Class{{LatencyObjective: -time.Second}} },
	} {
		bad := good
		spoil(&bad)
		if _, err := New(bad, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

// TestReconfigureRefusesWhatIsFixed guards against a reload that changes what
// indices refer to, or that is put into force by half.
func TestReconfigureRefusesWhatIsFixed(t *testing.T) {
	set := Settings{Classes: []Class{{Name: "x", LatencyObjective: 1, Deadline: 1}}, Zones: []string{"a", "b"}, MachineKinds: []string{"k"}}
	for name, spoil := range map[string]func(*Settings){
		"zones":   func(s *Settings) { s.Zones = []string{"b", "a"} },
		"zone":    func(s *Settings) { s.Zone = 1 },
		"kinds":   func(s *Settings) { s.MachineKinds = nil },
		"list":    func(s *Settings) { s.EndpointsOnRequest = true },
		"classes": func(s *Settings) { s.Classes = nil },
		"reports": func(s *Settings) { s.LoadReports = LoadReportInResponse },
	} {
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		bad := set
		spoil(&bad)
		if err := b.Reconfigure(bad); err == nil {
			t.Errorf("%s: taken", name)
		}
		if b.settings.Classes[0].Name != "x" || b.settings.EndpointsOnRequest || b.settings.Zone != 0 {
			t.Errorf("%s: half of it is in force: %+v", name, b.settings)
		}
	}
}

// TestReconfigureKeepsWhatIsLearntByClass guards against a class's failures that a
// reload books to another.
func TestReconfigureKeepsWhatIsLearntByClass(t *testing.T) {
	b, now := harness(t)
	b.settings.Classes[0].Name = "x"
	b.Handle(now, Arrival{ID: 1, Deadline: now + time.Second}, nil)
	b.failureRates[0].Failures, b.servers["a"].suspicions[0].LogOdds = 7, 5
	set := *b.settings
	set.Classes = []Class{{Name: "new", LatencyObjective: 1, Deadline: 1}, {Name: "x", LatencyObjective: 2, Deadline: 3}}
	if err := b.Reconfigure(set); err != nil {
		t.Fatal(err)
	}
	if b.failureRates[0].Failures != 0 || b.failureRates[1].Failures != 7 || b.servers["a"].suspicions[1].LogOdds != 5 {
		t.Errorf("after the move: %v, %v", b.failureRates, b.servers["a"].suspicions)
	}
	if r := b.requests[1]; r.Class != 1 || r.class.LatencyObjective != time.Second {
		t.Errorf("the open request is of class %d with aim %v", r.Class, r.class.LatencyObjective)
	}
	set.Classes = set.Classes[:1]
	if err := b.Reconfigure(set); err != nil {
		t.Fatal(err)
	}
	if r := b.requests[1]; r.Class != 1 || len(b.failureRates) != 2 {
		t.Errorf("of a class that is gone the open request is at %d of %d", r.Class, len(b.failureRates))
	}
}

// harness is a balancer with servers a to d, of which cold ones began at now.
func harness(t *testing.T, cold ...string) (*Balancer, time.Duration) {
	t.Helper()
	now := time.Hour
	b, err := New(Settings{Classes: []Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second}}, ProxyCount: 1,
		Limits: Limits{MaxAttempts: 3}, Rules: Rules{SlowStartShare: 0.1, SlowStartWindow: 20 * time.Second}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	var list []Endpoint
	for _, name := range []string{"a", "b", "c", "d"} {
		m := Endpoint{Server: name}
		for _, c := range cold {
			if c == name {
				m.StartedAt = now
			}
		}
		list = append(list, m)
	}
	b.Handle(now, EndpointUpdate{Kind: EndpointsCached, Endpoints: list}, nil)
	return b, now
}

// sent returns the servers that actions send to.
func sent(actions []Action) (to []string) {
	for _, a := range actions {
		if a.Kind == Send {
			to = append(to, a.Server)
		}
	}
	return to
}

// TestColdServerGetsItsShare guards against a start's burst: a cold server
// looks idle and fast, and would be sent everything.
func TestColdServerGetsItsShare(t *testing.T) {
	b, now := harness(t, "d")
	cold, all := 0, 0
	for i := range uint64(400) {
		now += 5 * time.Millisecond
		for _, s := range sent(b.Handle(now, Arrival{ID: i + 1, Key: fmt.Sprint(i), Deadline: now + time.Second}, nil)) {
			if all++; s == "d" {
				cold++
			}
			b.Handle(now, Outcome{ID: i + 1, Server: s, Result: Served, Took: 20 * time.Millisecond, Final: true}, nil)
		}
	}
	// 2 s at a fifth of a warm server's hundred or so, coldMargin times, and one more by chance.
	if all != 400 || cold > 30 || cold == 0 {
		t.Errorf("cold server got %d of %d", cold, all)
	}
}

// TestKeyStaysWithItsServer guards against scattered copies of a key.
func TestKeyStaysWithItsServer(t *testing.T) {
	b, now := harness(t)
	seen := map[string]bool{}
	for i := range uint64(100) {
		now += 50 * time.Millisecond
		for _, s := range sent(b.Handle(now, Arrival{ID: i + 1, Key: "k", Deadline: now + time.Second}, nil)) {
			seen[s] = true
			b.Handle(now, Outcome{ID: i + 1, Server: s, Result: Served, Took: 20 * time.Millisecond, Final: true,
				CacheStatus: CacheHit}, nil)
		}
	}
	if len(seen) != 1 {
		t.Errorf("key went to %v", seen)
	}
}

// TestGateClosesAndReopens guards against queues that repeats keep full, and
// against refusals that outlast their cause.
func TestGateClosesAndReopens(t *testing.T) {
	b, now := harness(t)
	id := uint64(0)
	run := func(rounds int, took time.Duration) (share float64) {
		n := 0
		for range rounds {
			now += 5 * time.Millisecond
			id++
			for _, s := range sent(b.Handle(now, Arrival{ID: id, Deadline: now + 3*time.Second}, nil)) {
				n++
				b.Handle(now+took, Outcome{ID: id, Server: s, Result: Served, Took: took, Final: true}, nil)
			}
		}
		return float64(n) / float64(rounds)
	}
	run(400, 20*time.Millisecond)
	run(1200, 1500*time.Millisecond)
	if share := run(200, 1500*time.Millisecond); share > 0.3 {
		t.Errorf("%.2f still sent when all comes late", share)
	}
	run(2000, 20*time.Millisecond)
	if share := run(400, 20*time.Millisecond); share < 0.99 {
		t.Errorf("%.2f sent ten seconds after all is well", share)
	}
}

// TestDrainingServerGetsNothing guards the drain rule at the change itself.
func TestDrainingServerGetsNothing(t *testing.T) {
	b, now := harness(t)
	b.Handle(now, EndpointUpdate{Kind: EndpointsDelta, Endpoints: []Endpoint{{Server: "a", State: Draining},
		{Server: "b", State: Removed}, {Server: "c", State: Draining}}}, nil)
	for i := range uint64(50) {
		now += time.Millisecond
		for _, s := range sent(b.Handle(now, Arrival{ID: i + 1, Deadline: now + time.Second}, nil)) {
			if s != "d" {
				t.Fatalf("sent to %s", s)
			}
		}
	}
}

// TestRestartEmptiesTheRecord guards against hits promised by a cache that
// has started anew.
func TestRestartEmptiesTheRecord(t *testing.T) {
	b, now := harness(t)
	s := b.servers["a"]
	p := bloom.PositionsOf(bloom.Hash("k"))
	s.filter.Add(&p)
	b.Handle(now, EndpointUpdate{Kind: EndpointsDelta, Endpoints: []Endpoint{{Server: "a", StartedAt: now}}}, nil)
	if s.filter.Contains(&p) {
		t.Error("the record outlived a restart")
	}
}

// TestNoServerIsRefusedInTime guards against a request lost while none is left.
func TestNoServerIsRefusedInTime(t *testing.T) {
	b, now := harness(t)
	b.Handle(now, EndpointUpdate{Kind: EndpointsFull}, nil)
	var due []Action
	due = b.Handle(now, Arrival{ID: 1, Deadline: now + 300*time.Millisecond}, due)
	for range 100 {
		now += 5 * time.Millisecond
		for _, a := range due {
			if a.Kind == SetTimer {
				for _, x := range b.Handle(now, TimerFired{Token: a.Token}, nil) {
					if x.Kind == Reject {
						return
					}
				}
			}
		}
	}
	t.Error("never refused")
}

// TestFailedFetchIsNotRetried guards against retries that load a full origin;
// without a key, or with no connection, another server is tried.
func TestFailedFetchIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		key    string
		result Result
		want   int
	}{{"k", Rejected, 0}, {"k", Errored, 0}, {"", Rejected, 1}, {"k", ConnectFailed, 1}, {"k", Reset, 1}} {
		b, now := harness(t)
		first := sent(b.Handle(now, Arrival{ID: 1, Key: c.key, Deadline: now + time.Second}, nil))
		next := sent(b.Handle(now, Outcome{ID: 1, Server: first[0], Result: c.result}, nil))
		if len(next) != c.want || c.want == 1 && next[0] == first[0] {
			t.Errorf("%+v: sent to %v after %v", c, next, first)
		}
	}
}

// TestErrorKeepsKeysAtTheirServer guards against keys that a slow origin's
// errors drive to servers which lack them.
func TestErrorKeepsKeysAtTheirServer(t *testing.T) {
	b, now := harness(t)
	for i := range uint64(10) { // enough that one error does not shut a gate
		for _, s := range sent(b.Handle(now, Arrival{ID: 10 + i, Key: fmt.Sprint("other", i), Deadline: now + time.Second}, nil)) {
			b.Handle(now, Outcome{ID: 10 + i, Server: s, Result: Served, Final: true}, nil)
		}
	}
	first := sent(b.Handle(now, Arrival{ID: 1, Key: "k", Deadline: now + time.Second}, nil))
	b.Handle(now, Outcome{ID: 1, Server: first[0], Result: Errored}, nil)
	if next := sent(b.Handle(now, Arrival{ID: 2, Key: "k", Deadline: now + time.Second}, nil)); next[0] != first[0] {
		t.Errorf("key moved from %v to %v after an error", first, next)
	}
}

// slowly lets each of n arrivals, two a second, end in result, and returns the
// share of the last half that was sent.
func slowly(b *Balancer, now time.Duration, n int, result Result) float64 {
	late := 0
	for i := range n {
		now += 500 * time.Millisecond
		id := uint64(i + 1)
		to := sent(b.Handle(now, Arrival{ID: id, Key: fmt.Sprint(i), Deadline: now + time.Second}, nil))
		for k := 0; len(to) > 0; k++ {
			if i >= n/2 && k == 0 {
				late++
			}
			to = sent(b.Handle(now, Outcome{ID: id, Attempt: k, Server: to[0], Result: result}, nil))
		}
		b.Handle(now, ClientLeft{ID: id}, nil)
	}
	return float64(late) / float64((n+1)/2)
}

// TestGateOfFewRequestsCloses guards against many proxies of few requests each,
// none of which sees enough in two seconds to shut its gate on a fallen origin.
func TestGateOfFewRequestsCloses(t *testing.T) {
	b, now := harness(t)
	if share := slowly(b, now, 200, Errored); share > 0.25 {
		t.Errorf("%.2f still sent when every fetch fails", share)
	}
}

// TestFailedConnectionsKeepTheGateOpen guards against sites that are cut off: no
// answer from there tells anything of the load elsewhere.
func TestFailedConnectionsKeepTheGateOpen(t *testing.T) {
	b, now := harness(t)
	if share := slowly(b, now, 200, ConnectFailed); share < 0.9 {
		t.Errorf("%.2f sent when connections fail", share)
	}
}

// TestFailingServerIsLeftAlone guards against a server that answers errors at
// once, looks idle by it, and makes the gates shed what the others could serve.
func TestFailingServerIsLeftAlone(t *testing.T) {
	b, now := harness(t)
	failed, refused := 0, 0
	for i := range uint64(1000) {
		now += 5 * time.Millisecond
		out := b.Handle(now, Arrival{ID: i + 1, Key: fmt.Sprint(i % 50), Deadline: now + time.Second}, nil)
		for number := 0; ; number++ {
			to := sent(out)
			if len(to) == 0 {
				break
			}
			result, took := Served, 40*time.Millisecond
			if to[0] == "a" {
				result, took = Errored, time.Millisecond
				failed++
			}
			now += took
			out = b.Handle(now, Outcome{ID: i + 1, Attempt: number, Server: to[0], Result: result, Took: took,
				Final: result == Served}, nil)
		}
		for _, a := range out {
			if a.Kind == Reject || a.Kind == Fail {
				refused++
			}
		}
	}
	if failed > 150 || refused > 60 {
		t.Errorf("of 1000 requests %d failed at the server, %d were given up", failed, refused)
	}
}

// TestSilentServerGetsASecondCopySentElsewhere guards against lost answers: the
// client's time would run out with the attempt's.
func TestSilentServerGetsASecondCopySentElsewhere(t *testing.T) {
	b, now := harness(t)
	b.settings.Limits.AllowHedging = true
	aim := b.settings.Classes[0].LatencyObjective
	for _, name := range []string{"a", "b"} { // both hold the key
		at := bloom.PositionsOf(bloom.Hash("k"))
		b.servers[name].filter.Add(&at)
	}
	out := b.Handle(now, Arrival{ID: 1, Key: "k", Deadline: now + 4*aim}, nil)
	first := sent(out)
	for _, a := range out {
		if a.Kind == SetTimer && a.Token&3 == timerHedge {
			second := sent(b.Handle(now+a.After, TimerFired{Token: a.Token}, nil))
			if len(second) != 1 || second[0] == first[0] {
				t.Errorf("sent to %v, after %v without a word to %v", first, a.After, second)
			}
			return
		}
	}
	t.Error("no timer for a second copy")
}

// TestBrokenConnectionIsOneFailure guards against a server put aside for long
// because many attempts waited on the one connection that broke.
func TestBrokenConnectionIsOneFailure(t *testing.T) {
	b, now := harness(t)
	at := map[uint64]string{}
	for i := range uint64(60) {
		for _, s := range sent(b.Handle(now, Arrival{ID: i + 1, Deadline: now + time.Second}, nil)) {
			at[i+1] = s
		}
	}
	for id, s := range at {
		if s == "a" {
			b.Handle(now+time.Millisecond, Outcome{ID: id, Server: s, Result: Reset, Took: time.Millisecond}, nil)
		}
	}
	if s := b.servers["a"]; s.consecutiveFailures != 1 || s.backoffUntil > now+time.Second {
		t.Errorf("%d failures, put aside for %v", s.consecutiveFailures, s.backoffUntil-now)
	}
}

// TestServersThatAreGoneAreForgotten guards against a map that grows with each
// server replaced, where ids are ever new.
func TestServersThatAreGoneAreForgotten(t *testing.T) {
	b, now := harness(t)
	for i := range 200 {
		now += time.Second
		b.Handle(now, EndpointUpdate{Version: uint64(i + 2), Endpoints: []Endpoint{
			{Server: fmt.Sprint("n", i)}, {Server: fmt.Sprint("n", i-1), State: Removed}}}, nil)
	}
	if len(b.servers) > 30 {
		t.Errorf("%d servers known where 4 are listed", len(b.servers))
	}
}

// TestLostAnswersAreNoOverload guards against a server that takes requests and
// never answers: the gates would shut for all, though nothing is busy.
func TestLostAnswersAreNoOverload(t *testing.T) {
	b, now := harness(t)
	const life = 700 * time.Millisecond
	lost, shed := map[uint64]bool{}, 0
	for i := range uint64(2000) {
		now += 5 * time.Millisecond
		if id := i + 1 - uint64(life/(5*time.Millisecond)); lost[id] {
			b.Handle(now, TimerFired{Token: id<<2 | timerDeadline}, nil)
			b.Handle(now, Outcome{ID: id, Server: "a", Result: Cancelled, Took: life, Final: true}, nil)
		}
		out := b.Handle(now, Arrival{ID: i + 1, Key: fmt.Sprint(i % 50), Deadline: now + life + time.Millisecond}, nil)
		switch to := sent(out); {
		case len(to) == 0:
			shed++
		case to[0] == "a":
			lost[i+1] = true
		default:
			b.Handle(now, Outcome{ID: i + 1, Server: to[0], Result: Served, Took: 20 * time.Millisecond, Final: true}, nil)
		}
	}
	if len(lost) > 16 || shed > 8 {
		t.Errorf("of 2000 requests %d were lost and %d shed", len(lost), shed)
	}
}

// TestRefusingServerIsLeftAlone guards against a server that refuses one class
// at once, and so looks idle to it, while it serves the other.
func TestRefusingServerIsLeftAlone(t *testing.T) {
	b, now := harness(t)
	refused, shed := 0, 0
	for i := range uint64(2000) {
		now += 5 * time.Millisecond
		out := b.Handle(now, Arrival{ID: i + 1, Key: fmt.Sprint(i % 50), Deadline: now + time.Second}, nil)
		switch to := sent(out); {
		case len(to) == 0:
			shed++
		case to[0] == "a":
			refused++
			b.Handle(now, Outcome{ID: i + 1, Server: "a", Result: Rejected, Took: time.Millisecond}, nil)
		default:
			b.Handle(now, Outcome{ID: i + 1, Server: to[0], Result: Served, Took: 20 * time.Millisecond, Final: true}, nil)
		}
	}
	if refused > 250 || shed > 60 {
		t.Errorf("of 2000 requests %d were refused and %d shed", refused, shed)
	}
}

// TestGivenUpWorkCounts guards against clients that give up soon: the server
// works on, and must not look idle.
func TestGivenUpWorkCounts(t *testing.T) {
	b, now := harness(t)
	s := b.servers["a"]
	s.lastSample, s.minLatency, s.processingTime = now, 0.01, 0.04
	before := b.expectedHitTime(s)
	a := attempt{server: s, sentAt: now, path: hitPath}
	r := &request{class: &b.settings.Classes[0], arrivedAt: now}
	const wait = 100 * time.Millisecond
	b.now += wait
	s.inFlight = 1
	b.learnFromOutcome(r, &a, Outcome{Result: Cancelled, Took: wait})
	if b.currentLoad(s) < 0.9 || b.expectedHitTime(s) <= before {
		t.Errorf("%.2f in work, %.3f s expected after %.3f s", b.currentLoad(s), b.expectedHitTime(s), before)
	}
	if b.now += 10 * wait; b.currentLoad(s) > 0.01 {
		t.Errorf("%.2f still in work long after", b.currentLoad(s))
	}
}

// TestKeylessServersGetNothingKeyed guards the promise that a client's repeat of a
// keyed request is dropped: where no server keeps it, the client is told at once, and
// others are served.
func TestKeylessServersGetNothingKeyed(t *testing.T) {
	b, err := New(Settings{Classes: []Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second},
		{Idempotency: IdempotentWithKey, DedupWindow: time.Second, LatencyObjective: time.Second, Deadline: 2 * time.Second}}, ProxyCount: 1, Limits: Limits{MaxAttempts: 3}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	list := []Endpoint{{Server: "a", NoDeduplication: true}, {Server: "b", NoDeduplication: true}}
	b.Handle(now, EndpointUpdate{Kind: EndpointsFull, Endpoints: list}, nil)
	refused := func(actions []Action) (n int) {
		for _, a := range actions {
			if a.Kind == Reject {
				n++
			}
		}
		return n
	}
	out := b.Handle(now, Arrival{ID: 1, Class: 1, Write: true, Deadline: now + time.Second}, nil)
	if len(sent(out)) != 0 || refused(out) != 1 {
		t.Errorf("a keyed request: %+v, want a refusal at once", out)
	}
	if out = b.Handle(now, Arrival{ID: 2, Key: "k", Deadline: now + time.Second}, nil); len(sent(out)) != 1 {
		t.Errorf("a safe request: %+v", out)
	}
	b.Handle(now, EndpointUpdate{Kind: EndpointsDelta, Endpoints: []Endpoint{{Server: "c"}}}, nil)
	for id := uint64(3); id < 10; id++ { // few: a server that answers nothing yet is soon spared
		out = b.Handle(now, Arrival{ID: id, Class: 1, Write: true, Deadline: now + time.Second}, nil)
		if to := sent(out); len(to) != 1 || to[0] != "c" {
			t.Errorf("sent to %v: %+v", to, out)
		}
	}
	// What waits for its connection as the server comes to drop none is not written.
	b.Handle(now, EndpointUpdate{Kind: EndpointsDelta, Endpoints: []Endpoint{{Server: "c", NoDeduplication: true}}}, nil)
	if b.MaySend(now, 3, 0) {
		t.Error("its first byte may still be written")
	}
}

// TestNoRoomTellsNothingOfLoad guards against gates that shut, and keys that fail, because
// other proxies hold all connections of some nodes.
func TestNoRoomTellsNothingOfLoad(t *testing.T) {
	b, now := harness(t)
	for id := uint64(1); id <= 200; id++ {
		now += 2 * minServerBackoff // so that it is no longer set aside
		out := b.Handle(now, Arrival{ID: id, Key: fmt.Sprint("k", id), Deadline: now + time.Second}, nil)
		to := sent(out)
		if len(to) != 1 {
			t.Fatalf("request %d went to %q", id, to)
		}
		out = b.Handle(now, Outcome{ID: id, Server: to[0], Result: ConnectionLimitReached}, nil)
		if next := sent(out); len(next) != 1 || next[0] == to[0] {
			t.Fatalf("request %d went to %q after %s had no room", id, next, to[0])
		} else {
			b.Handle(now+time.Millisecond, Outcome{ID: id, Attempt: 1, Server: next[0], Result: Served, Took: time.Millisecond}, nil)
		}
	}
	for name, g := range pathGates(b) {
		if g.admitShare(admissionPrior) < 1 {
			t.Errorf("the gate of promised=%v is open to %.2f", name, g.admitShare(admissionPrior))
		}
	}
	if b.failureRates[0].Failures > 0 {
		t.Errorf("%.1f attempts count as failed", b.failureRates[0].Failures)
	}
}
