package policy

import (
	"fmt"
	"testing"
	"time"

	"mulleinpier/internal/bloom"
)

// at puts a level into force.
func at(b *Balancer, now time.Duration, level DegradationLevel) {
	b.Handle(now, LevelChange{Level: level}, nil)
}

// warm has every server know a key.
func warm(b *Balancer, key string) {
	p := bloom.PositionsOf(bloom.Hash(key))
	for _, s := range b.servers {
		s.filter.Add(&p)
	}
}

// TestEconomyMakesNoSecondCopies guards against copies and unpaid retries that add load where
// there is trouble, for every level from economy on.
func TestEconomyMakesNoSecondCopies(t *testing.T) {
	for level := LevelFull; level <= LevelShelter; level++ {
		b, now := crowded(t, 1)
		b.settings.Limits.AllowHedging = true
		shut(b, now, 1000) // as if all came in time
		warm(b, "k")
		at(b, now, level)
		out := b.Handle(now, Arrival{ID: 1, Tenant: 1, Key: "k", Deadline: now + 2*time.Second}, nil)
		copies := 0
		for _, a := range out {
			if a.Kind == SetTimer && a.Token&3 == timerHedge {
				copies += len(sent(b.Handle(now+a.After, TimerFired{Token: a.Token}, nil)))
			}
		}
		if want := map[bool]int{true: 1}[level < LevelEconomy]; copies != want {
			t.Errorf("level %d: %d second copies, want %d", level, copies, want)
		}
		b.retryTokens = 0
		b.Handle(now, Arrival{ID: 2, Tenant: 1, Key: "k", Deadline: now + 2*time.Second}, nil)
		to := b.requests[2].attempts[0].server.Server
		again := sent(b.Handle(now, Outcome{ID: 2, Server: to, Result: TimedOut}, nil))
		if want := map[bool]int{true: 1}[level < LevelEconomy]; len(again) != want {
			t.Errorf("level %d: %d retries without a budget, want %d", level, len(again), want)
		}
	}
}

// TestLateReadsCountAsServed guards the level at which reads may come late: gates must not
// shut for answers that clients still wait for, nor expected times over the aim turn away.
func TestLateReadsCountAsServed(t *testing.T) {
	for _, level := range []DegradationLevel{LevelEconomy, LevelLate} {
		b, now := crowded(t, 1)
		for _, g := range pathGates(b) {
			*g = admissionGate{minRetention: 0.99}
		}
		at(b, now, level)
		sends := 0
		for i := range 400 {
			now += 10 * time.Millisecond
			id := uint64(i + 1)
			out := b.Handle(now, Arrival{ID: id, Tenant: 1, Key: fmt.Sprint("k", i), Deadline: now + 2*time.Second}, nil)
			for _, to := range sent(out) {
				sends++
				// It takes 1.3 s, over the aim of 1 s.
				b.requests[id].arrivedAt -= 1300 * time.Millisecond
				b.Handle(now, Outcome{ID: id, Server: to, Result: Served, Took: 1300 * time.Millisecond, CacheStatus: CacheMiss, Final: true}, nil)
			}
		}
		if late := level >= LevelLate; late && sends < 395 || !late && sends > 200 {
			t.Errorf("level %d: %d of 400 were sent", level, sends)
		}
	}
}

// TestLateFetchesDoNotCountInAQueue guards against nodes whose queue makes all late: fetches
// that come late are no good then, at the level late either.
func TestLateFetchesDoNotCountInAQueue(t *testing.T) {
	b, now := crowded(t, 1)
	at(b, now, LevelLate)
	for _, promised := range []float64{1, 0.5} {
		shut(b, now, 1000)
		b.paths[hitPath].gate = admissionGate{offered: 1e6, completed: 1e6, inTime: promised * 1e6, updated: now, minRetention: 1}
		b.paths[fetchPath].gate = admissionGate{updated: now, minRetention: 1}
		out := b.Handle(now, Arrival{ID: uint64(10 * promised), Tenant: 1, Key: fmt.Sprint(promised), Deadline: now + 2*time.Second}, nil)
		b.Handle(now+1300*time.Millisecond, Outcome{ID: uint64(10 * promised), Server: sent(out)[0], Result: Served, Took: 1300 * time.Millisecond, CacheStatus: CacheMiss, Final: true}, nil)
		if got, want := b.paths[fetchPath].gate.inTime, map[bool]float64{true: 1}[promised == 1]; got != want {
			t.Errorf("with %.1f of promised reads in time a late fetch counts %v, want %v", promised, got, want)
		}
	}
}

// TestHandoversFirst guards the levels from handovers on: a gate that is nearly shut lets all
// keyed requests through, and a part of the retries is theirs.
func TestHandoversFirst(t *testing.T) {
	b, now := crowded(t, 0.01)
	handover := func(i int) Arrival {
		return Arrival{ID: uint64(i + 1), Class: 1, Tenant: 1, Key: "h", Write: true}
	}
	if share := passed(b, now, 0.01, 500, handover); share > 0.2 {
		t.Errorf("with full service %.2f of what is all handovers passed a gate that is shut", share)
	}
	at(b, now, LevelHandovers)
	if share := passed(b, now, 0.01, 500, handover); share < 0.99 {
		t.Errorf("%.2f of the handovers passed", share)
	}
	b.retryTokens = maxRetryTokens / 4
	if b.payForRetry(&request{class: &b.settings.Classes[0]}, Rejected) {
		t.Error("a read spent what is kept for handovers")
	}
	if !b.payForRetry(&request{class: &b.settings.Classes[1]}, Rejected) {
		t.Error("a handover may not spend what is kept for it")
	}
}

// TestFetchesLeaveRoomForHandovers guards the level at which handovers go first: reads that
// fetch are held back as soon as handovers are late, and only then, and only there.
func TestFetchesLeaveRoomForHandovers(t *testing.T) {
	for _, c := range []struct {
		level       DegradationLevel
		good        float64 // share of handovers in time
		least, most float64 // of reads that pass
	}{
		{LevelLate, 0.5, 1, 1}, {LevelHandovers, 1, 0.9, 1}, {LevelHandovers, 0.9, 0.4, 0.7},
		{LevelHandovers, 0.5, 0.005, 0.08}, {LevelShelter, 0.5, 0.005, 0.08}, {LevelShelter, 1, 0.2, 0.32},
	} {
		b, now := crowded(t, 1)
		at(b, now, c.level)
		b.handoverGate = admissionGate{completed: 1e6, inTime: c.good * 1e6, updated: now, minRetention: 1}
		share := passed(b, now, 1000, 1000, func(i int) Arrival { return Arrival{ID: uint64(i + 1), Tenant: 1, Key: "new"} })
		if share < c.least || share > c.most {
			t.Errorf("level %d with %.2f of handovers in time: %.2f of fetches passed, want %v to %v", c.level, c.good, share, c.least, c.most)
		}
	}
}

// TestShelterServesWhatIsKnown guards the last level: reads that would fetch are turned away but
// for a few that show a recovery, those that a record names and handovers are not; and what
// the level turns away is no sign of trouble that would keep it.
func TestShelterServesWhatIsKnown(t *testing.T) {
	b, now := crowded(t, 1)
	shut(b, now, 1000)
	at(b, now, LevelShelter)
	b.handoverGate = admissionGate{completed: 1e6, inTime: 5e5, updated: now, minRetention: 1} // handovers are late
	warm(b, "known")
	ask := func(from uint64, n int, a Arrival) (share float64) {
		return passed(b, now, 1000, n, func(i int) Arrival {
			a.ID = from + uint64(i)
			return a
		})
	}
	if share := ask(1, 1000, Arrival{Tenant: 1, Key: "new"}); share < 0.005 || share > 0.08 {
		t.Errorf("%.3f of unknown reads passed, want about %v", share, minAdmitShare)
	}
	if turned := b.TakeCounters().Rejected; turned > 0 {
		t.Errorf("%d turned away by the level count as turned away by gates", turned)
	}
	if share := ask(2000, 100, Arrival{Tenant: 1, Key: "known"}); share < 1 {
		t.Errorf("%.2f of known reads passed", share)
	}
	if share := ask(3000, 100, Arrival{Class: 1, Tenant: 1, Key: "new", Write: true}); share < 1 {
		t.Errorf("%.2f of handovers passed", share)
	}
}

// TestLevelChangesBetweenArrivalAndRetry guards requests that are out as a level comes into
// force: each keeps its one answer, and a keyed one that may have run its window.
func TestLevelChangesBetweenArrivalAndRetry(t *testing.T) {
	for level := LevelEconomy; level <= LevelShelter; level++ {
		b, now := crowded(t, 1)
		shut(b, now, 1000)
		out := b.Handle(now, Arrival{ID: 1, Class: 1, Tenant: 1, Key: "h", Write: true, Deadline: now + 2*time.Second}, nil)
		to := sent(out)[0]
		at(b, now, level)
		out = b.Handle(now+100*time.Millisecond, Outcome{ID: 1, Server: to, Result: Reset}, nil)
		if again := sent(out); len(again) != 1 {
			t.Fatalf("level %d: a handover that was reset got %+v", level, out)
		} else {
			to = again[0]
		}
		at(b, now, LevelFull)
		out = b.Handle(now+1500*time.Millisecond, Outcome{ID: 1, Attempt: 1, Server: to, Result: Reset}, nil)
		if len(out) != 1 || out[0].Kind != Fail { // a repeat would not be dropped any more, so it is not harmless
			t.Errorf("level %d: beyond the window: %+v", level, out)
		}
	}
}

// TestAdviceGrowsAndIsSpread guards against clients that are turned away together and come
// back together, also where the longest advice bounds it.
func TestAdviceGrowsAndIsSpread(t *testing.T) {
	for _, most := range []time.Duration{10 * time.Second, 300 * time.Millisecond} {
		b, now := crowded(t, 1)
		b.settings.Limits.MaxRetryAfter = most
		before := time.Duration(0)
		for level := LevelFull; level <= LevelShelter; level++ {
			at(b, now, level)
			sum, least, last := time.Duration(0), most, time.Duration(0)
			for range 1000 {
				a := b.RetryAfter(0)
				if a <= 0 || a > most {
					t.Fatalf("advice %v of at most %v", a, most)
				}
				sum, least, last = sum+a, min(least, a), max(last, a)
			}
			if last < 2*least {
				t.Errorf("level %d, at most %v: from %v to %v is hardly spread", level, most, least, last)
			}
			if most > time.Second && sum <= before*11/10 {
				t.Errorf("level %d: mean advice %v after %v", level, sum/1000, before/1000)
			}
			before = sum
		}
	}
}

// TestConditionCountsRequests guards the signals: what was served late or not at all, by kind,
// once each, and nothing of clients that left early.
func TestConditionCountsRequests(t *testing.T) {
	b, now := crowded(t, 1)
	shut(b, now, 1000)
	serve := func(id uint64, class int, took time.Duration, result Result, note CacheStatus) {
		out := b.Handle(now, Arrival{ID: id, Class: class, Tenant: 1, Key: "k", Write: class == 1, Deadline: now + 2*time.Second}, nil)
		b.Handle(now+took, Outcome{ID: id, Server: sent(out)[0], Result: result, Took: took, CacheStatus: note, Final: true}, nil)
	}
	serve(1, 0, 100*time.Millisecond, Served, CacheMiss)
	serve(2, 0, 1500*time.Millisecond, Served, CacheMiss)
	serve(3, 1, 100*time.Millisecond, Served, CacheUnknown)
	serve(4, 1, 1500*time.Millisecond, Errored, CacheUnknown)
	out := b.Handle(now, Arrival{ID: 5, Tenant: 1, Key: "x", Deadline: now + 2*time.Second}, nil)
	b.Handle(now+time.Millisecond, ClientLeft{ID: 5}, nil)
	b.Handle(now+time.Millisecond, Outcome{ID: 5, Server: sent(out)[0], Result: Cancelled, Final: true}, nil)
	got := b.TakeCounters()
	if got.TimedFetches != 0 || got.FetchTimeSum != 0 { // no server has answered a hit that tells its own time
		t.Errorf("measured %d fetches as %v", got.TimedFetches, got.FetchTimeSum)
	}
	want := Counters{Reads: 2, LateReads: 1, Handovers: 2, LateHandovers: 1, Offered: 5, Fetches: 3, FailedFetches: 1, Servers: 4} // the second read was promised
	if got != want {
		t.Errorf("counted %+v, want %+v", got, want)
	}
	for _, s := range b.servers {
		s.lastSample, s.minLatency, s.processingTime = now, 0.01, 0.09
	}
	serve(6, 0, 600*time.Millisecond, Served, CacheMiss)
	serve(7, 1, 1100*time.Millisecond, Served, CacheUnknown)
	if got := b.TakeCounters(); got.TimedFetches != 2 || got.FetchTimeSum < 1.49 || got.FetchTimeSum > 1.51 {
		t.Errorf("of 0.5 and 1 s more: %d fetches as %v aims", got.TimedFetches, got.FetchTimeSum)
	}
	if again := b.TakeCounters(); again != (Counters{Servers: 4}) {
		t.Errorf("counted again: %+v", again)
	}
}
